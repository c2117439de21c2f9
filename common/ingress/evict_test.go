package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memory"
)

const getRequest = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"

func TestLongestIdleConnectionsAreClosedFirst(t *testing.T) {
	c := qt.New(t)
	var idle []idleConn
	for _, since := range []time.Duration{5, 3, 9, 1, 7} {
		idle = append(idle, idleConn{since: since})
	}
	var got []time.Duration
	for _, conn := range longestIdle(idle, 2, 6) {
		got = append(got, conn.since)
	}
	c.Check(got, qt.DeepEquals, []time.Duration{1, 3})
	c.Check(longestIdle(idle[:1], 2, 0), qt.HasLen, 0)
}

func TestNewConnectionsAreServedRefusedOrWait(t *testing.T) {
	c := qt.New(t)
	const n = 100
	connections := memory.NewBudget(2 * n * connectionBytes)
	a := newAdmission(Deps{
		Connections:    connections,
		MaxConnections: n,
	})
	rooms := 0
	admit := func() verdict { return a.admitConn(func() { rooms++ }) }
	for range n {
		c.Assert(admit(), qt.Equals, verdictServe)
	}
	c.Check(rooms, qt.Equals, 0)
	for range int(refusingFraction * n) {
		c.Assert(admit(), qt.Equals, verdictRefuse)
	}
	c.Check(admit(), qt.Equals, verdictWait)
	c.Check(connections.Used(), qt.Equals, int64(n*connectionBytes))
	c.Check(a.admitConn(a.endConn), qt.Equals, verdictServe, qt.Commentf("room was made"))
	a.endRefusal()
	c.Check(admit(), qt.Equals, verdictRefuse)
}

// dialKept opens a connection, and sends a request on it if request is set.
func dialKept(c *qt.C, address string, request bool) (net.Conn, *bufio.Reader) {
	conn, r := dial(c, address)
	if request {
		resp, _ := roundTrip(c, conn, r, getRequest)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	}
	return conn, r
}

// Guards against connections whose number grows with the callers that keep them.
func TestIdleConnectionMakesRoomForNewCaller(t *testing.T) {
	c := qt.New(t)
	const n = 4
	server, address := startBudgetedServer(c, Deps{
		Handler:        respondWith(10),
		MaxConnections: n,
	})
	oldest, oldestReader := dialKept(c, address, true)
	time.Sleep(2 * evictInterval)
	for range n - 1 {
		dialKept(c, address, true)
	}
	eventually(c, func() bool { return server.Connections() == n })
	time.Sleep(minEvictIdle)
	dialKept(c, address, true)
	_, err := oldestReader.ReadByte()
	c.Check(err, qt.Equals, io.EOF)
	_ = oldest.Close()
	eventually(c, func() bool { return server.Connections() == n })
}

// Guards against new callers that get no answer while all connections are in use, and against a server that stops
// accepting then.
func TestConnectionBeyondTheLimitIsRefused(t *testing.T) {
	c := qt.New(t)
	const n = 5
	for name, deps := range map[string]Deps{
		"memory": {Connections: memory.NewBudget(n * connectionBytes)},
		"number": {MaxConnections: n},
	} {
		c.Run(name, func(c *qt.C) {
			handler := newBlocker()
			deps.Handler = handler.handle
			server, address := startBudgetedServer(c, deps)
			var accepted []*bufio.Reader
			for range n {
				conn, r := dial(c, address)
				_, err := io.WriteString(conn, getRequest)
				c.Assert(err, qt.IsNil)
				accepted = append(accepted, r)
			}
			eventually(c, func() bool { return len(handler.all()) == n })
			// Connections without a request, which occupy what is left to refuse requests.
			refusing := int(server.admission.refusing.Limit())
			for range 2 * refusing {
				conn, _ := dial(c, address)
				defer func() { _ = conn.Close() }()
			}
			for range 3 {
				conn, r := dial(c, address)
				resp, _ := roundTrip(c, conn, r, getRequest)
				c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				c.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.5")
				c.Check(resp.Close, qt.IsTrue)
				_ = conn.Close()
			}
			c.Check(server.Connections() <= n+refusing, qt.IsTrue)
			c.Check(handler.all(), qt.HasLen, n)
			close(handler.release)
			for _, r := range accepted {
				resp, err := http.ReadResponse(r, nil)
				c.Assert(err, qt.IsNil)
				_ = resp.Body.Close()
				c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
			}
		})
	}
}

// Guards against headers that never end and that occupy more memory with each connection.
func TestGrowingHeadersStayWithinTheBudget(t *testing.T) {
	c := qt.New(t)
	const n, size = 40, 15 << 10
	budget := memory.NewBudget(n*connectionBytes + 3*size)
	server, address := startBudgetedServer(c, Deps{
		Handler:     respondWith(10),
		Connections: budget,
	})
	grow := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", size))
	}
	refused := 0
	for range n {
		conn, r := dial(c, address)
		grow(conn)
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if resp, err := http.ReadResponse(r, nil); err == nil {
			c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			_ = resp.Body.Close()
			refused++
		}
		c.Check(budget.Used() <= budget.Limit(), qt.IsTrue)
	}
	c.Check(refused > n/2, qt.IsTrue, qt.Commentf("%d refused", refused))
	server.Close()
	eventually(c, func() bool { return budget.Used() == 0 })
}

func TestReadBufferShrinksAfterLargeHeader(t *testing.T) {
	c := qt.New(t)
	budget := memory.NewBudget(1 << 20)
	_, address := startBudgetedServer(c, Deps{
		Handler:     respondWith(10),
		Connections: budget,
	})
	conn, r := dial(c, address)
	for range 3 {
		resp, body := roundTrip(c, conn, r, "GET /a HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", 15<<10)+"\r\n\r\n")
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		c.Check(body, qt.HasLen, 10)
		eventually(c, func() bool { return budget.Used() == connectionBytes })
	}
	_ = conn.Close()
	eventually(c, func() bool { return budget.Used() == 0 })
}

// Guards against requests that get no answer at the end of a server whose limits are reached.
func TestFinishAnswersRequestsBeyondTheLimits(t *testing.T) {
	c := qt.New(t)
	const kept, n = 20, 150
	requests := memory.NewBudget(100 * requestBytes)
	server, address := startBudgetedServer(c, Deps{
		Handler:        respondWith(10),
		Requests:       requests,
		MaxConnections: kept,
	})
	var conns []net.Conn
	for range kept {
		conn, _ := dialKept(c, address, true)
		conns = append(conns, conn)
	}
	eventually(c, func() bool { return requests.Used() == 0 })
	c.Assert(requests.Take(requests.Limit()), qt.IsTrue)
	for range n {
		conn, _ := dial(c, address)
		conns = append(conns, conn)
	}
	for _, conn := range conns {
		_, err := io.WriteString(conn, getRequest)
		c.Assert(err, qt.IsNil)
	}
	done := make(chan struct{})
	go func() {
		server.Finish(5*time.Second, 100*time.Millisecond)
		server.Close()
		close(done)
	}()
	for i, conn := range conns {
		raw, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil, qt.Commentf("connection %d", i))
		c.Check(strings.HasPrefix(string(raw), "HTTP/1.1 503 "), qt.IsTrue, qt.Commentf("connection %d: %q", i, raw))
		_ = conn.Close()
	}
	<-done
	c.Check(server.Connections(), qt.Equals, 0)
}

// arrivingConn is a connection on which arrive is called when bytes are received, once it is armed.
type arrivingConn struct {
	net.Conn
	armed  atomic.Bool
	arrive func()
}

func (c *arrivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.armed.Swap(false) {
		c.arrive()
	}
	return n, err
}

// Guards against a request that has been received and gets no response because its connection makes room at this moment.
func TestRequestThatArrivesDuringEvictionIsAnswered(t *testing.T) {
	c := qt.New(t)
	server := NewServer(Deps{
		Handler:      respondWith(10),
		Limits:       testLimits,
		WriteTimeout: time.Second,
	})
	defer server.Close()
	ours, theirs := net.Pipe()
	conn := &arrivingConn{Conn: ours}
	conn.arrive = func() {
		server.mu.Lock()
		defer server.mu.Unlock()
		for c := range server.conns {
			c.evict()
		}
	}
	server.startConn(conn)
	_ = theirs.SetDeadline(time.Now().Add(5 * time.Second))
	r := bufio.NewReader(theirs)
	resp, _ := roundTrip(c, theirs, r, getRequest)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	eventually(c, func() bool { return server.Active() == 0 })
	conn.armed.Store(true)
	resp, _ = roundTrip(c, theirs, r, getRequest)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.5")
	c.Check(resp.Close, qt.IsTrue)
}
