package crew

import (
	"context"
	"errors"
	"fmt"

	"github.com/twitchtv/twirp"

	"github.com/balsamlock/balsamlock/crew/crewpb"
)

var errUnknownInstance = errors.New("instance unknown")

// LiveInstances returns the IDs of the live instances of this data centre, including
// this one.
func (m *Membership) LiveInstances() []string { return m.View().Live(m.deps.Self.DataCentre) }

// State returns the state of an instance, or an empty string if it is unknown.
func (m *Membership) State(instance string) State {
	i, ok := m.View().Instance(instance)
	if !ok {
		return ""
	}
	return i.State
}

// HeldAttempts asks an instance which of the attempts it holds on an engine. It returns
// an error if a different start of the instance answers at the address.
func (m *Membership) HeldAttempts(ctx context.Context, instance, engine string, attempts []string) ([]string, error) {
	peer, ok := m.View().Instance(instance)
	if !ok {
		return nil, fmt.Errorf("holds: peer %s: %w", instance, errUnknownInstance)
	}
	req := &crewpb.HoldsRequest{
		Instance: instance,
		Engine:   engine,
		Attempts: attempts,
	}
	if instance == m.deps.Self.ID {
		reply, err := m.Holds(ctx, req)
		return reply.GetAttempts(), err
	}
	reply, err := m.deps.Dial(peer.Address).Holds(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("holds: peer %s: %w", peer.Address, err)
	}
	return reply.GetAttempts(), nil
}

// Holds handles a peer's request for the attempts that this instance holds on an
// engine.
func (m *Membership) Holds(_ context.Context, req *crewpb.HoldsRequest) (*crewpb.HoldsReply, error) {
	if req.GetInstance() != m.deps.Self.ID {
		return nil, twirp.NewError(twirp.FailedPrecondition, "another instance is at this address")
	}
	if m.deps.Holds == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "nothing is known of attempts")
	}
	return &crewpb.HoldsReply{
		Attempts: m.deps.Holds(req.GetEngine(), req.GetAttempts()),
	}, nil
}
