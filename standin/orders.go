package standin

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// maxEventsRead is the maximum number of cache events returned by one call.
const maxEventsRead = 1024

// AppliedOrder is an order that took effect.
type AppliedOrder struct {
	Request kiln.OrderRequest `json:"request"`
	At      time.Time         `json:"at"`
	// DroppedRequests is the number of requests that a role change dropped.
	DroppedRequests int `json:"busy"`
}

// Load returns a load report, which may be out of date. A new measurement is taken
// at most every LoadLagMS and reported when the next one is taken.
func (e *Engine) Load(ctx context.Context) (kiln.LoadReport, error) {
	const call = "load"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return kiln.LoadReport{}, err
	}
	return e.load(), e.faults.applyAfter(ctx, call)
}

func (e *Engine) load() kiln.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	now := time.Now()
	lag := time.Duration(e.cfg.LoadLagMS) * time.Millisecond
	if e.measuredLoad.At.IsZero() || now.Sub(e.measuredLoad.At) >= lag {
		e.reportedLoad = e.measuredLoad
		e.measuredLoad = e.measureLocked(now)
	}
	if e.reportedLoad.At.IsZero() {
		return e.measuredLoad
	}
	return e.reportedLoad
}

func (e *Engine) measureLocked(now time.Time) kiln.LoadReport {
	return kiln.LoadReport{
		At:              now,
		Incarnation:     e.incarnation,
		Role:            e.role,
		Leaving:         e.leaving,
		Slots:           e.cfg.Slots,
		SlotsUsed:       len(e.allocations),
		Pieces:          e.cfg.Pieces,
		PiecesUsed:      e.piecesUsed,
		QueuedTokens:    e.queue.queuedTokens(),
		StepMS:          float64(e.stepDurationLocked()) / float64(time.Millisecond),
		TokensPerSecond: e.cfg.PrefillTokensPerSecond,
		Models:          slices.Clone(e.models),
	}
}

// Events returns the cache events after a sequence number.
func (e *Engine) Events(ctx context.Context, after uint64) ([]kiln.CacheEvent, error) {
	const call = "events"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return nil, err
	}
	return e.events(after), e.faults.applyAfter(ctx, call)
}

func (e *Engine) events(after uint64) []kiln.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.eventsAfter(after, time.Now(), maxEventsRead)
}

// Order changes the engine's models or role. It completes even if the caller
// cancels it.
func (e *Engine) Order(ctx context.Context, req kiln.OrderRequest) (kiln.EngineState, error) {
	const call = "order"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return kiln.EngineState{}, err
	}
	if err := e.checkOrder(call, req); err != nil {
		return kiln.EngineState{}, err
	}
	if err := e.prepareOrder(context.WithoutCancel(ctx), req); err != nil {
		return kiln.EngineState{}, e.refusal(call, kiln.ErrUnavailable, err.Error())
	}
	state, err := e.applyOrder(call, req)
	if err != nil {
		return kiln.EngineState{}, err
	}
	return state, e.faults.applyAfter(ctx, call)
}

func (e *Engine) checkOrder(call string, req kiln.OrderRequest) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := validateOrder(req); err != nil {
		return e.refusal(call, kiln.ErrBadRequest, err.Error())
	}
	return e.checkFenceLocked(call, req)
}

// checkFenceLocked returns an error if the engine checks fencing tokens and has seen
// a higher one.
func (e *Engine) checkFenceLocked(call string, req kiln.OrderRequest) error {
	if !e.cfg.ChecksFencing {
		return nil
	}
	if req.Fence < e.fence {
		return e.refusal(call, kiln.ErrFenced, "a higher fencing number was seen")
	}
	e.fence = req.Fence
	return nil
}

func validateOrder(req kiln.OrderRequest) error {
	switch req.Kind {
	case kiln.OrderLoadModel, kiln.OrderLoadAdapter:
		if req.Model == "" || req.Version == "" {
			return errors.New("model and version are required")
		}
	case kiln.OrderUnload:
		if req.Model == "" {
			return errors.New("model is required")
		}
	case kiln.OrderChangeRole:
		if req.Role != kiln.RoleBoth && req.Role != kiln.RoleDecode && req.Role != kiln.RolePrefill {
			return errors.New("role is not known")
		}
	default:
		return errors.New("kind is not known")
	}
	return nil
}

func (e *Engine) prepareOrder(ctx context.Context, req kiln.OrderRequest) error {
	if err := sleep(ctx, time.Duration(e.cfg.OrderMS)*time.Millisecond); err != nil {
		return err
	}
	if e.deps.Weights == nil || (req.Kind != kiln.OrderLoadModel && req.Kind != kiln.OrderLoadAdapter) {
		return nil
	}
	return e.deps.Weights.FetchWeights(ctx, req.Model, req.Version)
}

func (e *Engine) applyOrder(call string, req kiln.OrderRequest) (kiln.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFenceLocked(call, req); err != nil {
		return kiln.EngineState{}, err
	}
	applied := AppliedOrder{
		Request: req,
		At:      time.Now(),
	}
	switch req.Kind {
	case kiln.OrderLoadModel, kiln.OrderLoadAdapter:
		e.unloadLocked(req.Model)
		e.models = append(e.models, req.Model+"@"+req.Version)
	case kiln.OrderUnload:
		e.unloadLocked(req.Model)
	case kiln.OrderChangeRole:
		e.expireLocked()
		applied.DroppedRequests = len(e.allocations)
		e.dropLocked(ErrConnectionLost)
		e.role = req.Role
	}
	e.fence = req.Fence
	e.applied = append(e.applied, applied)
	return e.stateLocked(), nil
}

func (e *Engine) unloadLocked(model string) {
	e.models = slices.DeleteFunc(e.models, func(loaded string) bool {
		name, _, _ := strings.Cut(loaded, "@")
		return name == model
	})
}

// State returns the engine's models and role.
func (e *Engine) State(ctx context.Context) (kiln.EngineState, error) {
	const call = "state"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return kiln.EngineState{}, err
	}
	return e.state(), e.faults.applyAfter(ctx, call)
}

func (e *Engine) state() kiln.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateLocked()
}

func (e *Engine) stateLocked() kiln.EngineState {
	return kiln.EngineState{
		Role:        e.role,
		Models:      slices.Clone(e.models),
		Fence:       e.fence,
		Incarnation: e.incarnation,
		Applied:     uint64(len(e.applied)),
	}
}

// Applied returns the applied orders in the order in which they took effect.
func (e *Engine) Applied() []AppliedOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.applied)
}
