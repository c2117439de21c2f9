// Package firing runs one generation from prefill to its last token: it
// reserves a decode slot, has the prompt prefilled, moves the KV cache and
// relays the tokens, and resumes or runs again what broke on the way.
//
// # Usage
//
//	runner := firing.NewRunner(firing.Deps{...})
//	result := runner.Run(ctx, req, sink)
//	switch outcome := result.Outcome.(type) {
//	case receipt.Answered:
//	case receipt.NotRun:
//	case receipt.Unknown:
//	case receipt.Cut:
//	}
package firing

import (
	"time"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

// Request is one generation for a caller.
type Request struct {
	// ID is unique; attempts are named after it.
	ID     string
	Caller string
	// Class groups requests in metrics, such as "completion" or "draft".
	Class string
	// Model is the model or adapter that the caller named.
	Model     string
	Prompt    kiln.Prompt
	MaxTokens int
	Priority  int
	// FirstToken and PerToken are the latency targets.
	FirstToken time.Duration
	PerToken   time.Duration
	// DataCentre is where the request came in.
	DataCentre string
	// Epoch is the fencing number of an adopted draft, 0 otherwise.
	Epoch    uint64
	Sampling kiln.Sampling
	// Delivered is the number of tokens that an earlier owner has delivered,
	// DeliveredText their text.
	Delivered     int
	DeliveredText string
	// Pools and Servers restrict the engines; empty allows all.
	Pools   []string
	Servers []string
	// Strict requests are passed on as they are to engines that don't count a
	// prefill as running them, and count every decode that they took: a decode that
	// may have started is repeated only if the request is Resumable, at most on
	// Runs engines, and not refused as not run.
	Strict    bool
	Resumable bool
	MaxRuns   int
	// LatestStart is the time up to which a start is still of use though it misses
	// FirstToken; zero for never.
	LatestStart time.Time
	// AnswerBytes is the expected length of the answer, 0 if it isn't known.
	AnswerBytes int
	// MemoryTokens is the memory that the decode engine sets aside; 0 for the
	// prompt and MaxTokens.
	MemoryTokens int
	// HeadroomTokens is the memory that must be free on the decode engine beside that.
	HeadroomTokens int
	// Cost is the expected work in tokens, by which waiting requests are ordered;
	// 0 for the memory set aside.
	Cost int
}

// cost returns the expected work in tokens.
func (r Request) cost() int {
	if r.Cost > 0 {
		return r.Cost
	}
	return r.memoryTokens()
}

// memoryTokens returns the memory that the decode engine sets aside.
func (r Request) memoryTokens() int {
	if r.MemoryTokens > 0 {
		return r.MemoryTokens
	}
	return r.Prompt.Tokens + r.MaxTokens
}

// Sink receives the tokens of one generation, in order and without gaps.
type Sink interface {
	// Token delivers one frame. An error means that the caller is gone.
	Token(frame kiln.Frame) error
}

// Result is how a generation ended.
type Result struct {
	Outcome receipt.Outcome
	// Generated is the number of tokens passed to the sink in this run.
	Generated int
	// Finish is the engine's reason for the end: "stop" or "length".
	Finish string
	// FirstToken is the time from Run to the first token.
	FirstToken time.Duration
	// Queued is the time until the first prefill was sent, Prepared the time until
	// its KV cache was at the decode engine; both from Run.
	Queued   time.Duration
	Prepared time.Duration
	// Prefilled and Wasted count prompt tokens computed, and those computed
	// for nothing.
	Prefilled int
	Wasted    int
}
