package firing

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// reserve reserves a decode slot for the time when the KV cache is expected there.
func (a *attempt) reserve(ctx context.Context) (attemptResult, receipt.Reason) {
	address := a.plan.Decode.Address
	a.hold(address)
	reserveCtx, cancel := context.WithTimeout(ctx, milliseconds(a.g.runner.cfg.ReserveMS))
	defer cancel()
	headroom := a.g.req.HeadroomTokens + a.g.spareTokens(a.plan.Decode)
	err := a.engine(address).Reserve(reserveCtx, a.g.reserveRequest(a.id, a.plan, headroom))
	if err == nil {
		a.allocation.Reserved()
		return resultDone, receipt.Reason{}
	}
	if isRefusal(err) {
		a.release(address)
	}
	return a.handleError(ctx, receipt.StepReserve, address, err)
}

// reserveRequest returns the request for a slot on the decode engine of a run.
func (g *generation) reserveRequest(attempt string, run quotation.Run, headroom int) kiln.ReserveRequest {
	return kiln.ReserveRequest{
		Attempt:   attempt,
		Owner:     g.owner,
		Model:     g.req.Model,
		Tokens:    g.req.memoryTokens(),
		Headroom:  headroom,
		Priority:  g.req.Priority,
		ReadyInMS: run.ReadyIn().Milliseconds(),
		HoldMS:    int64(g.runner.cfg.HoldMS),
	}
}

// spareTokens returns the memory that a strict best-effort request must leave free on its
// decode engine, in tokens. It is 0 for other requests. The engine itself checks it, since
// other instances place requests on the same engine.
func (g *generation) spareTokens(decode *quotation.Worker) int {
	if !g.req.Strict || !g.isBestEffort() {
		return 0
	}
	return decode.KVTokens / spareMemoryDivisor
}

// Strict best-effort requests leave 1/spareMemoryDivisor of an engine's memory free.
const spareMemoryDivisor = 5

// prefill sends the prompt to the prefill engine and waits until it is computed.
func (a *attempt) prefill(ctx context.Context) (kiln.PrefillResult, attemptResult, receipt.Reason) {
	address := a.plan.Prefill.Address
	expected := a.plan.Queue + a.plan.Compute
	prefillCtx, cancel := context.WithTimeout(ctx, 2*expected+milliseconds(a.g.runner.cfg.PrefillMS))
	defer cancel()
	a.g.markSent()
	a.g.lastPrefillAt = time.Now()
	a.hold(address)
	kv, err := a.engine(address).Prefill(prefillCtx, kiln.PrefillRequest{
		Attempt:      a.id,
		Owner:        a.g.owner,
		Model:        a.g.req.Model,
		Prompt:       a.g.req.Prompt,
		Priority:     a.prefillPriority(),
		Generated:    a.g.next,
		Continuation: a.g.deliveredText.String(),
		Version:      a.plan.Prefill.Version,
	})
	if err == nil {
		a.computed += kv.Computed
		a.g.hasPrefilled = true
		a.g.prefilled += kv.Computed
		a.exportExpiresAt = time.Now().Add(time.Duration(kv.KeptMS)*time.Millisecond - exportMargin)
		a.allocation.Prefilled(a.g.req.Prompt.Blocks, time.Now())
		return kv, resultDone, receipt.Reason{}
	}
	switch {
	case isRefusal(err):
		a.releaseExport()
	case !a.g.req.Strict:
		a.g.mayHaveRun = true
	}
	result, reason := a.handleError(ctx, receipt.StepPrefill, address, err)
	return kv, result, reason
}

// prefillPriority returns the priority of the prefill. Best-effort requests go behind
// others of the same priority.
func (a *attempt) prefillPriority() int {
	if a.g.isBestEffort() {
		return max(0, a.g.req.Priority-1)
	}
	return a.g.req.Priority
}

// exportMargin is the minimum time until the expiry of the export for another transfer to
// be tried.
const exportMargin = 50 * time.Millisecond

// transfer moves the KV cache to the decode engine. If that fails, it tries other
// decode engines until the export expires. The export of a strict request is held on, since
// its decode takes it.
func (a *attempt) transfer(ctx context.Context, kv kiln.PrefillResult) (attemptResult, receipt.Reason) {
	for {
		result, reason := a.transferOnce(ctx, kv)
		if result == resultDone {
			if !a.g.req.Strict {
				a.releaseExport()
			}
			return result, reason
		}
		if result == resultStop || a.g.runner.cfg.Policy.NoSecondTransfer {
			return result, reason
		}
		if !a.reserveAnother(ctx) {
			return resultRetry, reason
		}
		a.g.runner.deps.Metrics.Count("transfers", "second")
	}
}

func (a *attempt) transferOnce(ctx context.Context, kv kiln.PrefillResult) (attemptResult, receipt.Reason) {
	address := a.plan.Decode.Address
	importCtx, cancel := context.WithTimeout(ctx, 2*a.plan.Transfer+milliseconds(a.g.runner.cfg.TransferMS))
	defer cancel()
	a.allocation.TransferStarted()
	defer a.allocation.TransferEnded()
	err := a.engine(address).Import(importCtx, kiln.ImportRequest{
		Attempt: a.id,
		Owner:   a.g.owner,
		Source:  kv.Source,
		Handle:  kv.Handle,
	})
	if err == nil {
		return resultDone, receipt.Reason{}
	}
	a.g.exclude(address)
	return a.handleTransferError(ctx, address, err)
}

// handleTransferError maps the error of a transfer to a result and a reason. Unlike
// handleError, it doesn't report the engine as failed to the placer: a missing response
// says more about the transfer than about the engine, which keeps its other requests.
func (a *attempt) handleTransferError(ctx context.Context, address string, err error) (attemptResult, receipt.Reason) {
	if ctx.Err() != nil {
		return resultStop, *contextReason(ctx, receipt.StepTransfer)
	}
	return resultRetry, receipt.Reason{
		Code: receipt.CodeServerFailed,
		Step: receipt.StepTransfer,
		Peer: address,
		Err:  err,
	}
}

// reserveAnother replaces the reserved slot by one on another engine in the region of
// the export. It tries until the export expires and reports whether it succeeded.
func (a *attempt) reserveAnother(ctx context.Context) bool {
	failedAddress := a.plan.Decode.Address
	for !a.exportExpired() {
		if !a.chooseAnotherDecode() {
			if a.g.sleep(ctx, placeRetryInterval) != nil {
				return false
			}
			continue
		}
		result, _ := a.reserve(ctx)
		switch result {
		case resultDone:
			a.g.runner.deps.Canceller.Cancel(failedAddress, a.id, a.g.owner)
			a.release(failedAddress)
			return true
		case resultStop:
			return false
		}
	}
	return false
}
