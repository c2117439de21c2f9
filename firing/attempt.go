package firing

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// attempt is one try of a generation on a pair of engines.
type attempt struct {
	g       *generation
	id      string
	plan    quotation.Run
	booking *quotation.Allocation
	// held are the addresses of the engines that may hold memory for it.
	held []string
	// kept is the time until which the export is kept.
	kept time.Time
	// computed counts the prompt tokens computed and not yet used by a token.
	computed int
}

func newAttempt(g *generation, run quotation.Run) *attempt {
	id := g.attemptID()
	g.sequence.Bind(id)
	return &attempt{
		g:       g,
		id:      id,
		plan:    run,
		booking: g.runner.deps.Placer.Allocate(run, time.Now()),
	}
}

func (a *attempt) run(ctx context.Context) (verdict, receipt.Reason) {
	if a.g.turn != nil {
		a.g.turn.Placed()
	}
	kv, result, reason := a.prepare(ctx)
	if result != verdictDone {
		return result, reason
	}
	result, reason = a.transfer(ctx, kv)
	if result != verdictDone {
		return result, reason
	}
	if a.g.prepared == 0 {
		a.g.prepared = time.Since(a.g.started)
	}
	return a.relay(ctx)
}

// prepare reserves the decode slot and computes the prompt.
func (a *attempt) prepare(ctx context.Context) (kiln.PrefillResult, verdict, receipt.Reason) {
	if a.g.runner.cfg.Policy.PrefillFirst {
		return a.prepareLate(ctx)
	}
	result, reason := a.reserve(ctx)
	if result != verdictDone {
		return kiln.PrefillResult{}, result, reason
	}
	a.logPlaced()
	return a.prefill(ctx)
}

// prepareLate computes the prompt and then looks for a slot, as long as the
// export is kept.
func (a *attempt) prepareLate(ctx context.Context) (kiln.PrefillResult, verdict, receipt.Reason) {
	kv, result, reason := a.prefill(ctx)
	if result != verdictDone {
		return kv, result, reason
	}
	for {
		result, reason = a.reserve(ctx)
		if result != verdictAgain {
			return kv, result, reason
		}
		if a.lapsed() {
			return kv, verdictRetry, reason
		}
		if reason := a.g.pause(ctx, latePause); reason != nil {
			return kv, verdictStop, *reason
		}
		a.moveSlot()
	}
}

// latePause is the time between two looks for a slot.
const latePause = 10 * time.Millisecond

// lapsed tells whether the export is about to be given up by its engine.
func (a *attempt) lapsed() bool { return !time.Now().Before(a.kept) }

// moveSlot chooses another decode engine near the export, if there is one.
func (a *attempt) moveSlot() bool {
	req := a.g.quotationRequest()
	req.KVRegion = a.plan.Prefill.Region
	now := time.Now()
	next, ok := a.g.runner.deps.Placer.Place(req, now).(quotation.Run)
	if !ok {
		return false
	}
	a.booking.Move(next.Decode, now)
	a.plan.Decode = next.Decode
	a.plan.Transfer = next.Transfer
	return true
}

// close gives up what the attempt holds.
func (a *attempt) close(result verdict) {
	a.booking.Close(time.Now())
	a.g.wasted += a.computed
	a.computed = 0
	if result == verdictDone {
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
	kept := a.held[:0]
	for _, held := range a.held {
		if held != address {
			kept = append(kept, held)
		}
	}
	a.held = kept
}

// releaseExport ends the hold of the prefill engine, unless it decodes too.
func (a *attempt) releaseExport() {
	if a.plan.Prefill.Address != a.plan.Decode.Address {
		a.release(a.plan.Prefill.Address)
	}
}

func (a *attempt) engine(address string) kiln.Engine {
	return a.g.runner.deps.Engines.Engine(address)
}

// fail judges the error of a call to an engine.
func (a *attempt) fail(ctx context.Context, step receipt.Step, address string, err error) (verdict, receipt.Reason) {
	reason := receipt.Reason{
		Code: receipt.CodeServerFailed,
		Step: step,
		Peer: address,
		Err:  err,
	}
	now := time.Now()
	switch {
	case ctx.Err() != nil:
		return verdictStop, *gone(ctx, step)
	case hasCode(err, kiln.ErrBadRequest):
		reason.Code = receipt.CodeInvalidRequest
		return verdictStop, reason
	case hasCode(err, kiln.ErrFenced):
		reason.Code = receipt.CodeCancelled
		return verdictStop, reason
	case hasCode(err, kiln.ErrFull), hasCode(err, kiln.ErrBusy):
		reason.Code = receipt.CodeOverloaded
		a.g.runner.deps.Placer.MarkFull(address, now)
		return verdictAgain, reason
	case isRefusal(err):
		a.g.exclude(address)
	default:
		a.g.runner.deps.Placer.MarkFailed(address, now)
		a.g.exclude(address)
	}
	if step == receipt.StepReserve {
		// Nothing was sent that an engine would work on.
		return verdictAgain, reason
	}
	return verdictRetry, reason
}

// names of the verdicts in logs.
func (v verdict) name() string {
	switch v {
	case verdictDone:
		return "done"
	case verdictAgain:
		return "place_again"
	case verdictRetry:
		return "retry"
	default:
		return "stop"
	}
}

// log writes why an attempt ran where it did and how it ended.
func (a *attempt) log(result verdict, reason receipt.Reason, took time.Duration) {
	if result == verdictAgain && reason.Code == receipt.CodeOverloaded && reason.Step == receipt.StepReserve {
		// Refused reservations are looked for again every few milliseconds; the
		// request's own line tells of the wait.
		a.g.runner.deps.Metrics.Count("reservations", "refused")
		return
	}
	line := log.Debug()
	if result != verdictDone {
		line = log.Warn()
	}
	line.Str(event.Key, string(event.Attempt)).Str(event.ID, a.g.req.ID).Int("try", a.g.tries).
		Str("prefill", a.plan.Prefill.Name).Str("decode", a.plan.Decode.Name).
		Int("events", a.g.next).Int64("took_ms", took.Milliseconds()).Str("verdict", result.name())
	if result != verdictDone {
		line.EmbedObject(reason)
	}
	line.Msg("attempt ended")
}

// logPlaced writes why an attempt runs where it does, once its slot is reserved.
func (a *attempt) logPlaced() {
	log.Debug().Str(event.Key, string(event.Placed)).Str(event.ID, a.g.req.ID).Int("try", a.g.tries).
		Str("prefill", a.plan.Prefill.Name).Str("decode", a.plan.Decode.Name).
		Int64("waited_ms", time.Since(a.g.started).Milliseconds()).Int64("expected_ms", a.plan.ReadyIn().Milliseconds()).
		Int("memory_tokens", a.g.req.memoryTokens()).Int("room_tokens", a.g.req.Room).
		Int64("load_age_ms", a.plan.Decode.ReportAge(time.Now()).Milliseconds()).Int("from", a.g.next).Msg("placed")
}
