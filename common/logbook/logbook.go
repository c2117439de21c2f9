// Package logbook implements a rate-limited, non-blocking log writer.
//
// Lines are written by one goroutine that reads them from a bounded queue. A line is
// dropped and counted if it exceeds the budget of lines or bytes per second, or if the
// queue is full. Debug lines, which report successes, may use only half of the budget,
// so that they are dropped before lines that report failures.
//
// # Usage
//
//	w := logbook.New(logbook.DefaultConfig(), os.Stdout, logger)
//	log.DefaultLogger.Writer = w
//	defer w.Close()
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

// Config holds the settings of a Writer.
type Config struct {
	// LinesPerSecond and BytesPerSecond are the budget.
	LinesPerSecond int `json:"lines_per_second"`
	BytesPerSecond int `json:"bytes_per_second"`
	// QueueCapacity is the maximum number of lines that wait to be written.
	QueueCapacity int `json:"waiting"`
}

// DefaultConfig returns the default settings. An instance of the planned size serves
// 32 requests per second, each with 3 lines of 300 bytes, and may have to report ten
// times as many failures.
func DefaultConfig() Config {
	return Config{
		LinesPerSecond: 1000,
		BytesPerSecond: 400_000,
		QueueCapacity:  4096,
	}
}

// Check reports invalid settings to p.
func (c Config) Check(p *settings.Problems) {
	p.Positive("lines_per_second", c.LinesPerSecond)
	p.Positive("bytes_per_second", c.BytesPerSecond)
	p.Positive("waiting", c.QueueCapacity)
}

const (
	// reportInterval is the interval at which dropped lines are reported.
	reportInterval = time.Second
	// closeTimeout is the time that Close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
	// routineShare is the share of the budget that debug lines may use.
	routineShare = 0.5
)

// DropCounts holds the numbers of dropped lines.
type DropCounts struct {
	// Routine is the number of debug lines, which report successes.
	Routine int64 `json:"routine"`
	// Important is the number of lines of all other levels.
	Important int64 `json:"kept"`
	// Unwritten is the number of lines whose write failed, for example because the reader
	// of the standard output has ended.
	Unwritten int64 `json:"unwritten"`
}

// Writer is a rate-limited log.Writer that never blocks.
type Writer struct {
	cfg       Config
	output    io.Writer
	logger    log.Logger
	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once

	// lines and bytes are the budget shared by both classes.
	lines     bucket.Bucket
	bytes     bucket.Bucket
	routine   lineClass
	important lineClass
	unwritten atomic.Int64
}

// New returns a Writer that writes to out. Lines that report dropped lines have the
// format of logger.
func New(cfg Config, out io.Writer, logger log.Logger) *Writer {
	w := &Writer{
		cfg:    cfg,
		output: out,
		logger: logger,
		queue:  make(chan []byte, cfg.QueueCapacity),
		done:   make(chan struct{}),
	}
	w.logger.Writer = &log.IOWriter{Writer: out}
	w.routine.init(w, routineShare)
	w.important.init(w, 1)
	go w.write()
	return w
}

// WriteEntry queues or drops one line. It never blocks.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	if e.Level <= log.DebugLevel {
		return w.routine.encoder.WriteEntry(e)
	}
	return w.important.encoder.WriteEntry(e)
}

// Dropped returns the numbers of lines dropped so far.
func (w *Writer) Dropped() DropCounts {
	return DropCounts{
		Routine:   w.routine.dropped.Load(),
		Important: w.important.dropped.Load(),
		Unwritten: w.unwritten.Load(),
	}
}

// Close waits a short time for the queued lines to be written. Lines logged after
// Close are lost.
func (w *Writer) Close() {
	timeout := time.After(closeTimeout)
	w.closeOnce.Do(func() {
		select {
		case w.queue <- nil:
		case <-timeout:
		}
	})
	select {
	case <-w.done:
	case <-timeout:
	}
}

// write writes the queued lines until it receives a nil line.
func (w *Writer) write() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported DropCounts
	for {
		select {
		case line := <-w.queue:
			if line == nil {
				w.report(&reported)
				return
			}
			// Failures can be reported only later, or in the metrics.
			if _, err := w.output.Write(line); err != nil {
				w.unwritten.Add(1)
			}
		case <-ticker.C:
			w.report(&reported)
		}
	}
}

// report logs the numbers of lines dropped since the last report.
func (w *Writer) report(reported *DropCounts) {
	dropped := w.Dropped()
	if dropped == *reported {
		return
	}
	w.logger.Warn().Str(event.Key, string(event.LinesDropped)).Int64("routine", dropped.Routine-reported.Routine).
		Int64("kept", dropped.Important-reported.Important).Int64("unwritten", dropped.Unwritten-reported.Unwritten).Msg("log lines dropped")
	*reported = dropped
}

// lineClass is a class of lines with a share of the budget.
type lineClass struct {
	parent *Writer
	// encoder formats entries and passes them to Write.
	encoder log.IOWriter
	// share is the share of the budget that lines of this class may use.
	share   float64
	lines   bucket.Bucket
	bytes   bucket.Bucket
	dropped atomic.Int64
}

func (l *lineClass) init(parent *Writer, share float64) {
	l.parent = parent
	l.share = share
	l.encoder.Writer = l
}

// Write queues one encoded line, or drops it if the budget is used up or the queue is
// full.
func (l *lineClass) Write(line []byte) (int, error) {
	if !l.takeBudget(float64(len(line)), time.Now()) {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.parent.queue <- bytes.Clone(line):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// takeBudget takes a line of size bytes from the share of the class and from the whole
// budget. If either is used up, it takes nothing and returns false.
func (l *lineClass) takeBudget(size float64, now time.Time) bool {
	lineRate, byteRate := float64(l.parent.cfg.LinesPerSecond), float64(l.parent.cfg.BytesPerSecond)
	charges := []struct {
		bucket *bucket.Bucket
		n      float64
		rate   float64
	}{
		{
			bucket: &l.lines,
			n:      1,
			rate:   lineRate * l.share,
		},
		{
			bucket: &l.bytes,
			n:      size,
			rate:   byteRate * l.share,
		},
		{
			bucket: &l.parent.lines,
			n:      1,
			rate:   lineRate,
		},
		{
			bucket: &l.parent.bytes,
			n:      size,
			rate:   byteRate,
		},
	}
	for i, charge := range charges {
		if _, ok := charge.bucket.Take(charge.n, charge.rate, now); !ok {
			for _, taken := range charges[:i] {
				taken.bucket.Return(taken.n, taken.rate)
			}
			return false
		}
	}
	return true
}

var (
	_ log.Writer = (*Writer)(nil)
	_ io.Writer  = (*lineClass)(nil)
)
