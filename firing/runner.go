package firing

import (
	"context"
	"errors"
	"time"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// Runner runs generations. It is safe for concurrent use.
type Runner struct {
	deps   Deps
	cfg    Config
	direct *DirectCanceller
}

// NewRunner returns a runner. The caller must close it after use.
func NewRunner(deps Deps) *Runner {
	r := &Runner{
		deps: deps,
		cfg:  deps.Config,
	}
	if r.cfg == (Config{}) {
		r.cfg = DefaultConfig()
	}
	if r.deps.Canceller == nil {
		r.direct = NewDirectCanceller(deps.Engines)
		r.deps.Canceller = r.direct
	}
	if r.deps.Metrics == nil {
		r.deps.Metrics = metrics.New("")
	}
	return r
}

// Close waits for cancels in flight if the runner has its own DirectCanceller.
func (r *Runner) Close() {
	if r.direct != nil {
		r.direct.Close()
	}
}

// Run generates the answer to a request and passes its tokens to the sink. It
// returns when the last token was delivered, the request was refused, the answer
// was cut off, or the caller disconnected.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) Result {
	g := &generation{
		runner:    r,
		req:       req,
		sink:      sink,
		startedAt: time.Now(),
		version:   req.Version,
		next:      req.Delivered,
		sequence:  receipt.NewSequence("", req.Delivered),
		unsent:    receipt.NewAttempt(req.ID),
		owner: kiln.Owner{
			Instance: r.deps.Instance,
			Epoch:    req.Epoch,
		},
	}
	g.deliveredText.WriteString(req.DeliveredText)
	if r.deps.Retries != nil {
		r.deps.Retries.RecordFirstAttempt(req.Caller)
	}
	outcome := g.run(ctx)
	r.recordMetrics(g, outcome)
	return g.result(outcome)
}

func (r *Runner) recordMetrics(g *generation, outcome receipt.Outcome) {
	m := r.deps.Metrics
	switch o := outcome.(type) {
	case receipt.Answered:
		m.Count("generations", "answered")
	case receipt.NotRun:
		m.Count("generations_refused", string(o.Reason().Code))
	case receipt.Unknown:
		m.Count("generations_unknown", string(o.Reason().Code))
	case receipt.Cut:
		m.Count("generations_cut", string(o.Reason.Code))
	}
	m.Add("prefill_tokens", "computed", int64(g.prefilled))
	m.Add("prefill_tokens", "wasted", int64(g.wasted))
}

// maxStaleWait bounds the wait for fresh engine state. An instance that was
// suspended rejoins its peers in less time.
const maxStaleWait = 5 * time.Second

// waitDeadline returns the time until which the request may wait for engines. WaitMS
// counts from the latest of the start, the last prefill and the last token. Once a token
// was delivered, ResumeWaitMS counts from the end of the last run instead, unless it is 0.
func (g *generation) waitDeadline() time.Time {
	cfg := g.runner.cfg
	if g.hasBegun() && cfg.ResumeWaitMS > 0 {
		return later(g.startedAt, g.lastRunEnd).Add(milliseconds(cfg.ResumeWaitMS))
	}
	return later(later(g.startedAt, g.lastPrefillAt), g.lastTokenAt).Add(milliseconds(cfg.WaitMS))
}

// hasBegun reports whether the caller has a part of the stream.
func (g *generation) hasBegun() bool { return g.next > 0 || g.req.Begun }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// maxPauseWait is the longest remaining pause of all engines that a request waits for.
// Callers of longer ones are told when it ends. A stream that has begun waits as long as
// for a free engine.
const maxPauseWait = 50 * time.Millisecond

var errEnginesPaused = errors.New("all engines want no requests for a time")

// place chooses the engines of the next attempt, and waits until some have free capacity.
// A further attempt is placed without waiting for another turn if there is free capacity.
func (g *generation) place(ctx context.Context) (quotation.Run, *receipt.Reason) {
	if g.successor != nil {
		return g.successor.plan, nil
	}
	deadline := g.waitDeadline()
	for {
		decision := g.runner.deps.Placer.Place(g.quotationRequest(), time.Now())
		switch d := decision.(type) {
		case quotation.Run:
			if g.isLate(d) {
				return d, g.refuseLate(ctx)
			}
			return d, nil
		case quotation.Wait:
			if d.Stale && time.Since(g.startedAt) < maxStaleWait {
				// The request is served even though it will miss its target by the
				// time the engine state is fresh.
				g.targetUnmeetable = true
				if reason := g.sleep(ctx, d.For); reason != nil {
					return quotation.Run{}, reason
				}
				continue
			}
			reason := g.waitForCapacity(ctx, d.For, deadline)
			if reason != nil {
				return quotation.Run{}, reason
			}
		case quotation.Paused:
			wait := time.Until(d.Until)
			if wait > maxPauseWait && (!g.hasBegun() || d.Until.After(deadline)) {
				return quotation.Run{}, &receipt.Reason{
					Code:       receipt.CodeOverloaded,
					Step:       receipt.StepPlace,
					RetryAfter: wait,
					Err:        errEnginesPaused,
				}
			}
			if reason := g.sleep(ctx, wait); reason != nil {
				return quotation.Run{}, reason
			}
		case quotation.Refuse:
			if len(g.excluded) > 0 && time.Now().Before(deadline) {
				g.excluded = nil
				continue
			}
			return quotation.Run{}, &receipt.Reason{
				Code: d.Code,
				Step: receipt.StepPlace,
			}
		}
	}
}

// refuseLate returns the reason for refusing a request that would start too late. The
// queue provides the reason and the time to retry after, if it has them.
func (g *generation) refuseLate(ctx context.Context) *receipt.Reason {
	if g.turn != nil && !g.req.LatestStart.IsZero() {
		if reason := g.turn.Wait(ctx, 0); reason != nil {
			return reason
		}
	}
	return &receipt.Reason{
		Code:       receipt.CodeOverloaded,
		Step:       receipt.StepPlace,
		RetryAfter: milliseconds(g.runner.cfg.RetryAfterMS),
	}
}

func (g *generation) waitForCapacity(ctx context.Context, d time.Duration, deadline time.Time) *receipt.Reason {
	if g.turn != nil {
		// The engines of strict requests don't count a prefill as running the
		// request. A strict request therefore keeps its time limit until its first
		// token is delivered.
		if g.sent != nil && (!g.req.Strict || g.next > 0) {
			g.turn.Expedite()
		}
		g.turn.Restrict(g.version)
		return g.turn.Wait(ctx, d)
	}
	if g.req.Class != ClassDraft && time.Now().After(deadline) {
		return &receipt.Reason{
			Code:       receipt.CodeOverloaded,
			Step:       receipt.StepPlace,
			RetryAfter: milliseconds(g.runner.cfg.RetryAfterMS),
		}
	}
	return g.sleep(ctx, d)
}

func (g *generation) sleep(ctx context.Context, d time.Duration) *receipt.Reason {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextReason(ctx, receipt.StepPlace)
	}
}

// contextReason returns the reason for ending a request whose context is done.
func contextReason(ctx context.Context, step receipt.Step) *receipt.Reason {
	code := receipt.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = receipt.CodeDeadline
	}
	return &receipt.Reason{
		Code: code,
		Step: step,
		Err:  context.Cause(ctx),
	}
}

// isRefusal reports whether the engine itself answered that the call had no effect.
func isRefusal(err error) bool {
	var refusal *kiln.EngineError
	return errors.As(err, &refusal)
}

func hasCode(err error, code kiln.ErrorCode) bool {
	var refusal *kiln.EngineError
	return errors.As(err, &refusal) && refusal.Code == code
}
