package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// heldBytes returns the memory that the heap and the stacks of goroutines occupy.
func heldBytes() int64 {
	// Stacks shrink by half in each collection.
	for range 4 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// Guards against idle connections that occupy more memory than expected.
func TestIdleConnectionHoldsLittleMemory(t *testing.T) {
	c := qt.New(t)
	const n = 500
	server, address := startServer(c, respondWith(10))
	sinkListener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = sinkListener.Close() }()
	var callers []net.Conn
	connect := func(n int, address string, request bool) int64 {
		before := heldBytes()
		for range n {
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			callers = append(callers, conn)
			if request {
				resp, _ := roundTrip(c, conn, bufio.NewReader(conn), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
			}
		}
		return (heldBytes() - before) / int64(n)
	}
	defer func() {
		for _, conn := range callers {
			_ = conn.Close()
		}
	}()
	const warmUp = 50
	connect(warmUp, address, true)
	// The end of the caller is in this process, too.
	callerBytes := connect(n/5, sinkListener.Addr().String(), false)
	bytes := connect(n, address, true) - callerBytes
	c.Logf("%d bytes for each connection", bytes)
	c.Check(bytes <= raceFactor*connectionBytes, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	c.Check(server.Connections(), qt.Equals, n+warmUp)
}

// Guards against requests in progress that occupy more memory than they are charged.
func TestRequestInProgressFitsItsCharge(t *testing.T) {
	c := qt.New(t)
	const warmUp, n, headerBytes = 20, 200, 1500
	handler := newBlocker()
	server, address := startServer(c, handler.handle)
	var conns []net.Conn
	for range warmUp + n {
		conn, _ := dialKept(c, address, false)
		conns = append(conns, conn)
	}
	raw := "GET /a HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", headerBytes) + "\r\n\r\n"
	send := func(conns []net.Conn) {
		active := server.Active() + int64(len(conns))
		for _, conn := range conns {
			_, err := io.WriteString(conn, raw)
			c.Assert(err, qt.IsNil)
		}
		eventually(c, func() bool { return server.Active() == active })
	}
	send(conns[:warmUp])
	before := heldBytes()
	send(conns[warmUp:])
	eventually(c, func() bool { return len(handler.all()) == len(conns) })
	bytes := (heldBytes() - before) / n
	c.Logf("%d bytes for each request", bytes)
	c.Check(bytes <= raceFactor*(requestBytes+headerCopies*int64(len(raw))), qt.IsTrue, qt.Commentf("%d bytes", bytes))
	close(handler.release)
}
