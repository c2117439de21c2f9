package foreman

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// Own is what an issuer remembers of its own claim on a server.
type Own struct {
	// ID is empty when there is none.
	ID string
	// ClaimedAt is when the append of the claim began.
	ClaimedAt time.Time
	// SentAt is when the order went out, zero before.
	SentAt time.Time
	// Answered is set once the engine answered or provably got nothing.
	Answered bool
}

// State is everything that a decision about one server rests on.
type State struct {
	Config Config
	Issuer string
	// Fresh tells that the views of the log and of the document are up to date.
	Fresh bool
	// Document is the offset of the document that Wanted comes from.
	Document ledger.Offset
	Wanted   DesiredState
	// Actual was read from the engine just now.
	Actual kiln.EngineState
	// ChecksFencing tells whether the engine refuses old fencing numbers.
	ChecksFencing bool
	Log           ServerState
	// IssuerLive tells whether the issuer of the log's last claim is live.
	IssuerLive bool
	// LoadReady tells whether the weight store has room for a load.
	LoadReady bool
	Own       Own
	// Held is the number of requests on the engine.
	Held int
}

// Action is the sealed result of Decide.
type Action interface{ isAction() }

// Done means that the engine is as wanted.
type Done struct{}

// Later means that nothing can be done now.
type Later struct{ Reason string }

// Wait means that the task should look again soon.
type Wait struct{ Reason string }

// Drain keeps new work from the engine.
type Drain struct{}

// Append claims the server for an order.
type Append struct{ Order kiln.OrderRequest }

// Send sends the order of the granted claim, at the latest before Before.
type Send struct {
	Order  kiln.OrderRequest
	Before time.Time
}

// Close ends the claim.
type Close struct{ Claim ledger.Offset }

func (Done) isAction()   {}
func (Later) isAction()  {}
func (Wait) isAction()   {}
func (Drain) isAction()  {}
func (Append) isAction() {}
func (Send) isAction()   {}
func (Close) isAction()  {}

var (
	_ Action = Done{}
	_ Action = Later{}
	_ Action = Wait{}
	_ Action = Drain{}
	_ Action = Append{}
	_ Action = Send{}
	_ Action = Close{}
)

// Decide returns the next step for a server.
func Decide(s State, now time.Time) Action {
	if s.Own.ID != "" && s.Log.Claim.ID == s.Own.ID && !s.Log.Claim.Closed {
		return decideOwn(s, now)
	}
	if slices.Contains(s.Log.Refused, s.Own.ID) {
		return Later{Reason: "the claim was refused"}
	}
	if s.Own.ID != "" && s.Log.Claim.ID != s.Own.ID {
		return decideUnseen(s, now)
	}
	order, ok := NextOrder(s.Wanted, s.Actual)
	switch {
	case !ok:
		return Done{}
	case !s.Fresh:
		return Later{Reason: "view is stale"}
	case s.Log.Document > s.Document:
		return Later{Reason: "a newer document was acted on"}
	case blocked(s, now):
		return Later{Reason: "claimed by " + s.Log.Claim.Issuer}
	case isLoad(order) && !s.LoadReady:
		return Later{Reason: "weight store's rate"}
	case order.Kind == kiln.OrderChangeRole && !drained(s, now):
		return drainStep(s, now)
	}
	return Append{Order: order}
}

// blocked tells whether another claim has to be waited for. An engine that checks
// fencing numbers needs no wait for an issuer that is gone.
func blocked(s State, now time.Time) bool {
	return s.Log.Open(now) && (s.IssuerLive || !s.ChecksFencing)
}

// decideOwn goes on with a granted claim. Its Send rests on the local time of
// the claim's append, which is earlier than the log's.
func decideOwn(s State, now time.Time) Action {
	before := s.Own.ClaimedAt.Add(ms(s.Config.SendMS))
	closing := Close{Claim: s.Log.Claim.Offset}
	switch {
	case !s.Own.SentAt.IsZero() && s.Own.Answered:
		return closing
	case !s.Own.SentAt.IsZero() && now.Sub(s.Own.SentAt) >= ms(s.Config.WorkMS):
		return closing
	case !s.Own.SentAt.IsZero():
		return Wait{Reason: "the order has no answer yet"}
	}
	order, ok := NextOrder(s.Wanted, s.Actual)
	if !ok || order != s.Log.Claim.Order || !s.Fresh || !now.Before(before) {
		return closing
	}
	order.Fence = uint64(s.Log.Claim.Offset)
	return Send{
		Order:  order,
		Before: before,
	}
}

// decideUnseen waits for a claim whose append may have been lost.
func decideUnseen(s State, now time.Time) Action {
	if now.Sub(s.Own.ClaimedAt) < ms(s.Config.SendMS) {
		return Wait{Reason: "the claim is not in the log yet"}
	}
	return Later{Reason: "the claim was lost"}
}

// drained tells whether new work is kept away for as long as an order may take
// and the work in progress has ended, or had DrainMS to end.
func drained(s State, now time.Time) bool {
	if !drainLasts(s, now) {
		return false
	}
	since := now.Sub(s.Log.DrainSeen)
	return since >= ms(s.Config.DrainMS) || (since >= ms(s.Config.SeenMS) && s.Held == 0)
}

func drainLasts(s State, now time.Time) bool {
	return now.Add(s.Config.claimTime()).Before(s.Log.DrainUntil)
}

func drainStep(s State, now time.Time) Action {
	if drainLasts(s, now) {
		return Wait{Reason: "requests in progress"}
	}
	return Drain{}
}
