package firing

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// reserve takes a decode slot for the moment when the KV cache is there.
func (a *attempt) reserve(ctx context.Context) (verdict, receipt.Reason) {
	address := a.plan.Decode.Address
	cfg := a.g.runner.cfg
	limited, stop := context.WithTimeout(ctx, milliseconds(cfg.ReserveMS))
	defer stop()
	a.hold(address)
	err := a.engine(address).Reserve(limited, kiln.ReserveRequest{
		Attempt:   a.id,
		Owner:     a.g.owner,
		Model:     a.g.req.Model,
		Tokens:    a.g.req.memoryTokens(),
		Headroom:  a.g.req.Room + a.g.spareTokens(a.plan.Decode),
		Priority:  a.g.req.Priority,
		ReadyInMS: a.plan.ReadyIn().Milliseconds(),
		HoldMS:    int64(cfg.HoldMS),
	})
	if err == nil {
		a.booking.Reserved()
		return verdictDone, receipt.Reason{}
	}
	if isRefusal(err) {
		a.release(address)
	}
	return a.fail(ctx, receipt.StepReserve, address, err)
}

// spareTokens is the memory that a strict request leaves free to others on its
// engine: the engine itself checks that it is there, since other instances place
// requests on it too.
func (g *generation) spareTokens(decode *quotation.Worker) int {
	if !g.req.Strict || !g.isPatient() {
		return 0
	}
	return decode.KVTokens / spareMemory
}

// spareMemory is the part of an engine's memory that patient requests leave free.
const spareMemory = 5

// prefill has the prompt computed.
func (a *attempt) prefill(ctx context.Context) (kiln.PrefillResult, verdict, receipt.Reason) {
	address := a.plan.Prefill.Address
	expected := a.plan.Queue + a.plan.Compute
	limited, stop := context.WithTimeout(ctx, 2*expected+milliseconds(a.g.runner.cfg.PrefillMS))
	defer stop()
	a.g.send()
	a.g.lastPrefill = time.Now()
	a.hold(address)
	kv, err := a.engine(address).Prefill(limited, kiln.PrefillRequest{
		Attempt:      a.id,
		Owner:        a.g.owner,
		Model:        a.g.req.Model,
		Prompt:       a.g.req.Prompt,
		Priority:     a.prefillPriority(),
		Generated:    a.g.next,
		Continuation: a.g.delivered.String(),
	})
	if err == nil {
		a.computed += kv.Computed
		a.g.prefilled += kv.Computed
		a.kept = time.Now().Add(time.Duration(kv.KeptMS)*time.Millisecond - exportMargin)
		a.booking.Prefilled(a.g.req.Prompt.Blocks, time.Now())
		return kv, verdictDone, receipt.Reason{}
	}
	switch {
	case isRefusal(err):
		a.releaseExport()
	case !a.g.req.Strict:
		a.g.lost = true
	}
	result, reason := a.fail(ctx, receipt.StepPrefill, address, err)
	return kv, result, reason
}

// prefillPriority lets requests that can wait go behind others of the same
// priority.
func (a *attempt) prefillPriority() int {
	if a.g.isPatient() {
		return max(0, a.g.req.Priority-1)
	}
	return a.g.req.Priority
}

// exportMargin is kept between the last transfer and the end of the export.
const exportMargin = 50 * time.Millisecond

// transfer moves the KV cache to the decode engine, and to another one when the
// first doesn't get it while the export is kept.
func (a *attempt) transfer(ctx context.Context, kv kiln.PrefillResult) (verdict, receipt.Reason) {
	for {
		result, reason := a.transferOnce(ctx, kv)
		if result == verdictDone {
			a.releaseExport()
			return result, reason
		}
		if result == verdictStop || a.g.runner.cfg.Policy.NoSecondTransfer {
			return result, reason
		}
		if !a.reserveAnother(ctx) {
			return verdictRetry, reason
		}
		a.g.runner.deps.Metrics.Count("transfers", "second")
	}
}

func (a *attempt) transferOnce(ctx context.Context, kv kiln.PrefillResult) (verdict, receipt.Reason) {
	address := a.plan.Decode.Address
	limited, stop := context.WithTimeout(ctx, 2*a.plan.Transfer+milliseconds(a.g.runner.cfg.TransferMS))
	defer stop()
	a.booking.TransferStarted()
	defer a.booking.TransferEnded()
	err := a.engine(address).Import(limited, kiln.ImportRequest{
		Attempt: a.id,
		Owner:   a.g.owner,
		Source:  kv.Source,
		Handle:  kv.Handle,
	})
	if err == nil {
		return verdictDone, receipt.Reason{}
	}
	a.g.exclude(address)
	return a.stalled(ctx, address, err)
}

// stalled judges a transfer that failed. One that got no answer says more about
// the transfer than about the engine, which keeps its other requests.
func (a *attempt) stalled(ctx context.Context, address string, err error) (verdict, receipt.Reason) {
	if ctx.Err() != nil {
		return verdictStop, *gone(ctx, receipt.StepTransfer)
	}
	return verdictRetry, receipt.Reason{
		Code: receipt.CodeServerFailed,
		Step: receipt.StepTransfer,
		Peer: address,
		Err:  err,
	}
}

// reserveAnother gives up the slot and reserves one on another engine near the
// export, which is kept for a short time.
func (a *attempt) reserveAnother(ctx context.Context) bool {
	lost := a.plan.Decode.Address
	for !a.lapsed() {
		if !a.moveSlot() {
			if a.g.pause(ctx, latePause) != nil {
				return false
			}
			continue
		}
		result, _ := a.reserve(ctx)
		switch result {
		case verdictDone:
			a.g.runner.deps.Canceller.Cancel(lost, a.id, a.g.owner)
			a.release(lost)
			return true
		case verdictStop:
			return false
		}
	}
	return false
}
