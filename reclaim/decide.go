package reclaim

import (
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
)

// OwnerReply is an owner's reply to the question whether it uses an attempt's memory.
type OwnerReply int

// The replies of an owner.
const (
	// NotQueried means that the owner was not asked in this sweep.
	NotQueried OwnerReply = iota
	// NoReply means that the owner did not respond.
	NoReply
	// InUse means that the owner uses the memory.
	InUse
	// NotInUse means that the attempt is over for its owner.
	NotInUse
)

// OwnerView is a sweeper's view of the owner of a holding.
type OwnerView struct {
	// State is empty if the instance is unknown to the sweeper.
	State crew.State
	Reply OwnerReply
}

// Decision is the result of Decide: Keep or Cancel. The interface is sealed.
type Decision interface{ isDecision() }

// Keep leaves a holding unchanged.
type Keep struct{}

// Cancel frees a holding.
type Cancel struct{ Reason Reason }

// Reason states why a holding is cancelled.
type Reason string

// The reasons for a cancel.
const (
	// ReasonOwnerGone means that the owner is gone and has not renewed the holding.
	ReasonOwnerGone Reason = "owner_gone"
	// ReasonAttemptOver means that the owner no longer uses the attempt's memory.
	ReasonAttemptOver Reason = "attempt_over"
	// ReasonAbandoned means that the owner neither renews the holding nor responds.
	ReasonAbandoned Reason = "abandoned"
)

func (Keep) isDecision()   {}
func (Cancel) isDecision() {}

var (
	_ Decision = Keep{}
	_ Decision = Cancel{}
)

// Decide returns whether to keep or cancel a holding. A recent keep-alive at the engine
// takes precedence over reports that the owner is gone. Memory that is being renewed is
// cancelled only if the owner itself states that it doesn't use it.
func Decide(cfg Config, holding kiln.Holding, owner OwnerView) Decision {
	idle := time.Duration(holding.IdleMS) * time.Millisecond
	switch {
	case owner.Reply == InUse:
		return Keep{}
	case owner.Reply == NotInUse:
		return Cancel{Reason: ReasonAttemptOver}
	case owner.State == crew.StateGone && idle >= cfg.idleTimeout():
		return Cancel{Reason: ReasonOwnerGone}
	case owner.Reply == NoReply && idle >= cfg.abandonTimeout():
		return Cancel{Reason: ReasonAbandoned}
	}
	return Keep{}
}

// mustQuery reports whether the owner must be asked about a holding now, even if the next
// regular query isn't due.
func mustQuery(cfg Config, holding kiln.Holding, state crew.State) bool {
	return state != crew.StateGone && holding.IdleMS >= cfg.IdleTimeoutMS
}
