package logbook_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/logbook"
)

// output is an in-memory output. If unblock is set, writes block until it is closed.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	unblock chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *output) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.text.String(), text)
}

// reportedDrops returns the sum of the drop counts reported in the output.
func (o *output) reportedDrops(c *qt.C) logbook.DropCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	var sum logbook.DropCounts
	for line := range strings.Lines(o.text.String()) {
		if !strings.Contains(line, "log_left_out") {
			continue
		}
		var counts logbook.DropCounts
		c.Assert(json.Unmarshal([]byte(line), &counts), qt.IsNil)
		sum.Routine += counts.Routine
		sum.Important += counts.Important
	}
	return sum
}

func newLogger(cfg logbook.Config, out io.Writer) (*log.Logger, *logbook.Writer) {
	w := logbook.New(cfg, out, log.Logger{})
	return &log.Logger{
		Level:  log.DebugLevel,
		Writer: w,
	}, w
}

// Many debug lines must not use up the budget of warnings. Dropped lines are counted
// and reported.
func TestDebugLinesDoNotDisplaceWarnings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		logger, w := newLogger(logbook.Config{
			LinesPerSecond: 100,
			BytesPerSecond: 100_000,
			QueueCapacity:  1000,
		}, out)
		const seconds, successes, failures = 10, 500, 40
		for range seconds {
			for range successes {
				logger.Debug().Msg("answered")
			}
			for range failures {
				logger.Warn().Msg("failed")
			}
			time.Sleep(time.Second)
		}
		// Drops are reported within a second even if nothing else is logged.
		time.Sleep(100 * time.Millisecond)
		c.Check(out.count("failed"), qt.Equals, seconds*failures)
		answered := out.count("answered")
		c.Check(answered >= seconds*40 && answered <= seconds*60, qt.IsTrue, qt.Commentf("%d routine lines", answered))
		c.Check(w.Dropped(), qt.Equals, logbook.DropCounts{Routine: int64(seconds*successes - answered)})
		c.Check(out.reportedDrops(c), qt.Equals, w.Dropped())
		w.Close()
	})
}

func TestByteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		logger, w := newLogger(logbook.Config{
			LinesPerSecond: 1000,
			BytesPerSecond: 10_000,
			QueueCapacity:  1000,
		}, out)
		long := strings.Repeat("x", 900)
		for range 100 {
			logger.Warn().Msg(long)
		}
		w.Close()
		written := out.count(long)
		c.Check(written >= 9 && written <= 11, qt.IsTrue, qt.Commentf("%d lines", written))
		c.Check(w.Dropped().Important, qt.Equals, int64(100-written))
	})
}

// If the output blocks, for example because standard output is a full pipe, logging
// must not block. The lines that don't fit in the queue are dropped and counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{unblock: make(chan struct{})}
		logger, w := newLogger(logbook.Config{
			LinesPerSecond: 1000,
			BytesPerSecond: 1_000_000,
			QueueCapacity:  50,
		}, out)
		start := time.Now()
		for range 200 {
			logger.Warn().Msg("failed")
		}
		c.Check(time.Since(start), qt.Equals, time.Duration(0))
		synctest.Wait()
		dropped := w.Dropped().Important
		c.Check(dropped >= 149, qt.IsTrue, qt.Commentf("%d lines dropped", dropped))
		close(out.unblock)
		w.Close()
		c.Check(out.count("failed"), qt.Equals, 200-int(dropped))
		c.Check(out.reportedDrops(c), qt.Equals, w.Dropped())
	})
}

// brokenOutput fails each write, like a pipe whose reader has ended.
type brokenOutput struct{}

func (brokenOutput) Write([]byte) (int, error) { return 0, errors.New("broken pipe") }

// Guards against lines that are lost without being counted.
func TestFailedWritesAreCounted(t *testing.T) {
	c := qt.New(t)
	logger, w := newLogger(logbook.DefaultConfig(), brokenOutput{})
	for range 3 {
		logger.Warn().Msg("answered")
	}
	w.Close()
	c.Assert(w.Dropped(), qt.Equals, logbook.DropCounts{Unwritten: 3})
}
