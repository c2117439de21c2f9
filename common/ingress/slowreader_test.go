package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memory"
)

const slowWriteTimeout = 400 * time.Millisecond

// startSlowServer starts a server whose writes have a short timeout and returns its address.
func startSlowServer(c *qt.C, handler Handler) string {
	server := NewServer(Deps{
		Handler:      handler,
		Limits:       testLimits,
		Bodies:       memory.NewBudget(1 << 20),
		WriteTimeout: slowWriteTimeout,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

// Guards against a large response that is cut because the kernel reports its socket as writable only when a third
// of a buffer of megabytes is free.
func TestReaderSlowerThanKernelBufferGetsLargeResponse(t *testing.T) {
	c := qt.New(t)
	const size, rate = 6 << 20, 2 << 20
	conn := dialSlowly(c, startSlowServer(c, respondWith(size)))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
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

// Guards against a connection that is kept forever although its caller reads nothing.
func TestCallerThatReadsNothingIsCut(t *testing.T) {
	c := qt.New(t)
	errs := make(chan error, 1)
	conn := dialSlowly(c, startSlowServer(c, func(_ context.Context, w *Writer, _ Exchange) {
		w.Respond(http.StatusOK, http.Header{}, bytes.Repeat([]byte("x"), 12<<20))
		errs <- w.Err()
	}))
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	select {
	case err := <-errs:
		c.Check(err, qt.ErrorIs, ErrCallerDisconnected)
	case <-time.After(10 * slowWriteTimeout):
		c.Fatal("the write goes on")
	}
}

// Guards against a caller that is not told to send its body because an earlier response set a deadline.
func TestContinueIsSentOnIdleConnection(t *testing.T) {
	c := qt.New(t)
	conn, r := dial(c, startSlowServer(c, echo(&recorder{})))
	resp, _ := roundTrip(c, conn, r, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	time.Sleep(2 * slowWriteTimeout)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := r.ReadString('\n')
	c.Check(err, qt.IsNil)
	c.Check(line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
}
