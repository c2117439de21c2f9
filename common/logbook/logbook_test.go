package logbook_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/logbook"
)

// output is a standard output that can stall.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stalled chan struct{}
}

func (o *output) Write(line []byte) (int, error) {
	if o.stalled != nil {
		<-o.stalled
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

// told adds up what the lines tell of lines left out.
func (o *output) told(c *qt.C) logbook.DropCounts {
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

func newLogger(cfg logbook.Config, out *output) (*log.Logger, *logbook.Writer) {
	book := logbook.New(cfg, out, log.Logger{})
	return &log.Logger{
		Level:  log.DebugLevel,
		Writer: book,
	}, book
}

// A flood of lines about what went well leaves room for those about failures, and
// what is left out is told.
func TestFailuresAreKeptInAFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		logger, book := newLogger(logbook.Config{
			LinesPerSecond: 100,
			BytesPerSecond: 100_000,
			QueueCapacity:  1000,
		}, out)
		const seconds, flood, failures = 10, 500, 40
		for range seconds {
			for range flood {
				logger.Debug().Msg("answered")
			}
			for range failures {
				logger.Warn().Msg("failed")
			}
			time.Sleep(time.Second)
		}
		// What was left out is told within a second, also when no line follows.
		time.Sleep(100 * time.Millisecond)
		c.Check(out.count("failed"), qt.Equals, seconds*failures)
		answered := out.count("answered")
		c.Check(answered >= seconds*40 && answered <= seconds*60, qt.IsTrue, qt.Commentf("%d routine lines", answered))
		c.Check(book.Dropped(), qt.Equals, logbook.DropCounts{Routine: int64(seconds*flood - answered)})
		c.Check(out.told(c), qt.Equals, book.Dropped())
		book.Close()
	})
}

// Bytes are bounded like lines.
func TestBytesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		logger, book := newLogger(logbook.Config{
			LinesPerSecond: 1000,
			BytesPerSecond: 10_000,
			QueueCapacity:  1000,
		}, out)
		long := strings.Repeat("x", 900)
		for range 100 {
			logger.Warn().Msg(long)
		}
		book.Close()
		written := out.count(long)
		c.Check(written >= 9 && written <= 11, qt.IsTrue, qt.Commentf("%d lines", written))
		c.Check(book.Dropped().Important, qt.Equals, int64(100-written))
	})
}

// A standard output that stalls costs lines, which are counted, and no time.
func TestStalledOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{stalled: make(chan struct{})}
		logger, book := newLogger(logbook.Config{
			LinesPerSecond: 1000,
			BytesPerSecond: 1_000_000,
			QueueCapacity:  50,
		}, out)
		began := time.Now()
		for range 200 {
			logger.Warn().Msg("failed")
		}
		c.Check(time.Since(began), qt.Equals, time.Duration(0))
		synctest.Wait()
		left := book.Dropped().Important
		c.Check(left >= 149, qt.IsTrue, qt.Commentf("%d left out", left))
		close(out.stalled)
		book.Close()
		c.Check(out.count("failed"), qt.Equals, 200-int(left))
		c.Check(out.told(c), qt.Equals, book.Dropped())
	})
}
