package firing

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/kiln"
)

const (
	cancelWorkers    = 16
	cancelTries      = 4
	cancelTimeout    = 500 * time.Millisecond
	cancelRetryDelay = 200 * time.Millisecond
)

// DirectCanceller sends cancels from its own worker pool. It retries cancels that get
// no response up to cancelTries times.
type DirectCanceller struct {
	engines Engines
	pool    pond.Pool
	stop    context.CancelFunc
	pending sync.WaitGroup
}

// NewDirectCanceller returns a canceller. The caller must close it after use.
func NewDirectCanceller(engines Engines) *DirectCanceller {
	ctx, stop := context.WithCancel(context.Background())
	return &DirectCanceller{
		engines: engines,
		pool:    pond.NewPool(cancelWorkers, pond.WithContext(ctx)),
		stop:    stop,
	}
}

// Cancel frees the resources of the attempt on an engine. It returns immediately.
func (c *DirectCanceller) Cancel(address, attempt string, owner kiln.Owner) {
	c.pending.Add(1)
	err := c.pool.Go(func() {
		defer c.pending.Done()
		c.cancel(address, attempt, owner)
	})
	if err != nil {
		c.pending.Done()
		log.Warn().Str("step", "cancel").Str("peer", address).Str("attempt", attempt).Err(err).Msg("cannot queue the cancel")
	}
}

func (c *DirectCanceller) cancel(address, attempt string, owner kiln.Owner) {
	engine := c.engines.Engine(address)
	for range cancelTries {
		err := cancelOnce(engine, attempt, owner)
		if err == nil || isRefusal(err) {
			return
		}
		time.Sleep(cancelRetryDelay)
	}
	log.Warn().Str("step", "cancel").Str("peer", address).Str("attempt", attempt).Msg("no response to the cancel")
}

func cancelOnce(engine kiln.Engine, attempt string, owner kiln.Owner) error {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	return engine.Cancel(ctx, attempt, owner)
}

// Close waits for the cancels in flight and stops the worker pool.
func (c *DirectCanceller) Close() {
	c.pending.Wait()
	c.stop()
}

var _ Canceller = (*DirectCanceller)(nil)
