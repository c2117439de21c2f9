package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memory"
)

// respondWith returns a handler that responds with size bytes.
func respondWith(size int) Handler {
	return func(_ context.Context, w *Writer, _ Exchange) {
		w.Respond(http.StatusOK, http.Header{}, bytes.Repeat([]byte("x"), size))
	}
}

// dialSlowly opens a connection with small kernel buffers.
func dialSlowly(c *qt.C, address string) net.Conn {
	conn, _ := dial(c, address)
	c.Assert(conn.(*net.TCPConn).SetReadBuffer(16<<10), qt.IsNil)
	return conn
}

// Guards against responses that the kernel discards because the connection is closed while bytes of the
// caller are unread: the line break that some callers send after a body, or further requests.
func TestResponseSurvivesUnreadBytes(t *testing.T) {
	c := qt.New(t)
	const size = 3 << 20
	server, address := startServer(c, respondWith(size))
	server.Drain()
	for range 5 {
		conn := dialSlowly(c, address)
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx\r\n")
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		raw, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil)
		c.Check(len(raw) > size, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
		_ = conn.Close()
	}
}

// Guards against a large response that is cut although its caller goes on reading it.
func TestSlowReaderGetsLargeResponse(t *testing.T) {
	c := qt.New(t)
	const size, rate = 12 << 20, 8 << 20
	server := NewServer(Deps{
		Handler:      respondWith(size),
		Limits:       testLimits,
		Bodies:       memory.NewBudget(1 << 20),
		WriteTimeout: 400 * time.Millisecond,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer func() { _ = listener.Close() }()
	conn := dialSlowly(c, listener.Addr().String())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	c.Assert(err, qt.IsNil)
	read := int64(0)
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, conn, rate/100)
		read += n
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(read > size, qt.IsTrue, qt.Commentf("%d bytes", read))
}

// Guards against requests that get no response because the server ends when they have arrived but are not read
// yet, on new connections or on kept ones.
func TestFinishAnswersUnreadRequests(t *testing.T) {
	c := qt.New(t)
	const n = 60
	server, address := startServer(c, respondWith(10))
	var conns []net.Conn
	for i := range n {
		conn, r := dial(c, address)
		if i%2 == 0 {
			_, body := roundTrip(c, conn, r, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			c.Assert(body, qt.HasLen, 10)
		}
		conns = append(conns, conn)
	}
	idle, _ := dial(c, address)
	for _, conn := range conns {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
	}
	for range n {
		conn, _ := dial(c, address)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
	}
	server.Finish(500*time.Millisecond, 500*time.Millisecond)
	_, err := net.Dial("tcp", address)
	c.Check(err, qt.ErrorIs, syscall.ECONNREFUSED)
	server.Close()
	raw, err := io.ReadAll(idle)
	c.Check(err, qt.IsNil)
	c.Check(raw, qt.HasLen, 0)
	for i, conn := range conns {
		raw, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil, qt.Commentf("connection %d", i))
		c.Check(bytes.HasSuffix(raw, []byte("\r\n\r\nxxxxxxxxxx")), qt.IsTrue, qt.Commentf("connection %d: %q", i, raw))
	}
}

// fullListener is a listener whose Accept fails while the process has no descriptor left.
type fullListener struct {
	*net.TCPListener
	full atomic.Bool
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.full.Load() {
		return nil, &net.OpError{
			Op:  "accept",
			Net: "tcp",
			Err: os.NewSyscallError("accept4", syscall.EMFILE),
		}
	}
	return l.TCPListener.Accept()
}

// Guards against requests that get no response because descriptors become free only while the server ends.
func TestFinishAnswersRequestsWithoutDescriptors(t *testing.T) {
	c := qt.New(t)
	server := NewServer(Deps{
		Handler:      respondWith(10),
		Limits:       testLimits,
		Bodies:       memory.NewBudget(1 << 20),
		WriteTimeout: 5 * time.Second,
	})
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := &fullListener{TCPListener: tcp.(*net.TCPListener)}
	listener.full.Store(true)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	// A listener that is not served yet is not waited for.
	eventually(c, func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.listeners) > 0
	})
	conn, _ := dial(c, tcp.Addr().String())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	time.AfterFunc(100*time.Millisecond, func() { listener.full.Store(false) })
	server.Finish(500*time.Millisecond, 500*time.Millisecond)
	server.Close()
	c.Check(<-done, qt.IsNil)
	raw, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(bytes.HasSuffix(raw, []byte("\r\n\r\nxxxxxxxxxx")), qt.IsTrue, qt.Commentf("%q", raw))
}

// Guards against a response that is cut at the end of a stop because the process got no processor time, although
// its grace period has not ended.
func TestFinishWaitsForLateResponses(t *testing.T) {
	c := qt.New(t)
	const lingerTimeout = 50 * time.Millisecond
	server, address := startServer(c, func(ctx context.Context, w *Writer, _ Exchange) {
		<-ctx.Done()
		time.Sleep(10 * lingerTimeout)
		w.Respond(http.StatusServiceUnavailable, http.Header{}, nil)
	})
	conn, r := dial(c, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for server.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	start := time.Now()
	server.Interrupt(errors.New("stopping"))
	server.Finish(10*time.Second, lingerTimeout)
	c.Check(time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("an answered connection is waited for"))
	server.Close()
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
