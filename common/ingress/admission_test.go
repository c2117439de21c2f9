package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memory"
)

// startBudgetedServer is like startServer with further dependencies.
func startBudgetedServer(c *qt.C, deps Deps) (*Server, string) {
	deps.WriteTimeout = 5 * time.Second
	if deps.Limits == nil {
		deps.Limits = testLimits
	}
	server := NewServer(deps)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	c.Cleanup(func() {
		_ = listener.Close()
		server.Close()
		c.Check(<-done, qt.IsNil)
	})
	return server, listener.Addr().String()
}

// blocker is a handler that records requests and responds to all once it is released.
type blocker struct {
	recorder
	release chan struct{}
}

func newBlocker() *blocker { return &blocker{release: make(chan struct{})} }

func (b *blocker) handle(ctx context.Context, w *Writer, x Exchange) {
	b.add(x)
	select {
	case <-b.release:
	case <-ctx.Done():
	}
	w.Respond(http.StatusOK, http.Header{}, nil)
}

// eventually waits until a condition of a server holds.
func eventually(c *qt.C, condition func() bool) {
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the condition doesn't hold after 10 s"))
	}
}

func TestRequestChargeGrowsWithItsHeader(t *testing.T) {
	c := qt.New(t)
	requests := memory.NewBudget(2*requestBytes + headerCopies*1000)
	a := newAdmission(Deps{Requests: requests})
	charge := func(n int) int64 {
		return requestCharge([]byte("GET / HTTP/1.1\r\nA: " + strings.Repeat("a", n-25) + "\r\n\r\n"))
	}
	first := a.admitRequest(charge(100))
	c.Check(first > requestBytes, qt.IsTrue)
	c.Check(a.admitRequest(charge(2000)), qt.Equals, int64(0))
	second := a.admitRequest(charge(100))
	c.Check(second, qt.Equals, first)
	a.endRequest(first)
	a.endRequest(second)
	c.Check(requests.Used(), qt.Equals, int64(0))
}

// Guards against headers of many short fields, which occupy far more memory than they have bytes.
func TestHeaderOfManyFieldsFitsItsCharge(t *testing.T) {
	c := qt.New(t)
	var raw strings.Builder
	raw.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	const fields = 2500
	for i := range fields {
		_, _ = fmt.Fprintf(&raw, "%x:\r\n", 0x100+i)
	}
	raw.WriteString("\r\n")
	before := heldBytes()
	const n = 20
	var held [n][headerCopies]http.Header
	for i := range n {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw.String())))
		c.Assert(err, qt.IsNil)
		held[i][0] = req.Header
		for j := 1; j < headerCopies; j++ {
			held[i][j] = req.Header.Clone()
		}
	}
	bytes := (heldBytes() - before) / n
	runtime.KeepAlive(&held)
	charge := requestCharge([]byte(raw.String()))
	c.Check(bytes <= charge, qt.IsTrue, qt.Commentf("%d bytes, charged with %d", bytes, charge))
}

// Guards against requests in progress whose number grows with their callers.
func TestRequestBeyondTheBudgetIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	const room, n = 3, 10
	handler := newBlocker()
	requests := memory.NewBudget(room * (requestBytes + headerCopies*200))
	var mu sync.Mutex
	var rejections []Rejection
	_, address := startBudgetedServer(c, Deps{
		Handler:  handler.handle,
		Requests: requests,
		Rejected: func(r Rejection) {
			mu.Lock()
			defer mu.Unlock()
			rejections = append(rejections, r)
		},
	})
	const post = "POST /%d HTTP/1.1\r\nHost: a\r\nX-Id: %d\r\nContent-Length: 3\r\n\r\nabc"
	var accepted []*bufio.Reader
	for i := range n {
		conn, r := dial(c, address)
		if i < room {
			_, err := fmt.Fprintf(conn, post, i, i)
			c.Assert(err, qt.IsNil)
			eventually(c, func() bool { return len(handler.all()) == i+1 })
			accepted = append(accepted, r)
			continue
		}
		resp, _ := roundTrip(c, conn, r, fmt.Sprintf(post, i, i))
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Check(resp.Header.Get("Retry-After"), qt.Equals, "0.5")
	}
	close(handler.release)
	for _, r := range accepted {
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
		_ = resp.Body.Close()
	}
	eventually(c, func() bool { return requests.Used() == 0 })
	c.Check(handler.all(), qt.HasLen, room)
	mu.Lock()
	defer mu.Unlock()
	c.Assert(rejections, qt.HasLen, n-room)
	c.Check(rejections[0].Lacking, qt.Equals, ResourceRequests)
	c.Check(rejections[0].Header.Get("X-Id"), qt.Equals, fmt.Sprint(room))
}

// Guards against refusals that cost the caller its connection, or that leave the connection in the middle of a body.
func TestRefusedRequestKeepsConnection(t *testing.T) {
	c := qt.New(t)
	var requests recorder
	budget := memory.NewBudget(2 * requestBytes)
	_, address := startBudgetedServer(c, Deps{
		Handler:  echo(&requests),
		Requests: budget,
	})
	budget.Take(2 * requestBytes)
	for _, test := range []struct {
		raw  string
		kept bool
	}{
		{raw: "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", kept: true},
		{raw: "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n", kept: true},
		{raw: "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("b", 5000), kept: true},
		{raw: "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", kept: true},
		{raw: "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000)},
		{raw: "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n"},
		{raw: "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"},
		{raw: strings.Repeat("GET /a HTTP/1.1\r\nHost: a\r\n\r\n", 30)},
	} {
		conn, r := dial(c, address)
		method, _, _ := strings.Cut(test.raw, " ")
		comment := qt.Commentf("%.60q", test.raw)
		_, err := io.WriteString(conn, test.raw)
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		c.Assert(err, qt.IsNil, comment)
		_ = resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable, comment)
		c.Check(resp.Close, qt.Equals, !test.kept, comment)
		if !test.kept {
			_, err := r.ReadByte()
			c.Check(err, qt.Equals, io.EOF, comment)
			continue
		}
		budget.Return(2 * requestBytes)
		resp2, body := roundTrip(c, conn, r, "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok")
		c.Check(resp2.StatusCode, qt.Equals, http.StatusOK, comment)
		c.Check(body, qt.Equals, "ok", comment)
		eventually(c, func() bool { return budget.Take(2 * requestBytes) })
	}
	for _, x := range requests.all() {
		c.Check(x.Target, qt.Equals, "/b")
	}
}

// Guards against a request whose caller has left and which stays charged, also if the caller has sent requests ahead.
func TestClosedConnectionReturnsItsBudget(t *testing.T) {
	c := qt.New(t)
	requests, bodies := memory.NewBudget(4*requestBytes), memory.NewBudget(1<<20)
	server, address := startBudgetedServer(c, Deps{
		Handler:  respondWith(200),
		Requests: requests,
		Bodies:   bodies,
	})
	const post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	for _, raw := range []string{
		post,
		strings.Repeat(post, 300),
		post[:20],
		post[:len(post)-1],
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
	} {
		for range 10 {
			conn, _ := dial(c, address)
			_, err := io.WriteString(conn, raw)
			c.Assert(err, qt.IsNil)
			_ = conn.Close()
		}
	}
	eventually(c, func() bool { return server.Connections() == 0 })
	c.Check(server.Active(), qt.Equals, int64(0))
	c.Check(requests.Used(), qt.Equals, int64(0))
	c.Check(bodies.Used(), qt.Equals, int64(0))
}
