package firing

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/memory"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// attempt is one try of a generation on a pair of engines.
type attempt struct {
	g          *generation
	id         string
	plan       quotation.Run
	allocation *quotation.Allocation
	// started is set to the successor that has sent the decode already, until its stream is relayed.
	started *successor
	// held lists the addresses of the engines that may hold memory for the attempt.
	held []string
	// exportExpiresAt is when the exported KV cache expires, less exportMargin.
	exportExpiresAt time.Time
	// computed is the number of prompt tokens computed since the last delivered
	// token. They count as wasted if no further token follows.
	computed int
	// firstIndex is the index of the first token that this attempt may deliver.
	firstIndex int
}

// newAttempt returns an attempt on the engines of a run, or of the successor if there is one.
func newAttempt(g *generation, run quotation.Run) *attempt {
	a := &attempt{
		g:          g,
		plan:       run,
		firstIndex: g.next,
	}
	if next := g.successor; next != nil {
		g.successor = nil
		next.adopt(a)
	} else {
		a.id = g.newAttemptID()
		a.allocation = g.runner.deps.Placer.Allocate(run, time.Now())
	}
	g.sequence.Bind(a.id)
	return a
}

func (a *attempt) run(ctx context.Context) (attemptResult, receipt.Reason) {
	if a.g.turn != nil {
		a.g.turn.Placed()
	}
	if a.started == nil {
		kv, result, reason := a.prepare(ctx)
		if result != resultDone {
			return result, reason
		}
		result, reason = a.transfer(ctx, kv)
		if result != resultDone {
			return result, reason
		}
		if reason := a.g.checkPrompt(); reason != nil {
			return resultStop, *reason
		}
	}
	if a.g.prepared == 0 {
		a.g.prepared = time.Since(a.g.startedAt)
	}
	return a.relay(ctx)
}

// prepare reserves the decode slot and prefills the prompt, in the order set by
// Policy.PrefillFirst.
func (a *attempt) prepare(ctx context.Context) (kiln.PrefillResult, attemptResult, receipt.Reason) {
	if a.g.runner.cfg.Policy.PrefillFirst {
		return a.prefillThenReserve(ctx)
	}
	result, reason := a.reserve(ctx)
	if result != resultDone {
		return kiln.PrefillResult{}, result, reason
	}
	a.logPlaced()
	return a.prefill(ctx)
}

// prefillThenReserve prefills the prompt and then tries to reserve a decode slot
// until the export expires.
func (a *attempt) prefillThenReserve(ctx context.Context) (kiln.PrefillResult, attemptResult, receipt.Reason) {
	kv, result, reason := a.prefill(ctx)
	if result != resultDone {
		return kv, result, reason
	}
	for {
		result, reason = a.reserve(ctx)
		if result != resultPlaceAgain {
			return kv, result, reason
		}
		if a.exportExpired() {
			return kv, resultRetry, reason
		}
		if reason := a.g.sleep(ctx, placeRetryInterval); reason != nil {
			return kv, resultStop, *reason
		}
		a.chooseAnotherDecode()
	}
}

// placeRetryInterval is the time between two attempts to find a slot.
const placeRetryInterval = 10 * time.Millisecond

// exportExpired reports whether the prefill engine may evict the exported KV cache
// before another transfer ends.
func (a *attempt) exportExpired() bool { return !time.Now().Before(a.exportExpiresAt) }

// chooseAnotherDecode moves the plan to a decode engine in the region of the export.
// It reports whether one has free capacity; it doesn't reserve a slot.
func (a *attempt) chooseAnotherDecode() bool {
	req := a.g.quotationRequest()
	req.KVRegion = a.plan.Prefill.Region
	req.Version = a.plan.Prefill.Version
	now := time.Now()
	next, ok := a.g.runner.deps.Placer.Place(req, now).(quotation.Run)
	if !ok {
		return false
	}
	a.allocation.Move(next.Decode, now)
	a.plan.Decode = next.Decode
	a.plan.Transfer = next.Transfer
	return true
}

// close ends the allocation and, unless the attempt succeeded, cancels the attempt on
// every engine that may hold memory for it.
func (a *attempt) close(result attemptResult) {
	a.allocation.Close(time.Now())
	a.g.wasted += a.computed
	a.computed = 0
	if result == resultDone {
		return
	}
	for _, address := range a.held {
		a.g.runner.deps.Canceller.Cancel(address, a.id, a.g.owner)
	}
}

func (a *attempt) hold(address string) {
	for _, held := range a.held {
		if held == address {
			return
		}
	}
	a.held = append(a.held, address)
}

func (a *attempt) release(address string) {
	remaining := a.held[:0]
	for _, held := range a.held {
		if held != address {
			remaining = append(remaining, held)
		}
	}
	a.held = remaining
}

// releaseExport releases the prefill engine, unless it is also the decode engine.
func (a *attempt) releaseExport() {
	if a.plan.Prefill.Address != a.plan.Decode.Address {
		a.release(a.plan.Prefill.Address)
	}
}

func (a *attempt) engine(address string) kiln.Engine {
	return a.g.runner.deps.Engines.Engine(address)
}

// handleError maps the error of a call to an engine to a result and a reason. It
// reports full and failed engines to the placer, and excludes the engine from further
// attempts unless it was full or the request ends: it is invalid or fenced, or its context
// is done. A call that the engine didn't want now is not a failure of the engine, nor is one
// for which there was no memory. Only a stream that has begun waits for memory.
func (a *attempt) handleError(ctx context.Context, step receipt.Step, address string, err error) (attemptResult, receipt.Reason) {
	reason := receipt.Reason{
		Code: receipt.CodeServerFailed,
		Step: step,
		Peer: address,
		Err:  err,
	}
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return resultStop, *contextReason(ctx, step)
	case hasCode(err, kiln.ErrBadRequest):
		reason.Code = receipt.CodeInvalidRequest
		return resultStop, reason
	case hasCode(err, kiln.ErrFenced):
		reason.Code = receipt.CodeCancelled
		return resultStop, reason
	case hasCode(err, kiln.ErrFull), hasCode(err, kiln.ErrBusy):
		reason.Code = receipt.CodeOverloaded
		a.g.runner.deps.Placer.MarkFull(address, now)
		return resultPlaceAgain, reason
	case errors.Is(err, memory.ErrExhausted):
		reason.Code = receipt.CodeNoMemory
		if a.g.next == 0 {
			return resultStop, reason
		}
		return resultPlaceAgain, reason
	case errors.Is(err, kiln.ErrNotAdmitted):
		a.g.exclude(address)
		return resultPlaceAgain, reason
	case isRefusal(err):
		a.g.exclude(address)
	default:
		a.g.runner.deps.Placer.MarkFailed(address, now)
		a.g.exclude(address)
	}
	if step == receipt.StepReserve {
		// A reservation starts no work on an engine.
		return resultPlaceAgain, reason
	}
	return resultRetry, reason
}

// name returns the name of the result in logs.
func (r attemptResult) name() string {
	switch r {
	case resultDone:
		return "done"
	case resultPlaceAgain:
		return "place_again"
	case resultRetry:
		return "retry"
	default:
		return "stop"
	}
}

// log logs the engines of an attempt and how it ended.
func (a *attempt) log(result attemptResult, reason receipt.Reason, took time.Duration) {
	isFull := reason.Code == receipt.CodeOverloaded || reason.Code == receipt.CodeNoMemory
	if result == resultPlaceAgain && isFull && reason.Step == receipt.StepReserve {
		// A refused reservation is retried every few milliseconds, so each of them
		// is counted rather than logged. The request's own log line has the wait.
		a.g.runner.deps.Metrics.Count("reservations", "refused")
		return
	}
	entry := log.Debug()
	if result != resultDone {
		entry = log.Warn()
	}
	entry.Str(event.Key, string(event.Attempt)).Str(event.ID, a.g.req.ID).Int("try", a.g.tries).
		Str("prefill", a.plan.Prefill.Name).Str("decode", a.plan.Decode.Name).
		Str("prefill_version", a.plan.Prefill.Version).Str("decode_version", a.plan.Decode.Version).
		Int("events", a.g.next).Int64("took_ms", took.Milliseconds()).Str("verdict", result.name())
	if result != resultDone {
		entry.EmbedObject(reason).Strs("parts", a.g.req.Prompt.Parts)
	}
	entry.Int("events_here", a.g.next-a.firstIndex).Msg("attempt ended")
}

// logPlaced logs the placement of an attempt once its slot is reserved.
func (a *attempt) logPlaced() {
	log.Debug().Str(event.Key, string(event.Placed)).Str(event.ID, a.g.req.ID).Int("try", a.g.tries).
		Str("prefill", a.plan.Prefill.Name).Str("decode", a.plan.Decode.Name).
		Str("prefill_version", a.plan.Prefill.Version).Str("decode_version", a.plan.Decode.Version).
		Int64("waited_ms", time.Since(a.g.startedAt).Milliseconds()).Int64("expected_ms", a.plan.ReadyIn().Milliseconds()).
		Int("memory_tokens", a.g.req.memoryTokens()).Int("room_tokens", a.g.req.HeadroomTokens).
		Int64("load_age_ms", a.plan.Decode.ReportAge(time.Now()).Milliseconds()).Int("from", a.g.next).Msg("placed")
}
