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

	"github.com/balsamlock/balsamlock/common/recovery"
)

const (
	// initialBufferBytes is the initial size of the read buffer of a connection. It grows
	// with the header, up to the header limit.
	initialBufferBytes = 2 << 10
	// connectionBytes is the memory that a connection without a request occupies at most.
	connectionBytes = 8 << 10
	// lingerTimeout is how long the server continues to read after an error response,
	// so that the caller can read the response before the connection is reset.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes limits what is read meanwhile.
	maxLingerBytes = 1 << 20
	// bodyChunkBytes is the size of the steps in which a body is read.
	bodyChunkBytes = 16 << 10
	// growthFactor is the capacity of the buffer of a chunked body over its size.
	growthFactor = 2
)

// pastDeadline is a read deadline in the past, which unblocks a pending read.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to a caller.
type conn struct {
	server  *Server
	netConn net.Conn
	reader  *bufio.Reader
	// idle is set while no request is in progress.
	idle atomic.Bool
	// lingers is set if the last response may not have reached the caller when the
	// connection is closed.
	lingers bool
	// lingering is set while the server only waits for the caller to close the connection.
	lingering atomic.Bool
	// reservedBytes is the number of bytes reserved for the body of the current
	// request.
	reservedBytes int64
}

func newConn(s *Server, c net.Conn) *conn {
	return &conn{
		server:  s,
		netConn: c,
		reader:  bufio.NewReaderSize(c, initialBufferBytes),
	}
}

// output returns a writer to the caller.
func (c *conn) output() progressWriter {
	return progressWriter{
		conn:    c.netConn,
		timeout: c.server.deps.WriteTimeout,
	}
}

// serveNext serves one request and reports whether the connection can be used for
// another one.
func (c *conn) serveNext() bool {
	limits := c.server.deps.Limits()
	c.idle.Store(true)
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return false
	}
	c.idle.Store(false)
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	defer func() {
		c.server.deps.Bodies.Return(c.reservedBytes)
		c.reservedBytes = 0
	}()
	x, status := c.readRequest(limits)
	if status != 0 {
		if rejected := c.server.deps.Rejected; rejected != nil {
			rejected(c.netConn.RemoteAddr().String(), status)
		}
		c.respondError(status)
		return false
	}
	if x.Request == nil {
		return false
	}
	return c.handle(x)
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(timeout time.Duration) error {
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
	if c.server.finishing.Load() {
		_ = c.netConn.SetReadDeadline(pastDeadline)
	}
	_, err := c.reader.Peek(1)
	if isTimeout(err) && c.server.finishing.Load() {
		// The wait may have ended although a request has arrived. A new deadline makes
		// the next one read first.
		_ = c.netConn.SetReadDeadline(time.Now().Add(lastRequestDelay))
		_, err = c.reader.Peek(1)
	}
	return err
}

// readRequest reads one request. A status other than 0 is the error status to
// respond with. If the status is 0 and the exchange has no request, the connection
// was closed.
func (c *conn) readRequest(limits Limits) (Exchange, int) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
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
		_, _ = io.WriteString(c.output(), "HTTP/1.1 100 Continue\r\n\r\n")
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

// peekHeader waits for the complete header and returns it without consuming it. A
// status other than 0 is an error. A nil header without a status means that the
// connection was closed.
func (c *conn) peekHeader(limit int) (header []byte, status int) {
	for size := 1; ; {
		buffered, err := c.reader.Peek(max(size, c.reader.Buffered()))
		if end := bytes.Index(buffered, []byte("\r\n\r\n")); end >= 0 {
			if end > limit {
				return nil, http.StatusRequestHeaderFieldsTooLarge
			}
			return buffered[:end+4], 0
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			// The new reader returns the buffered bytes first.
			c.growReadBuffer()
			continue
		case isTimeout(err):
			return nil, http.StatusRequestTimeout
		case err != nil:
			return nil, 0
		case len(buffered) > limit:
			return nil, http.StatusRequestHeaderFieldsTooLarge
		}
		size = len(buffered) + 1
	}
}

// growReadBuffer doubles the read buffer.
func (c *conn) growReadBuffer() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	unread := bytes.Clone(buffered)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(unread), c.netConn), 2*c.reader.Size())
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readBody reads the complete body. A status other than 0 is an error. A nil body
// without a status means that the connection was closed before the body was
// complete.
func (c *conn) readBody(req *http.Request, limits Limits) ([]byte, int) {
	if req.ContentLength > int64(limits.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if req.ContentLength == 0 {
		return []byte{}, 0
	}
	var body bytes.Buffer
	if req.ContentLength > 0 {
		if !c.reserveBody(req.ContentLength) {
			return nil, http.StatusServiceUnavailable
		}
		// ReadFrom needs free space at the end, too.
		body.Grow(int(req.ContentLength) + bytes.MinRead)
	}
	for {
		_ = c.netConn.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
		if req.ContentLength < 0 && !c.reserveBody(growthFactor*bodyChunkBytes) {
			return nil, http.StatusServiceUnavailable
		}
		n, err := io.CopyN(&body, req.Body, bodyChunkBytes)
		switch {
		case body.Len() > limits.BodyBytes:
			return nil, http.StatusRequestEntityTooLarge
		case errors.Is(err, io.EOF) && (req.ContentLength < 0 || int64(body.Len()) == req.ContentLength):
			return body.Bytes(), 0
		case isTimeout(err):
			return nil, http.StatusRequestTimeout
		case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
			return nil, 0
		case err != nil && n == 0:
			return nil, http.StatusBadRequest
		}
	}
}

// reserveBody reserves n bytes for the current body.
func (c *conn) reserveBody(n int64) bool {
	if !c.server.deps.Bodies.Take(n) {
		return false
	}
	c.reservedBytes += n
	return true
}

// respondError sends an error response to a request that was not read completely.
// The connection can't be used afterwards.
func (c *conn) respondError(status int) {
	w := newWriter(c, nil)
	w.closeAfter = true
	w.Respond(status, errorHeader(status), nil)
	c.linger(lingerTimeout)
}

// linger ends the response and reads on until the caller closes the connection, for at
// most d. Closing a connection with unread data resets it, which discards a response that
// the caller hasn't received yet.
func (c *conn) linger(d time.Duration) {
	closer, ok := c.netConn.(interface{ CloseWrite() error })
	if !ok {
		return
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(d))
	_ = closer.CloseWrite()
	_ = discard(c.reader, maxLingerBytes)
}

var errTooLong = errors.New("more bytes than allowed")

// discard reads from r up to its end. It returns an error if the end is not within limit bytes.
func discard(r io.Reader, limit int) error {
	// Many connections may wait here at the same time.
	var part [256]byte
	for limit > 0 {
		n, err := r.Read(part[:])
		limit -= n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errTooLong
}

// errorHeader returns the header of an error response. With status 503, which means
// that the buffer for bodies is full, it contains a Retry-After.
func errorHeader(status int) http.Header {
	header := http.Header{}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", "0.5")
	}
	return header
}

// handle calls the handler and reports whether the connection can be used for another
// request. While the handler runs, a pending read detects a disconnect of the caller
// and cancels the context.
func (c *conn) handle(x Exchange) bool {
	ctx, cancel := context.WithCancel(c.server.requests)
	defer cancel()
	_ = c.netConn.SetReadDeadline(time.Time{})
	disconnects := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(1)
		disconnected := err != nil && !isTimeout(err)
		if disconnected {
			cancel()
		}
		disconnects <- disconnected
	}()
	w := newWriter(c, x.Request)
	w.closeAfter = x.Request.Close || !x.Request.ProtoAtLeast(1, 1) || c.server.draining.Load()
	c.callHandler(ctx, w, x)
	if !w.finished {
		w.Abort()
	}
	_ = c.netConn.SetReadDeadline(pastDeadline)
	disconnected := <-disconnects
	c.lingers = !disconnected && w.closeAfter && !w.aborted
	return !disconnected && !w.closeAfter && !w.aborted
}

// callHandler calls the handler. If it panics, the connection is closed without a complete
// response, which doesn't state whether the request was run.
func (c *conn) callHandler(ctx context.Context, w *Writer, x Exchange) {
	defer recovery.Contain("handle request", func(error) { w.Abort() })
	c.server.deps.Handler(ctx, w, x)
}

// isUnambiguous reports whether all parsers agree on where the message with this
// header ends. It requires at most one Content-Length, of digits only, or one
// "Transfer-Encoding: chunked", but not both. Folded lines, bare CR or LF, NUL
// bytes and white space in or around field names are not allowed.
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
			if !isContentLength(strings.Trim(value, " \t")) {
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

func isContentLength(s string) bool {
	_, err := strconv.ParseUint(s, 10, 62)
	return err == nil && !strings.HasPrefix(s, "+")
}
