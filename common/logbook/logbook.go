// Package logbook implements a rate-limited, non-blocking log writer.
//
// Lines are written by one goroutine that reads them from a bounded queue. A line is
// dropped and counted if it exceeds the budget of lines or bytes per second, or if the
// queue is full. Debug lines, which report successes, may use only half of the budget,
// so that they are dropped before lines that report failures. A part is reserved for all
// levels other than debug and warn, so that many refused requests don't displace them.
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
	// flushTimeout is the time after Close in which queued lines are written. Then only the
	// last one is, and a report of the others. Close returns after closeTimeout at the latest.
	flushTimeout = 150 * time.Millisecond
	closeTimeout = 200 * time.Millisecond
	// routineShare is the share of the budget that debug lines may use, warningShare the
	// one of debug lines and warnings together.
	routineShare = 0.5
	warningShare = 0.9
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
	queue     chan queuedLine
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
	// flushBy is the end of the time to write queued lines. It is set before closing is closed.
	flushBy time.Time

	routine   lineClass
	warnings  lineClass
	important lineClass
	unwritten atomic.Int64
}

// queuedLine is an encoded line that waits to be written.
type queuedLine struct {
	class *lineClass
	text  []byte
}

// New returns a Writer that writes to out. Lines that report dropped lines have the
// format of logger.
func New(cfg Config, out io.Writer, logger log.Logger) *Writer {
	w := &Writer{
		cfg:     cfg,
		output:  out,
		logger:  logger,
		queue:   make(chan queuedLine, cfg.QueueCapacity),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	w.logger.Writer = &log.IOWriter{Writer: out}
	whole := &budget{share: 1}
	most := &budget{share: warningShare}
	half := &budget{share: routineShare}
	w.routine.init(w, half, most, whole)
	w.warnings.init(w, most, whole)
	w.important.init(w, whole)
	go w.write()
	return w
}

// WriteEntry queues or drops one line. It never blocks.
func (w *Writer) WriteEntry(e *log.Entry) (int, error) {
	switch {
	case e.Level <= log.DebugLevel:
		return w.routine.encoder.WriteEntry(e)
	case e.Level == log.WarnLevel:
		return w.warnings.encoder.WriteEntry(e)
	}
	return w.important.encoder.WriteEntry(e)
}

// Dropped returns the numbers of lines dropped so far.
func (w *Writer) Dropped() DropCounts {
	return DropCounts{
		Routine:   w.routine.dropped.Load(),
		Important: w.warnings.dropped.Load() + w.important.dropped.Load(),
		Unwritten: w.unwritten.Load(),
	}
}

// Close waits a short time for the queued lines to be written. Lines logged after
// Close are lost.
func (w *Writer) Close() {
	w.closeOnce.Do(func() {
		w.flushBy = time.Now().Add(flushTimeout)
		close(w.closing)
	})
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// write writes the queued lines until the Writer is closed.
func (w *Writer) write() {
	defer close(w.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var reported DropCounts
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-ticker.C:
			w.report(&reported)
		case <-w.closing:
			w.flush()
			w.report(&reported)
			return
		}
	}
}

func (w *Writer) writeLine(line queuedLine) {
	// Failures can be reported only later, or in the metrics.
	if _, err := w.output.Write(line.text); err != nil {
		w.unwritten.Add(1)
	}
}

// flush writes the queued lines until flushBy. It drops and counts the others except for
// the last one, which tells how the process ends.
func (w *Writer) flush() {
	var last queuedLine
	for {
		select {
		case line := <-w.queue:
			if time.Now().Before(w.flushBy) {
				w.writeLine(line)
				continue
			}
			if last.class != nil {
				last.class.dropped.Add(1)
			}
			last = line
		default:
			if last.class != nil {
				w.writeLine(last)
			}
			return
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

// budget is a share of the lines and bytes per second.
type budget struct {
	share float64
	lines bucket.Bucket
	bytes bucket.Bucket
}

// take takes a line of size bytes. If the lines or the bytes are used up, it takes nothing
// and returns false.
func (b *budget) take(cfg Config, size float64, now time.Time) bool {
	lineRate, byteRate := float64(cfg.LinesPerSecond)*b.share, float64(cfg.BytesPerSecond)*b.share
	if _, ok := b.lines.Take(1, lineRate, now); !ok {
		return false
	}
	if _, ok := b.bytes.Take(size, byteRate, now); !ok {
		b.lines.Return(1, lineRate)
		return false
	}
	return true
}

// giveBack returns a line that was taken.
func (b *budget) giveBack(cfg Config, size float64) {
	b.lines.Return(1, float64(cfg.LinesPerSecond)*b.share)
	b.bytes.Return(size, float64(cfg.BytesPerSecond)*b.share)
}

// lineClass is a class of lines that share budgets.
type lineClass struct {
	parent *Writer
	// encoder formats entries and passes them to Write.
	encoder log.IOWriter
	// budgets are those from which each line is taken.
	budgets []*budget
	dropped atomic.Int64
}

func (l *lineClass) init(parent *Writer, budgets ...*budget) {
	l.parent = parent
	l.budgets = budgets
	l.encoder.Writer = l
}

// Write queues one encoded line, or drops it if a budget is used up or the queue is full.
func (l *lineClass) Write(line []byte) (int, error) {
	if !l.takeBudgets(float64(len(line)), time.Now()) {
		l.dropped.Add(1)
		return len(line), nil
	}
	queued := queuedLine{
		class: l,
		text:  bytes.Clone(line),
	}
	select {
	case l.parent.queue <- queued:
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// takeBudgets takes a line of size bytes from all budgets. If one is used up, it takes
// nothing and returns false.
func (l *lineClass) takeBudgets(size float64, now time.Time) bool {
	for i, b := range l.budgets {
		if !b.take(l.parent.cfg, size, now) {
			for _, taken := range l.budgets[:i] {
				taken.giveBack(l.parent.cfg, size)
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
