package ingress

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
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
