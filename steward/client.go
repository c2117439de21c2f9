package steward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/rendezvous"
	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

// Peer is a live entry instance of the region.
type Peer struct {
	ID string
	// Address is IP:port.
	Address string
}

// Members tells what this instance knows of its region.
type Members interface {
	// Peers returns the live entry instances, this one included.
	Peers() []Peer
	// Engines returns the addresses of the engines.
	Engines() []string
}

// Config holds the settings of the exchange, in milliseconds.
type Config struct {
	// IntervalMS is the time between two exchanges of up to InstancesPerInterval
	// instances; more instances take their time in proportion.
	IntervalMS           int `json:"interval_ms"`
	InstancesPerInterval int `json:"instances_per_interval"`
	// TimeoutMS bounds one exchange.
	TimeoutMS int `json:"timeout_ms"`
	// AvoidMS is how long a peer that did not answer is passed over.
	AvoidMS int `json:"avoid_ms"`
}

// DefaultConfig returns the settings in use when none are given.
func DefaultConfig() Config {
	return Config{
		IntervalMS:           20,
		InstancesPerInterval: 10,
		TimeoutMS:            100,
		AvoidMS:              1000,
	}
}

// Check records the values that are not allowed.
func (c Config) Check(p *settings.Problems) {
	p.Positive("interval_ms", c.IntervalMS)
	p.Positive("instances_per_interval", c.InstancesPerInterval)
	p.Positive("timeout_ms", c.TimeoutMS)
	p.Positive("avoid_ms", c.AvoidMS)
}

// UsageStore is this instance's account of loads; *quotation.UsageStore is one.
type UsageStore interface {
	LocalUsage() []quotation.Usage
	SetRemoteUsage(engines []string, usages map[string]quotation.Usage, now time.Time)
}

// Deps are the parts that a Client works with.
type Deps struct {
	// Instance is this instance's id.
	Instance string
	Usage    UsageStore
	Members  Members
	// Hub is this instance's own, for when it is the steward itself.
	Hub *Hub
	// Dial returns the client of a peer.
	Dial func(address string) stewardpb.Steward
	// OnExchange is called after each exchange; may be nil.
	OnExchange func()
	Config     Config
}

// Client exchanges loads with the region's steward.
type Client struct {
	deps Deps
	cfg  Config
	// avoid holds the peers that did not answer and until when.
	avoid map[string]time.Time
}

// NewClient returns a client; see Run.
func NewClient(deps Deps) *Client {
	c := &Client{
		deps:  deps,
		cfg:   deps.Config,
		avoid: map[string]time.Time{},
	}
	if c.cfg == (Config{}) {
		c.cfg = DefaultConfig()
	}
	return c
}

// Run exchanges loads until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for {
		peers := c.deps.Members.Peers()
		timer := time.NewTimer(c.interval(len(peers)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		c.exchange(ctx, peers)
	}
}

func (c *Client) interval(instances int) time.Duration {
	interval := time.Duration(c.cfg.IntervalMS) * time.Millisecond
	return max(interval, interval*time.Duration(instances)/time.Duration(c.cfg.InstancesPerInterval))
}

func (c *Client) exchange(ctx context.Context, peers []Peer) {
	peer, ok := c.choose(peers, time.Now())
	if !ok {
		return
	}
	usages, err := c.ask(ctx, peer)
	now := time.Now()
	if err != nil {
		c.avoid[peer.ID] = now.Add(time.Duration(c.cfg.AvoidMS) * time.Millisecond)
		return
	}
	byEngine := make(map[string]quotation.Usage, len(usages))
	for _, usage := range usages {
		byEngine[usage.Address] = usage
	}
	c.deps.Usage.SetRemoteUsage(c.deps.Members.Engines(), byEngine, now)
	if c.deps.OnExchange != nil {
		c.deps.OnExchange()
	}
}

// Weight ranks the instances of a region; the highest one is the steward.
func Weight(instance string) uint64 { return rendezvous.Weight("steward", instance) }

// choose returns the steward: the peer with the highest weight that answers.
func (c *Client) choose(peers []Peer, now time.Time) (Peer, bool) {
	for id, until := range c.avoid {
		if !now.Before(until) {
			delete(c.avoid, id)
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		_, avoided := c.avoid[p.ID]
		return avoided
	})
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Peer) int {
		return cmp.Compare(Weight(a.ID), Weight(b.ID))
	}), true
}

func (c *Client) ask(ctx context.Context, peer Peer) ([]quotation.Usage, error) {
	own := c.deps.Usage.LocalUsage()
	if peer.ID == c.deps.Instance {
		return c.deps.Hub.Update(peer.ID, own, time.Now()), nil
	}
	limited, stop := context.WithTimeout(ctx, time.Duration(c.cfg.TimeoutMS)*time.Millisecond)
	defer stop()
	reply, err := c.deps.Dial(peer.Address).Exchange(limited, &stewardpb.ExchangeRequest{
		Instance: c.deps.Instance,
		Usages:   toWire(own),
	})
	if err != nil {
		return nil, err
	}
	return fromWire(reply.GetUsages()), nil
}
