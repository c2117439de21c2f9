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

// seen collects what handlers were given.
type seen struct {
	mu   sync.Mutex
	list []Exchange
}

func (s *seen) add(x Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, x)
}

func (s *seen) all() []Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// echo answers with the body that it got.
func echo(s *seen) Handler {
	return func(_ context.Context, w *Writer, x Exchange) {
		s.add(x)
		w.Respond(http.StatusOK, http.Header{"X-Path": {x.Target}}, x.Body)
	}
}

func serve(c *qt.C, handler Handler) (*Server, string) {
	server := NewServer(Deps{
		Handler:      handler,
		Limits:       testLimits,
		BufferBytes:  1 << 20,
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

// head is the head of an answer that was read whole.
type head struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// exchange sends raw bytes and returns the head and body of the answer.
func exchange(c *qt.C, conn net.Conn, r *bufio.Reader, raw string) (head, string) {
	_, err := io.WriteString(conn, raw)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return head{
		StatusCode: resp.StatusCode,
		Header:     resp.Header,
		Close:      resp.Close,
	}, string(body)
}

func TestKeptConnection(t *testing.T) {
	c := qt.New(t)
	var s seen
	_, address := serve(c, echo(&s))
	conn, r := dial(c, address)
	resp, body := exchange(c, conn, r, "POST /a?b=%2F HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	c.Assert(body, qt.Equals, "abc")
	c.Assert(resp.Header.Get("X-Path"), qt.Equals, "/a?b=%2F")
	_, body = exchange(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	c.Assert(body, qt.Equals, "abcde")
	_, body = exchange(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	c.Assert(body, qt.Equals, "")
	// Two requests at once are answered one after the other.
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
	var s seen
	_, address := serve(c, echo(&s))
	conn, r := dial(c, address)
	resp, _ := exchange(c, conn, r, "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("y", 12<<10)+"\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	resp, _ = exchange(c, conn, r, "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("y", 20<<10)+"\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}

// Messages whose end has two readings are refused and end the connection, so that
// nothing that hides in them is ever served.
func TestAmbiguousMessages(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, head := range map[string]string{
		"both":             "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":      "Content-Length: 4\r\nContent-Length: 5\r\n",
		"same lengths":     "Content-Length: 4\r\nContent-Length: 4\r\n",
		"list of lengths":  "Content-Length: 4, 5\r\n",
		"signed length":    "Content-Length: +4\r\n",
		"folded":           "X-A: b\r\n c\r\nContent-Length: 4\r\n",
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
			var s seen
			_, address := serve(c, echo(&s))
			conn, r := dial(c, address)
			resp, _ := exchange(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\n"+head+"\r\n0\r\n\r\n"+hidden)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
			c.Assert(resp.Close, qt.IsTrue)
			_, err := r.ReadByte()
			c.Assert(err, qt.IsNotNil)
			c.Assert(s.all(), qt.HasLen, 0)
		})
	}
}

func TestBodyLimits(t *testing.T) {
	for name, raw := range map[string]string{
		"length": "Content-Length: 70000\r\n\r\n",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n11170\r\n" + strings.Repeat("z", 0x11170) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s seen
			_, address := serve(c, echo(&s))
			conn, r := dial(c, address)
			resp, _ := exchange(c, conn, r, "POST /a HTTP/1.1\r\nHost: x\r\n"+raw)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
			c.Assert(s.all(), qt.HasLen, 0)
		})
	}
}

// A body that ends early reaches no handler.
func TestTornBody(t *testing.T) {
	c := qt.New(t)
	var s seen
	server, address := serve(c, echo(&s))
	for _, raw := range []string{"Content-Length: 5\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n5\r\nab"} {
		conn, r := dial(c, address)
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: x\r\n"+raw)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		_, err = r.ReadByte()
		c.Assert(err, qt.Equals, io.EOF)
	}
	c.Assert(s.all(), qt.HasLen, 0)
	c.Assert(server.buffered.Load(), qt.Equals, int64(0))
}

func TestCallerThatLeavesEndsTheContext(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	_, address := serve(c, func(ctx context.Context, w *Writer, _ Exchange) {
		select {
		case <-ctx.Done():
			ended <- nil
		case <-time.After(10 * time.Second):
			ended <- fmt.Errorf("the context goes on")
		}
		w.Abort()
	})
	conn, _ := dial(c, address)
	_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	_ = conn.Close()
	c.Assert(<-ended, qt.IsNil)
}

func TestAbortedStreamDoesNotLookComplete(t *testing.T) {
	c := qt.New(t)
	for _, version := range []string{"1.1", "1.0"} {
		_, address := serve(c, func(_ context.Context, w *Writer, _ Exchange) {
			_ = w.Start(http.StatusOK, http.Header{})
			_ = w.Write([]byte("part"))
			w.Abort()
		})
		conn, r := dial(c, address)
		_, err := io.WriteString(conn, "GET /a HTTP/"+version+"\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			// The reset has overtaken what was written.
			continue
		}
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.Assert(err, qt.IsNotNil, qt.Commentf("HTTP/%s", version))
	}
}

func TestStreamIsComplete(t *testing.T) {
	c := qt.New(t)
	_, address := serve(c, func(_ context.Context, w *Writer, _ Exchange) {
		_ = w.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		for range 3 {
			_ = w.Write([]byte("part"))
		}
		_ = w.Finish()
	})
	for _, version := range []string{"1.1", "1.0"} {
		conn, r := dial(c, address)
		resp, body := exchange(c, conn, r, "GET /a HTTP/"+version+"\r\nHost: x\r\n\r\n")
		c.Assert(body, qt.Equals, "partpartpart")
		c.Assert(resp.Close, qt.Equals, version == "1.0")
	}
}

func TestDrainEndsConnectionsAfterTheirAnswer(t *testing.T) {
	c := qt.New(t)
	var s seen
	server, address := serve(c, echo(&s))
	conn, r := dial(c, address)
	resp, _ := exchange(c, conn, r, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(resp.Close, qt.IsFalse)
	server.Drain()
	resp, _ = exchange(c, conn, r, "GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(resp.Close, qt.IsTrue)
	_, err := r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	// New connections are still served.
	conn, r = dial(c, address)
	resp, _ = exchange(c, conn, r, "GET /c HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
}

func TestBufferBound(t *testing.T) {
	c := qt.New(t)
	entered := make(chan struct{}, 1)
	hold := make(chan struct{})
	server, address := serve(c, func(_ context.Context, w *Writer, _ Exchange) {
		entered <- struct{}{}
		<-hold
		w.Respond(http.StatusOK, http.Header{}, nil)
	})
	server.deps.BufferBytes = 1000
	post := "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("b", 900)
	first, r1 := dial(c, address)
	_, err := io.WriteString(first, post)
	c.Assert(err, qt.IsNil)
	<-entered
	second, r2 := dial(c, address)
	resp, _ := exchange(c, second, r2, post)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Header.Get("Retry-After"), qt.Equals, "0.5")
	close(hold)
	answer, err := http.ReadResponse(r1, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.StatusCode, qt.Equals, http.StatusOK)
	_ = answer.Body.Close()
}

// FuzzRequests sends any bytes: what the handler gets must be what net/http reads
// from them by itself, and nothing may break the server.
func FuzzRequests(f *testing.F) {
	f.Add("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		var s seen
		server := NewServer(Deps{
			Handler:      echo(&s),
			Limits:       testLimits,
			BufferBytes:  1 << 20,
			WriteTimeout: time.Second,
		})
		left, right := net.Pipe()
		done := make(chan struct{})
		go func() {
			server.serve(left)
			close(done)
		}()
		go func() { _, _ = io.Copy(io.Discard, right) }()
		_, _ = io.WriteString(right, raw)
		_ = right.Close()
		<-done
		for _, x := range s.all() {
			if x.Request.Header.Get("Content-Length") != "" && len(x.Request.TransferEncoding) > 0 {
				t.Fatalf("ambiguous message served: %q", raw)
			}
		}
	})
}
