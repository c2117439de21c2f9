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
	// Address is the peer address of the instance, as IP:port.
	Address string
}

// Members provides the members of this instance's region.
type Members interface {
	// Peers returns the live entry instances, including this one.
	Peers() []Peer
	// Engines returns the addresses of the engines.
	Engines() []string
}

// Config holds the settings of the exchange. Times are in milliseconds.
type Config struct {
	// IntervalMS is the time between two exchanges of an instance if the region has at
	// most InstancesPerInterval instances. With more instances, it grows in proportion.
	IntervalMS           int `json:"interval_ms"`
	InstancesPerInterval int `json:"instances_per_interval"`
	// TimeoutMS bounds one exchange.
	TimeoutMS int `json:"timeout_ms"`
	// AvoidMS is how long a peer is not used after an exchange with it failed.
	AvoidMS int `json:"avoid_ms"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		IntervalMS:           20,
		InstancesPerInterval: 10,
		TimeoutMS:            100,
		AvoidMS:              1000,
	}
}

// Check reports invalid settings.
func (c Config) Check(p *settings.Problems) {
	p.Positive("interval_ms", c.IntervalMS)
	p.Positive("instances_per_interval", c.InstancesPerInterval)
	p.Positive("timeout_ms", c.TimeoutMS)
	p.Positive("avoid_ms", c.AvoidMS)
}

// UsageStore holds the load that this instance and the others put on the engines. It is
// implemented by *quotation.Placer.
type UsageStore interface {
	LocalUsage() []quotation.Usage
	SetRemoteUsage(engines []string, usages map[string]quotation.Usage, now time.Time)
}

// Deps are the dependencies of a Client.
type Deps struct {
	// Instance is this instance's id.
	Instance string
	Usage    UsageStore
	Members  Members
	// Hub is the hub of this instance. It is used without a call while this instance is
	// the steward.
	Hub *Hub
	// Dial returns a client for the peer at an address.
	Dial func(address string) stewardpb.Steward
	// OnExchange is called after each successful exchange. It may be nil.
	OnExchange func()
	Config     Config
}

// Client exchanges loads with the steward of the region.
type Client struct {
	deps Deps
	cfg  Config
	// avoidUntil holds the peers whose last exchange failed and the time until which they
	// are not used.
	avoidUntil map[string]time.Time
}

// NewClient returns a client that exchanges loads while Run is running. A zero Config
// means the default settings.
func NewClient(deps Deps) *Client {
	c := &Client{
		deps:       deps,
		cfg:        deps.Config,
		avoidUntil: map[string]time.Time{},
	}
	if c.cfg == (Config{}) {
		c.cfg = DefaultConfig()
	}
	return c
}

// Run exchanges loads with the steward until the context ends.
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
	peer, ok := c.chooseSteward(peers, time.Now())
	if !ok {
		return
	}
	usages, err := c.exchangeWith(ctx, peer)
	now := time.Now()
	if err != nil {
		c.avoidUntil[peer.ID] = now.Add(time.Duration(c.cfg.AvoidMS) * time.Millisecond)
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

// Weight returns the rendezvous hashing weight of an instance. The instance with the
// highest weight is the steward of its region.
func Weight(instance string) uint64 { return rendezvous.Weight("steward", instance) }

// chooseSteward returns the peer with the highest weight among those that aren't
// avoided, or false if there is none.
func (c *Client) chooseSteward(peers []Peer, now time.Time) (Peer, bool) {
	for id, until := range c.avoidUntil {
		if !now.Before(until) {
			delete(c.avoidUntil, id)
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		_, avoided := c.avoidUntil[p.ID]
		return avoided
	})
	if len(candidates) == 0 {
		return Peer{}, false
	}
	return slices.MaxFunc(candidates, func(a, b Peer) int {
		return cmp.Compare(Weight(a.ID), Weight(b.ID))
	}), true
}

// exchangeWith sends the local load to a peer and returns the load of all others.
func (c *Client) exchangeWith(ctx context.Context, peer Peer) ([]quotation.Usage, error) {
	local := c.deps.Usage.LocalUsage()
	if peer.ID == c.deps.Instance {
		return c.deps.Hub.Update(peer.ID, local, time.Now()), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(c.cfg.TimeoutMS)*time.Millisecond)
	defer cancel()
	reply, err := c.deps.Dial(peer.Address).Exchange(callCtx, &stewardpb.ExchangeRequest{
		Instance: c.deps.Instance,
		Usages:   toWire(local),
	})
	if err != nil {
		return nil, err
	}
	return fromWire(reply.GetUsages()), nil
}
