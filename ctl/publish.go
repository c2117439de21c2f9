package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

// logPollMS is the time between two polls of the log.
const logPollMS = 200

// logSession is the access to the log for one command.
type logSession struct {
	log      ledger.Log
	follower *plan.Follower
}

// withLogSession calls body with a follower that has read the log to its end. The follower stops when body returns.
func (a *app) withLogSession(body func(ctx context.Context, s logSession) error) error {
	address, err := a.platformAddress()
	if err != nil {
		return err
	}
	ctx, cancel := a.timeoutContext()
	defer cancel()
	client := ledger.NewClient(ledger.ClientDeps{
		Address: address,
		HTTP:    a.httpClient(),
	})
	cfg := plan.DefaultConfig()
	cfg.Log.PollMS = logPollMS
	follower := plan.NewFollower(plan.Deps{
		Log:    client,
		Config: cfg,
	})
	followerCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(followerCtx)
	}()
	defer func() {
		stop()
		<-done
	}()
	if err := follower.Sync(ctx); err != nil {
		return exitf(ExitFailed, "platform %s: %w", address, err)
	}
	return body(ctx, logSession{
		log:      client,
		follower: follower,
	})
}

// acceptedDocument returns the accepted document and its history.
func (a *app) acceptedDocument() (plan.Snapshot, error) {
	var snapshot plan.Snapshot
	err := a.withLogSession(func(_ context.Context, s logSession) error {
		state := s.follower.State()
		snapshot = state.Snapshot()
		if !state.IsComplete() {
			return exitf(ExitFailed, "the platform's log holds no snapshot that determines the accepted document")
		}
		return nil
	})
	return snapshot, err
}

type publishCommand struct {
	app      *app
	RecordID string        `long:"record-id" description:"ask again for a publication whose outcome was unknown" value-name:"ID"`
	Base     string        `long:"base" description:"digest to use in place of the file's base" value-name:"DIGEST"`
	Merge    bool          `long:"merge" description:"if the base has moved, put the file's changes on the accepted document, unless both changed an entry"`
	Wait     time.Duration `long:"wait" description:"wait until every instance has the document in force" value-name:"DURATION"`
	Args     fileArgument  `positional-args:"yes" required:"yes"`
}

// publishResult is the result of the publish and restore commands.
type publishResult struct {
	Outcome  string         `json:"outcome"`
	RecordID string         `json:"record_id,omitempty"`
	Accepted *plan.Accepted `json:"accepted,omitempty"`
	// Changes are the changes from the accepted document to this one. They are set only if the base has moved.
	Changes   []plan.Change             `json:"changes,omitempty"`
	Findings  []plan.Finding            `json:"findings,omitempty"`
	Instances []operator.InstanceStatus `json:"instances,omitempty"`
}

func (r publishResult) text(w io.Writer) {
	_, _ = fmt.Fprintln(w, "outcome:", r.Outcome)
	if r.RecordID != "" {
		_, _ = fmt.Fprintln(w, "record id:", r.RecordID)
	}
	if r.Accepted != nil {
		_, _ = fmt.Fprintf(w, "accepted: version %d, digest %s\n", r.Accepted.Version, r.Accepted.Digest)
	}
	for _, finding := range r.Findings {
		_, _ = fmt.Fprintln(w, finding)
	}
	if len(r.Changes) > 0 {
		_, _ = fmt.Fprintln(w, "changes from the accepted document to this one:")
		diffResult{Changes: r.Changes}.text(w)
	}
	writeStatuses(w, r.Instances)
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
		if _, err := c.app.instanceAddresses(); err != nil {
			return err
		}
	}
	var outcome plan.Outcome
	err = c.app.withLogSession(func(ctx context.Context, s logSession) error {
		document, outcome = c.publish(ctx, s, document)
		return nil
	})
	if err != nil {
		return err
	}
	return c.report(outcome, document)
}

// publish publishes a document and returns the outcome together with the document that was sent last. The two documents
// differ after a merge.
func (c *publishCommand) publish(ctx context.Context, s logSession, document plan.Document) (plan.Document, plan.Outcome) {
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
		base, err := plan.Fetch(ctx, s.log, s.follower.State().Snapshot().History, document.Base)
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

// report stores the result and returns the error for an outcome.
func (c *publishCommand) report(outcome plan.Outcome, document plan.Document) error {
	switch outcome := outcome.(type) {
	case plan.Published:
		return c.reportPublished(outcome)
	case plan.Refused:
		return c.reportRefused(outcome, document)
	case plan.Unresolved:
		c.app.result = publishResult{
			Outcome:  "unknown",
			RecordID: outcome.RecordID,
		}
		return exitf(ExitOutcomeUnknown, "outcome unknown: %w; publish again with --record-id %s", outcome.Err, outcome.RecordID)
	}
	return fmt.Errorf("publish: unexpected outcome %T", outcome)
}

func (c *publishCommand) reportRefused(refused plan.Refused, document plan.Document) error {
	out := publishResult{
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
	out := publishResult{
		Outcome:  "accepted",
		RecordID: outcome.RecordID,
		Accepted: &outcome.Accepted,
	}
	c.app.result = out
	if c.Wait == 0 {
		return nil
	}
	statuses, err := c.app.waitUntilInForce(outcome.Accepted.Version, c.Wait)
	out.Instances = statuses
	c.app.result = out
	return err
}

type restoreCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute restarts the documents stream with a document. It refuses to do so if an instance holds a document or does not
// respond.
func (c *restoreCommand) Execute([]string) error {
	document, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	statuses, err := c.app.statusOfAll(ctx)
	if err != nil {
		return err
	}
	for _, instance := range statuses {
		if instance.Status == nil || instance.Status.Document.Version != plan.NoVersion {
			c.app.result = publishResult{
				Outcome:   "refused: an instance holds a document or does not answer",
				Instances: statuses,
			}
			return exitf(ExitNotInForce, "not restored: instance %s holds a document or does not answer", instance.Address)
		}
	}
	var outcome plan.Outcome
	err = c.app.withLogSession(func(ctx context.Context, s logSession) error {
		outcome = plan.NewPublisher(s.log, s.follower).Restore(ctx, document)
		return nil
	})
	if err != nil {
		return err
	}
	return (&publishCommand{app: c.app}).report(outcome, document)
}
