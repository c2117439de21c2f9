package ctl

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
)

const (
	// statusTimeout bounds the call to one instance.
	statusTimeout = 3 * time.Second
	// statusInterval is the time between two rounds while waiting.
	statusInterval = 200 * time.Millisecond
)

type statusCommand struct{ app *app }

// statuses is the result of asking every instance.
type statuses struct {
	// Newest is the newest version among the answers.
	Newest    plan.Version              `json:"newest_version"`
	Instances []operator.InstanceStatus `json:"instances"`
}

func (s statuses) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "newest version: %d\n", s.Newest)
	writeAnswers(w, s.Instances)
}

func writeAnswers(w io.Writer, answers []operator.InstanceStatus) {
	for _, answer := range answers {
		if answer.Status == nil {
			_, _ = fmt.Fprintf(w, "%-21s no answer: %s\n", answer.Address, answer.Error)
			continue
		}
		status := answer.Status
		_, _ = fmt.Fprintf(w, "%-21s %-8s %-14s version %d digest %.12s %s\n", answer.Address, status.State,
			status.DataCentre, status.Document.Version, status.Document.Digest, status.InstanceID)
	}
}

// Execute asks every instance.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.app.context()
	defer cancel()
	answers, err := c.app.askAll(ctx)
	if err != nil {
		return err
	}
	newest := plan.NoVersion
	for _, answer := range answers {
		if answer.Status != nil {
			newest = max(newest, answer.Status.Document.Version)
		}
	}
	c.app.result = statuses{
		Newest:    newest,
		Instances: answers,
	}
	return inForce(answers, newest)
}

func (a *app) askAll(ctx context.Context) ([]operator.InstanceStatus, error) {
	addresses, err := a.instances()
	if err != nil {
		return nil, err
	}
	client, err := a.operators()
	if err != nil {
		return nil, err
	}
	return client.StatusOfAll(ctx, addresses, statusTimeout), nil
}

// inForce fails unless every instance has a version or a newer one in force.
func inForce(answers []operator.InstanceStatus, version plan.Version) error {
	missing := 0
	for _, answer := range answers {
		if answer.Status == nil || answer.Status.Document.Version < version {
			missing++
		}
	}
	if missing == 0 {
		return nil
	}
	return exitf(ExitNotEverywhere, "version %d is not in force at %d of %d instances", version, missing, len(answers))
}

// waitInForce asks until a version is in force everywhere.
func (a *app) waitInForce(version plan.Version, wait time.Duration) ([]operator.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for {
		answers, err := a.askAll(ctx)
		if err != nil {
			return nil, err
		}
		err = inForce(answers, version)
		if err == nil {
			return answers, nil
		}
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
			return answers, err
		}
	}
}

type drainCommand struct {
	app  *app
	Args struct {
		Instance string `positional-arg-name:"IP:PORT" description:"operators' address of the instance"`
	} `positional-args:"yes" required:"yes"`
}

// drained is the result of a drain.
type drained struct {
	Instance operator.InstanceStatus `json:"instance"`
}

func (d drained) text(w io.Writer) { writeAnswers(w, []operator.InstanceStatus{d.Instance}) }

// Execute drains an instance.
func (c *drainCommand) Execute([]string) error {
	if err := checkAddress(c.Args.Instance); err != nil {
		return err
	}
	client, err := c.app.operators()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.context()
	defer cancel()
	status, err := client.Drain(ctx, c.Args.Instance)
	if err != nil {
		return err
	}
	c.app.result = drained{
		Instance: operator.InstanceStatus{
			Address: c.Args.Instance,
			Status:  &status,
		},
	}
	return nil
}
