// Package ingress implements an HTTP/1.1 server for requests that are forwarded
// unchanged.
//
// Requests are parsed by net/http, but its server isn't suitable: if a request has
// both a Content-Length and a Transfer-Encoding, it removes the Content-Length
// before a handler sees it, and such a request can be used for request smuggling.
// This server
//
//   - rejects every message with ambiguous framing and closes the connection,
//   - reads the whole body before it calls the handler,
//   - cancels the context of a request if its caller disconnects,
//   - can abort a response so that the caller doesn't take it for complete.
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
//	server.Interrupt(errStopping)
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

// Limits limits the size of a request and the time to read it.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the timeout from the first byte of a request to the end of its
	// header.
	HeaderTimeout time.Duration
	// BodyTimeout is the timeout of each read of the body.
	BodyTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}

// Exchange is one request with its complete body.
type Exchange struct {
	Request *http.Request
	Body    []byte
	// Target is the request target exactly as sent by the caller.
	Target string
	// Arrived is the time at which the header was complete.
	Arrived time.Time
}

// Handler responds to a request through w. Before it returns, it must complete the
// response with Respond or Finish, or abort it with Abort; the server aborts a response
// that is neither. The context is cancelled when the caller disconnects.
type Handler func(ctx context.Context, w *Writer, x Exchange)

// Deps holds the dependencies and settings of a Server.
type Deps struct {
	Handler Handler
	// Limits returns the current limits.
	Limits func() Limits
	// BufferBytes limits the total size of the bodies in memory over all
	// connections. A request that would exceed it is refused with status 503 and
	// not passed to the handler.
	BufferBytes int64
	// WriteTimeout is the timeout of each write to a caller.
	WriteTimeout time.Duration
	// Rejected is called for each request that was answered with an error before it
	// was read completely. It may be nil.
	Rejected func(remote string, status int)
}

// Server is an HTTP/1.1 server.
type Server struct {
	deps     Deps
	buffered atomic.Int64
	draining atomic.Bool
	closed   atomic.Bool
	active   atomic.Int64
	// requests is the parent of the contexts of all requests.
	requests  context.Context
	interrupt context.CancelCauseFunc

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server.
func NewServer(deps Deps) *Server {
	requests, interrupt := context.WithCancelCause(context.Background())
	return &Server{
		deps:      deps,
		requests:  requests,
		interrupt: interrupt,
		conns:     map[*conn]struct{}{},
	}
}

// acceptRetryDelay is the delay after a failed accept, for example because the
// process has no file descriptors left.
const acceptRetryDelay = 20 * time.Millisecond

// Serve accepts connections until l is closed, and then returns nil. Connections accepted
// after Close are closed immediately.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			go s.serveConn(c)
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			log.Warn().Str(event.Key, string(event.AcceptFailed)).Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
		}
	}
}

// Drain makes the server close each connection after its next response. Idle
// connections stay open, because a request may already be in transit on them.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Interrupt cancels the contexts of all requests, in progress or new, with a cause. Their
// handlers can still respond.
func (s *Server) Interrupt(cause error) { s.interrupt(cause) }

// Close closes all connections.
func (s *Server) Close() {
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.netConn.Close()
	}
}

// CloseIdle closes the connections that have no request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.netConn.Close()
		}
	}
}

func (s *Server) serveConn(c net.Conn) {
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
	for conn.serveNext() {
	}
	if conn.lingers {
		conn.linger(s.deps.WriteTimeout)
	}
}

// reserveBuffer reserves n bytes for a body. It returns false if the total would
// exceed BufferBytes.
func (s *Server) reserveBuffer(n int64) bool {
	if s.buffered.Add(n) <= s.deps.BufferBytes {
		return true
	}
	s.buffered.Add(-n)
	return false
}
