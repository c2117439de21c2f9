package ingress

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// ErrCallerDisconnected is returned if a write to the caller fails: the caller has
// disconnected, or it has read nothing for WriteTimeout.
var ErrCallerDisconnected = errors.New("caller disconnected")

// Writer writes one response. It isn't safe for concurrent use.
type Writer struct {
	conn *conn
	// request is nil if the request couldn't be read.
	request *http.Request
	chunked bool
	// closeAfter makes the server close the connection after the response.
	closeAfter bool
	started    bool
	finished   bool
	aborted    bool
	// err is the first failed write.
	err error
}

func newWriter(c *conn, req *http.Request) *Writer {
	return &Writer{
		conn:    c,
		request: req,
	}
}

// Started reports whether the response header was written.
func (w *Writer) Started() bool { return w.started }

// Err returns the error of the first write that failed, or nil. The caller may have received
// only a part of the response then. Errors match ErrCallerDisconnected.
func (w *Writer) Err() error { return w.err }

// CloseAfter makes the server close the connection after this response. It must be
// called before the header is written.
func (w *Writer) CloseAfter() { w.closeAfter = true }

// Respond writes a complete response. It does nothing if the response was already
// started.
func (w *Writer) Respond(status int, header http.Header, body []byte) {
	if w.started {
		return
	}
	w.finished = true
	w.started = true
	w.writeHeader(status, header)
	if bodyAllowed(status) {
		w.writeField("Content-Length", strconv.Itoa(len(body)))
	}
	w.endHeader()
	if w.request == nil || w.request.Method != http.MethodHead {
		w.writeParts(body)
	}
	if err := w.flush(); err != nil {
		w.aborted = true
	}
}

// bodyAllowed reports whether a response with this status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// Start writes the header of a streamed response. The body is written with Write and
// ended with Finish or Abort. The header is sent with the first Write or with Finish.
// The error is always nil.
func (w *Writer) Start(status int, header http.Header) error {
	w.started = true
	w.writeHeader(status, header)
	if w.request.ProtoAtLeast(1, 1) {
		w.writeField("Transfer-Encoding", "chunked")
		w.chunked = true
	}
	w.endHeader()
	return nil
}

// Write sends a part of the body to the caller without buffering. Errors match
// ErrCallerDisconnected.
func (w *Writer) Write(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	// The buffered writer keeps the first error, and flush returns it.
	if w.chunked {
		_, _ = w.conn.writer.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
	}
	w.writeParts(part)
	if w.chunked {
		_, _ = w.conn.writer.WriteString("\r\n")
	}
	return w.flush()
}

// writePartBytes is the size of the parts in which a body is written.
const writePartBytes = 64 << 10

// writeParts writes to the buffered writer, which keeps the first error.
func (w *Writer) writeParts(body []byte) {
	for part := range slices.Chunk(body, writePartBytes) {
		if _, err := w.conn.writer.Write(part); err != nil {
			return
		}
	}
}

// Finish completes a streamed response. Errors match ErrCallerDisconnected.
func (w *Writer) Finish() error {
	w.finished = true
	if w.chunked {
		_, _ = w.conn.writer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Abort closes the connection without completing the response. If the header was
// written, the connection is reset, so that the caller doesn't take the response for
// complete.
func (w *Writer) Abort() {
	w.finished = true
	w.aborted = true
	if tcp, ok := w.conn.netConn.(*net.TCPConn); ok && w.started {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.netConn.Close()
}

func (w *Writer) writeHeader(status int, header http.Header) {
	_, _ = fmt.Fprintf(w.conn.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = header.WriteSubset(w.conn.writer, framingHeaders)
	if w.closeAfter {
		w.writeField("Connection", "close")
	}
}

// framingHeaders are the header fields that the server sets itself. They are removed
// from the header that a handler passes.
var framingHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
}

func (w *Writer) writeField(name, value string) {
	_, _ = w.conn.writer.WriteString(name + ": " + value + "\r\n")
}

func (w *Writer) endHeader() { _, _ = w.conn.writer.WriteString("\r\n") }

func (w *Writer) flush() error {
	err := w.conn.writer.Flush()
	if err == nil {
		return nil
	}
	if w.err == nil {
		w.err = fmt.Errorf("write response: %w: %w", ErrCallerDisconnected, err)
	}
	return w.err
}

// lastWriteTimeout is the timeout of the write that follows a timeout.
const lastWriteTimeout = 20 * time.Millisecond

// progressWriter writes to a connection and fails if nothing can be written for timeout.
type progressWriter struct {
	conn    net.Conn
	timeout time.Duration
}

func (w progressWriter) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := w.writeWithin(w.timeout, p[written:])
		written += n
		if n == 0 && isTimeout(err) {
			// The kernel reports a socket as writable only when a third of its buffer is
			// free, and the timeout may have passed while this process was suspended.
			n, err = w.writeWithin(lastWriteTimeout, p[written:])
			written += n
		}
		if !isTimeout(err) || n == 0 {
			return written, err
		}
	}
}

func (w progressWriter) writeWithin(timeout time.Duration, p []byte) (int, error) {
	_ = w.conn.SetWriteDeadline(time.Now().Add(timeout))
	return w.conn.Write(p)
}
