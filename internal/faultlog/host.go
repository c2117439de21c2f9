package faultlog

import (
	"context"
	"errors"
	"runtime"
	"sync"

	"github.com/balsamlock/balsamlock/ledger"
)

// errDead is the error of a call by a host that is dead.
var errDead = errors.New("host is dead")

// Host simulates the machine of an instance. The goroutines of the instance must call
// WaitWhilePaused or ExitIfDead at each step at which tests may pause or kill the host.
type Host struct {
	cancel context.CancelFunc

	mu     sync.Mutex
	dead   bool
	paused chan struct{}
}

// NewHost returns a live host. Kill calls cancel.
func NewHost(cancel context.CancelFunc) *Host { return &Host{cancel: cancel} }

// WaitWhilePaused waits while the host is paused, and then reports whether the host is
// alive.
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

// ExitIfDead waits while the host is paused, and then ends the calling goroutine if the
// host is dead.
func (h *Host) ExitIfDead() {
	if !h.WaitWhilePaused() {
		runtime.Goexit()
	}
}

// IsDead reports whether the host was killed.
func (h *Host) IsDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// Pause makes WaitWhilePaused and ExitIfDead block until Resume or Kill is called.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused == nil {
		h.paused = make(chan struct{})
	}
}

// Resume ends the pause of the host.
func (h *Host) Resume() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.paused != nil {
		close(h.paused)
		h.paused = nil
	}
}

// Kill makes the host dead for good. Goroutines that wait for the end of a pause are
// released, and the context of the instance is cancelled.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	h.mu.Unlock()
	h.Resume()
	h.cancel()
}

// Log returns a log whose calls wait while the host is paused, both before and after they
// take effect, and fail if the host is dead.
func (h *Host) Log(log ledger.Log) ledger.Log {
	return &hostLog{
		log:  log,
		host: h,
	}
}

type hostLog struct {
	log  ledger.Log
	host *Host
}

func (l *hostLog) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	if !l.host.WaitWhilePaused() {
		return 0, errDead
	}
	offset, err := l.log.Append(ctx, stream, payload)
	if !l.host.WaitWhilePaused() {
		return 0, errDead
	}
	return offset, err
}

func (l *hostLog) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	if !l.host.WaitWhilePaused() {
		return ledger.Page{}, errDead
	}
	page, err := l.log.Read(ctx, stream, from, limit)
	if !l.host.WaitWhilePaused() {
		return ledger.Page{}, errDead
	}
	return page, err
}

var _ ledger.Log = (*hostLog)(nil)
