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

// ClassDraft is the class of requests that may wait but must arrive. They are
// never refused for being late.
const ClassDraft = "draft"

// Engines gives the clients of model engines.
type Engines interface {
	// Engine returns the client of an engine by its IP:port. It doesn't fail;
	// calls of an unknown engine do.
	Engine(address string) kiln.Engine
}

// Placer decides where requests run and counts this instance's own load.
// *quotation.Book is one.
type Placer interface {
	// MinReadyIn returns the least time until the KV cache is at a decode engine
	// when nothing has to wait.
	MinReadyIn(req quotation.Request, now time.Time) time.Duration
	Place(req quotation.Request, now time.Time) quotation.Decision
	Allocate(run quotation.Run, now time.Time) *quotation.Allocation
	MarkFull(address string, now time.Time)
	MarkFailed(address string, now time.Time)
}

// Canceller frees what an attempt holds on an engine, off the request path.
type Canceller interface {
	// Cancel returns at once.
	Cancel(address, attempt string, owner kiln.Owner)
}

// Patience tells how long a request waits for its turn.
type Patience struct {
	// Until is the time at which the request is refused; zero for never.
	Until time.Time
	// Latest is the time up to which a late start is still of use; zero for never.
	Latest time.Time
	// TooLong is set when it can't meet its targets even without waiting; it
	// gives way to all others then.
	TooLong bool
}

// Queue orders the requests that wait for engines.
type Queue interface {
	// Enter waits until it is the request's turn to be placed. A non-nil reason
	// refuses it before anything was sent.
	Enter(ctx context.Context, req Request, patience Patience) (Turn, *receipt.Reason)
}

// Turn is a request at the head of the queue. Its methods may be called in any
// order and more than once.
type Turn interface {
	// Wait gives up the head until room may have been freed or after d; the
	// request keeps its place. A non-nil reason refuses it.
	Wait(ctx context.Context, d time.Duration) *receipt.Reason
	// Patient tells whether the request has to leave some slots to others: it is
	// a draft, or its caller is over its share.
	Patient() bool
	// Hurry puts the request before all others, without a time limit.
	Hurry()
	// Placed lets the next request take its turn. The request counts as in
	// progress until Close.
	Placed()
	// Close ends the request.
	Close()
}

// Retries is the budget of retries, as a share of first tries.
type Retries interface {
	// First records a first try of a caller.
	First(caller string)
	// Take spends a retry and tells whether the budget allows it.
	Take(caller string) bool
}

// Deps are the parts that a Runner works with. Engines, Placer and Instance are
// required.
type Deps struct {
	Engines Engines
	Placer  Placer
	// Queue may be nil: every request is placed at once.
	Queue Queue
	// Canceller may be nil: cancels are sent directly, with a few retries.
	Canceller Canceller
	// Retries may be nil: retries are bounded by Config.Tries only.
	Retries Retries
	// Metrics may be nil.
	Metrics *metrics.Metrics
	// Instance is the id of this entry instance, the owner of engine memory.
	Instance string
	// Config may be zero: DefaultConfig.
	Config Config
}

// Config holds the time limits of the steps, in milliseconds.
type Config struct {
	// Tries bounds the attempts of one request, Resumes the reconnections of
	// one stream.
	Tries   int `json:"tries"`
	Resumes int `json:"resumes"`
	// ReserveMS bounds a reservation.
	ReserveMS int `json:"reserve_ms"`
	// HoldMS is how long a reservation lives without a keep-alive.
	HoldMS int `json:"hold_ms"`
	// PrefillMS and TransferMS are added to twice the expected time.
	PrefillMS  int `json:"prefill_ms"`
	TransferMS int `json:"transfer_ms"`
	// StallMS is the time without a token after which a stream counts as broken.
	StallMS int `json:"stall_ms"`
	// WaitMS bounds the wait for an engine of a request that can't meet its
	// targets even at once, and of every request without a queue.
	WaitMS int `json:"wait_ms"`
	// ResumeWaitMS bounds the wait for an engine that goes on with a stream which
	// broke off, in milliseconds since its last token; 0 for WaitMS.
	ResumeWaitMS int `json:"resume_wait_ms"`
	// RetryAfterMS is what refused callers are told to wait, in milliseconds.
	RetryAfterMS int `json:"retry_after_ms"`
	// MarginMS is kept between the expected first token and its target.
	MarginMS int `json:"margin_ms"`
	// Policy switches mechanisms off, for comparison.
	Policy Policy `json:"policy"`
}

// Policy switches the mechanisms of a run, for comparison.
type Policy struct {
	// PrefillFirst computes the prompt before a decode slot is reserved.
	PrefillFirst bool `json:"prefill_first,omitempty"`
	// NoRefusal runs also what can no longer meet its targets.
	NoRefusal bool `json:"no_refusal,omitempty"`
	// NoSecondTransfer gives a stalled transfer up at once.
	NoSecondTransfer bool `json:"no_second_transfer,omitempty"`
}

// DefaultConfig returns the settings in use when none are given.
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

// Check records the values that are not allowed.
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
