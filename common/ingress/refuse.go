package ingress

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// RetryAfter is the delay after which a caller whose request was refused for the lack of memory
// is asked to come back.
const RetryAfter = 500 * time.Millisecond

const (
	// lingerTimeout is how long the server continues to read after an error response,
	// so that the caller can read the response before the connection is reset.
	lingerTimeout = 200 * time.Millisecond
	// maxLingerBytes limits what is read meanwhile.
	maxLingerBytes = 1 << 20
	// refusedHeaderTimeout is the timeout from the start of a connection whose request is to be
	// refused to the end of its header.
	refusedHeaderTimeout = 300 * time.Millisecond
	// maxRefusedBody is the size of a body that is read so that the connection of a refused
	// request can be used again.
	maxRefusedBody = 16 << 10
)

// reportRejection reports a request that is not passed to the handler.
func (c *conn) reportRejection(r Rejection) {
	if c.server.deps.Rejected != nil {
		r.Remote = c.netConn.RemoteAddr().String()
		c.server.deps.Rejected(r)
	}
}

// refuseNext refuses one request. Its header is read for the log if it fits in the initial buffer
// and arrives soon.
func (c *conn) refuseNext() {
	_ = c.netConn.SetReadDeadline(time.Now().Add(refusedHeaderTimeout))
	rejection := Rejection{
		Status:  http.StatusServiceUnavailable,
		Lacking: ResourceConnections,
	}
	header, status := c.peekHeader(initialBufferBytes - len(headerEnd))
	switch {
	case status == 0 && header == nil:
		return
	case status == 0 && isUnambiguous(header):
		if req, err := http.ReadRequest(c.reader); err == nil {
			rejection.Header = req.Header
		}
	}
	c.reportRejection(rejection)
	c.respondError(rejection.Status)
}

// refuse responds to a request whose body was not read, and reports whether the connection can be
// used for another one. It can't if the request is long or if the caller has sent further
// requests already, which would be refused, too.
func (c *conn) refuse(req *http.Request, status int, limits Limits) bool {
	if expectsContinue(req) || req.ContentLength > maxRefusedBody || c.reader.Size() > initialBufferBytes {
		c.respondError(status)
		return false
	}
	_ = c.netConn.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	if err := discard(req.Body, maxRefusedBody); err != nil || c.reader.Buffered() > 0 {
		c.respondError(status)
		return false
	}
	w := newWriter(c, req)
	w.closeAfter = c.closesAfter(req)
	w.Respond(status, errorHeader(status), nil)
	c.lingers = w.closeAfter && !w.aborted
	return !w.closeAfter && !w.aborted
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

// errorHeader returns the header of an error response. With status 503, it contains a
// Retry-After.
func errorHeader(status int) http.Header {
	header := http.Header{}
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(RetryAfter.Seconds(), 'f', -1, 64))
	}
	return header
}
