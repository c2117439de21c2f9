package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// errPeerFinished is the error of a write that was pending when the peer finished its side of the connection.
var errPeerFinished = errors.New("the peer has finished the connection")

// clientConn is a connection whose reads return io.EOF only if the peer has finished its side of it. The kernel
// reports a reset or a timeout once, to the read or the write that comes first. If that is a write, reads return
// io.EOF, and the received part of a response that ends with its connection looks complete.
type clientConn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// lost is the error of the write that reported the loss of the connection.
	lost error
	// finished is set once a read has returned io.EOF.
	finished atomic.Bool
}

// dialClientConns returns a dial function that returns the connections of dial as clientConns.
func dialClientConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &clientConn{Conn: conn}, nil
	}
}

// Read implements net.Conn. If a write has reported the loss of the connection, Read returns its error in place of
// io.EOF.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.awaitWrite(); lost != nil {
			err = fmt.Errorf("connection lost: %w", lost)
		}
	}
	return n, err
}

// awaitWrite ends a pending write, which may be about to report the loss of the connection, and returns the error of
// the write that did. Ending the write costs nothing, because HTTP clients close a connection after io.EOF.
func (c *clientConn) awaitWrite() error {
	c.finished.Store(true)
	if !c.writing.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(0, 1))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.lost
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	switch {
	case reportsLoss(err):
		c.lost = err
	case c.finished.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		err = errPeerFinished
	}
	return n, err
}

// reportsLoss reports whether the error of a write is one that the kernel reports only once. EPIPE is not: all later
// writes return it, as do writes to a peer that finished its side before it reset the connection.
func reportsLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
