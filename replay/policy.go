package replay

import (
	"fmt"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/quotation"
)

// Policy is a named setting of the router's mechanisms.
type Policy struct {
	Name      string
	Firing    firing.Policy
	Quotation quotation.Policy
	Queue     intake.QueueConfig
	// NoExchange leaves the instances with the engines' own reports.
	NoExchange bool
	// NoQueue places every request at once.
	NoQueue bool
}

// The names of the policies that are compared by default.
const (
	PolicyFull        = "full"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
)

// Policies returns the router's policy, the baselines, and each mechanism
// switched off in turn.
func Policies() []Policy {
	return append(Baselines(), Ablations()...)
}

// Baselines returns the router's policy and the two it is compared with.
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

// Ablations returns the router's policy with one mechanism off in each.
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

// PolicyByName returns one of Policies.
func PolicyByName(name string) (Policy, error) {
	for _, p := range Policies() {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("policy %q is not known", name)
}
