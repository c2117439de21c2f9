package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes is the first size of a connection's read buffer. It grows with
	// the header, up to the limit.
	bufferBytes = 4 << 10
	// lingerTime is how long a connection that was refused reads on, so that the
	// caller gets the answer before the reset.
	lingerTime = 200 * time.Millisecond
	// bodyChunk is the step in which a body without a length is accounted for.
	bodyChunk = 16 << 10
)

// longAgo is a deadline that ends a pending read.
var longAgo = time.Unix(1, 0)

// conn is one caller's connection.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idle is set while no request has begun.
	idle atomic.Bool
	// held is the part of the server's buffer that the present body takes.
	held int64
}

func newConn(s *Server, c net.Conn) *conn {
	return &conn{
		server: s,
		net:    c,
		reader: bufio.NewReaderSize(c, bufferBytes),
		writer: bufio.NewWriterSize(c, bufferBytes),
	}
}

// next serves one request and tells whether another may follow.
func (c *conn) next() bool {
	limits := c.server.deps.Limits()
	c.idle.Store(true)
	_ = c.net.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	c.idle.Store(false)
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	defer func() {
		c.server.buffered.Add(-c.held)
		c.held = 0
	}()
	x, status := c.read(limits)
	if status != 0 {
		if rejected := c.server.deps.Rejected; rejected != nil {
			rejected(c.net.RemoteAddr().String(), status)
		}
		c.refuse(status)
		return false
	}
	if x.Request == nil {
		return false
	}
	return c.answer(x)
}

// read reads one request; a status other than 0 refuses it. Without a request
// and a status the connection is gone.
func (c *conn) read(limits Limits) (Exchange, int) {
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	header, status := c.peekHeader(limits.HeaderBytes)
	if status != 0 || header == nil {
		return Exchange{}, status
	}
	arrived := time.Now()
	if !isUnambiguous(header) {
		return Exchange{}, http.StatusBadRequest
	}
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return Exchange{}, http.StatusBadRequest
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		_, _ = io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	body, status := c.readBody(req, limits)
	if status != 0 {
		return Exchange{}, status
	}
	if body == nil {
		return Exchange{}, 0
	}
	return Exchange{
		Request: req,
		Body:    body,
		Target:  req.RequestURI,
		Arrived: arrived,
	}, 0
}

// peekHeader waits for a whole header without consuming it.
func (c *conn) peekHeader(limit int) (header []byte, status int) {
	for size := 1; ; {
		seen, err := c.reader.Peek(max(size, c.reader.Buffered()))
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			if end > limit {
				return nil, http.StatusRequestHeaderFieldsTooLarge
			}
			return seen[:end+4], 0
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			// The larger reader takes what is buffered first.
			c.grow()
			continue
		case isTimeout(err):
			return nil, http.StatusRequestTimeout
		case err != nil:
			return nil, 0
		case len(seen) > limit:
			return nil, http.StatusRequestHeaderFieldsTooLarge
		}
		size = len(seen) + 1
	}
}

// grow doubles the read buffer.
func (c *conn) grow() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	pending := bytes.Clone(buffered)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(pending), c.net), 2*c.reader.Size())
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readBody reads the whole body. It returns nil without a status when the
// connection broke.
func (c *conn) readBody(req *http.Request, limits Limits) ([]byte, int) {
	if req.ContentLength > int64(limits.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if req.ContentLength == 0 {
		return []byte{}, 0
	}
	var body bytes.Buffer
	if req.ContentLength > 0 {
		if !c.hold(req.ContentLength) {
			return nil, http.StatusServiceUnavailable
		}
		body.Grow(int(req.ContentLength))
	}
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
		if req.ContentLength < 0 && !c.hold(bodyChunk) {
			return nil, http.StatusServiceUnavailable
		}
		n, err := io.CopyN(&body, req.Body, bodyChunk)
		switch {
		case body.Len() > limits.BodyBytes:
			return nil, http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF) && (req.ContentLength < 0 || int64(body.Len()) == req.ContentLength):
			return append([]byte{}, body.Bytes()...), 0
		case isTimeout(err):
			return nil, http.StatusRequestTimeout
		case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
			return nil, 0
		case err != nil && n == 0:
			return nil, http.StatusBadRequest
		}
	}
}

func (c *conn) hold(n int64) bool {
	if !c.server.reserve(n) {
		return false
	}
	c.held += n
	return true
}

// refuse answers a request that was not read whole, and ends the connection.
func (c *conn) refuse(status int) {
	w := newWriter(c, nil)
	w.close = true
	w.Respond(status, refusalHeader(status), nil)
	// A reset would discard an answer that the caller hasn't read yet.
	_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.net, int64(1<<20))
	}
}

// refusalHeader tells callers when to come back if the server was at its limit.
func refusalHeader(status int) http.Header {
	header := http.Header{}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", "0.5")
	}
	return header
}

// answer lets the handler answer and tells whether the connection goes on.
func (c *conn) answer(x Exchange) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = c.net.SetReadDeadline(time.Time{})
	left := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(1)
		gone := err != nil && !isTimeout(err)
		if gone {
			cancel()
		}
		left <- gone
	}()
	w := newWriter(c, x.Request)
	w.close = x.Request.Close || !x.Request.ProtoAtLeast(1, 1) || c.server.draining.Load()
	c.server.deps.Handler(ctx, w, x)
	if !w.finished {
		w.Abort()
	}
	_ = c.net.SetReadDeadline(longAgo)
	gone := <-left
	return !gone && !w.close && !w.aborted
}

// isUnambiguous tells whether a header has one reading as to where its message
// ends: no folded lines, one Content-Length of digits or one Transfer-Encoding,
// not both, and no white space around field names.
func isUnambiguous(header []byte) bool {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	lengths, encodings := 0, 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || strings.ContainsAny(line, "\n\r\x00") {
			return false
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			if !isDigits(strings.Trim(value, " \t")) {
				return false
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(strings.Trim(value, " \t"), "chunked") {
				return false
			}
		}
	}
	return lengths+encodings <= 1 && !strings.ContainsAny(lines[0], "\n\r\x00")
}

func isDigits(s string) bool {
	_, err := strconv.ParseUint(s, 10, 62)
	return err == nil && !strings.HasPrefix(s, "+")
}
