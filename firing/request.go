// Package firing implements the execution of one generation on a prefill and a
// decode engine. It reserves a decode slot, prefills the prompt, transfers the KV
// cache and relays the tokens. It resumes broken streams and retries failed steps.
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

// Request describes one generation for a caller.
type Request struct {
	// ID is unique. The ids of attempts are derived from it.
	ID     string
	Caller string
	// Class groups requests in queues and metrics, such as "completion" or "draft".
	Class string
	// Model is the model or adapter that the caller named.
	Model     string
	Prompt    kiln.Prompt
	MaxTokens int
	Priority  int
	// Rank orders requests in a backlog. 0 is the most urgent, as opposed to Priority.
	Rank int
	// Team is the team that shares the starts of its rank with others, or empty.
	Team string
	// FirstToken and PerToken are the targets for the time to first token and the
	// time per output token.
	FirstToken time.Duration
	PerToken   time.Duration
	// DataCentre is the data centre that received the request.
	DataCentre string
	// Epoch is the fencing token of an adopted draft, 0 otherwise.
	Epoch    uint64
	Sampling kiln.Sampling
	// Delivered is the number of tokens that a previous owner of the request has
	// delivered. DeliveredText is their text.
	Delivered     int
	DeliveredText string
	// Pools and Servers restrict the engines that may be used. If both are empty,
	// all engines may be used.
	Pools   []string
	Servers []string
	// Version is the version of the engines' software that began the stream, or empty
	// if no token has been delivered yet. What two versions generate doesn't fit
	// together.
	Version string
	// Begun is set if the caller has a part of the stream from an earlier request. Only
	// LatestStart limits its wait.
	Begun bool
	// Started is called before the first token is passed on, with the version of the
	// engine that generated it. It may be nil.
	Started func(version string) `json:"-"`
	// Strict is set for requests that are forwarded unchanged to engines that don't
	// count a prefill as running the request, but count every decode they accepted.
	// A decode that may have started is repeated only if Resumable is set, on at
	// most MaxRuns engines in total, and is never reported as not run. Its engines get
	// no text of the tokens before.
	Strict    bool
	Resumable bool
	MaxRuns   int
	// LatestStart is the time until which a start is still useful although it misses
	// FirstToken. If zero, a late start is not useful.
	LatestStart time.Time
	// RunTime is the time from a start to the last token in nearly all cases, 0 if
	// unknown.
	RunTime time.Duration
	// AnswerBytes is the expected length of the answer, 0 if unknown.
	AnswerBytes int
	// MemoryTokens is the KV memory to reserve on the decode engine, in tokens. If
	// zero, it is the length of the prompt plus MaxTokens.
	MemoryTokens int
	// HeadroomTokens is the memory that must be free on the decode engine in
	// addition to MemoryTokens.
	HeadroomTokens int
	// Cost is the expected work in tokens, by which the backlog orders waiting
	// requests. If zero, it is the reserved memory.
	Cost int
}

// cost returns the expected work in tokens.
func (r Request) cost() int {
	if r.Cost > 0 {
		return r.Cost
	}
	return r.memoryTokens()
}

// memoryTokens returns the memory to reserve on the decode engine, in tokens.
func (r Request) memoryTokens() int {
	if r.MemoryTokens > 0 {
		return r.MemoryTokens
	}
	return r.Prompt.Tokens + r.MaxTokens
}

// Sink receives the tokens of one generation, in order and without gaps.
type Sink interface {
	// Token delivers one frame. An error means that the caller disconnected.
	Token(frame kiln.Frame) error
}

// Result describes how a generation ended.
type Result struct {
	Outcome receipt.Outcome
	// Generated is the number of tokens passed to the sink in this run.
	Generated int
	// Finish is the finish reason reported by the engine: "stop" or "length".
	Finish string
	// FirstToken is the time from Run to the first token.
	FirstToken time.Duration
	// Queued is the time from Run until the first prefill was sent. Prepared is the
	// time from Run until a KV cache was transferred to its decode engine.
	Queued   time.Duration
	Prepared time.Duration
	// Prefilled is the number of prompt tokens computed. Wasted is the number of
	// those that no delivered token made use of.
	Prefilled int
	Wasted    int
}
