package transport_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/transport"
)

// Guards against a server of the platform's checks whose connections grow without a limit.
func TestConnectionsAreLimitedUntilOneIsClosed(t *testing.T) {
	c := qt.New(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	const n = 2
	listener := transport.LimitConns(plain, n)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- conn
		}
	}()
	for range n + 2 {
		conn, err := net.Dial("tcp", plain.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
	}
	first := <-accepted
	<-accepted
	select {
	case <-accepted:
		c.Fatal("a connection beyond the limit was accepted")
	case <-time.After(50 * time.Millisecond):
	}
	c.Check(first.Close(), qt.IsNil)
	c.Check(first.Close(), qt.Not(qt.IsNil))
	<-accepted
	select {
	case <-accepted:
		c.Fatal("a connection that is closed twice made room for two")
	case <-time.After(50 * time.Millisecond):
	}
	c.Check(listener.Close(), qt.IsNil)
	c.Check(<-ended, qt.ErrorIs, net.ErrClosed)
}
