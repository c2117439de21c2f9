package firing

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/memory"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// generation is the state of one request while it runs.
type generation struct {
	runner    *Runner
	req       Request
	sink      Sink
	owner     kiln.Owner
	startedAt time.Time

	// unsent is the permit to send the request, which all its attempts share.
	unsent receipt.Unsent
	// sent is set once a prefill may have started.
	sent *receipt.Sent
	// mayHaveRun is set when a prefill got no response, or when an engine may have
	// run a strict request.
	mayHaveRun bool
	// runs counts the engines that may have run a strict request. engineAnswer is
	// the last failure response of one of them.
	runs         int
	engineAnswer *kiln.ResponseError
	turn         Turn
	// targetUnmeetable is set when the request can't meet its targets even if it
	// is placed immediately.
	targetUnmeetable bool
	// tries counts attempts, except those that ended with resultPlaceAgain: the next
	// attempt has the same number. ids counts the ids of attempts, which all differ: a
	// cancel of one may arrive after the next one has begun. excluded holds the addresses
	// of engines that failed.
	tries    int
	ids      int
	excluded []string

	// version is the version of the engines' software that delivered the first token.
	version string
	// next is the index of the next expected token. deliveredText is the text of
	// all tokens before it, unless the request is strict.
	next          int
	sequence      *receipt.Sequence
	deliveredText strings.Builder
	finishReason  string
	firstToken    time.Duration
	queued        time.Duration
	prepared      time.Duration
	lastTokenAt   time.Time
	// lastRunEnd is when the last decode broke off. Until then, its engine may have been silent for
	// long.
	lastRunEnd time.Time
	// lastPrefillAt is when a prefill was last sent.
	lastPrefillAt time.Time
	// hasPrefilled is set once an engine has accepted a prefill.
	hasPrefilled bool
	// retryPaid is set if the next retry has already been taken from the retry budget.
	retryPaid bool
	// successor is the next attempt if it has been started already, or nil.
	successor *successor
	prefilled int
	wasted    int
}

// decodeStepTime is the duration of one decode step with a full batch.
const decodeStepTime = 25 * time.Millisecond

// attemptResult is the result of an attempt or of one of its steps. It determines
// what the generation does next.
type attemptResult int

const (
	// resultDone means that the step succeeded or, for an attempt, that the last
	// token was delivered.
	resultDone attemptResult = iota
	// resultPlaceAgain means that an engine was full or that a reservation failed.
	// The request is placed again. This spends no retry, except when an engine
	// refused the prefill of a strict request.
	resultPlaceAgain
	// resultRetry means that a step failed. The request is retried if the retry
	// budget allows it.
	resultRetry
	// resultStop means that the caller disconnected or that the request can't be
	// completed.
	resultStop
)

func (g *generation) run(ctx context.Context) receipt.Outcome {
	if reason := g.checkPrompt(); reason != nil {
		return g.failureOutcome(*reason)
	}
	if g.runner.deps.Queue != nil {
		turn, reason := g.runner.deps.Queue.Enter(ctx, g.req, g.waitLimits())
		if reason != nil {
			return g.failureOutcome(*reason)
		}
		g.turn = turn
		defer turn.Close()
	}
	defer func() { g.successor.release() }()
	for {
		run, reason := g.place(ctx)
		if reason == nil {
			reason = g.checkPrompt()
		}
		if reason != nil {
			return g.failureOutcome(*reason)
		}
		outcome := g.attempt(ctx, run)
		if outcome != nil {
			return outcome
		}
	}
}

// checkPrompt returns the reason for not sending the prompt to an engine, or nil.
func (g *generation) checkPrompt() *receipt.Reason {
	if g.runner.deps.Guard == nil {
		return nil
	}
	return g.runner.deps.Guard.Check(g.req.Prompt.Parts)
}

// enforcesTarget reports whether the request is refused when it can't meet its
// latency targets.
func (g *generation) enforcesTarget() bool {
	return g.req.Class != ClassDraft && g.req.FirstToken > 0 && !g.runner.cfg.Policy.NoRefusal
}

// isBestEffort reports whether the request must leave part of an engine's capacity
// free for others.
func (g *generation) isBestEffort() bool {
	if g.turn != nil {
		return g.turn.BestEffort()
	}
	return g.req.Class == ClassDraft && g.next == 0
}

// waitLimits returns how long the request may wait and still meet its target. A
// request that is too long to meet it at all may wait for Config.WaitMS.
func (g *generation) waitLimits() WaitLimits {
	if !g.enforcesTarget() {
		return WaitLimits{}
	}
	if g.req.Begun {
		return WaitLimits{LatestStart: g.req.LatestStart}
	}
	needed := g.runner.deps.Placer.MinReadyIn(g.quotationRequest(), g.startedAt) + decodeStepTime
	left := g.req.FirstToken - needed - milliseconds(g.runner.cfg.MarginMS)
	if left <= 0 {
		g.targetUnmeetable = true
		left = milliseconds(g.runner.cfg.WaitMS)
	}
	return WaitLimits{
		RefuseAt:         g.startedAt.Add(left),
		LatestStart:      g.req.LatestStart,
		TargetUnmeetable: g.targetUnmeetable,
	}
}

// isLate reports whether a run is expected to miss the target for the first token.
// If the request has a LatestStart, it reports whether that time has passed instead.
func (g *generation) isLate(run quotation.Run) bool {
	if !g.enforcesTarget() || g.targetUnmeetable || g.next > 0 || g.tries > 0 {
		return false
	}
	if !g.req.LatestStart.IsZero() {
		return time.Now().After(g.req.LatestStart)
	}
	expected := time.Since(g.startedAt) + run.ReadyIn() + decodeStepTime
	return expected > g.req.FirstToken
}

// attempt makes one attempt. It returns nil if the request should be placed again.
func (g *generation) attempt(ctx context.Context, run quotation.Run) receipt.Outcome {
	g.tries++
	a := newAttempt(g, run)
	attemptStart := time.Now()
	result, reason := a.run(ctx)
	a.close(result)
	a.log(result, reason, time.Since(attemptStart))
	switch result {
	case resultDone:
		return receipt.Answered{Status: 200}
	case resultStop:
		return g.failureOutcome(reason)
	case resultRetry:
		if !g.mayRetry() {
			return g.failureOutcome(reason)
		}
		g.runner.deps.Metrics.Count("retries", string(reason.Step))
	case resultPlaceAgain:
		lacksMemory := errors.Is(reason.Err, memory.ErrExhausted)
		isRefused := !lacksMemory && !errors.Is(reason.Err, kiln.ErrNotAdmitted)
		if g.req.Strict && reason.Step == receipt.StepPrefill && isRefused && !g.mayRetry() {
			return g.failureOutcome(reason)
		}
		g.tries--
		if reason.Step == receipt.StepPrefill || lacksMemory {
			// A cancelled context is handled below.
			_ = g.sleep(ctx, placeRetryInterval)
		}
	}
	if ctx.Err() != nil {
		return g.failureOutcome(*contextReason(ctx, reason.Step))
	}
	return nil
}

// retryCalls returns the number of calls of one more attempt that count as repeated. The
// engines of strict requests count a decode, and each prefill but the first accepted one.
func (g *generation) retryCalls() int {
	const decode, prefillAndDecode = 1, 2
	if g.req.Strict && g.hasPrefilled {
		return prefillAndDecode
	}
	return decode
}

func (g *generation) mayRetry() bool {
	if g.tries >= g.runner.cfg.Tries {
		return false
	}
	if g.retryPaid || g.takeRetry() {
		g.retryPaid = false
		return true
	}
	log.Warn().Str(event.Key, string(event.RetryRefused)).Str(event.ID, g.req.ID).Str("service", g.req.Caller).
		Str("kind", "generation").Msg("retry budget exhausted")
	return false
}

// takeRetry reports whether the retry budget allows one more attempt, and takes it from
// the budget if so.
func (g *generation) takeRetry() bool {
	return !g.needsBudget() || g.runner.deps.Retries.Take(g.req.Caller, g.retryCalls())
}

// allowsRetry is like takeRetry, but takes nothing from the budget.
func (g *generation) allowsRetry() bool {
	return !g.needsBudget() || g.runner.deps.Retries.Allows(g.req.Caller, g.retryCalls())
}

func (g *generation) needsBudget() bool {
	return g.runner.deps.Retries != nil && g.req.Class != ClassDraft
}

// failureOutcome returns the outcome of a request whose answer is missing or
// incomplete.
func (g *generation) failureOutcome(reason receipt.Reason) receipt.Outcome {
	if g.next > 0 {
		return receipt.Cut{
			Delivered: g.next,
			Reason:    reason,
		}
	}
	if g.engineAnswer != nil {
		return receipt.Answered{
			Status: g.engineAnswer.Status,
			Header: g.engineAnswer.Header,
			Body:   g.engineAnswer.Body,
		}
	}
	if g.sent == nil {
		return g.unsent.Refuse(reason)
	}
	if g.mayHaveRun {
		return g.sent.Unknown(reason)
	}
	return g.sent.Declined(reason)
}

// markSent consumes the permit to send. It is called before each prefill and has an
// effect only the first time.
func (g *generation) markSent() {
	if g.sent != nil {
		return
	}
	sent := g.unsent.Send()
	g.sent = &sent
	g.queued = time.Since(g.startedAt)
	g.runner.deps.Metrics.Observe(metrics.QueueTime, g.req.Caller, g.req.Class, g.queued)
}

func (g *generation) exclude(address string) {
	g.excluded = append(g.excluded, address)
}

// newAttemptID returns the id of another attempt.
func (g *generation) newAttemptID() string {
	g.ids++
	id := g.req.ID + "." + strconv.Itoa(g.ids)
	if g.owner.Epoch > 0 {
		id = fmt.Sprintf("%s.%d.%d", g.req.ID, g.owner.Epoch, g.ids)
	}
	return id
}

func (g *generation) contextTokens() int { return g.req.Prompt.Tokens + g.next }

func (g *generation) decodeRequest(attempt string, from int, version string) kiln.DecodeRequest {
	return kiln.DecodeRequest{
		Attempt:   attempt,
		Owner:     g.owner,
		Model:     g.req.Model,
		MaxTokens: g.req.MaxTokens,
		From:      from,
		Priority:  g.req.Priority,
		Sampling:  g.req.Sampling,
		Version:   version,
	}
}

func (g *generation) quotationRequest() quotation.Request {
	return quotation.Request{
		ID:           g.req.ID,
		Caller:       g.req.Caller,
		Model:        g.req.Model,
		PromptTokens: g.contextTokens(),
		Blocks:       g.req.Prompt.Blocks,
		OutputTokens: g.req.MaxTokens - g.next,
		PromptBytes:  len(g.req.Prompt.Text),
		Class:        g.req.Class,
		DataCentre:   g.req.DataCentre,
		Pools:        g.req.Pools,
		Servers:      g.req.Servers,
		Excluded:     g.excluded,
		Version:      g.version,
		AnswerBytes:  g.req.AnswerBytes,
		MemoryTokens: g.req.MemoryTokens,
		Waited:       time.Since(g.startedAt),
		BestEffort:   g.isBestEffort(),
	}
}

func (g *generation) result(outcome receipt.Outcome) Result {
	return Result{
		Outcome:    outcome,
		Generated:  g.next - g.req.Delivered,
		Finish:     g.finishReason,
		FirstToken: g.firstToken,
		Queued:     g.queued,
		Prepared:   g.prepared,
		Prefilled:  g.prefilled,
		Wasted:     g.wasted,
	}
}
