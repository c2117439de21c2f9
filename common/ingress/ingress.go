// Package ingress serves HTTP/1.1 to callers whose requests are passed on as
// they are.
//
// net/http parses the messages, but its server can't be used here: it drops the
// Content-Length of a request that also has a Transfer-Encoding before a handler
// sees it, and such a request may hide another one. This server refuses every
// message whose end is ambiguous and closes the connection, reads bodies whole,
// ends the context of a request whose caller has left, and can end an answer so
// that it doesn't look complete.
//
// # Usage
//
//	server := ingress.NewServer(ingress.Deps{
//		Handler: handle,
//		Limits:  limits,
//	})
//	go server.Serve(listener)
//	...
//	server.Drain()
//	server.Close()
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout bounds the time from the first byte of a request to the end of
	// its header, BodyTimeout the time of each read of its body.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}

// Exchange is one request with its whole body.
type Exchange struct {
	Request *http.Request
	Body    []byte
	// Target is the request target as the caller sent it.
	Target  string
	Arrived time.Time
}

// Handler answers a request through w. It must have ended the answer, by Finish
// or Abort, when it returns; the context ends when the caller leaves.
type Handler func(ctx context.Context, w *Writer, x Exchange)

// Deps are what a Server needs.
type Deps struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// BufferBytes bounds the bodies that are held at one time, over all
	// connections; a request beyond it is refused unread.
	BufferBytes int64
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
	// Rejected is told of requests that were answered with a status before they were
	// read whole; may be nil.
	Rejected func(remote string, status int)
}

// Server accepts connections until Close.
type Server struct {
	deps     Deps
	buffered atomic.Int64
	draining atomic.Bool
	closed   atomic.Bool
	active   atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server.
func NewServer(deps Deps) *Server {
	return &Server{
		deps:  deps,
		conns: map[*conn]struct{}{},
	}
}

// acceptPause is the pause after a failed accept, such as one for want of
// descriptors.
const acceptPause = 20 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			go s.serve(c)
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			log.Warn().Str(event.Key, string(event.AcceptFailed)).Err(err).Msg("connection not accepted")
			time.Sleep(acceptPause)
		}
	}
}

// Drain lets each connection end after its next answer. Connections that are
// idle stay open, since a request may be on its way.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Close closes all connections.
func (s *Server) Close() {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.net.Close()
	}
}

// CloseIdle closes the connections that no request has begun on.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.net.Close()
		}
	}
}

func (s *Server) serve(c net.Conn) {
	conn := newConn(s, c)
	s.mu.Lock()
	if s.closed.Load() {
		s.mu.Unlock()
		_ = c.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = c.Close()
	}()
	for conn.next() {
	}
}

// reserve takes n bytes of the buffer for bodies.
func (s *Server) reserve(n int64) bool {
	if s.buffered.Add(n) <= s.deps.BufferBytes {
		return true
	}
	s.buffered.Add(-n)
	return false
}
