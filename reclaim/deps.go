package reclaim

import (
	"context"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// Members tells which instances there are.
type Members interface {
	// LiveInstances returns the ids of the live instances of this data centre, this
	// one included.
	LiveInstances() []string
	// State returns an instance's state, empty when it was never heard of. An
	// instance is gone only after its lease has lapsed.
	State(instance string) crew.State
}

// Engines finds engines.
type Engines interface {
	// Addresses returns the engines of this data centre.
	Addresses() []string
	// Engine returns the engine at an address, nil when it is not known.
	Engine(address string) kiln.Engine
}

// Owners asks instances what they hold.
type Owners interface {
	// HeldAttempts returns those of the attempts that the instance itself says it
	// holds on the engine. An answer of any other instance, also of a later
	// start at the same address, is an error.
	HeldAttempts(ctx context.Context, instance, engine string, attempts []string) ([]string, error)
}
