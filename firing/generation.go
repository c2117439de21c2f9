package firing

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// generation is the state of one request while it runs.
type generation struct {
	runner  *Runner
	req     Request
	sink    Sink
	owner   kiln.Owner
	started time.Time

	unsent receipt.Unsent
	// sent is set once a prefill may have started.
	sent *receipt.Sent
	// lost is set when a prefill's answer is missing.
	lost bool
	// runs counts the engines that may have run a strict request, answer is the
	// last failure that one of them answered with.
	runs   int
	answer *kiln.ResponseError
	turn   Turn
	// tooLong is set when the request can't meet its targets even at once.
	tooLong bool
	// tries counts attempts; excluded are the engines that failed.
	tries    int
	excluded []string

	// next is the index of the next token wanted, delivered the text of those
	// before it.
	next       int
	sequence   *receipt.Sequence
	delivered  strings.Builder
	finish     string
	firstToken time.Duration
	queued     time.Duration
	prepared   time.Duration
	lastToken  time.Time
	// lastPrefill is when an engine last took a prefill.
	lastPrefill time.Time
	prefilled   int
	wasted      int
}

// firstStep is the time of a decode step at a full batch.
const firstStep = 25 * time.Millisecond

// verdict tells what to do after an attempt.
type verdict int

const (
	// verdictDone: the last token was delivered.
	verdictDone verdict = iota
	// verdictAgain: engines were full or left; place again at no charge.
	verdictAgain
	// verdictRetry: something failed; try again within the budget.
	verdictRetry
	// verdictStop: the caller is gone or the request can't be completed.
	verdictStop
)

func (g *generation) run(ctx context.Context) receipt.Outcome {
	if g.runner.deps.Queue != nil {
		turn, reason := g.runner.deps.Queue.Enter(ctx, g.req, g.patience())
		if reason != nil {
			return g.end(*reason)
		}
		g.turn = turn
		defer turn.Close()
	}
	for {
		run, reason := g.place(ctx)
		if reason != nil {
			return g.end(*reason)
		}
		outcome := g.attempt(ctx, run)
		if outcome != nil {
			return outcome
		}
	}
}

// hasTarget tells whether the request is refused when it can't meet its targets.
func (g *generation) hasTarget() bool {
	return g.req.Class != ClassDraft && g.req.FirstToken > 0 && !g.runner.cfg.Policy.NoRefusal
}

// isPatient tells whether the request leaves some slots to others.
func (g *generation) isPatient() bool {
	if g.turn != nil {
		return g.turn.Patient()
	}
	return g.req.Class == ClassDraft && g.next == 0
}

// patience returns how long waiting can still meet the target. A request that is
// too long to meet it at all may wait for a fixed time.
func (g *generation) patience() Patience {
	if !g.hasTarget() {
		return Patience{}
	}
	needed := g.runner.deps.Placer.MinReadyIn(g.quotationRequest(), g.started) + firstStep
	left := g.req.FirstToken - needed - milliseconds(g.runner.cfg.MarginMS)
	if left <= 0 {
		g.tooLong = true
		left = milliseconds(g.runner.cfg.WaitMS)
	}
	return Patience{
		Until:   g.started.Add(left),
		Latest:  g.req.Latest,
		TooLong: g.tooLong,
	}
}

// isLate tells whether a run is expected to miss the target of the first token, or,
// where a late one is of use, to come too late for that.
func (g *generation) isLate(run quotation.Run) bool {
	if !g.hasTarget() || g.tooLong || g.next > 0 || g.tries > 0 {
		return false
	}
	if !g.req.Latest.IsZero() {
		return time.Now().After(g.req.Latest)
	}
	expected := time.Since(g.started) + run.ReadyIn() + firstStep
	return expected > g.req.FirstToken
}

// attempt makes one attempt; nil means that another one is due.
func (g *generation) attempt(ctx context.Context, run quotation.Run) receipt.Outcome {
	g.tries++
	a := newAttempt(g, run)
	began := time.Now()
	result, reason := a.run(ctx)
	a.close(result)
	a.log(result, reason, time.Since(began))
	switch result {
	case verdictDone:
		return receipt.Answered{Status: 200}
	case verdictStop:
		return g.end(reason)
	case verdictRetry:
		if !g.mayRetry() {
			return g.end(reason)
		}
		g.runner.deps.Metrics.Count("retries", string(reason.Step))
	case verdictAgain:
		if g.req.Strict && reason.Step == receipt.StepPrefill && !g.mayRetry() {
			return g.end(reason)
		}
		g.tries--
		if reason.Step == receipt.StepPrefill {
			// The end of the context is told below.
			_ = g.pause(ctx, latePause)
		}
	}
	if ctx.Err() != nil {
		return g.end(*gone(ctx, reason.Step))
	}
	return nil
}

func (g *generation) mayRetry() bool {
	if g.tries >= g.runner.cfg.Tries {
		return false
	}
	if g.runner.deps.Retries == nil || g.req.Class == ClassDraft || g.runner.deps.Retries.Take(g.req.Caller) {
		return true
	}
	log.Warn().Str(event.Key, string(event.RetryRefused)).Str(event.ID, g.req.ID).Str("service", g.req.Caller).
		Str("kind", "generation").Msg("retry budget spent")
	return false
}

// end gives the outcome of a request that was not answered whole.
func (g *generation) end(reason receipt.Reason) receipt.Outcome {
	if g.next > 0 {
		return receipt.Cut{
			Delivered: g.next,
			Reason:    reason,
		}
	}
	if g.answer != nil {
		return receipt.Answered{
			Status: g.answer.Status,
			Header: g.answer.Header,
			Body:   g.answer.Body,
		}
	}
	if g.sent == nil {
		return g.unsent.Refuse(reason)
	}
	if g.lost {
		return g.sent.Unknown(reason)
	}
	return g.sent.Declined(reason)
}

// send spends the permit before the first prefill goes out.
func (g *generation) send() {
	if g.sent != nil {
		return
	}
	sent := g.unsent.Send()
	g.sent = &sent
	g.queued = time.Since(g.started)
	g.runner.deps.Metrics.Observe(metrics.QueueTime, g.req.Caller, g.req.Class, g.queued)
}

func (g *generation) exclude(address string) {
	g.excluded = append(g.excluded, address)
}

func (g *generation) attemptID() string {
	id := g.req.ID + "." + strconv.Itoa(g.tries)
	if g.owner.Epoch > 0 {
		id = fmt.Sprintf("%s.%d.%d", g.req.ID, g.owner.Epoch, g.tries)
	}
	return id
}

func (g *generation) contextTokens() int { return g.req.Prompt.Tokens + g.next }

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
		AnswerBytes:  g.req.AnswerBytes,
		MemoryTokens: g.req.MemoryTokens,
		Waited:       time.Since(g.started),
		Deferrable:   g.isPatient(),
	}
}

func (g *generation) result(outcome receipt.Outcome) Result {
	return Result{
		Outcome:    outcome,
		Generated:  g.next - g.req.Delivered,
		Finish:     g.finish,
		FirstToken: g.firstToken,
		Queued:     g.queued,
		Prepared:   g.prepared,
		Prefilled:  g.prefilled,
		Wasted:     g.wasted,
	}
}
