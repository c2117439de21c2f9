package ledger

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// writerWindow is how long a writer counts as active after a batch of it.
	writerWindow = 3 * time.Second
	// paceBurst is the number of appends that may go out at once.
	paceBurst = 2
	// minPaceFactor bounds the slowdown after refusals.
	minPaceFactor = 1.0 / 16
	// refusedFactor and acceptedFactor change the pace after an answer.
	refusedFactor  = 0.5
	acceptedFactor = 1.05
)

// pace shares the log's rate of appends among the writers that are seen in
// the stream: each takes an equal part, and less after refusals.
type pace struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	total   float64
	factor  float64
	writers map[string]time.Time
}

func newPace(total float64) *pace {
	return &pace{
		limiter: rate.NewLimiter(rate.Limit(total), paceBurst),
		total:   total,
		factor:  1,
		writers: map[string]time.Time{},
	}
}

// wait blocks until the next append may go out.
func (p *pace) wait(ctx context.Context) error {
	p.mu.Lock()
	p.adjust(time.Now())
	p.mu.Unlock()
	return p.limiter.Wait(ctx)
}

// seen notes that a writer is active.
func (p *pace) seen(writer string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writers[writer] = now
}

// refused slows down, accepted speeds up again.
func (p *pace) refused()  { p.scale(refusedFactor) }
func (p *pace) accepted() { p.scale(acceptedFactor) }

func (p *pace) scale(by float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.factor = min(max(p.factor*by, minPaceFactor), 1)
}

func (p *pace) adjust(now time.Time) {
	for writer, at := range p.writers {
		if now.Sub(at) > writerWindow {
			delete(p.writers, writer)
		}
	}
	active := max(len(p.writers), 1)
	p.limiter.SetLimitAt(now, rate.Limit(p.total*p.factor/float64(active)))
}
