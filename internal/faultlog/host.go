package faultlog

import (
	"context"
	"errors"
	"runtime"
	"sync"

	"github.com/balsamlock/balsamlock/ledger"
)

// errDead is the error of a call by a host that was killed.
var errDead = errors.New("host is dead")

// Host is the machine of one instance. Goroutines that pass its gate wait
// while it is paused, and end when it is dead.
type Host struct {
	cancel context.CancelFunc

	mu     sync.Mutex
	dead   bool
	paused chan struct{}
}

// NewHost returns a live host. A kill also calls cancel.
func NewHost(cancel context.CancelFunc) *Host { return &Host{cancel: cancel} }

// WaitWhilePaused holds a goroutine while the host is paused, and tells whether the host
// is alive.
func (h *Host) WaitWhilePaused() bool {
	for {
		h.mu.Lock()
		paused, dead := h.paused, h.dead
		h.mu.Unlock()
		if dead {
			return false
		}
		if paused == nil {
			return true
		}
		<-paused
	}
}

// ExitIfDead is a gate that ends the goroutine when the host is dead.
func (h *Host) ExitIfDead() {
	if !h.WaitWhilePaused() {
		runtime.Goexit()
	}
}

// IsDead tells whether the host was killed.
func (h *Host) IsDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// Pause stops the host at its gates until Resume.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused == nil {
		h.paused = make(chan struct{})
	}
}

// Resume lets a paused host go on.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
}

// Kill ends the host: no goroutine of it passes a gate any more.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.Resume()
	h.cancel()
}

// Log returns a log as the host sees it: calls pass the gate before and after.
func (h *Host) Log(log ledger.Log) ledger.Log {
	return &gatedLog{
		log:  log,
		host: h,
	}
}

type gatedLog struct {
	log  ledger.Log
	host *Host
}

func (g *gatedLog) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	if !g.host.WaitWhilePaused() {
		return 0, errDead
	}
	offset, err := g.log.Append(ctx, stream, payload)
	if !g.host.WaitWhilePaused() {
		return 0, errDead
	}
	return offset, err
}

func (g *gatedLog) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	if !g.host.WaitWhilePaused() {
		return ledger.Page{}, errDead
	}
	page, err := g.log.Read(ctx, stream, from, limit)
	if !g.host.WaitWhilePaused() {
		return ledger.Page{}, errDead
	}
	return page, err
}

var _ ledger.Log = (*gatedLog)(nil)
