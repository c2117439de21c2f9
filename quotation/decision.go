// Package quotation implements placement. It chooses the prefill and the decode
// engine of a generation and estimates the time until its KV cache is ready. It
// also predicts output lengths, ranks the servers of plain services and decides
// which engines change role. The package does no I/O: decisions are functions of
// a snapshot of the backend servers, a request and the time.
//
// # Usage
//
//	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
//	now := time.Now()
//	switch decision := placer.Place(req, now).(type) {
//	case quotation.Run:
//		allocation := placer.Allocate(decision, now)
//		defer func() { allocation.Close(time.Now()) }()
//	case quotation.Wait:
//	case quotation.Paused:
//	case quotation.Refuse:
//	}
package quotation

import (
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// Request holds the properties of a generation that placement depends on.
type Request struct {
	// ID seeds the jitter of the scores, so that instances with the same view
	// don't all choose the same engine.
	ID     string
	Caller string
	Model  string
	// PromptTokens includes output tokens that have to be recomputed.
	PromptTokens int
	// Blocks are the hashes of the prompt's prefix blocks; see kiln.HashBlocks.
	Blocks []uint64
	// OutputTokens is the maximum length of the output.
	OutputTokens int
	// PromptBytes is the size of the prompt's text.
	PromptBytes int
	// AnswerBytes is the expected size of the response on the wire. If it is 0,
	// the size is estimated from OutputTokens.
	AnswerBytes int
	// MemoryTokens is the memory that the request may need on its decode engine,
	// in tokens; 0 if unknown.
	MemoryTokens int
	Class        string
	// DataCentre is the data centre that received the request, Region its region.
	// If Region is empty, it is looked up by the servers of the data centre.
	DataCentre string
	Region     string
	// Pools and Servers restrict the engines; empty means no restriction.
	Pools   []string
	Servers []string
	// Excluded holds the addresses of engines that already failed this request.
	Excluded []string
	// Version restricts the engines to one version of their software; empty means no
	// restriction.
	Version string
	// BestEffort marks a request that leaves some slots free for others.
	BestEffort bool
	// Waited is the time since the request was received.
	Waited time.Duration
	// KVRegion restricts the decode engine to the region that holds the exported
	// KV cache; empty if there is none.
	KVRegion string

	// excludedVersions are the versions that have no pair of engines for the request.
	excludedVersions []string
}

// Decision is the result of placement, a sealed interface: Run, Wait, Paused or Refuse.
type Decision interface{ isDecision() }

// Run assigns the engines of one attempt.
type Run struct {
	Decode  *Worker
	Prefill *Worker
	// CachedTokens is the number of prompt tokens expected in the prefix cache
	// of Prefill, and ComputedTokens the number that has to be computed.
	CachedTokens   int
	ComputedTokens int
	// Queue, Compute and Transfer are the expected durations of the steps before
	// decoding: waiting for prefill, prefill, and transfer of the KV cache.
	Queue    time.Duration
	Compute  time.Duration
	Transfer time.Duration
	// KVBytes is the expected size of the KV cache.
	KVBytes int64
	// MemoryTokens is the memory reserved on the decode engine, in tokens.
	MemoryTokens int
	// CrossRegionBytes is the expected traffic on the link between regions; 0 if
	// the request stays in its region.
	CrossRegionBytes int64
}

// ReadyIn returns the expected time until the decode engine has the KV cache.
func (r Run) ReadyIn() time.Duration { return r.Queue + r.Compute + r.Transfer }

// Wait means that no engine has free capacity now. The caller retries after For,
// or as soon as free capacity is reported.
type Wait struct {
	For time.Duration
	// Stale is set if engines may have free capacity, but their state is too old
	// to place requests by, for example after the process was suspended. The state
	// is refreshed shortly, so the request must not be refused for this reason.
	Stale bool
}

// Paused means that all engines which could run the request have asked for no requests.
// Until is when the first pair of them takes requests again.
type Paused struct{ Until time.Time }

// Refuse means that no engine can run the request.
type Refuse struct{ Code receipt.Code }

func (Run) isDecision()    {}
func (Wait) isDecision()   {}
func (Paused) isDecision() {}
func (Refuse) isDecision() {}

var (
	_ Decision = Run{}
	_ Decision = Wait{}
	_ Decision = Paused{}
	_ Decision = Refuse{}
)
