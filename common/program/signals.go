package program

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
)

// ignoreBrokenPipes makes writes to a standard output or error without a reader fail. By
// default they end the process.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// notifyTermination returns a channel that receives SIGTERM and SIGINT. It is called first of all: until then they end
// the process at once. They stay handled until the process exits, since a repeated one must not cut off a graceful stop.
func notifyTermination() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// addTermination adds an actor that ends the group with the first signal.
func addTermination(g *run.Group, signals <-chan os.Signal) {
	done := make(chan struct{})
	g.Add(func() error {
		select {
		case s := <-signals:
			go logRepeated(signals)
			return &run.SignalError{Signal: s}
		case <-done:
			return nil
		}
	}, func(error) { close(done) })
}

func logRepeated(signals <-chan os.Signal) {
	for s := range signals {
		log.Warn().Str(event.Key, string(event.Stop)).Str("signal", s.String()).Msg("already stopping, signal ignored")
	}
}
