package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// activeWriterTTL is how long a writer counts as active after its last batch.
	activeWriterTTL = 3 * time.Second
	// appendBurst is the number of appends that may be sent without delay.
	appendBurst = 2
	// minRateFactor is the lower limit of the factor that refused appends reduce.
	minRateFactor = 1.0 / 16
	// slowDownFactor is applied to the rate after a refused append, and speedUpFactor
	// after an accepted one.
	slowDownFactor = 0.5
	speedUpFactor  = 1.05
)

// rateLimiter limits the append rate of this writer. All active writers of the stream get
// an equal share of the total rate. The share is reduced after refused appends.
type rateLimiter struct {
	limiter *rate.Limiter

	mu        sync.Mutex
	totalRate float64
	factor    float64
	// writers holds the time of the last batch of each active writer.
	writers map[string]time.Time
}

func newRateLimiter(total float64) *rateLimiter {
	return &rateLimiter{
		limiter:   rate.NewLimiter(rate.Limit(total), appendBurst),
		totalRate: total,
		factor:    1,
		writers:   map[string]time.Time{},
	}
}

// wait blocks until the next append is allowed or the context ends.
func (l *rateLimiter) wait(ctx context.Context) error {
	l.mu.Lock()
	l.updateRate(time.Now())
	l.mu.Unlock()
	return l.limiter.Wait(ctx)
}

// observeWriter marks a writer as active.
func (l *rateLimiter) observeWriter(writer string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writers[writer] = now
}

// slowDown reduces the rate after a refused append. speedUp increases it after an
// accepted one, at most to the full share.
func (l *rateLimiter) slowDown() { l.scale(slowDownFactor) }
func (l *rateLimiter) speedUp()  { l.scale(speedUpFactor) }

func (l *rateLimiter) scale(by float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.factor = min(max(l.factor*by, minRateFactor), 1)
}

func (l *rateLimiter) updateRate(now time.Time) {
	for writer, at := range l.writers {
		if now.Sub(at) > activeWriterTTL {
			delete(l.writers, writer)
		}
	}
	active := max(len(l.writers), 1)
	l.limiter.SetLimitAt(now, rate.Limit(l.totalRate*l.factor/float64(active)))
}
