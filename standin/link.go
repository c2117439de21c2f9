package standin

import (
	"context"
	"sync"
	"time"
)

// Link simulates a network link with limited bandwidth. Transfers are sequential.
type Link struct {
	bytesPerSecond float64
	mu             sync.Mutex
	busyUntil      time.Time
	totalBytes     int64
}

// NewLink returns an idle link. A rate of 0 means unlimited.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{bytesPerSecond: bytesPerSecond}
}

// Transfer waits until the bytes have been transferred, the context has ended, or
// stop is closed. The bytes count as sent when the transfer is queued, and use up
// bandwidth even if the wait is cancelled.
func (l *Link) Transfer(ctx context.Context, stop <-chan struct{}, bytes int64) error {
	timer := time.NewTimer(l.reserve(bytes))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-stop:
		return ErrConnectionLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Link) reserve(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totalBytes += bytes
	if l.bytesPerSecond <= 0 {
		return 0
	}
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return l.busyUntil.Sub(now)
}

// Sent returns the number of bytes of all transfers, including those still queued.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalBytes
}
