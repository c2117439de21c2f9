package replay

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlock/balsamlock/steward"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

// StewardFault is a failure that affects the stewards of all regions.
type StewardFault string

// Failures of a steward.
const (
	// StewardLost makes the steward stop answering requests.
	StewardLost StewardFault = "lost"
	// StewardSplit hides the instances of even rank, among them the steward, from
	// those of odd rank, so that each region has two stewards.
	StewardSplit StewardFault = "split"
)

var errNoAnswer = errors.New("no answer")

// steward returns the instance's client of its region's steward.
func (e *entry) steward() *steward.Client {
	return steward.NewClient(steward.Deps{
		Instance:   e.name,
		Usage:      e.placer,
		Members:    e,
		Hub:        e.hub,
		Dial:       e.dial,
		OnExchange: e.queue.Wake,
	})
}

// Peers returns the entry instances of the region that this instance can see.
func (e *entry) Peers() []steward.Peer {
	var peers []steward.Peer
	for _, other := range e.sim.entries {
		hidden := e.sim.stewardFails(StewardSplit) && e.rank%2 == 1 && other.rank%2 == 0
		if other.site.Region == e.site.Region && !hidden {
			peers = append(peers, steward.Peer{
				ID:      other.name,
				Address: other.name,
			})
		}
	}
	return peers
}

// Engines returns the addresses of the region's engines.
func (e *entry) Engines() []string {
	var addresses []string
	for _, server := range e.sim.servers {
		if server.Region == e.site.Region {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}

func (e *entry) dial(address string) stewardpb.Steward {
	for _, other := range e.sim.entries {
		if other.name == address {
			return &remoteSteward{
				from: e,
				to:   other,
			}
		}
	}
	return nil
}

func (s *simulation) stewardFails(fault StewardFault) bool {
	return s.faults.Steward == fault && time.Since(s.started) >= s.faults.StewardAt
}

// remoteSteward is the client of a peer's steward. It adds the network latency.
type remoteSteward struct {
	from *entry
	to   *entry
}

// Exchange sends the request to the peer.
func (r *remoteSteward) Exchange(ctx context.Context, req *stewardpb.ExchangeRequest) (*stewardpb.ExchangeReply, error) {
	latency := r.from.sim.profile.LatencyRegion
	if r.from.site.DataCentre == r.to.site.DataCentre {
		latency = r.from.sim.profile.LatencyLocal
	}
	if err := sleep(ctx, latency); err != nil {
		return nil, err
	}
	if r.to.rank == 0 && r.from.sim.stewardFails(StewardLost) {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	reply, err := r.to.hub.Exchange(ctx, req)
	if sleepErr := sleep(ctx, latency); sleepErr != nil {
		return nil, sleepErr
	}
	return reply, err
}

var (
	_ steward.Members   = (*entry)(nil)
	_ stewardpb.Steward = (*remoteSteward)(nil)
)
