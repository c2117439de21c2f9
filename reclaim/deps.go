package reclaim

import (
	"context"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// Members provides the instances and their states.
type Members interface {
	// LiveInstances returns the IDs of the live instances of this data centre, including this
	// one.
	LiveInstances() []string
	// State returns the state of an instance, or an empty state if it is unknown. An
	// instance is gone only after its lease has expired.
	State(instance string) crew.State
}

// Engines provides the engines of this data centre.
type Engines interface {
	// Addresses returns the addresses of the engines.
	Addresses() []string
	// Engine returns the engine at an address, or nil if it is unknown.
	Engine(address string) kiln.Engine
}

// Owners queries instances for the attempts that they hold.
type Owners interface {
	// HeldAttempts asks the instance which of the attempts it holds on the engine, and returns
	// these. It returns an error if another instance responds, such as a later start at the
	// same address.
	HeldAttempts(ctx context.Context, instance, engine string, attempts []string) ([]string, error)
}
