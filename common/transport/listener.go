package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// RetryAccepts returns a listener whose Accept fails only after Close. The kernel reports
// some errors of a connection, and a lack of memory, as errors of accept; http.Server
// stops serving after all but a few of them.
func RetryAccepts(l net.Listener) net.Listener {
	return &retryListener{
		Listener: l,
		closed:   make(chan struct{}),
	}
}

type retryListener struct {
	net.Listener
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits for the next connection.
func (l *retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		default:
		}
		log.Warn().Str(event.Key, string(event.AcceptFailed)).Str("listen", l.Addr().String()).Err(err).Msg("accept failed")
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryDelay):
		}
	}
}

// Close closes the listener.
func (l *retryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
