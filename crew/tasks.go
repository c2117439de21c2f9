package crew

import (
	"context"
	"sync"

	"github.com/alitto/pond/v2"
)

// tasks runs background work on a bounded pool until its context is cancelled.
type tasks struct {
	ctx  context.Context
	pool pond.Pool

	mu      sync.Mutex
	stopped bool
	running sync.WaitGroup
}

func newTasks(ctx context.Context, maxWorkers int) *tasks {
	return &tasks{
		ctx:  ctx,
		pool: pond.NewPool(maxWorkers, pond.WithContext(ctx)),
	}
}

// submit queues a task. It returns false if the pool has stopped.
func (t *tasks) submit(task func(ctx context.Context)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return false
	}
	t.running.Add(1)
	err := t.pool.Go(func() {
		defer t.running.Done()
		task(t.ctx)
	})
	if err != nil {
		t.running.Done()
	}
	return err == nil
}

// stop accepts no further tasks and waits for the running ones. Their context must have
// been cancelled before.
func (t *tasks) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.running.Wait()
}
