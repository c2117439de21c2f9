package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/kiln"
)

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	Role kiln.Role `json:"role"`
	// Models lists the models loaded at the start, as name@version.
	Models []string `json:"models"`
	// Slots is the maximum number of requests decoded concurrently. Pieces is the
	// memory in pieces of kiln.PieceTokens tokens.
	Slots  int `json:"slots"`
	Pieces int `json:"pieces"`
	// A decode step takes StepBaseUS plus StepPerStreamUS for each stream, and
	// StepPrefillUS more while a prefill runs. All are in microseconds.
	StepBaseUS      int64 `json:"step_base_us"`
	StepPerStreamUS int64 `json:"step_per_stream_us"`
	StepPrefillUS   int64 `json:"step_prefill_us"`
	// A prefill takes PrefillBaseUS microseconds plus the time to compute its tokens
	// at PrefillTokensPerSecond.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	PrefillBaseUS          int64   `json:"prefill_base_us"`
	// MaxQueuedTokens limits the tokens in the prefill queue.
	MaxQueuedTokens int `json:"max_queued_tokens"`
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int `json:"cache_blocks"`
	// EventDelayMS is the delay of the cache events, and EventLossPercent the share of
	// them that is lost.
	EventDelayMS     int64 `json:"event_delay_ms"`
	EventLossPercent int   `json:"event_loss_percent"`
	KVBytesPerToken  int64 `json:"kv_bytes_per_token"`
	// ExportKeptMS is the time after which an export expires.
	ExportKeptMS int64 `json:"export_kept_ms"`
	// ImportBytesPerSecond is the rate of the engine's own link.
	ImportBytesPerSecond float64 `json:"import_bytes_per_second"`
	// LoadLagMS is the minimum interval between load measurements. Reports lag by one
	// measurement.
	LoadLagMS int64 `json:"load_lag_ms"`
	// ResumeKeptMS is how long a finished stream can be resumed at least.
	ResumeKeptMS int64 `json:"resume_kept_ms"`
	// ChecksFencing makes the engine refuse orders with a lower fencing token than
	// the last one.
	ChecksFencing bool `json:"checks_fencing"`
	// OrderMS is how long an order takes, without fetching weights.
	OrderMS int64 `json:"order_ms"`
	// Seed seeds the random selection of lost events.
	Seed uint64 `json:"seed"`
}

// DefaultEngineConfig returns the configuration of an engine with 20 slots.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Role:                   kiln.RoleBoth,
		Slots:                  20,
		Pieces:                 240,
		StepBaseUS:             12000,
		StepPerStreamUS:        500,
		StepPrefillUS:          8000,
		PrefillTokensPerSecond: 12000,
		PrefillBaseUS:          5000,
		MaxQueuedTokens:        200000,
		CacheBlocks:            4096,
		EventDelayMS:           200,
		EventLossPercent:       2,
		KVBytesPerToken:        128 << 10,
		ExportKeptMS:           800,
		ImportBytesPerSecond:   10e9,
		LoadLagMS:              250,
		ResumeKeptMS:           30000,
		OrderMS:                50,
		Seed:                   1,
	}
}

// WeightFetcher fetches the weights of a model or adapter. FetchWeights returns
// once they have arrived.
type WeightFetcher interface {
	FetchWeights(ctx context.Context, model, version string) error
}

// EngineDeps holds the dependencies of an Engine.
type EngineDeps struct {
	// Address is the engine's own IP:port, which identifies the source of its exports.
	Address string
	// Peers returns the engines to import from. If it is nil, they are called over
	// HTTP.
	Peers Peers
	// Route returns the shared link that transfers from a source go through, or nil if
	// there is none.
	Route func(source string) *Link
	// Weights is the weight store. If it is nil, fetching takes no time.
	Weights WeightFetcher
	// HTTP is the client for other engines if Peers is nil.
	HTTP *http.Client
	// Incarnation is the incarnation of the first start. If it is 0, the current time
	// in milliseconds is used.
	Incarnation uint64
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	cfg    EngineConfig
	deps   EngineDeps
	faults *Faults
	link   *Link

	mu             sync.Mutex
	rng            *rand.Rand
	incarnation    uint64
	role           kiln.Role
	models         []string
	fence          uint64
	applied        []AppliedOrder
	leaving        bool
	lastNewWorkAt  time.Time
	allocations    map[string]*allocation
	exports        map[string]*export
	finished       map[string]finishedStream
	active         []*allocation
	piecesUsed     int
	stepScheduled  bool
	queue          prefillQueue
	runningPrefill *prefillJob
	cache          *prefixCache
	lastHandle     uint64
	reportedLoad   kiln.LoadReport
	measuredLoad   kiln.LoadReport
	counters       EngineCounters
}

// EngineCounters holds the counters of an engine.
type EngineCounters struct {
	// PrefillTokens counts the tokens that prefills computed, and CachedTokens those that
	// they found in the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	// WastedTokens counts the tokens that were computed and then not used for
	// decoding, or that were computed again.
	WastedTokens int64 `json:"wasted_tokens"`
	// Generated counts the output tokens, and Steps the decode steps.
	Generated int64 `json:"generated"`
	Steps     int64 `json:"steps"`
	// Expired counts the reservations and exports that expired.
	Expired int64 `json:"expired"`
	// Dropped counts the requests lost in a role change or a crash.
	Dropped int64 `json:"dropped"`
	// Cancelled counts the holdings freed by a cancel call.
	Cancelled int64 `json:"cancelled"`
}

// NewEngine returns a running engine.
func NewEngine(cfg EngineConfig, deps EngineDeps) *Engine {
	if deps.HTTP == nil && deps.Peers == nil {
		deps.HTTP = transport.NewClient()
	}
	if deps.Peers == nil {
		deps.Peers = httpPeers{client: deps.HTTP}
	}
	if deps.Incarnation == 0 {
		deps.Incarnation = uint64(time.Now().UnixMilli())
	}
	return &Engine{
		cfg:         cfg,
		deps:        deps,
		faults:      NewFaults(),
		link:        NewLink(cfg.ImportBytesPerSecond),
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		incarnation: deps.Incarnation,
		role:        cfg.Role,
		models:      append([]string(nil), cfg.Models...),
		allocations: map[string]*allocation{},
		exports:     map[string]*export{},
		finished:    map[string]finishedStream{},
		cache:       newPrefixCache(cfg.CacheBlocks),
	}
}

// Faults returns the engine's fault rules.
func (e *Engine) Faults() *Faults { return e.faults }

// Address returns the engine's IP:port.
func (e *Engine) Address() string { return e.deps.Address }

// Counters returns the engine's counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	return e.counters
}

// SetLeaving makes the engine refuse new work.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// LastNewWork returns when the engine last received new work, whether it accepted
// or refused it.
func (e *Engine) LastNewWork() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastNewWorkAt
}

// Crash simulates a crash followed by an immediate restart. The engine loses
// all requests and its prefix cache, and restarts with its initial role and models
// and a higher incarnation.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropLocked(ErrConnectionLost)
	e.cache.clear()
	e.incarnation++
	e.role = e.cfg.Role
	e.models = append([]string(nil), e.cfg.Models...)
	e.fence = 0
	e.leaving = false
}

// dropLocked frees all memory and ends all streams and prefills with err.
func (e *Engine) dropLocked(err error) {
	for _, a := range e.allocations {
		e.counters.Dropped++
		e.freeLocked(a, err)
	}
	for _, x := range e.exports {
		e.freeExportLocked(x)
	}
	for _, job := range e.queue.jobs {
		job.finish(kiln.PrefillResult{}, err)
	}
	e.queue.jobs = nil
	if e.runningPrefill != nil {
		e.runningPrefill.finish(kiln.PrefillResult{}, err)
		e.runningPrefill.dropped = true
	}
	clear(e.finished)
}

// refusal returns the error of a call that the engine refuses.
func (e *Engine) refusal(call string, code kiln.ErrorCode, message string) error {
	return &kiln.EngineError{
		Peer:    e.deps.Address,
		Call:    call,
		Code:    code,
		Message: message,
	}
}

// applyFaultsBefore applies the faults that precede a call's effect.
func (e *Engine) applyFaultsBefore(ctx context.Context, call string) error {
	err := e.faults.applyBefore(ctx, call)
	switch {
	case errors.Is(err, errRefused):
		return e.refusal(call, kiln.ErrUnavailable, err.Error())
	case errors.Is(err, errOutage):
		return &kiln.NotSentError{
			Peer: e.deps.Address,
			Call: call,
			Err:  err,
		}
	}
	return err
}

var _ kiln.Engine = (*Engine)(nil)
