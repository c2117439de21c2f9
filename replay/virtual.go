package replay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

// requestTimeout bounds the duration of a request, and so how long a run lasts
// after its last event.
const requestTimeout = 5 * time.Minute

// VirtualConfig configures one run in virtual time.
type VirtualConfig struct {
	Profile Profile
	Policy  Policy
	Faults  Faults
	Seed    uint64
	// WarmUp is the duration at the start of the trace whose requests are excluded
	// from the results.
	WarmUp time.Duration
}

// RunVirtual replays a trace against stand-in engines and returns the aggregated
// outcome. It must be called inside a synctest bubble.
func RunVirtual(cfg VirtualConfig, events []Event) Outcome {
	s := newSimulation(cfg.Profile, cfg.Policy, cfg.Faults, cfg.Seed)
	ctx, stop := context.WithCancel(context.Background())
	var background, requests sync.WaitGroup
	s.start(ctx, &background)
	started := time.Now()
	answers := make([]Answer, len(events))
	for i, e := range events {
		time.Sleep(time.Until(started.Add(e.At())))
		requests.Go(func() { answers[i] = s.send(ctx, e, i) })
	}
	requests.Wait()
	stop()
	background.Wait()
	s.close()
	return s.outcome(cfg, answers)
}

// Answer is the result of one event.
type Answer struct {
	Event Event
	// FirstToken and PerToken are the time to first token and the time per output
	// token as measured by the caller. Both are zero if no token arrived.
	FirstToken time.Duration
	PerToken   time.Duration
	Tokens     int
	// Complete is set if the complete answer arrived.
	Complete  bool
	Cancelled bool
	// Code is the reason code of a refused or truncated answer.
	Code         receipt.Code
	WastedTokens int
	// Ended is the time from the start of the trace to the end of the answer.
	Ended time.Duration
	// Queued and Prepared are the durations of the same names in firing.Result.
	Queued   time.Duration
	Prepared time.Duration
}

// tokenTimer is a token sink that records when tokens arrive.
type tokenTimer struct {
	started time.Time
	first   time.Duration
	last    time.Duration
	tokens  int
}

// Token records the arrival of a token.
func (t *tokenTimer) Token(kiln.Frame) error {
	t.record()
	return nil
}

func (t *tokenTimer) record() {
	t.last = time.Since(t.started)
	if t.tokens == 0 {
		t.first = t.last
	}
	t.tokens++
}

func (t *tokenTimer) perToken() time.Duration {
	if t.tokens < 2 {
		return 0
	}
	return (t.last - t.first) / time.Duration(t.tokens-1)
}

func (s *simulation) send(ctx context.Context, e Event, n int) Answer {
	timeout := requestTimeout
	if e.CancelAfterMS > 0 {
		timeout = milliseconds(e.CancelAfterMS)
	}
	requestCtx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	timer := &tokenTimer{started: time.Now()}
	time.Sleep(s.profile.LatencyClient)
	result := s.entryFor(e, n).runner.Run(requestCtx, s.request(e), timer)
	answer := Answer{
		Event:        e,
		PerToken:     timer.perToken(),
		Tokens:       timer.tokens,
		Cancelled:    e.CancelAfterMS > 0 && requestCtx.Err() != nil,
		WastedTokens: result.Wasted,
		Queued:       result.Queued,
		Prepared:     result.Prepared,
		Ended:        e.At() + time.Since(timer.started),
	}
	if timer.tokens > 0 {
		answer.FirstToken = timer.first + s.profile.LatencyClient
	}
	switch outcome := result.Outcome.(type) {
	case receipt.Answered:
		answer.Complete = timer.tokens == e.OutputTokens
	case receipt.NotRun:
		answer.Code = outcome.Reason().Code
	case receipt.Unknown:
		answer.Code = outcome.Reason().Code
	case receipt.Cut:
		answer.Code = outcome.Reason.Code
	}
	return answer
}

func (s *simulation) request(e Event) firing.Request {
	return firing.Request{
		ID:     e.ID,
		Caller: e.Caller,
		Class:  e.Class,
		Model:  e.Model,
		Prompt: kiln.Prompt{
			Text:   fmt.Sprintf("%s [stop=%d]", e.ID, e.OutputTokens),
			Tokens: e.PromptTokens,
			Blocks: e.Blocks(),
		},
		MaxTokens:  e.MaxTokens,
		Priority:   e.Priority,
		FirstToken: s.profile.FirstToken - 2*s.profile.LatencyClient,
		PerToken:   s.profile.PerToken,
		DataCentre: e.DataCentre,
	}
}
