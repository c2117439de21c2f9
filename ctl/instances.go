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
	// statusTimeout is the timeout of the call to one instance.
	statusTimeout = 3 * time.Second
	// statusPollInterval is the time between two polls of all instances.
	statusPollInterval = 200 * time.Millisecond
)

type statusCommand struct{ app *app }

// statusResult is the result of the status command.
type statusResult struct {
	// Newest is the newest version in force at any instance.
	Newest    plan.Version              `json:"newest_version"`
	Instances []operator.InstanceStatus `json:"instances"`
}

func (r statusResult) text(w io.Writer) {
	_, _ = fmt.Fprintf(w, "newest version: %d\n", r.Newest)
	writeStatuses(w, r.Instances)
}

func writeStatuses(w io.Writer, statuses []operator.InstanceStatus) {
	for _, instance := range statuses {
		if instance.Status == nil {
			_, _ = fmt.Fprintf(w, "%-21s no answer: %s\n", instance.Address, instance.Error)
			continue
		}
		status := instance.Status
		_, _ = fmt.Fprintf(w, "%-21s %-8s %-14s version %d digest %.12s %s\n", instance.Address, status.State,
			status.DataCentre, status.Document.Version, status.Document.Digest, status.InstanceID)
	}
}

// Execute prints the status of every instance. It fails unless all of them have the newest version in force.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	statuses, err := c.app.statusOfAll(ctx)
	if err != nil {
		return err
	}
	newest := plan.NoVersion
	for _, instance := range statuses {
		if instance.Status != nil {
			newest = max(newest, instance.Status.Document.Version)
		}
	}
	c.app.result = statusResult{
		Newest:    newest,
		Instances: statuses,
	}
	return checkInForce(statuses, newest)
}

// statusOfAll returns the status of every instance.
func (a *app) statusOfAll(ctx context.Context) ([]operator.InstanceStatus, error) {
	addresses, err := a.instanceAddresses()
	if err != nil {
		return nil, err
	}
	client, err := a.operatorClient()
	if err != nil {
		return nil, err
	}
	return client.StatusOfAll(ctx, addresses, statusTimeout), nil
}

// checkInForce returns an error unless every instance has the given version or a newer one in force.
func checkInForce(statuses []operator.InstanceStatus, version plan.Version) error {
	missing := 0
	for _, instance := range statuses {
		if instance.Status == nil || instance.Status.Document.Version < version {
			missing++
		}
	}
	if missing == 0 {
		return nil
	}
	return exitf(ExitNotInForce, "version %d is not in force at %d of %d instances", version, missing, len(statuses))
}

// waitUntilInForce polls the instances until all have the given version in force. If wait expires first, it returns the
// last statuses and an error.
func (a *app) waitUntilInForce(version plan.Version, wait time.Duration) ([]operator.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for {
		statuses, err := a.statusOfAll(ctx)
		if err != nil {
			return nil, err
		}
		err = checkInForce(statuses, version)
		if err == nil {
			return statuses, nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return statuses, err
		}
	}
}

type drainCommand struct {
	app  *app
	Args struct {
		Instance string `positional-arg-name:"IP:PORT" description:"operators' address of the instance"`
	} `positional-args:"yes" required:"yes"`
}

// drainResult is the result of the drain command.
type drainResult struct {
	Instance operator.InstanceStatus `json:"instance"`
}

func (r drainResult) text(w io.Writer) { writeStatuses(w, []operator.InstanceStatus{r.Instance}) }

// Execute drains an instance.
func (c *drainCommand) Execute([]string) error {
	if err := checkAddress(c.Args.Instance); err != nil {
		return err
	}
	client, err := c.app.operatorClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.timeoutContext()
	defer cancel()
	status, err := client.Drain(ctx, c.Args.Instance)
	if err != nil {
		return err
	}
	c.app.result = drainResult{
		Instance: operator.InstanceStatus{
			Address: c.Args.Instance,
			Status:  &status,
		},
	}
	return nil
}
