// Package logbook writes log lines within a budget and without ever blocking.
//
// Lines wait in a bounded queue for one goroutine that writes them. A line over
// the budget of lines or bytes a second, or one that finds the queue full, is
// left out and counted; a line about what went well may take half of the budget
// only, so that it is left out before one about what failed.
//
// # Usage
//
//	book := logbook.New(logbook.DefaultConfig(), os.Stdout, logger)
//	log.DefaultLogger.Writer = book
//	defer book.Close()
package logbook

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/bucket"
	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/settings"
)

// Config holds the settings of a Book.
type Config struct {
	// LinesPerSecond and BytesPerSecond bound what is written.
	LinesPerSecond int `json:"lines_per_second"`
	BytesPerSecond int `json:"bytes_per_second"`
	// QueueCapacity bounds the lines that wait to be written.
	QueueCapacity int `json:"waiting"`
}

// DefaultConfig returns the settings in use when none are given: an instance of
// the planned size serves 32 requests a second, of 3 lines and 300 bytes each, and
// may have to tell of ten times as many failures.
func DefaultConfig() Config {
	return Config{
		LinesPerSecond: 1000,
		BytesPerSecond: 400_000,
		QueueCapacity:  4096,
	}
}

// Check records the values that are not allowed.
func (c Config) Check(p *settings.Problems) {
	p.Positive("lines_per_second", c.LinesPerSecond)
	p.Positive("bytes_per_second", c.BytesPerSecond)
	p.Positive("waiting", c.QueueCapacity)
}

const (
	// reportEvery is the time within which a line tells of lines left out.
	reportEvery = time.Second
	// closeTime bounds the wait for the last lines.
	closeTime = 200 * time.Millisecond
	// routineShare is the part of the budget that lines about what went well may
	// take.
	routineShare = 0.5
)

// DropCounts are numbers of lines by what they are about.
type DropCounts struct {
	// Routine lines tell what went well.
	Routine int64 `json:"routine"`
	// Important lines tell the rest.
	Important int64 `json:"kept"`
}

// Writer is a log.Writer.
type Writer struct {
	cfg    Config
	out    io.Writer
	logger log.Logger
	queue  chan []byte
	done   chan struct{}
	closed sync.Once

	lines   bucket.Bucket
	bytes   bucket.Bucket
	routine lane
	kept    lane
}

// New returns a book that writes to out. Its own lines have the form of the
// logger's.
func New(cfg Config, out io.Writer, logger log.Logger) *Writer {
	b := &Writer{
		cfg:    cfg,
		out:    out,
		logger: logger,
		queue:  make(chan []byte, cfg.QueueCapacity),
		done:   make(chan struct{}),
	}
	b.logger.Writer = &log.IOWriter{Writer: out}
	b.routine.init(b, routineShare)
	b.kept.init(b, 1)
	go b.write()
	return b
}

// WriteEntry takes one line in without blocking.
func (b *Writer) WriteEntry(e *log.Entry) (int, error) {
	if e.Level <= log.DebugLevel {
		return b.routine.writer.WriteEntry(e)
	}
	return b.kept.writer.WriteEntry(e)
}

// Dropped returns how many lines were left out so far.
func (b *Writer) Dropped() DropCounts {
	return DropCounts{
		Routine:   b.routine.left.Load(),
		Important: b.kept.left.Load(),
	}
}

// Close writes what waits, for a short time.
func (b *Writer) Close() {
	limit := time.After(closeTime)
	b.closed.Do(func() {
		select {
		case b.queue <- nil:
		case <-limit:
		}
	})
	select {
	case <-b.done:
	case <-limit:
	}
}

// write writes lines until a nil one.
func (b *Writer) write() {
	defer close(b.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var told DropCounts
	for {
		select {
		case line := <-b.queue:
			if line == nil {
				b.report(&told)
				return
			}
			// An output that fails has no other place to be told of.
			_, _ = b.out.Write(line)
		case <-ticker.C:
			b.report(&told)
		}
	}
}

// report tells of lines left out since the last report.
func (b *Writer) report(told *DropCounts) {
	now := b.Dropped()
	if now == *told {
		return
	}
	b.logger.Warn().Str(event.Key, string(event.LinesDropped)).Int64("routine", now.Routine-told.Routine).
		Int64("kept", now.Important-told.Important).Msg("log lines left out")
	*told = now
}

// lane is one kind of lines.
type lane struct {
	book   *Writer
	writer log.IOWriter
	// share is the part of the budget that the lane may take.
	share float64
	lines bucket.Bucket
	bytes bucket.Bucket
	left  atomic.Int64
}

func (l *lane) init(book *Writer, share float64) {
	l.book = book
	l.share = share
	l.writer.Writer = l
}

// Write takes one encoded line in.
func (l *lane) Write(line []byte) (int, error) {
	if !l.admit(float64(len(line)), time.Now()) {
		l.left.Add(1)
		return len(line), nil
	}
	select {
	case l.book.queue <- bytes.Clone(line):
	default:
		l.left.Add(1)
	}
	return len(line), nil
}

// admit spends a line of so many bytes from the lane's part of the budget and from
// the whole.
func (l *lane) admit(size float64, now time.Time) bool {
	lines, bytes := float64(l.book.cfg.LinesPerSecond), float64(l.book.cfg.BytesPerSecond)
	spend := []struct {
		bucket *bucket.Bucket
		n      float64
		rate   float64
	}{
		{
			bucket: &l.lines,
			n:      1,
			rate:   lines * l.share,
		},
		{
			bucket: &l.bytes,
			n:      size,
			rate:   bytes * l.share,
		},
		{
			bucket: &l.book.lines,
			n:      1,
			rate:   lines,
		},
		{
			bucket: &l.book.bytes,
			n:      size,
			rate:   bytes,
		},
	}
	for i, s := range spend {
		if _, ok := s.bucket.Take(s.n, s.rate, now); !ok {
			for _, back := range spend[:i] {
				back.bucket.Return(back.n, back.rate)
			}
			return false
		}
	}
	return true
}

var (
	_ log.Writer = (*Writer)(nil)
	_ io.Writer  = (*lane)(nil)
)
