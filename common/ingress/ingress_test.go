package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memory"
)

func testLimits() Limits {
	return Limits{
		HeaderBytes:   16 << 10,
		BodyBytes:     64 << 10,
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   5 * time.Second,
		IdleTimeout:   30 * time.Second,
	}
}

// recorder records the requests that reach a handler.
type recorder struct {
	mu        sync.Mutex
	exchanges []Exchange
}

func (r *recorder) add(x Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, x)
}

func (r *recorder) all() []Exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchanges
}

// echo returns a handler that records each request and responds with its body.
func echo(requests *recorder) Handler {
	return func(_ context.Context, w *Writer, x Exchange) {
		requests.add(x)
		w.Respond(http.StatusOK, http.Header{"X-Path": {x.Target}}, x.Body)
	}
}

// startServer starts a server on a free port and returns it with its address.
func startServer(c *qt.C, handler Handler) (*Server, string) {
	server := NewServer(Deps{
		Handler:      handler,
		Limits:       testLimits,
		Bodies:       memory.NewBudget(1 << 20),
		WriteTimeout: 5 * time.Second,
	})
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

func dial(c *qt.C, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn, bufio.NewReader(conn)
}

// response is the status and header of a response that was read completely.
type response struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// roundTrip sends raw bytes and returns the response and its body.
func roundTrip(c *qt.C, conn net.Conn, r *bufio.Reader, raw string) (response, string) {
	_, err := io.WriteString(conn, raw)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return response{
		StatusCode: resp.StatusCode,
		Header:     resp.Header,
		Close:      resp.Close,
	}, string(body)
}

func TestKeepAlive(t *testing.T) {
	c := qt.New(t)
	var requests recorder
	_, address := startServer(c, echo(&requests))
	conn, r := dial(c, address)
	resp, body := roundTrip(c, conn, r, "POST /a?b=%2F HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	c.Assert(body, qt.Equals, "abc")
	c.Assert(resp.Header.Get("X-Path"), qt.Equals, "/a?b=%2F")
	_, body = roundTrip(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	c.Assert(body, qt.Equals, "abcde")
	_, body = roundTrip(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	c.Assert(body, qt.Equals, "")
	// Pipelined requests are answered in order.
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for _, want := range []string{"/1", "/2"} {
		resp, err := http.ReadResponse(r, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Header.Get("X-Path"), qt.Equals, want)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func TestLargeHeader(t *testing.T) {
	c := qt.New(t)
	var requests recorder
	_, address := startServer(c, echo(&requests))
	conn, r := dial(c, address)
	resp, _ := roundTrip(c, conn, r, "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("y", 12<<10)+"\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	resp, _ = roundTrip(c, conn, r, "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("y", 20<<10)+"\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// Request smuggling: if two parsers disagree on where a message ends, a second request
// can be hidden in its body. Such messages are rejected and the connection is closed,
// so that the hidden request is never served.
func TestAmbiguousMessages(t *testing.T) {
	const hiddenRequest = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, header := range map[string]string{
		"length, encoding": "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":      "Content-Length: 4\r\nContent-Length: 5\r\n",
		"same lengths":     "Content-Length: 4\r\nContent-Length: 4\r\n",
		"list of lengths":  "Content-Length: 4, 5\r\n",
		"signed length":    "Content-Length: +4\r\n",
		"folded line":      "X-A: b\r\n c\r\nContent-Length: 4\r\n",
		"folded encoding":  "Transfer-Encoding:\r\n chunked\r\n",
		"space in name":    "Content-Length : 4\r\n",
		"other encoding":   "Transfer-Encoding: gzip, chunked\r\n",
		"two encodings":    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
		"bare line feed":   "X-A: b\nContent-Length: 4\r\n",
		"without a colon":  "Content-Length 4\r\n",
		"encoding in caps": "TRANSFER-ENCODING: xchunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var requests recorder
			_, address := startServer(c, echo(&requests))
			conn, r := dial(c, address)
			resp, _ := roundTrip(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\n"+header+"\r\n0\r\n\r\n"+hiddenRequest)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
			c.Assert(resp.Close, qt.IsTrue)
			_, err := r.ReadByte()
			c.Assert(err, qt.IsNotNil)
			c.Assert(requests.all(), qt.HasLen, 0)
		})
	}
}

func TestBodyLimits(t *testing.T) {
	for name, raw := range map[string]string{
		"Content-Length": "Content-Length: 70000\r\n\r\n",
		"chunked":        "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("z", 0x11170) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var requests recorder
			_, address := startServer(c, echo(&requests))
			conn, r := dial(c, address)
			resp, _ := roundTrip(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\n"+raw)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			c.Assert(requests.all(), qt.HasLen, 0)
		})
	}
}

// A request whose body ends early isn't passed to the handler, and its buffer is
// released.
func TestTruncatedBody(t *testing.T) {
	c := qt.New(t)
	var requests recorder
	server, address := startServer(c, echo(&requests))
	for _, raw := range []string{"Content-Length: 5\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		conn, r := dial(c, address)
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\n"+raw)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		_, err = r.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
	}
	c.Assert(requests.all(), qt.HasLen, 0)
	c.Assert(server.deps.Bodies.Used(), qt.Equals, int64(0))
}

func TestDisconnectCancelsContext(t *testing.T) {
	c := qt.New(t)
	result := make(chan error, 1)
	_, address := startServer(c, func(ctx context.Context, w *Writer, _ Exchange) {
		select {
		case <-ctx.Done():
			result <- nil
		case <-time.After(10 * time.Second):
			result <- fmt.Errorf("context not cancelled after 10s")
		}
		w.Abort()
	})
	conn, _ := dial(c, address)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_ = conn.Close()
	c.Assert(<-result, qt.IsNil)
}

func TestAbortedStreamDoesNotLookComplete(t *testing.T) {
	c := qt.New(t)
	for _, version := range []string{"1.1", "1.0"} {
		_, address := startServer(c, func(_ context.Context, w *Writer, _ Exchange) {
			_ = w.Start(http.StatusOK, http.Header{})
			_ = w.Write([]byte("part"))
			w.Abort()
		})
		conn, r := dial(c, address)
		_, err := io.WriteString(conn, "GET /a HTTP/"+version+"\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			// The reset has discarded the bytes that were written before it.
			continue
		}
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.Assert(err, qt.IsNotNil, qt.Commentf("HTTP/%s", version))
	}
}

func TestStreamIsComplete(t *testing.T) {
	c := qt.New(t)
	_, address := startServer(c, func(_ context.Context, w *Writer, _ Exchange) {
		_ = w.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		for range 3 {
			_ = w.Write([]byte("part"))
		}
		_ = w.Finish()
	})
	for _, version := range []string{"1.1", "1.0"} {
		conn, r := dial(c, address)
		resp, body := roundTrip(c, conn, r, "GET /a HTTP/"+version+"\r\nHost: x\r\n\r\n")
		c.Assert(body, qt.Equals, "partpartpart")
		c.Assert(resp.Close, qt.Equals, version == "1.0")
	}
}

func TestDrainClosesConnectionsAfterResponse(t *testing.T) {
	c := qt.New(t)
	var requests recorder
	server, address := startServer(c, echo(&requests))
	conn, r := dial(c, address)
	resp, _ := roundTrip(c, conn, r, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(resp.Close, qt.IsFalse)
	server.Drain()
	resp, _ = roundTrip(c, conn, r, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(resp.Close, qt.IsTrue)
	_, err := r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	// New connections are still served.
	conn, r = dial(c, address)
	resp, _ = roundTrip(c, conn, r, "GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

// A request whose body doesn't fit in the buffer is refused with a Retry-After.
func TestBufferLimit(t *testing.T) {
	c := qt.New(t)
	started := make(chan struct{}, 1)
	release := make(chan struct{})
	server, address := startServer(c, func(_ context.Context, w *Writer, _ Exchange) {
		started <- struct{}{}
		<-release
		w.Respond(http.StatusOK, http.Header{}, nil)
	})
	server.deps.Bodies = memory.NewBudget(1000)
	post := "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("b", 900)
	first, r1 := dial(c, address)
	_, err := io.WriteString(first, post)
	c.Assert(err, qt.IsNil)
	<-started
	second, r2 := dial(c, address)
	resp, _ := roundTrip(c, second, r2, post)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.5")
	close(release)
	firstResp, err := http.ReadResponse(r1, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(firstResp.StatusCode, qt.Equals, http.StatusOK)
	_ = firstResp.Body.Close()
}

// FuzzRequests sends arbitrary bytes. They must not crash the server, and no message
// with both a Content-Length and a Transfer-Encoding may reach the handler.
func FuzzRequests(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		var requests recorder
		server := NewServer(Deps{
			Handler:      echo(&requests),
			Limits:       testLimits,
			Bodies:       memory.NewBudget(1 << 20),
			WriteTimeout: time.Second,
		})
		serverConn, callerConn := net.Pipe()
		done := make(chan struct{})
		go func() {
			server.serveConn(server.addConn(serverConn, func() {}), (*conn).serve)
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, callerConn) }()
		_, _ = io.WriteString(callerConn, raw)
		_ = callerConn.Close()
		<-done
		for _, x := range requests.all() {
			if x.Request.Header.Get("Content-Length") != "" && len(x.Request.TransferEncoding) > 0 {
				t.Fatalf("ambiguous message served: %q", raw)
			}
		}
	})
}

// Guards against an end of the process by an unexpected error while a request is read.
func TestPanicOutsideHandlerEndsOneConnection(t *testing.T) {
	c := qt.New(t)
	server, address := startServer(c, echo(&recorder{}))
	server.deps.Rejected = func(Rejection) { panic("unexpected") }
	conn, r := dial(c, address)
	_, err := io.WriteString(conn, "odd\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_, err = r.ReadByte()
	c.Assert(err, qt.IsNotNil)
	conn, r = dial(c, address)
	resp, _ := roundTrip(c, conn, r, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(server.Connections(), qt.Equals, 1)
}

// A panic of the handler ends the connection of its request only.
func TestPanicEndsOneConnection(t *testing.T) {
	c := qt.New(t)
	server, address := startServer(c, func(_ context.Context, w *Writer, x Exchange) {
		if x.Target == "/panic" {
			panic("unexpected")
		}
		w.Respond(http.StatusOK, http.Header{}, nil)
	})
	const sound = "GET /sound HTTP/1.1\r\nHost: a\r\n\r\n"
	conn, r := dial(c, address)
	resp, _ := roundTrip(c, conn, r, sound)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	other, otherReader := dial(c, address)
	_, err := io.WriteString(other, "GET /panic HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_, err = otherReader.ReadByte()
	c.Assert(err, qt.IsNotNil, qt.Commentf("the connection ends without a response"))
	resp, _ = roundTrip(c, conn, r, sound)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	// A request counts for a moment after its response has arrived.
	for deadline := time.Now().Add(5 * time.Second); server.Active() != 0; time.Sleep(time.Millisecond) {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%d requests in progress", server.Active()))
	}
}
