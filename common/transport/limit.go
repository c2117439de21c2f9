package transport

import (
	"net"
	"sync"
)

// LimitConns returns a listener that accepts a connection only while fewer than n are open.
func LimitConns(l net.Listener, n int) net.Listener {
	return &limitListener{
		Listener: l,
		open:     make(chan struct{}, n),
		closed:   make(chan struct{}),
	}
}

type limitListener struct {
	net.Listener
	open      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits until a connection may be opened, and for the connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitedConn{
		Conn:     conn,
		listener: l,
	}, nil
}

// Close closes the listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn is a connection that counts as open until it is closed.
type limitedConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { <-c.listener.open })
	return err
}
