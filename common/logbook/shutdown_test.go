package logbook_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/logbook"
)

// slowOutput takes a time for each write.
type slowOutput struct {
	output
	delay time.Duration
}

func (o *slowOutput) Write(line []byte) (int, error) {
	time.Sleep(o.delay)
	return o.output.Write(line)
}

// Guards against lines that are lost uncounted when a program ends before its slow output has taken them.
func TestLinesLostAtExitAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &slowOutput{delay: time.Millisecond}
		logger, w := newLogger(logbook.Config{
			LinesPerSecond: 10_000,
			BytesPerSecond: 10_000_000,
			QueueCapacity:  500,
		}, out)
		const lines = 400
		for range lines {
			logger.Debug().Msg("answered")
		}
		logger.Info().Msg("process exits")
		start := time.Now()
		w.Close()
		c.Check(time.Since(start) <= 200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		c.Check(out.count("process exits"), qt.Equals, 1)
		c.Check(out.count("answered")+int(out.reportedDrops(c).Routine), qt.Equals, lines)
		c.Check(out.reportedDrops(c), qt.Equals, w.Dropped())
	})
}

// Guards against a last report that is lost because the queue is full when a program ends.
func TestFullQueueAtExitIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &slowOutput{delay: 10 * time.Millisecond}
		logger, w := newLogger(logbook.Config{
			LinesPerSecond: 10_000,
			BytesPerSecond: 10_000_000,
			QueueCapacity:  50,
		}, out)
		const lines = 400
		for range lines {
			logger.Warn().Msg("refused")
		}
		w.Close()
		c.Check(out.count("refused")+int(out.reportedDrops(c).Important), qt.Equals, lines)
	})
}

// Guards against refusals of a stop that displace the lines about the stop itself and about cut requests.
func TestWarningsDoNotDisplaceOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		out := &output{}
		logger, w := newLogger(logbook.Config{
			LinesPerSecond: 100,
			BytesPerSecond: 100_000,
			QueueCapacity:  1000,
		}, out)
		const seconds = 5
		for range seconds {
			for range 300 {
				logger.Debug().Msg("answered")
				logger.Warn().Msg("refused")
			}
			for range 4 {
				logger.Info().Msg("stopped")
				logger.Error().Msg("cut")
			}
			time.Sleep(time.Second)
		}
		w.Close()
		c.Check(out.count("stopped"), qt.Equals, 4*seconds)
		c.Check(out.count("cut"), qt.Equals, 4*seconds)
		c.Check(out.reportedDrops(c), qt.Equals, w.Dropped())
	})
}
