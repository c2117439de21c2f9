package reclaim

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/balsamlock/balsamlock/common/metrics"
)

// KeepAliveDeps holds the dependencies of a KeepAlive.
type KeepAliveDeps struct {
	// Instance is the ID of this instance.
	Instance string
	Tracker  *Tracker
	Engines  Engines
	Metrics  *metrics.Metrics
}

// KeepAlive renews everything that this instance holds, with one call per engine and
// period.
type KeepAlive struct {
	cfg  Config
	deps KeepAliveDeps
}

// NewKeepAlive returns a KeepAlive. Call Run to start it.
func NewKeepAlive(cfg Config, deps KeepAliveDeps) *KeepAlive {
	return &KeepAlive{
		cfg:  cfg,
		deps: deps,
	}
}

// Run renews the holdings until ctx is done.
func (k *KeepAlive) Run(ctx context.Context) error {
	pool := pond.NewPool(k.cfg.MaxCalls, pond.WithContext(ctx))
	ticker := time.NewTicker(k.cfg.keepAlivePeriod())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.renewAll(ctx, pool)
		case <-ctx.Done():
			return nil
		}
	}
}

// renewAll renews the holdings on all engines. It returns when all calls have ended or timed
// out.
func (k *KeepAlive) renewAll(ctx context.Context, pool pond.Pool) {
	ctx, cancel := context.WithTimeout(ctx, min(k.cfg.callTimeout(), k.cfg.keepAlivePeriod()))
	defer cancel()
	group := pool.NewGroupContext(ctx)
	for _, address := range k.deps.Tracker.Engines() {
		group.Submit(func() { k.renew(ctx, address) })
	}
	_ = group.Wait()
}

func (k *KeepAlive) renew(ctx context.Context, address string) {
	engine := k.deps.Engines.Engine(address)
	if engine == nil {
		return
	}
	if err := engine.KeepAlive(ctx, k.deps.Instance); err != nil {
		k.deps.Metrics.Count("keep_alive", "failed")
		return
	}
	k.deps.Metrics.Count("keep_alive", "sent")
}
