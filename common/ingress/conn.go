package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/common/recovery"
)

const (
	// initialBufferBytes is the initial size of the read buffer of a connection. It grows
	// with the header, up to the header limit.
	initialBufferBytes = 2 << 10
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
	// idle is set while the connection waits for the first byte of a request. Who unsets it
	// decides what becomes of the connection.
	idle atomic.Bool
	// idleSince is the start of the wait as nanoseconds since the start of the server.
	idleSince atomic.Int64
	// end ends the charge for the connection. ended is set once it was called.
	end   func()
	ended atomic.Bool
	// headerCharge is the charge for the part of the read buffer above its initial size.
	headerCharge int64
	// lingers is set if the last response may not have reached the caller when the
	// connection is closed.
	lingers bool
	// lingering is set while the server only waits for the caller to close the connection.
	lingering atomic.Bool
	// requestCharge and bodyCharge are the charges for the current request.
	requestCharge int64
	bodyCharge    int64
}

func newConn(s *Server, c net.Conn, end func()) *conn {
	return &conn{
		server:  s,
		netConn: c,
		end:     end,
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

// serve serves requests until the connection can't be used any more.
func (c *conn) serve() {
	defer c.releaseReadBuffer()
	for c.serveNext() {
	}
	if c.lingers {
		c.lingering.Store(true)
		c.linger(c.server.deps.WriteTimeout)
	}
}

// endCharge ends the charge for the connection.
func (c *conn) endCharge() {
	if !c.ended.Swap(true) {
		c.end()
	}
}

// serveNext serves one request and reports whether the connection can be used for
// another one.
func (c *conn) serveNext() bool {
	limits := c.server.deps.Limits()
	c.shrinkReadBuffer()
	if c.reader.Buffered() == 0 && !c.awaitRequest(limits.IdleTimeout) {
		if c.reader.Buffered() > 0 {
			c.refuseNext()
		}
		return false
	}
	c.server.active.Add(1)
	defer c.server.active.Add(-1)
	defer c.returnCharges()
	x, rejection := c.readRequest(limits)
	if rejection.Status != 0 {
		c.reportRejection(rejection)
		if x.Request != nil {
			return c.refuse(x.Request, rejection.Status, limits)
		}
		c.respondError(rejection.Status)
		return false
	}
	if x.Request == nil {
		return false
	}
	return c.handle(x)
}

// returnCharges returns what the current request was charged.
func (c *conn) returnCharges() {
	c.server.admission.endRequest(c.requestCharge)
	c.server.deps.Bodies.Return(c.bodyCharge)
	c.requestCharge, c.bodyCharge = 0, 0
}

// awaitRequest waits for the first byte of a request. It returns false if the connection was
// closed or evicted meanwhile.
func (c *conn) awaitRequest(timeout time.Duration) bool {
	now := time.Now()
	c.idleSince.Store(int64(now.Sub(c.server.started)))
	_ = c.netConn.SetReadDeadline(now.Add(timeout))
	c.idle.Store(true)
	if c.server.finishing.Load() {
		_ = c.netConn.SetReadDeadline(pastDeadline)
	}
	_, err := c.reader.Peek(1)
	if isTimeout(err) && (c.server.finishing.Load() || !c.idle.Load()) {
		// The wait may have ended although a request has arrived. A new deadline makes
		// the next one read first.
		_ = c.netConn.SetReadDeadline(time.Now().Add(lastRequestDelay))
		_, err = c.reader.Peek(1)
	}
	return c.idle.CompareAndSwap(true, false) && err == nil
}

// readRequest reads one request. If the rejection has a status, it is to be responded with;
// the connection can be used afterwards if the exchange has a request. Without a status and a
// request, the connection was closed.
func (c *conn) readRequest(limits Limits) (Exchange, Rejection) {
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	header, status := c.peekHeader(limits.HeaderBytes)
	if status != 0 || header == nil {
		rejection := Rejection{Status: status}
		if status == http.StatusServiceUnavailable {
			rejection.Lacking = ResourceHeaders
		}
		return Exchange{}, rejection
	}
	arrived := time.Now()
	charge := requestCharge(header)
	if !isUnambiguous(header) {
		return Exchange{}, Rejection{Status: http.StatusBadRequest}
	}
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return Exchange{}, Rejection{Status: http.StatusBadRequest}
	}
	x := Exchange{
		Request: req,
		Target:  req.RequestURI,
		Arrived: arrived,
	}
	c.requestCharge = c.server.admission.admitRequest(charge)
	if c.requestCharge == 0 {
		return x, Rejection{
			Status:  http.StatusServiceUnavailable,
			Lacking: ResourceRequests,
			Header:  req.Header,
		}
	}
	if expectsContinue(req) {
		_, _ = io.WriteString(c.output(), "HTTP/1.1 100 Continue\r\n\r\n")
	}
	body, status := c.readBody(req, limits)
	if status != 0 {
		rejection := Rejection{
			Status: status,
			Header: req.Header,
		}
		if status == http.StatusServiceUnavailable {
			rejection.Lacking = ResourceBodies
		}
		return Exchange{}, rejection
	}
	if body == nil {
		return Exchange{}, Rejection{}
	}
	x.Body = body
	return x, Rejection{}
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// peekHeader waits for the complete header and returns it without consuming it. A
// status other than 0 is an error. A nil header without a status means that the
// connection was closed.
func (c *conn) peekHeader(limit int) (header []byte, status int) {
	for size := 1; ; {
		buffered, err := c.reader.Peek(max(size, c.reader.Buffered()))
		if end := bytes.Index(buffered, []byte(headerEnd)); end >= 0 {
			if end > limit {
				return nil, http.StatusRequestHeaderFieldsTooLarge
			}
			return buffered[:end+len(headerEnd)], 0
		}
		switch {
		case len(buffered) >= limit+len(headerEnd):
			return nil, http.StatusRequestHeaderFieldsTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			// The new reader returns the buffered bytes first.
			if !c.growReadBuffer(limit + len(headerEnd)) {
				return nil, http.StatusServiceUnavailable
			}
			continue
		case isTimeout(err):
			return nil, http.StatusRequestTimeout
		case err != nil:
			return nil, 0
		}
		size = len(buffered) + 1
	}
}

// headerEnd ends a header.
const headerEnd = "\r\n\r\n"

// growReadBuffer doubles the read buffer, up to limit bytes. It returns false if there is no
// memory for it.
func (c *conn) growReadBuffer(limit int) bool {
	size := min(2*c.reader.Size(), limit)
	charge := int64(size - c.reader.Size())
	connections := c.server.admission.connections
	if !connections.Take(charge) {
		c.server.makeRoom()
		if !connections.Take(charge) {
			return false
		}
	}
	c.headerCharge += charge
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	unread := bytes.Clone(buffered)
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(unread), c.netConn), size)
	return true
}

// shrinkReadBuffer replaces an empty read buffer that has grown by one of the initial size.
func (c *conn) shrinkReadBuffer() {
	if c.headerCharge > 0 && c.reader.Buffered() == 0 {
		c.reader = bufio.NewReaderSize(c.netConn, initialBufferBytes)
		c.releaseReadBuffer()
	}
}

// releaseReadBuffer ends the charge for a read buffer that has grown.
func (c *conn) releaseReadBuffer() {
	c.server.admission.connections.Return(c.headerCharge)
	c.headerCharge = 0
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
	c.bodyCharge += n
	return true
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
	w.closeAfter = c.closesAfter(x.Request)
	c.callHandler(ctx, w, x)
	if !w.finished {
		w.Abort()
	}
	_ = c.netConn.SetReadDeadline(pastDeadline)
	disconnected := <-disconnects
	c.lingers = !disconnected && w.closeAfter && !w.aborted
	return !disconnected && !w.closeAfter && !w.aborted
}

// closesAfter reports whether the connection must be closed after the response to a request.
func (c *conn) closesAfter(req *http.Request) bool {
	return req.Close || !req.ProtoAtLeast(1, 1) || c.server.draining.Load()
}

// callHandler calls the handler. If it panics, the connection is closed without a complete
// response, which doesn't state whether the request was run.
func (c *conn) callHandler(ctx context.Context, w *Writer, x Exchange) {
	defer recovery.Contain("handle request", func(error) { w.Abort() })
	c.server.deps.Handler(ctx, w, x)
}
