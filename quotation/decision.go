// Package quotation decides where a generation should run and what it would
// cost. It does no I/O: decisions are functions of a snapshot of the backend
// servers, a request and the time.
//
// # Usage
//
//	book := quotation.NewBook(quotation.Deps{Servers: view})
//	switch decision := book.Place(req, time.Now()).(type) {
//	case quotation.Run:
//		booking := book.Take(decision)
//		defer booking.Close()
//	case quotation.Wait:
//	case quotation.Refuse:
//	}
package quotation

import (
	"time"

	"github.com/balsamlock/balsamlock/receipt"
)

// Request is what placement needs to know of a generation.
type Request struct {
	// ID spreads equal choices of several instances.
	ID     string
	Caller string
	Model  string
	// PromptTokens includes output tokens that are computed again.
	PromptTokens int
	// Blocks are the hashes of the prompt's prefix blocks; see kiln.HashBlocks.
	Blocks []uint64
	// OutputTokens bounds the output.
	OutputTokens int
	// PromptBytes is the length of the prompt's text.
	PromptBytes int
	// AnswerBytes is the expected length of the answer on the wire; 0 takes it
	// from OutputTokens.
	AnswerBytes int
	// MemoryTokens is the memory that the request may need on its decode engine,
	// in tokens; 0 if it isn't known.
	MemoryTokens int
	Class        string
	// DataCentre is where the request came in, Region its region; empty takes
	// it from the servers of the data centre.
	DataCentre string
	Region     string
	// Pools and Servers restrict the engines; empty allows all.
	Pools   []string
	Servers []string
	// Excluded are addresses of engines that failed this request.
	Excluded []string
	// Deferrable requests leave some slots to those that can't wait.
	Deferrable bool
	// Waited is the time since the request came in.
	Waited time.Duration
	// KVRegion pins the decode engine to the region of an exported KV cache;
	// empty when there is none.
	KVRegion string
}

// Decision is the sealed result of placement: Run, Wait or Refuse.
type Decision interface{ isDecision() }

// Run names the engines of one attempt.
type Run struct {
	Decode  *Worker
	Prefill *Worker
	// CachedTokens is the number of prompt tokens expected in the prefix cache
	// of Prefill, and ComputedTokens the rest.
	CachedTokens   int
	ComputedTokens int
	// Queue, Compute and Transfer are the expected times until the first token.
	Queue    time.Duration
	Compute  time.Duration
	Transfer time.Duration
	// KVBytes is the expected size of the KV cache.
	KVBytes int64
	// MemoryTokens is the memory set aside on the decode engine.
	MemoryTokens int
	// CrossRegionBytes is the traffic that the request would cost on the link
	// between regions; 0 when it stays in its region.
	CrossRegionBytes int64
}

// ReadyIn returns the expected time until the KV cache is at the decode engine.
func (r Run) ReadyIn() time.Duration { return r.Queue + r.Compute + r.Transfer }

// Wait means that no engine has room now. The request may be placed again
// after For, or as soon as room is reported.
type Wait struct {
	For time.Duration
	// Stale is set when engines may have room but what is known of them is too
	// old to hand out work, as after the process was frozen. News come within
	// moments, so that the request is not refused for it.
	Stale bool
}

// Refuse means that no engine can run the request.
type Refuse struct{ Code receipt.Code }

func (Run) isDecision()    {}
func (Wait) isDecision()   {}
func (Refuse) isDecision() {}

var (
	_ Decision = Run{}
	_ Decision = Wait{}
	_ Decision = Refuse{}
)
