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
//   - refuses what exceeds the budgets of memory, before it is passed to a handler,
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
//	server.Finish(timeout, lingerTimeout)
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
	"github.com/balsamlock/balsamlock/common/memory"
	"github.com/balsamlock/balsamlock/common/recovery"
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
	// Connections is the memory for connections and for headers that are being read. If it has
	// no room, connections that have been idle longest are closed, and otherwise requests on
	// new connections are refused with status 503. Nil means no limit.
	Connections *memory.Budget
	// MaxConnections limits the number of connections in the same way. 0 means no limit.
	MaxConnections int
	// Requests is the memory for requests in progress. A request for which it has no room is
	// refused with status 503 and not passed to the handler. Nil means no limit.
	Requests *memory.Budget
	// Bodies limits the total size of the bodies in memory over all connections. A
	// request that would exceed it is refused with status 503 and not passed to the
	// handler. Nil means no limit.
	Bodies *memory.Budget
	// WriteTimeout is how long a caller may read nothing of its response.
	WriteTimeout time.Duration
	// Rejected is called for each request that was answered with an error and not passed
	// to the handler. It may be nil.
	Rejected func(r Rejection)
}

// Server is an HTTP/1.1 server.
type Server struct {
	deps      Deps
	admission *admission
	started   time.Time
	// evictedAt is when connections were last closed to make room, as nanoseconds since started.
	evictedAt atomic.Int64
	draining  atomic.Bool
	// finishing is set once Finish was called.
	finishing atomic.Bool
	closed    atomic.Bool
	active    atomic.Int64
	// requests is the parent of the contexts of all requests.
	requests  context.Context
	interrupt context.CancelCauseFunc
	// done is closed by Close.
	done      chan struct{}
	closeOnce sync.Once

	// mu guards the fields below.
	mu        sync.Mutex
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
}

// NewServer returns a server.
func NewServer(deps Deps) *Server {
	deps.Bodies = orUnlimited(deps.Bodies)
	requests, interrupt := context.WithCancelCause(context.Background())
	return &Server{
		deps:      deps,
		admission: newAdmission(deps),
		started:   time.Now(),
		requests:  requests,
		interrupt: interrupt,
		done:      make(chan struct{}),
		conns:     map[*conn]struct{}{},
		listeners: map[net.Listener]struct{}{},
	}
}

// acceptWaitInterval is the interval between attempts to accept a connection for which there is no
// room.
const acceptWaitInterval = 5 * time.Millisecond

// acceptRetryDelay is the delay after a failed accept, for example because the
// process has no file descriptors left.
const acceptRetryDelay = 20 * time.Millisecond

const (
	// acceptPendingDelay is how long no connection must arrive before the listener is
	// closed. After maxAcceptPending, minAcceptPendingDelay takes its place.
	acceptPendingDelay    = 5 * time.Millisecond
	maxAcceptPending      = 50 * time.Millisecond
	minAcceptPendingDelay = 50 * time.Microsecond
	// lastRequestDelay is how long Finish leaves an idle connection open for a request
	// that is on the network.
	lastRequestDelay = 20 * time.Millisecond
	// finishPollInterval is the interval between checks for open connections.
	finishPollInterval = 2 * time.Millisecond
)

// Serve accepts connections until l is closed, and then returns nil. Connections accepted
// after Close are closed immediately. After Finish, Serve closes l and returns when Close
// is called.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners[l] = struct{}{}
	s.mu.Unlock()
	for !s.finishing.Load() {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(c)
		case s.finishing.Load():
		case s.closed.Load() || errors.Is(err, net.ErrClosed):
			s.removeListener(l)
			return nil
		default:
			log.Warn().Str(event.Key, string(event.AcceptFailed)).Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
		}
	}
	s.acceptPending(l)
	s.removeListener(l)
	<-s.done
	return nil
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
}

// acceptPending accepts the connections that the kernel has already accepted and closes
// the listener. The kernel would reset them, although their callers have sent requests.
func (s *Server) acceptPending(l net.Listener) {
	defer func() { _ = l.Close() }()
	d, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return
	}
	delay := acceptPendingDelay
	for start := time.Now(); !s.closed.Load(); {
		_ = d.SetDeadline(time.Now().Add(delay))
		c, err := l.Accept()
		if isTimeout(err) || errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Descriptors become free while the server ends.
			log.Warn().Str(event.Key, string(event.AcceptFailed)).Err(err).Msg("accept failed")
			time.Sleep(finishPollInterval)
			continue
		}
		s.startConn(c)
		if time.Since(start) > maxAcceptPending {
			delay = minAcceptPendingDelay
		}
	}
}

// Drain makes the server close each connection after its next response. Idle
// connections stay open, because a request may already be in transit on them.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Interrupt cancels the contexts of all requests, in progress or new, with a cause. Their
// handlers can still respond.
func (s *Server) Interrupt(cause error) { s.interrupt(cause) }

// Finish closes the listeners, and each connection after its next response or when it has
// been idle for lastRequestDelay. Connections and requests that the kernel has already
// received are served. Finish returns when all connections are closed, or after the
// timeout. Connections whose last response is complete are only waited for until
// lingerTimeout: a process that gets no processor time may have others by then.
func (s *Server) Finish(timeout, lingerTimeout time.Duration) {
	start := time.Now()
	s.draining.Store(true)
	s.finishing.Store(true)
	s.mu.Lock()
	for l := range s.listeners {
		if d, ok := l.(interface{ SetDeadline(t time.Time) error }); ok {
			_ = d.SetDeadline(pastDeadline)
			continue
		}
		_ = l.Close()
	}
	for c := range s.conns {
		if c.idle.Load() {
			_ = c.netConn.SetReadDeadline(pastDeadline)
		}
	}
	s.mu.Unlock()
	for {
		elapsed := time.Since(start)
		if elapsed >= timeout || !s.isOpen(elapsed < lingerTimeout) {
			return
		}
		time.Sleep(finishPollInterval)
	}
}

// isOpen reports whether there are listeners or connections. Connections whose last
// response is complete count only if lingering is set.
func (s *Server) isOpen(lingering bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.listeners) > 0 {
		return true
	}
	for c := range s.conns {
		if lingering || !c.lingering.Load() {
			return true
		}
	}
	return false
}

// Close closes all connections.
func (s *Server) Close() {
	s.closed.Store(true)
	s.closeOnce.Do(func() { close(s.done) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.netConn.Close()
	}
}

// addConn adds a connection whose end is reported by end. If the server is closed, it closes the
// connection and returns nil.
func (s *Server) addConn(netConn net.Conn, end func()) *conn {
	c := newConn(s, netConn, end)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed.Load() {
		_ = netConn.Close()
		c.endCharge()
		return nil
	}
	s.conns[c] = struct{}{}
	return c
}

// startConn serves a connection in a goroutine, as soon as there is room for it.
func (s *Server) startConn(netConn net.Conn) {
	for !s.closed.Load() {
		switch s.admission.admitConn(s.makeRoom) {
		case verdictServe:
			s.start(netConn, (*conn).serve, s.admission.endConn)
			return
		case verdictRefuse:
			s.start(netConn, (*conn).refuseNext, s.admission.endRefusal)
			return
		case verdictWait:
			time.Sleep(acceptWaitInterval)
		}
	}
	_ = netConn.Close()
}

// start runs serve for a connection in a goroutine.
func (s *Server) start(netConn net.Conn, serve func(c *conn), end func()) {
	if c := s.addConn(netConn, end); c != nil {
		go s.serveConn(c, serve)
	}
}

func (s *Server) serveConn(c *conn, serve func(c *conn)) {
	defer recovery.Contain("serve connection", func(error) {})
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.netConn.Close()
		c.endCharge()
	}()
	serve(c)
}
