package standin

import (
	"context"

	"github.com/balsamlock/balsamlock/kiln"
)

// hostView calls an engine on behalf of one calling host.
type hostView struct {
	engine *Engine
	host   string
}

// From returns a client of the engine whose calls come from the host with the given
// IP. Rules with a From field apply only to these calls.
func (e *Engine) From(host string) kiln.Engine {
	return hostView{
		engine: e,
		host:   host,
	}
}

func (v hostView) ctx(ctx context.Context) context.Context { return WithCallerHost(ctx, v.host) }

// Reserve reserves a decode slot and memory for an attempt.
func (v hostView) Reserve(ctx context.Context, req kiln.ReserveRequest) error {
	return v.engine.Reserve(v.ctx(ctx), req)
}

// Prefill computes the KV cache of a prompt and keeps it for export.
func (v hostView) Prefill(ctx context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	return v.engine.Prefill(v.ctx(ctx), req)
}

// Import fetches an exported KV cache into reserved memory.
func (v hostView) Import(ctx context.Context, req kiln.ImportRequest) error {
	return v.engine.Import(v.ctx(ctx), req)
}

// Decode starts or resumes the generation of an attempt.
func (v hostView) Decode(ctx context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
	return v.engine.Decode(v.ctx(ctx), req)
}

// Cancel frees everything held for the attempt.
func (v hostView) Cancel(ctx context.Context, attempt string, owner kiln.Owner) error {
	return v.engine.Cancel(v.ctx(ctx), attempt, owner)
}

// KeepAlive renews everything held for the instance.
func (v hostView) KeepAlive(ctx context.Context, instance string) error {
	return v.engine.KeepAlive(v.ctx(ctx), instance)
}

// Holdings returns the memory held for attempts.
func (v hostView) Holdings(ctx context.Context) ([]kiln.Holding, error) {
	return v.engine.Holdings(v.ctx(ctx))
}

// Load returns a load report, which may be out of date.
func (v hostView) Load(ctx context.Context) (kiln.LoadReport, error) {
	return v.engine.Load(v.ctx(ctx))
}

// Events returns the cache events after a sequence number.
func (v hostView) Events(ctx context.Context, after uint64) ([]kiln.CacheEvent, error) {
	return v.engine.Events(v.ctx(ctx), after)
}

// Order changes the engine's models or role.
func (v hostView) Order(ctx context.Context, req kiln.OrderRequest) (kiln.EngineState, error) {
	return v.engine.Order(v.ctx(ctx), req)
}

// State returns the engine's models and role.
func (v hostView) State(ctx context.Context) (kiln.EngineState, error) {
	return v.engine.State(v.ctx(ctx))
}

var _ kiln.Engine = hostView{}
