// Package faultlog brings about the failures of proofs in virtual time: a log
// with faults that follow a seed, and hosts that are paused and killed between
// any two steps.
//
// # Usage
//
//	log := faultlog.New(seed, faultlog.Faults{Latency: 20 * time.Millisecond, LoseAnswer: 0.1})
//	host := faultlog.NewHost(cancel)
//	book := order.NewBook(order.Deps{Log: host.Log(log)})
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

// lateBy is how long after its lost answer a late append takes effect.
const lateBy = 5 * time.Second

// errLost is the error of an append whose answer is lost.
var errLost = errors.New("connection reset")

// Faults are the faults of a log. Chances go from 0 to 1.
type Faults struct {
	// LoseResponse is the chance that an append takes effect without an answer.
	LoseResponse float64
	// Refuse is the chance that the log refuses an append.
	Refuse float64
	// LateAppend is the chance that an append takes effect long after its answer
	// was lost.
	LateAppend float64
	// Latency bounds the time of a call each way.
	Latency time.Duration
	// MaxAppendsPerSecond bounds the appends; more are refused. Zero means no bound.
	MaxAppendsPerSecond int
	// Down makes every call fail before it is sent.
	Down bool
}

// Log is a log in memory with faults. It is safe for concurrent use.
type Log struct {
	platform *standin.Platform

	mu     sync.Mutex
	rand   *rand.Rand
	faults Faults
	second int64
	used   int
}

// New returns an empty log whose faults follow a seed.
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

// Update changes the faults.
func (l *Log) Update(change func(f *Faults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int { return int(l.platform.Appends()) }

// Trim drops the records of a stream that were appended before a time.
func (l *Log) Trim(stream ledger.Stream, before time.Time) {
	const all = 1 << 30
	page, err := l.platform.Read(context.Background(), stream, 0, all)
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

// Append appends a record with the faults in force.
func (l *Log) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	faults, drawn := l.draw()
	switch {
	case faults.Down:
		return 0, ledger.ErrUnavailable
	case drawn < faults.Refuse, l.isOver(faults.MaxAppendsPerSecond):
		return 0, ledger.ErrRefused
	case drawn < faults.Refuse+faults.LateAppend:
		time.AfterFunc(lateBy, func() { _, _ = l.platform.Append(context.Background(), stream, payload) })
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
	lost := drawn < faults.Refuse+faults.LateAppend+faults.LoseResponse
	if faults, _ := l.draw(); faults.Down || lost {
		return 0, errLost
	}
	return offset, nil
}

// Read returns records with the faults in force.
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

func (l *Log) draw() (Faults, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.rand.Float64()
}

func (l *Log) delay(ctx context.Context, faults Faults) error {
	l.mu.Lock()
	d := time.Duration(l.rand.Int64N(int64(faults.Latency) + 1))
	l.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isOver counts an append, and tells whether those of the second are spent.
func (l *Log) isOver(perSecond int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second = now
		l.used = 0
	}
	l.used++
	return perSecond > 0 && l.used > perSecond
}

var _ ledger.Log = (*Log)(nil)
