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

// EngineConfig are the properties of a stand-in engine.
type EngineConfig struct {
	Role kiln.Role `json:"role"`
	// Models are loaded at the start, as name@version.
	Models []string `json:"models"`
	// Slots is the number of requests decoded at once, Pieces the memory.
	Slots  int `json:"slots"`
	Pieces int `json:"pieces"`
	// A decode step takes StepBaseUS and StepPerStreamUS for each stream, and
	// StepPrefillUS more while a prefill runs, in microseconds.
	StepBaseUS      int64 `json:"step_base_us"`
	StepPerStreamUS int64 `json:"step_per_stream_us"`
	StepPrefillUS   int64 `json:"step_prefill_us"`
	// PrefillTokensPerSecond is the rate of prefill after PrefillBaseUS.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	PrefillBaseUS          int64   `json:"prefill_base_us"`
	// MaxQueuedTokens bounds the prefill queue.
	MaxQueuedTokens int `json:"max_queued_tokens"`
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int `json:"cache_blocks"`
	// EventDelayMS and EventLossPercent spoil the cache events.
	EventDelayMS     int64 `json:"event_delay_ms"`
	EventLossPercent int   `json:"event_loss_percent"`
	KVBytesPerToken  int64 `json:"kv_bytes_per_token"`
	// ExportKeptMS is how long an export is kept.
	ExportKeptMS int64 `json:"export_kept_ms"`
	// ImportBytesPerSecond is the rate of the engine's own link.
	ImportBytesPerSecond float64 `json:"import_bytes_per_second"`
	LoadLagMS            int64   `json:"load_lag_ms"`
	// ResumeKeptMS is how long the text of a finished stream can be read again.
	ResumeKeptMS  int64 `json:"resume_kept_ms"`
	ChecksFencing bool  `json:"checks_fencing"`
	// OrderMS is the time that an order takes besides fetching weights.
	OrderMS int64 `json:"order_ms"`
	// Seed chooses the lost events.
	Seed uint64 `json:"seed"`
}

// DefaultEngineConfig returns an engine of about twenty requests.
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

// WeightFetcher fetches the weights of a model or adapter; it returns when they
// have arrived.
type WeightFetcher interface {
	FetchWeights(ctx context.Context, model, version string) error
}

// EngineDeps is what a stand-in engine uses.
type EngineDeps struct {
	// Address is the engine's own IP:port, the source of its exports.
	Address string
	// Peers finds the engines to import from; nil uses HTTP.
	Peers Peers
	// Route returns the link shared on the way from a source, nil for none.
	Route func(source string) *Link
	// Weights is the weight store; nil fetches at once.
	Weights WeightFetcher
	// HTTP is the client to other engines when Peers is nil.
	HTTP *http.Client
	// Incarnation of the first start; 0 uses the time.
	Incarnation uint64
}

// Engine is a stand-in model engine. It is safe for concurrent use.
type Engine struct {
	cfg    EngineConfig
	deps   EngineDeps
	faults *Faults
	link   *Link

	mu          sync.Mutex
	random      *rand.Rand
	incarnation uint64
	role        kiln.Role
	models      []string
	fence       uint64
	applied     []AppliedOrder
	leaving     bool
	lastWork    time.Time
	allocations map[string]*allocation
	exports     map[string]*export
	finished    map[string]finishedStream
	active      []*allocation
	piecesUsed  int
	stepping    bool
	queue       prefillQueue
	prefilling  *prefillJob
	cache       *prefixCache
	handles     uint64
	reported    kiln.LoadReport
	measured    kiln.LoadReport
	counters    EngineCounters
}

// EngineCounters count an engine's work.
type EngineCounters struct {
	// PrefillTokens were computed, CachedTokens found in the prefix cache.
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	// WastedTokens were computed and never decoded, or computed again.
	WastedTokens int64 `json:"wasted_tokens"`
	// Generated counts output tokens, Steps the decode steps.
	Generated int64 `json:"generated"`
	Steps     int64 `json:"steps"`
	// Expired counts reservations and exports given up by the engine itself.
	Expired int64 `json:"expired"`
	// Dropped counts requests lost by a role change or a death.
	Dropped int64 `json:"dropped"`
	// Cancelled counts holdings freed by a cancel.
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
		random:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		incarnation: deps.Incarnation,
		role:        cfg.Role,
		models:      append([]string(nil), cfg.Models...),
		allocations: map[string]*allocation{},
		exports:     map[string]*export{},
		finished:    map[string]finishedStream{},
		cache:       newPrefixCache(cfg.CacheBlocks),
	}
}

// Faults returns the engine's fault switches.
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

// SetLeaving makes the engine take no new work.
func (e *Engine) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// LastNewWork returns when the engine last saw new work, taken or refused.
func (e *Engine) LastNewWork() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastWork
}

// Crash loses everything that the engine held, as a killed process does, and
// starts it again at once with its first models and a higher incarnation.
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

// dropLocked frees everything and ends every stream and prefill with err.
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
	if e.prefilling != nil {
		e.prefilling.finish(kiln.PrefillResult{}, err)
		e.prefilling.dropped = true
	}
	clear(e.finished)
}

// refusal returns the engine's own refusal of a call.
func (e *Engine) refusal(call string, code kiln.ErrorCode, message string) error {
	return &kiln.EngineError{
		Peer:    e.deps.Address,
		Call:    call,
		Code:    code,
		Message: message,
	}
}

// before applies the faults that come before a call's effect.
func (e *Engine) before(ctx context.Context, call string) error {
	err := e.faults.before(ctx, call)
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
