package replay

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlock/balsamlock/steward"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

// StewardFault is a failure of the stewards of all regions from a time on.
type StewardFault string

// The failures of a steward.
const (
	// StewardLost lets the steward answer nobody any more.
	StewardLost StewardFault = "lost"
	// StewardSplit gives half of the instances a view without it, so that there
	// are two stewards.
	StewardSplit StewardFault = "split"
)

var errNoAnswer = errors.New("no answer")

// steward returns the entry's client of its region's steward.
func (e *entry) steward() *steward.Client {
	return steward.NewClient(steward.Deps{
		Instance:   e.name,
		Usage:      e.book,
		Members:    e,
		Hub:        e.hub,
		Dial:       e.dial,
		OnExchange: e.queue.Wake,
	})
}

// Peers returns the entry instances of the region.
func (e *entry) Peers() []steward.Peer {
	var peers []steward.Peer
	for _, other := range e.site.entries {
		hidden := e.site.stewardFails(StewardSplit) && e.number%2 == 1 && other.number%2 == 0
		if other.place.Region == e.place.Region && !hidden {
			peers = append(peers, steward.Peer{
				ID:      other.name,
				Address: other.name,
			})
		}
	}
	return peers
}

// Engines returns the engines of the region.
func (e *entry) Engines() []string {
	var addresses []string
	for _, server := range e.site.servers {
		if server.Region == e.place.Region {
			addresses = append(addresses, server.Address)
		}
	}
	return addresses
}

func (e *entry) dial(address string) stewardpb.Steward {
	for _, other := range e.site.entries {
		if other.name == address {
			return &remoteSteward{
				from: e,
				to:   other,
			}
		}
	}
	return nil
}

func (s *site) stewardFails(fault StewardFault) bool {
	return s.faults.Steward == fault && time.Since(s.started) >= s.faults.StewardAt
}

// remoteSteward is a peer's steward with the latency of the way.
type remoteSteward struct {
	from *entry
	to   *entry
}

// Exchange asks the peer.
func (r *remoteSteward) Exchange(ctx context.Context, req *stewardpb.ExchangeRequest) (*stewardpb.ExchangeReply, error) {
	latency := r.from.site.profile.LatencyRegion
	if r.from.place.DataCentre == r.to.place.DataCentre {
		latency = r.from.site.profile.LatencyLocal
	}
	if err := pause(ctx, latency); err != nil {
		return nil, err
	}
	if r.to.number == 0 && r.from.site.stewardFails(StewardLost) {
		<-ctx.Done()
		return nil, errNoAnswer
	}
	reply, err := r.to.hub.Exchange(ctx, req)
	if lost := pause(ctx, latency); lost != nil {
		return nil, lost
	}
	return reply, err
}

var (
	_ steward.Members   = (*entry)(nil)
	_ stewardpb.Steward = (*remoteSteward)(nil)
)
