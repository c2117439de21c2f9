package ledger

import (
	"context"
	"time"
)

// Registry registers instances on the platform's instance list.
type Registry interface {
	// Register adds the instance to the list or renews it. If ttl isn't zero, the entry
	// expires unless it is renewed in time.
	Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error
	// MarkLeaving marks the instance as leaving. The mark can't be removed.
	MarkLeaving(ctx context.Context, id string) error
	// Deregister removes the instance from the list.
	Deregister(ctx context.Context, id string) error
}

// renewalsPerTTL is the number of renewals per TTL.
const renewalsPerTTL = 3

// KeepRegistered registers an instance and renews the registration until the context
// ends.
func KeepRegistered(ctx context.Context, registry Registry, instance ListedInstance, ttl time.Duration) {
	period := ttl / renewalsPerTTL
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		renew(ctx, registry, instance, ttl, period)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func renew(ctx context.Context, registry Registry, instance ListedInstance, ttl, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The error is ignored, because the next period retries the renewal.
	_ = registry.Register(ctx, instance, ttl)
}
