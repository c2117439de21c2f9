package replay

import (
	"fmt"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/quotation"
)

// Policy is a named configuration of the router's mechanisms.
type Policy struct {
	Name      string
	Firing    firing.Policy
	Quotation quotation.Policy
	Queue     intake.QueueConfig
	// NoExchange disables the exchange of loads between instances, which then only
	// know the engines' own load reports.
	NoExchange bool
	// NoQueue places every request immediately instead of queuing it.
	NoQueue bool
}

// Names of the policies that are compared by default.
const (
	PolicyFull        = "full"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
)

// Policies returns the baselines and the ablations.
func Policies() []Policy {
	return append(Baselines(), Ablations()...)
}

// Baselines returns the router's policy and the two policies that it is compared
// with.
func Baselines() []Policy {
	return []Policy{
		{Name: PolicyFull},
		{
			Name: PolicyLeastLoaded,
			Firing: firing.Policy{
				PrefillFirst:     true,
				NoRefusal:        true,
				NoSecondTransfer: true,
			},
			Quotation: quotation.Policy{
				PrefillFirst: true,
				NoPrefix:     true,
				NoTransfer:   true,
			},
			NoQueue:    true,
			NoExchange: true,
		},
		{
			Name: PolicyRoundRobin,
			Firing: firing.Policy{
				PrefillFirst:     true,
				NoRefusal:        true,
				NoSecondTransfer: true,
			},
			Quotation: quotation.Policy{
				RoundRobin:   true,
				PrefillFirst: true,
				NoPrefix:     true,
				NoTransfer:   true,
			},
			NoQueue:    true,
			NoExchange: true,
		},
	}
}

// Ablations returns variants of the router's policy, each with one mechanism
// disabled.
func Ablations() []Policy {
	return []Policy{
		{
			Name:      "no-reservation",
			Firing:    firing.Policy{PrefillFirst: true},
			Quotation: quotation.Policy{PrefillFirst: true},
		},
		{
			Name:      "no-prefix",
			Quotation: quotation.Policy{NoPrefix: true},
		},
		{
			Name:      "no-spare-slots",
			Quotation: quotation.Policy{NoSpareSlots: true},
		},
		{
			Name:      "no-transfer-budget",
			Quotation: quotation.Policy{NoTransfer: true},
		},
		{
			Name:       "no-load-exchange",
			NoExchange: true,
		},
		{
			Name:   "no-second-transfer",
			Firing: firing.Policy{NoSecondTransfer: true},
		},
		{
			Name:   "no-early-refusal",
			Firing: firing.Policy{NoRefusal: true},
		},
		{
			Name:  "no-fair-queue",
			Queue: intake.QueueConfig{FIFO: true},
		},
	}
}

// PolicyByName returns the policy with the given name.
func PolicyByName(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("unknown policy %q", name)
}
