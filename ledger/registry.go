package ledger

import (
	"context"
	"time"
)

// Registry is where an instance puts itself on the platform's list.
type Registry interface {
	// Register puts the instance on the list or renews it. With a ttl other
	// than zero it is dropped unless renewed in time.
	Register(ctx context.Context, instance ListedInstance, ttl time.Duration) error
	// MarkLeaving marks the instance as leaving, for good.
	MarkLeaving(ctx context.Context, id string) error
	// Deregister takes the instance off the list.
	Deregister(ctx context.Context, id string) error
}

// announceParts is how often in one ttl an instance is renewed.
const announceParts = 3

// KeepRegistered keeps an instance on the list until the context ends.
func KeepRegistered(ctx context.Context, registry Registry, instance ListedInstance, ttl time.Duration) {
	period := ttl / announceParts
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
	// A renewal that fails is made again in the next period.
	_ = registry.Register(ctx, instance, ttl)
}
