package foreman

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// OwnClaim is an issuer's local record of its own claim on a server.
type OwnClaim struct {
	// ID is empty if there is no claim.
	ID string
	// ClaimedAt is when the append of the claim began.
	ClaimedAt time.Time
	// SentAt is when the order was sent, or zero if it was not sent yet.
	SentAt time.Time
	// Answered is set once the engine has responded or the order was certainly not sent.
	Answered bool
}

// Snapshot holds the input of a decision about one server.
type Snapshot struct {
	Config Config
	Issuer string
	// Fresh reports whether the replayed log and the document are up to date.
	Fresh bool
	// Document is the offset of the document that defines Desired.
	Document ledger.Offset
	Desired  DesiredState
	// Actual was read from the engine immediately before the decision.
	Actual kiln.EngineState
	// ChecksFencing reports whether the engine refuses orders with old fencing tokens.
	ChecksFencing bool
	// Replayed is the server's state in the claim table.
	Replayed ServerState
	// IssuerLive reports whether the issuer of the last granted claim is live.
	IssuerLive bool
	// LoadAllowed reports whether the rate limit of the weight store admits a load.
	LoadAllowed bool
	OwnClaim    OwnClaim
	// HoldingCount is the number of holdings on the engine.
	HoldingCount int
}

// Action is a step that Decide returns. The interface is sealed.
type Action interface{ isAction() }

// Done means that the engine is in its desired state.
type Done struct{}

// Defer means that nothing can be done now and the task should end. Reason is a label of
// the order_later metric.
type Defer struct{ Reason string }

// Wait means that the task should decide again after a short delay.
type Wait struct{ Reason string }

// StartDrain stops the placement of new work on the engine.
type StartDrain struct{}

// AppendClaim appends a claim for an order.
type AppendClaim struct{ Order kiln.OrderRequest }

// SendOrder sends the order of the granted claim. It must not be sent at or after Deadline.
type SendOrder struct {
	Order    kiln.OrderRequest
	Deadline time.Time
}

// CloseClaim closes the claim at an offset.
type CloseClaim struct{ Claim ledger.Offset }

func (Done) isAction()        {}
func (Defer) isAction()       {}
func (Wait) isAction()        {}
func (StartDrain) isAction()  {}
func (AppendClaim) isAction() {}
func (SendOrder) isAction()   {}
func (CloseClaim) isAction()  {}

var (
	_ Action = Done{}
	_ Action = Defer{}
	_ Action = Wait{}
	_ Action = StartDrain{}
	_ Action = AppendClaim{}
	_ Action = SendOrder{}
	_ Action = CloseClaim{}
)

// Decide returns the next step for a server.
func Decide(s Snapshot, now time.Time) Action {
	if s.OwnClaim.ID != "" && s.Replayed.Claim.ID == s.OwnClaim.ID && !s.Replayed.Claim.Closed {
		return decideOwnClaim(s, now)
	}
	if slices.Contains(s.Replayed.RefusedIDs, s.OwnClaim.ID) {
		return Defer{Reason: "the claim was refused"}
	}
	if s.OwnClaim.ID != "" && s.Replayed.Claim.ID != s.OwnClaim.ID {
		return decideUnseenClaim(s, now)
	}
	order, ok := NextOrder(s.Desired, s.Actual)
	switch {
	case !ok:
		return Done{}
	case !s.Fresh:
		return Defer{Reason: "view is stale"}
	case s.Replayed.Document > s.Document:
		return Defer{Reason: "a newer document was acted on"}
	case blocked(s, now):
		return Defer{Reason: "claimed by " + s.Replayed.Claim.Issuer}
	case isLoad(order) && !s.LoadAllowed:
		return Defer{Reason: "weight store's rate"}
	case order.Kind == kiln.OrderChangeRole && !drained(s, now):
		return nextDrainStep(s, now)
	}
	return AppendClaim{Order: order}
}

// blocked reports whether an open claim must end first. If the engine checks fencing
// tokens, a claim of an issuer that is gone can be overridden.
func blocked(s Snapshot, now time.Time) bool {
	return s.Replayed.Open(now) && (s.IssuerLive || !s.ChecksFencing)
}

// decideOwnClaim returns the next step for a granted claim of this issuer. The deadline is
// computed from the local time at which the append began, which is before the claim's time
// in the log.
func decideOwnClaim(s Snapshot, now time.Time) Action {
	deadline := s.OwnClaim.ClaimedAt.Add(milliseconds(s.Config.SendWindowMS))
	closeClaim := CloseClaim{Claim: s.Replayed.Claim.Offset}
	switch {
	case !s.OwnClaim.SentAt.IsZero() && s.OwnClaim.Answered:
		return closeClaim
	case !s.OwnClaim.SentAt.IsZero() && now.Sub(s.OwnClaim.SentAt) >= milliseconds(s.Config.OrderTimeoutMS):
		return closeClaim
	case !s.OwnClaim.SentAt.IsZero():
		return Wait{Reason: "the order has no answer yet"}
	}
	order, ok := NextOrder(s.Desired, s.Actual)
	if !ok || order != s.Replayed.Claim.Order || !s.Fresh || !now.Before(deadline) {
		return closeClaim
	}
	order.Fence = uint64(s.Replayed.Claim.Offset)
	return SendOrder{
		Order:    order,
		Deadline: deadline,
	}
}

// decideUnseenClaim returns the next step for a claim that is not in the replayed log. Its
// append may have been lost.
func decideUnseenClaim(s Snapshot, now time.Time) Action {
	if now.Sub(s.OwnClaim.ClaimedAt) < milliseconds(s.Config.SendWindowMS) {
		return Wait{Reason: "the claim is not in the log yet"}
	}
	return Defer{Reason: "the claim was lost"}
}

// drained reports whether the drain lasts longer than a new claim and all requests in
// flight have ended or have had DrainTimeoutMS to end.
func drained(s Snapshot, now time.Time) bool {
	if !drainOutlastsClaim(s, now) {
		return false
	}
	elapsed := now.Sub(s.Replayed.DrainSeenAt)
	return elapsed >= milliseconds(s.Config.DrainTimeoutMS) ||
		(elapsed >= milliseconds(s.Config.DrainPropagationMS) && s.HoldingCount == 0)
}

// drainOutlastsClaim reports whether a claim made now would expire before the drain ends.
func drainOutlastsClaim(s Snapshot, now time.Time) bool {
	return now.Add(s.Config.claimDuration()).Before(s.Replayed.DrainUntil)
}

func nextDrainStep(s Snapshot, now time.Time) Action {
	if drainOutlastsClaim(s, now) {
		return Wait{Reason: "requests in progress"}
	}
	return StartDrain{}
}
