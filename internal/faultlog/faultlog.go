// Package faultlog implements fault injection for tests in virtual time: an in-memory log
// whose faults are determined by a seed, and hosts that tests pause or kill.
//
// # Usage
//
//	log := faultlog.New(seed, faultlog.Faults{Latency: 20 * time.Millisecond, LoseResponse: 0.1})
//	host := faultlog.NewHost(cancel)
//	executor := order.NewExecutor(order.Deps{Log: host.Log(log)})
//	host.Pause()
package faultlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/standin"
)

// lateAppendDelay is the time between the error of a late append and its effect.
const lateAppendDelay = 5 * time.Second

// errLost is the error of an append whose response is lost.
var errLost = errors.New("connection reset")

// Faults configures the faults of a log. Probabilities are in the range 0 to 1.
type Faults struct {
	// LoseResponse is the probability that an append takes effect, but returns an error
	// because its response is lost.
	LoseResponse float64
	// Refuse is the probability that the log refuses an append.
	Refuse float64
	// LateAppend is the probability that an append returns an error because its response
	// is lost, and takes effect lateAppendDelay after that.
	LateAppend float64
	// Latency is the maximum latency in each direction of a call.
	Latency time.Duration
	// MaxAppendsPerSecond is the number of appends per second above which appends are
	// refused. Zero means no limit.
	MaxAppendsPerSecond int
	// Down makes every call fail before it takes effect. An append that is in flight when
	// Down is set takes effect, but loses its response.
	Down bool
}

// Log is an in-memory log with faults. It is safe for concurrent use.
type Log struct {
	platform *standin.Platform

	mu              sync.Mutex
	rand            *rand.Rand
	faults          Faults
	second          int64 // Unix time of the second that appendsInSecond counts
	appendsInSecond int
}

// New returns an empty log whose faults are determined by seed.
func New(seed uint64, faults Faults) *Log {
	cfg := standin.DefaultPlatformConfig()
	cfg.AppendsPerSecond = 1e9
	cfg.AppendBurst = 1e9
	cfg.AppendMS = 0
	cfg.ReadMS = 0
	cfg.RetentionMS = 0
	cfg.RetentionRecords = 1e9
	return &Log{
		platform: standin.NewPlatform(cfg),
		rand:     rand.New(rand.NewPCG(seed, 1)),
		faults:   faults,
	}
}

// Update calls change to modify the faults of later calls.
func (l *Log) Update(change func(f *Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int { return int(l.platform.Appends()) }

// Trim removes the records of a stream that were appended before a time.
func (l *Log) Trim(stream ledger.Stream, before time.Time) {
	const maxRecords = 1 << 30
	page, err := l.platform.Read(context.Background(), stream, 0, maxRecords)
	if err != nil {
		return
	}
	end := page.End
	for _, record := range page.Records {
		if !record.At.Before(before) {
			end = record.Offset
			break
		}
	}
	l.platform.Trim(stream, end)
}

// Append implements ledger.Log with the current faults.
func (l *Log) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	faults, p := l.draw()
	switch {
	case faults.Down:
		return 0, ledger.ErrUnavailable
	case p < faults.Refuse, l.isOverLimit(faults.MaxAppendsPerSecond):
		return 0, ledger.ErrRefused
	case p < faults.Refuse+faults.LateAppend:
		time.AfterFunc(lateAppendDelay, func() { _, _ = l.platform.Append(context.Background(), stream, payload) })
		return 0, errLost
	}
	if err := l.delay(ctx, faults); err != nil {
		return 0, err
	}
	offset, err := l.platform.Append(context.Background(), stream, payload)
	if err != nil {
		return 0, err
	}
	if err := l.delay(ctx, faults); err != nil {
		return 0, err
	}
	lost := p < faults.Refuse+faults.LateAppend+faults.LoseResponse
	if faults, _ := l.draw(); faults.Down || lost {
		return 0, errLost
	}
	return offset, nil
}

// Read implements ledger.Log with the current faults.
func (l *Log) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	faults, _ := l.draw()
	if faults.Down {
		return ledger.Page{}, ledger.ErrUnavailable
	}
	if err := l.delay(ctx, faults); err != nil {
		return ledger.Page{}, err
	}
	return l.platform.Read(ctx, stream, from, limit)
}

// draw returns the current faults and a random number in [0, 1).
func (l *Log) draw() (Faults, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.rand.Float64()
}

// delay waits for a random latency. It returns the error of ctx if ctx is done before.
func (l *Log) delay(ctx context.Context, faults Faults) error {
	l.mu.Lock()
	latency := time.Duration(l.rand.Int64N(int64(faults.Latency) + 1))
	l.mu.Unlock()
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isOverLimit counts an append and reports whether the appends of the current second exceed
// the limit.
func (l *Log) isOverLimit(maxPerSecond int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second = now
		l.appendsInSecond = 0
	}
	l.appendsInSecond++
	return maxPerSecond > 0 && l.appendsInSecond > maxPerSecond
}

var _ ledger.Log = (*Log)(nil)
