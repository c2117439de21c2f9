package standin

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// The kinds of holdings.
const (
	kindReservation = "reservation"
	kindExport      = "export"
	kindImport      = "import"
	kindStream      = "stream"
)

// allocation is the memory of one attempt on a decode engine.
type allocation struct {
	attempt      string
	owner        kiln.Owner
	model        string
	kind         string
	pieces       int
	tokens       int
	renewedAt    time.Time
	holdDuration time.Duration
	// handle is the handle of the imported export. ready is set once the import is
	// complete.
	handle    string
	importing bool
	ready     bool
	seed      uint64
	prompt    string
	// totalTokens is the length of the answer, and generated the number of tokens
	// generated so far.
	totalTokens  int
	finishReason string
	generated    atomic.Int64
	stream       *stream
	// freed is closed when the allocation is freed for a reason other than the end of
	// its stream. err is the reason, and is set before.
	freed chan struct{}
	err   error
}

type finishedStream struct {
	owner      kiln.Owner
	alloc      *allocation
	finishedAt time.Time
}

func piecesFor(tokens int) int {
	return (tokens + kiln.PieceTokens - 1) / kiln.PieceTokens
}

// isFenced reports whether memory held for holder is protected from caller, because
// holder has a higher epoch, or the same epoch and another instance.
func isFenced(holder, caller kiln.Owner) bool {
	if holder.Epoch != caller.Epoch {
		return holder.Epoch > caller.Epoch
	}
	return holder.Instance != caller.Instance
}

// Reserve reserves a decode slot and memory for an attempt.
func (e *Engine) Reserve(ctx context.Context, req kiln.ReserveRequest) error {
	const call = "reserve"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	if err := e.reserve(call, req); err != nil {
		return err
	}
	return e.faults.applyAfter(ctx, call)
}

func (e *Engine) reserve(call string, req kiln.ReserveRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	if a := e.allocations[req.Attempt]; a != nil {
		if isFenced(a.owner, req.Owner) {
			return e.refusal(call, kiln.ErrFenced, "held by another owner")
		}
		a.owner = req.Owner
		a.renewedAt = time.Now()
		return nil
	}
	if req.Attempt == "" || req.Owner.Instance == "" || req.Tokens < 1 {
		return e.refusal(call, kiln.ErrBadRequest, "attempt, owner and tokens are required")
	}
	if err := e.checkNewWorkLocked(call, req.Model, kiln.RoleDecode); err != nil {
		return err
	}
	pieces := piecesFor(req.Tokens)
	if len(e.allocations) >= e.cfg.Slots || e.piecesUsed+pieces > e.cfg.Pieces {
		return e.refusal(call, kiln.ErrFull, "no slot or memory")
	}
	e.piecesUsed += pieces
	e.allocations[req.Attempt] = &allocation{
		attempt:      req.Attempt,
		owner:        req.Owner,
		model:        req.Model,
		kind:         kindReservation,
		pieces:       pieces,
		tokens:       req.Tokens,
		renewedAt:    time.Now(),
		holdDuration: time.Duration(req.HoldMS) * time.Millisecond,
		freed:        make(chan struct{}),
	}
	return nil
}

// checkNewWorkLocked returns an error if the engine refuses new work for the model
// and role.
func (e *Engine) checkNewWorkLocked(call, model string, role kiln.Role) error {
	e.lastNewWorkAt = time.Now()
	if e.leaving {
		return e.refusal(call, kiln.ErrLeaving, "the engine is leaving")
	}
	if e.role != role && e.role != kiln.RoleBoth {
		return e.refusal(call, kiln.ErrWrongRole, "the engine's role is "+string(e.role))
	}
	if !e.hasModelLocked(model) {
		return e.refusal(call, kiln.ErrNoModel, "model not loaded: "+model)
	}
	return nil
}

func (e *Engine) hasModelLocked(model string) bool {
	return slices.ContainsFunc(e.models, func(loaded string) bool {
		name, _, _ := strings.Cut(loaded, "@")
		return loaded == model || name == model
	})
}

// freeLocked frees an allocation and ends its stream with err. It has no effect if
// the allocation was freed before.
func (e *Engine) freeLocked(a *allocation, err error) {
	if e.allocations[a.attempt] != a {
		return
	}
	delete(e.allocations, a.attempt)
	e.piecesUsed -= a.pieces
	if a.ready && a.kind != kindStream {
		e.counters.WastedTokens += int64(a.tokens)
	}
	a.err = err
	close(a.freed)
	if i := slices.Index(e.active, a); i >= 0 {
		e.active = slices.Delete(e.active, i, i+1)
	}
}

// expireLocked frees the expired reservations and exports.
func (e *Engine) expireLocked() {
	now := time.Now()
	for _, a := range e.allocations {
		if a.kind == kindReservation && now.Sub(a.renewedAt) >= a.holdDuration {
			e.counters.Expired++
			e.freeLocked(a, e.refusal("reserve", kiln.ErrGone, "the reservation expired"))
		}
	}
	for _, x := range e.exports {
		if !now.Before(x.expiresAt) {
			e.counters.Expired++
			e.freeExportLocked(x)
		}
	}
}

// Cancel frees everything held for the attempt and ends its queued or running
// prefill.
func (e *Engine) Cancel(ctx context.Context, attempt string, owner kiln.Owner) error {
	const call = "cancel"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	if err := e.cancel(call, attempt, owner); err != nil {
		return err
	}
	return e.faults.applyAfter(ctx, call)
}

func (e *Engine) cancel(call, attempt string, owner kiln.Owner) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	gone := e.refusal(call, kiln.ErrGone, "cancelled")
	if a := e.allocations[attempt]; a != nil {
		if isFenced(a.owner, owner) {
			return e.refusal(call, kiln.ErrFenced, "held by another owner")
		}
		e.counters.Cancelled++
		e.freeLocked(a, gone)
	}
	for _, x := range e.exports {
		if x.attempt == attempt && !isFenced(x.owner, owner) {
			e.counters.Cancelled++
			e.freeExportLocked(x)
		}
	}
	if job := e.queue.remove(attempt, owner); job != nil {
		job.finish(kiln.PrefillResult{}, gone)
	}
	if job := e.runningPrefill; job != nil && job.req.Attempt == attempt && !isFenced(job.req.Owner, owner) {
		job.dropped = true
		job.finish(kiln.PrefillResult{}, gone)
	}
	return nil
}

// KeepAlive renews everything held for the instance.
func (e *Engine) KeepAlive(ctx context.Context, instance string) error {
	const call = "keep_alive"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	e.keepAlive(instance)
	return e.faults.applyAfter(ctx, call)
}

func (e *Engine) keepAlive(instance string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	now := time.Now()
	for _, a := range e.allocations {
		if a.owner.Instance == instance {
			a.renewedAt = now
		}
	}
	for _, x := range e.exports {
		if x.owner.Instance == instance {
			x.renewedAt = now
		}
	}
}

// Holdings returns the memory held for attempts.
func (e *Engine) Holdings(ctx context.Context) ([]kiln.Holding, error) {
	const call = "holdings"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return nil, err
	}
	return e.holdings(), e.faults.applyAfter(ctx, call)
}

func (e *Engine) holdings() []kiln.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	now := time.Now()
	holdings := make([]kiln.Holding, 0, len(e.allocations)+len(e.exports))
	for _, a := range e.allocations {
		holdings = append(holdings, kiln.Holding{
			Attempt: a.attempt,
			Owner:   a.owner,
			Kind:    a.kind,
			Pieces:  a.pieces,
			IdleMS:  now.Sub(a.renewedAt).Milliseconds(),
		})
	}
	for _, x := range e.exports {
		holdings = append(holdings, kiln.Holding{
			Attempt: x.attempt,
			Owner:   x.owner,
			Kind:    kindExport,
			Pieces:  x.pieces,
			IdleMS:  now.Sub(x.renewedAt).Milliseconds(),
		})
	}
	return holdings
}
