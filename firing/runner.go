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

// NewRunner returns a runner; Close must be called at the end.
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

// Close waits for the cancels in progress, when they are sent directly.
func (r *Runner) Close() {
	if r.direct != nil {
		r.direct.Close()
	}
}

// Run generates the answer of a request and passes its tokens to the sink. It
// returns when the last token was delivered, or when the request is refused,
// cut, or the caller gone.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) Result {
	g := &generation{
		runner:   r,
		req:      req,
		sink:     sink,
		started:  time.Now(),
		next:     req.Delivered,
		sequence: receipt.NewSequence("", req.Delivered),
		unsent:   receipt.NewAttempt(req.ID),
		owner: kiln.Owner{
			Instance: r.deps.Instance,
			Epoch:    req.Epoch,
		},
	}
	g.delivered.WriteString(req.DeliveredText)
	if r.deps.Retries != nil {
		r.deps.Retries.First(req.Caller)
	}
	outcome := g.run(ctx)
	r.account(g, outcome)
	return g.result(outcome)
}

func (r *Runner) account(g *generation, outcome receipt.Outcome) {
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

// uncertainWait bounds the wait for news of the engines: an instance that was
// frozen joins its peers again in less.
const uncertainWait = 5 * time.Second

// waitDeadline bounds the wait for engines since the last one that took the
// request.
func (g *generation) waitDeadline() time.Time {
	since := g.started
	if g.lastPrefill.After(since) {
		since = g.lastPrefill
	}
	if g.next > 0 && g.runner.cfg.ResumeWaitMS > 0 {
		return g.lastToken.Add(milliseconds(g.runner.cfg.ResumeWaitMS))
	}
	if g.lastToken.After(since) {
		since = g.lastToken
	}
	return since.Add(milliseconds(g.runner.cfg.WaitMS))
}

// place waits for the request's turn and for engines with room. A request that
// has been prefilled before doesn't queue again.
func (g *generation) place(ctx context.Context) (quotation.Run, *receipt.Reason) {
	deadline := g.waitDeadline()
	for {
		decision := g.runner.deps.Placer.Place(g.quotationRequest(), time.Now())
		switch d := decision.(type) {
		case quotation.Run:
			if g.isLate(d) {
				return d, g.tooLate(ctx)
			}
			return d, nil
		case quotation.Wait:
			if d.Stale && time.Since(g.started) < uncertainWait {
				// The target can't be kept any more by the time there is news; the
				// request is served all the same.
				g.tooLong = true
				if reason := g.pause(ctx, d.For); reason != nil {
					return quotation.Run{}, reason
				}
				continue
			}
			reason := g.wait(ctx, d.For, deadline)
			if reason != nil {
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

// tooLate refuses a request whose start would come too late. The queue tells why and
// when to come back, if it knows.
func (g *generation) tooLate(ctx context.Context) *receipt.Reason {
	if g.turn != nil && !g.req.Latest.IsZero() {
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

func (g *generation) wait(ctx context.Context, d time.Duration, deadline time.Time) *receipt.Reason {
	if g.turn != nil {
		// Engines may count a prefill as nothing run: such a request keeps its time
		// limit until its answer has begun.
		if g.sent != nil && (!g.req.Strict || g.next > 0) {
			g.turn.Hurry()
		}
		return g.turn.Wait(ctx, d)
	}
	if g.req.Class != ClassDraft && time.Now().After(deadline) {
		return &receipt.Reason{
			Code:       receipt.CodeOverloaded,
			Step:       receipt.StepPlace,
			RetryAfter: milliseconds(g.runner.cfg.RetryAfterMS),
		}
	}
	return g.pause(ctx, d)
}

func (g *generation) pause(ctx context.Context, d time.Duration) *receipt.Reason {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return gone(ctx, receipt.StepPlace)
	}
}

// gone gives the reason of a request whose context has ended.
func gone(ctx context.Context, step receipt.Step) *receipt.Reason {
	code := receipt.CodeCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = receipt.CodeDeadline
	}
	return &receipt.Reason{
		Code: code,
		Step: step,
		Err:  ctx.Err(),
	}
}

// isRefusal tells whether the engine itself answered that the call had no effect.
func isRefusal(err error) bool {
	var refusal *kiln.EngineError
	return errors.As(err, &refusal)
}

func hasCode(err error, code kiln.ErrorCode) bool {
	var refusal *kiln.EngineError
	return errors.As(err, &refusal) && refusal.Code == code
}
