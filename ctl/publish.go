package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

// pollMS is the time between two reads of the log, in milliseconds.
const pollMS = 200

// session is a connection to the log for one command.
type session struct {
	log      ledger.Log
	follower *plan.Follower
}

// withLog runs body with a follower that has read the log to its end.
func (a *app) withLog(body func(ctx context.Context, s session) error) error {
	address, err := a.platform()
	if err != nil {
		return err
	}
	ctx, cancel := a.context()
	defer cancel()
	client := ledger.NewClient(ledger.ClientDeps{
		Address: address,
		HTTP:    a.http(),
	})
	cfg := plan.DefaultConfig()
	cfg.Log.PollMS = pollMS
	follower := plan.NewFollower(plan.Deps{
		Log:    client,
		Config: cfg,
	})
	running, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(running)
	}()
	defer func() {
		stop()
		<-done
	}()
	if err := follower.Sync(ctx); err != nil {
		return exitf(ExitFailed, "platform %s: %w", address, err)
	}
	return body(ctx, session{
		log:      client,
		follower: follower,
	})
}

// accepted returns the accepted document.
func (a *app) accepted() (plan.Claim, error) {
	var claim plan.Claim
	err := a.withLog(func(_ context.Context, s session) error {
		state := s.follower.State()
		claim = state.Claim()
		if !state.IsComplete() {
			return exitf(ExitFailed, "the platform's log holds no snapshot from which the accepted document can be told")
		}
		return nil
	})
	return claim, err
}

type publishCommand struct {
	app      *app
	RecordID string        `long:"record-id" description:"ask again for a publication whose outcome was unknown" value-name:"ID"`
	Base     string        `long:"base" description:"digest to use in place of the file's base" value-name:"DIGEST"`
	Merge    bool          `long:"merge" description:"if the base has moved, put the file's changes on the accepted document, unless both changed an entry"`
	Wait     time.Duration `long:"wait" description:"wait until every instance has the document in force" value-name:"DURATION"`
	Args     fileArgument  `positional-args:"yes" required:"yes"`
}

// published is the result of a publication.
type published struct {
	Outcome  string         `json:"outcome"`
	RecordID string         `json:"record_id,omitempty"`
	Accepted *plan.Accepted `json:"accepted,omitempty"`
	// Changes were accepted since the base, when it has moved and is known.
	Changes   []plan.Change             `json:"changes,omitempty"`
	Findings  []plan.Finding            `json:"findings,omitempty"`
	Instances []operator.InstanceStatus `json:"instances,omitempty"`
}

func (p published) text(w io.Writer) {
	_, _ = fmt.Fprintln(w, "outcome:", p.Outcome)
	if p.RecordID != "" {
		_, _ = fmt.Fprintln(w, "record id:", p.RecordID)
	}
	if p.Accepted != nil {
		_, _ = fmt.Fprintf(w, "accepted: version %d, digest %s\n", p.Accepted.Version, p.Accepted.Digest)
	}
	for _, finding := range p.Findings {
		_, _ = fmt.Fprintln(w, finding)
	}
	if len(p.Changes) > 0 {
		_, _ = fmt.Fprintln(w, "changes from the accepted document to this one:")
		changes{Changes: p.Changes}.text(w)
	}
	writeAnswers(w, p.Instances)
}

// Execute publishes a document.
func (c *publishCommand) Execute([]string) error {
	document, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	if c.Base != "" {
		document = document.WithBase(c.Base)
	}
	if c.Wait > 0 {
		if _, err := c.app.instances(); err != nil {
			return err
		}
	}
	var outcome plan.Outcome
	err = c.app.withLog(func(ctx context.Context, s session) error {
		document, outcome = c.publish(ctx, s, document)
		return nil
	})
	if err != nil {
		return err
	}
	return c.report(outcome, document)
}

// publish returns the outcome with the document that it is about.
func (c *publishCommand) publish(ctx context.Context, s session, document plan.Document) (plan.Document, plan.Outcome) {
	publisher := plan.NewPublisher(s.log, s.follower)
	if c.RecordID != "" {
		return document, publisher.Resume(ctx, c.RecordID, document)
	}
	for {
		outcome := publisher.Publish(ctx, document)
		refused, ok := outcome.(plan.Refused)
		if !ok || !c.Merge || refused.Reason != plan.RefusedBaseMoved {
			return document, outcome
		}
		base, err := plan.Fetch(ctx, s.log, s.follower.State().Claim().History, document.Base)
		if err != nil {
			refused.Err = fmt.Errorf("not merged: %w", err)
			return document, refused
		}
		merged, conflicts := plan.Merge(base, document, refused.Document)
		if len(conflicts) > 0 {
			refused.Err = fmt.Errorf("not merged: both sides changed %s", strings.Join(conflicts, ", "))
			return document, refused
		}
		document = merged.WithBase(refused.Current.Digest)
	}
}

func (c *publishCommand) report(outcome plan.Outcome, document plan.Document) error {
	switch outcome := outcome.(type) {
	case plan.Published:
		return c.reportPublished(outcome)
	case plan.Refused:
		return c.reportRefused(outcome, document)
	case plan.Unresolved:
		c.app.result = published{
			Outcome:  "unknown",
			RecordID: outcome.RecordID,
		}
		return exitf(ExitUnknown, "outcome unknown: %w; ask again with --record-id %s", outcome.Err, outcome.RecordID)
	}
	return errors.New("publish: no outcome")
}

func (c *publishCommand) reportRefused(refused plan.Refused, document plan.Document) error {
	out := published{
		Outcome:  "refused: " + string(refused.Reason),
		Findings: refused.Findings,
	}
	if refused.Current.Version != plan.NoVersion {
		out.Accepted = &refused.Current
	}
	switch refused.Reason {
	case plan.RefusedInvalid:
		c.app.result = out
		return exitf(ExitFindings, "not published: %d findings", len(refused.Findings))
	case plan.RefusedBaseMoved:
		out.Changes = plan.Diff(refused.Document, document)
		c.app.result = out
		if refused.Err != nil {
			return exitf(ExitBaseMoved, "not published: the base has moved; %w", refused.Err)
		}
		return exitf(ExitBaseMoved, "not published: the base has moved; start again from show --edit or use --merge")
	case plan.RefusedUnavailable:
		c.app.result = out
		return exitf(ExitFailed, "not published: %w", refused.Err)
	}
	return fmt.Errorf("not published: %s", refused.Reason)
}

func (c *publishCommand) reportPublished(outcome plan.Published) error {
	out := published{
		Outcome:  "accepted",
		RecordID: outcome.RecordID,
		Accepted: &outcome.Accepted,
	}
	c.app.result = out
	if c.Wait == 0 {
		return nil
	}
	answers, err := c.app.waitInForce(outcome.Accepted.Version, c.Wait)
	out.Instances = answers
	c.app.result = out
	return err
}

type restoreCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute begins the documents stream anew. It refuses while an instance holds
// a document.
func (c *restoreCommand) Execute([]string) error {
	document, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.app.context()
	defer cancel()
	answers, err := c.app.askAll(ctx)
	if err != nil {
		return err
	}
	for _, answer := range answers {
		if answer.Status == nil || answer.Status.Document.Version != plan.NoVersion {
			c.app.result = published{
				Outcome:   "refused: an instance holds a document or does not answer",
				Instances: answers,
			}
			return exitf(ExitNotEverywhere, "not restored: instance %s holds a document or does not answer", answer.Address)
		}
	}
	var outcome plan.Outcome
	err = c.app.withLog(func(ctx context.Context, s session) error {
		outcome = plan.NewPublisher(s.log, s.follower).Restore(ctx, document)
		return nil
	})
	if err != nil {
		return err
	}
	return (&publishCommand{app: c.app}).report(outcome, document)
}
