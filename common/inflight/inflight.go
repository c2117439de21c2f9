// Package inflight counts goroutines in flight, so that a graceful shutdown can wait
// for them while new ones may still start.
//
// # Usage
//
//	var work inflight.Group
//	work.Go(func() { ... })
//	remaining := work.Wait(ctx)
package inflight

import (
	"context"
	"sync"
)

// Group counts goroutines. The zero value is ready to use. Unlike with sync.WaitGroup,
// Go and Wait may be called concurrently even when the count is zero.
type Group struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// Go runs f in a new goroutine.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	g.n++
	g.mu.Unlock()
	go func() {
		defer g.done()
		f()
	}()
}

func (g *Group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	if g.n == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Count returns the number of goroutines in flight.
func (g *Group) Count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

// Wait blocks until no goroutines are in flight or ctx is done. It returns the number
// of goroutines still in flight.
func (g *Group) Wait(ctx context.Context) int {
	idle := g.idleChan()
	if idle == nil {
		return 0
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return g.Count()
}

// idleChan returns a channel that is closed when the count reaches zero, or nil if it
// is zero already.
func (g *Group) idleChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.n == 0 {
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
