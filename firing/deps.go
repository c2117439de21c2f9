package firing

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// ClassDraft is the class of requests that may be delayed but must complete. They
// are never refused for being late.
const ClassDraft = "draft"

// Engines provides clients of model engines.
type Engines interface {
	// Engine returns a client for the engine at an IP:port. It never fails. For an
	// unknown engine, the calls of the client fail.
	Engine(address string) kiln.Engine
}

// Placer implements placement: it chooses the engines of a request and tracks the
// load that this instance puts on them. *quotation.Placer is a Placer.
type Placer interface {
	// MinReadyIn returns the minimum time until a decode engine has the request's KV
	// cache, if nothing has to wait.
	MinReadyIn(req quotation.Request, now time.Time) time.Duration
	Place(req quotation.Request, now time.Time) quotation.Decision
	Allocate(run quotation.Run, now time.Time) *quotation.Allocation
	MarkFull(address string, now time.Time)
	MarkFailed(address string, now time.Time)
}

// Canceller frees the resources of an attempt on an engine, off the request path.
type Canceller interface {
	// Cancel returns immediately.
	Cancel(address, attempt string, owner kiln.Owner)
}

// WaitLimits bounds how long a request waits for its turn.
type WaitLimits struct {
	// RefuseAt is the time at which the request is refused. If zero, it never is.
	// The backlog lets a request with a LatestStart start after RefuseAt.
	RefuseAt time.Time
	// LatestStart is the time until which a late start is still useful. If zero, a
	// late start is not useful.
	LatestStart time.Time
	// TargetUnmeetable is set when the request can't meet its targets even without
	// waiting. The fair queue gives such a request the lowest priority.
	TargetUnmeetable bool
}

// Queue orders requests that wait for engines.
type Queue interface {
	// Enter waits until it is the request's turn to be placed. A non-nil reason
	// means that the request is refused; nothing was sent.
	Enter(ctx context.Context, req Request, limits WaitLimits) (Turn, *receipt.Reason)
}

// Turn is a request that has been granted a turn to be placed. Its methods may be
// called in any order and more than once, but by one goroutine only.
type Turn interface {
	// Wait gives up the turn because no free capacity was found and waits for another
	// one. The queue grants none until capacity may have been freed or d has passed. The
	// request keeps its position. A non-nil reason means that the request is refused.
	Wait(ctx context.Context, d time.Duration) *receipt.Reason
	// BestEffort reports whether the request must leave some capacity free for others,
	// because it is a draft, its caller exceeds its share, or it is late.
	BestEffort() bool
	// Expedite moves the request ahead of all others with the next Wait and removes
	// its time limits. The request is no longer best effort.
	Expedite()
	// Restrict records that the request needs engines of one version of their software, so
	// that it doesn't keep the others waiting if there is no free capacity.
	Restrict(version string)
	// Placed records that the request was placed, and grants the next turn.
	Placed()
	// Close removes the request from the queue.
	Close()
}

// RetryBudget limits the retries of each caller. *intake.RetryBudget and
// *intake.SharedRetryBudget implement it.
type RetryBudget interface {
	// RecordFirstAttempt records the first attempt of a request and adds to the budget
	// of its caller.
	RecordFirstAttempt(caller string)
	// Allows reports whether the budget of the caller allows a number of repeated calls.
	Allows(caller string, calls int) bool
	// Take reports whether the budget of the caller allows a number of repeated calls,
	// and takes them from the budget if so.
	Take(caller string, calls int) bool
}

// PromptGuard keeps prompts that crash engines from being sent to more of them.
type PromptGuard interface {
	// Check returns the reason for refusing a prompt with these parts, or nil.
	Check(parts []string) *receipt.Reason
	// Started records that an engine has delivered the first tokens of a prompt.
	Started(prompt kiln.Prompt)
	// Broke records that the connection to an engine broke before it delivered a token. The engine may
	// have crashed.
	Broke(req Request, engine *quotation.Worker)
}

// startedTokens is the number of tokens after which an engine has survived the start of a prompt.
const startedTokens = 3

// Deps holds the dependencies of a Runner. Engines, Placer and Instance are
// required.
type Deps struct {
	Engines Engines
	Placer  Placer
	// Queue may be nil. Requests are then placed immediately.
	Queue Queue
	// Canceller may be nil. The Runner then uses a DirectCanceller.
	Canceller Canceller
	// Retries may be nil. Only Config.Tries then bounds retries.
	Retries RetryBudget
	// Guard may be nil. No prompt is then refused for what it did to engines.
	Guard PromptGuard
	// Metrics may be nil.
	Metrics *metrics.Metrics
	// Instance is the id of this entry instance, which owns the memory that its
	// attempts hold on engines.
	Instance string
	// Config may be zero. DefaultConfig is then used.
	Config Config
}

// Config holds the limits of a generation.
type Config struct {
	// Tries bounds the attempts of one request. Attempts that end because an engine is
	// full or a reservation failed don't count. Resumes bounds the consecutive
	// reconnections of one stream that deliver no token.
	Tries   int `json:"tries"`
	Resumes int `json:"resumes"`
	// ReserveMS is the timeout of a reserve call.
	ReserveMS int `json:"reserve_ms"`
	// HoldMS is the time after which a reservation without keep-alive expires.
	HoldMS int `json:"hold_ms"`
	// PrefillMS and TransferMS are added to twice the expected duration of a prefill
	// or transfer to give its timeout.
	PrefillMS  int `json:"prefill_ms"`
	TransferMS int `json:"transfer_ms"`
	// StallMS is the time without a token after which a stream is treated as broken.
	StallMS int `json:"stall_ms"`
	// WaitMS bounds the wait for an engine for requests that can't meet their
	// targets even without waiting. Without a queue, it bounds the wait of all
	// requests but drafts.
	WaitMS int `json:"wait_ms"`
	// ResumeWaitMS bounds the wait for an engine that continues an interrupted
	// stream, measured from the interruption. If zero, WaitMS applies.
	ResumeWaitMS int `json:"resume_wait_ms"`
	// RetryAfterMS is the time after which refused callers are told to retry.
	RetryAfterMS int `json:"retry_after_ms"`
	// MarginMS is the safety margin between the expected first token and its target.
	MarginMS int `json:"margin_ms"`
	// Policy disables mechanisms to compare runs with and without them.
	Policy Policy `json:"policy"`
}

// Policy disables single mechanisms, so that runs with and without them can be
// compared.
type Policy struct {
	// PrefillFirst prefills the prompt before a decode slot is reserved.
	PrefillFirst bool `json:"prefill_first,omitempty"`
	// NoRefusal also runs requests that can no longer meet their targets.
	NoRefusal bool `json:"no_refusal,omitempty"`
	// NoSecondTransfer doesn't try another decode engine after a failed transfer.
	NoSecondTransfer bool `json:"no_second_transfer,omitempty"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Tries:        4,
		Resumes:      2,
		ReserveMS:    200,
		HoldMS:       5000,
		PrefillMS:    500,
		TransferMS:   100,
		StallMS:      500,
		WaitMS:       2000,
		RetryAfterMS: 1000,
		MarginMS:     20,
	}
}

// Check records invalid values in p.
func (c Config) Check(p *settings.Problems) {
	p.Positive("tries", c.Tries)
	p.Add(c.Resumes >= 0, "resumes", c.Resumes, "a whole number of at least 0")
	p.Positive("reserve_ms", c.ReserveMS)
	p.Positive("hold_ms", c.HoldMS)
	p.Positive("prefill_ms", c.PrefillMS)
	p.Positive("transfer_ms", c.TransferMS)
	p.Positive("stall_ms", c.StallMS)
	p.Positive("wait_ms", c.WaitMS)
	p.Positive("retry_after_ms", c.RetryAfterMS)
	p.Add(c.MarginMS >= 0, "margin_ms", c.MarginMS, "a whole number of at least 0")
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
