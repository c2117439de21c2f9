package bulletin

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/bulletin/bulletinpb"
	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/rendezvous"
	"github.com/balsamlock/balsamlock/common/uptime"
)

// Deps are the dependencies of a Client.
type Deps struct {
	// Instance is the name of this instance.
	Instance string
	// Readers returns the peer addresses of the readers of this data centre. It returns
	// none if this instance is one of them.
	Readers func() []string
	// Failed is called if a reader has no report that can be used. It must not block.
	Failed func()
	// Dial returns a client for the reader at an address.
	Dial   func(address string) bulletinpb.Bulletin
	Watch  *Watch
	Config Config
}

// Client asks the readers for reports.
type Client struct {
	deps Deps
	// reader is the address of the reader that is in use, empty if there is none.
	reader atomic.Pointer[string]
}

// NewClient returns a client that asks while Run is running.
func NewClient(deps Deps) *Client {
	c := &Client{deps: deps}
	c.reader.Store(new(string))
	return c
}

// Reader returns the address of the reader that is in use, or "" if this instance reads
// the logs itself.
func (c *Client) Reader() string { return *c.reader.Load() }

// Run asks for reports until the context is done.
func (c *Client) Run(ctx context.Context) error {
	timer := time.NewTimer(milliseconds(c.deps.Config.PollMS))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		c.poll(ctx)
		timer.Reset(milliseconds(c.deps.Config.PollMS))
	}
}

// poll asks the reader that rendezvous hashing chooses, and the others if that fails. The
// choice spreads the instances over the readers.
func (c *Client) poll(ctx context.Context) {
	readers := c.deps.Readers()
	if len(readers) == 0 {
		c.deps.Watch.Update(nil)
		c.use("", nil)
		return
	}
	var failed error
	for _, address := range rendezvous.Top(c.deps.Instance, readers, len(readers)) {
		reports, err := c.ask(ctx, address)
		if err == nil {
			c.deps.Watch.Update(reports)
			c.use(address, failed)
			return
		}
		failed = err
		c.deps.Failed()
	}
	if ctx.Err() == nil {
		// Reports that have arrived before count until they are too old.
		c.use("", failed)
	}
}

// ask returns the reports of one reader. All of them must be young enough to be used until
// the next ones arrive.
func (c *Client) ask(ctx context.Context, address string) (map[Log]Report, error) {
	ctx, cancel := context.WithTimeout(ctx, milliseconds(c.deps.Config.TimeoutMS))
	defer cancel()
	sentAt := uptime.Now()
	reply, err := c.deps.Dial(address).Read(ctx, &bulletinpb.ReadRequest{Instance: c.deps.Instance})
	if err != nil {
		return nil, fmt.Errorf("read reports: peer %s: %w", address, err)
	}
	reports := map[Log]Report{}
	for _, r := range reply.Reports {
		age := milliseconds(int(min(max(r.AgeMs, 0), maxReportedAgeMS)))
		if age > milliseconds(c.deps.Config.MaxAgeMS-c.deps.Config.PollMS) {
			return nil, fmt.Errorf("read reports: peer %s: report of %s is %v old", address, r.Log, age)
		}
		reports[Log(r.Log)] = Report{
			Era:     r.Era,
			Checked: r.Checked,
			Changed: r.Changed,
			// The reader stated the age after the request was sent.
			AsOf: sentAt.Add(-age),
		}
	}
	if len(reports) == 0 {
		return nil, fmt.Errorf("read reports: peer %s: it reads no logs", address)
	}
	return reports, nil
}

const maxReportedAgeMS = 1 << 30

// use logs which reader is in use.
func (c *Client) use(reader string, err error) {
	before := c.Reader()
	if before == reader {
		return
	}
	c.reader.Store(&reader)
	entry := log.Info()
	if err != nil {
		entry = log.Warn().Err(err)
	}
	age, _ := c.deps.Watch.Oldest(uptime.Now())
	entry.Str(event.Key, string(event.Reader)).Str("reader", reader).Str("before", before).
		Int64("age_ms", age.Milliseconds()).Msg("reader of the platform's logs changed")
}
