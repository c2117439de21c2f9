package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// ErrCallerDisconnected is returned if a write to the caller fails: the caller has
// disconnected, or it has read nothing for WriteTimeout.
var ErrCallerDisconnected = errors.New("caller disconnected")

// writeBufferBytes is the size of a write buffer.
const writeBufferBytes = 4 << 10

// writeBuffers holds the write buffers that no response uses.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

// Writer writes one response. It isn't safe for concurrent use.
type Writer struct {
	conn *conn
	// pending is the buffer for what is not flushed yet, or nil.
	pending *bufio.Writer
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
	if len(part) == 0 || w.err != nil {
		return w.err
	}
	// The buffer keeps the first error, and flush returns it.
	if w.chunked {
		_, _ = w.buffer().WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
	}
	w.writeParts(part)
	if w.chunked {
		_, _ = w.buffer().WriteString("\r\n")
	}
	return w.flush()
}

// writePartBytes is the size of the parts in which a body is written.
const writePartBytes = 64 << 10

// writeParts writes to the buffer, which keeps the first error.
func (w *Writer) writeParts(body []byte) {
	for part := range slices.Chunk(body, writePartBytes) {
		if _, err := w.buffer().Write(part); err != nil {
			return
		}
	}
}

// Finish completes a streamed response. Errors match ErrCallerDisconnected.
func (w *Writer) Finish() error {
	w.finished = true
	if w.err != nil {
		return w.err
	}
	if w.chunked {
		_, _ = w.buffer().WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Abort closes the connection without completing the response. If the header was
// written, the connection is reset, so that the caller doesn't take the response for
// complete.
func (w *Writer) Abort() {
	w.finished = true
	w.aborted = true
	w.releaseBuffer()
	if tcp, ok := w.conn.netConn.(*net.TCPConn); ok && w.started {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.netConn.Close()
}

func (w *Writer) writeHeader(status int, header http.Header) {
	_, _ = fmt.Fprintf(w.buffer(), "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = header.WriteSubset(w.buffer(), framingHeaders)
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
	_, _ = w.buffer().WriteString(name + ": " + value + "\r\n")
}

func (w *Writer) endHeader() { _, _ = w.buffer().WriteString("\r\n") }

// buffer returns the buffer for what is not flushed yet.
func (w *Writer) buffer() *bufio.Writer {
	if w.pending == nil {
		w.pending = writeBuffers.Get().(*bufio.Writer)
		w.pending.Reset(w.conn.output())
	}
	return w.pending
}

// releaseBuffer discards what is not flushed yet.
func (w *Writer) releaseBuffer() {
	if w.pending != nil {
		w.pending.Reset(nil)
		writeBuffers.Put(w.pending)
		w.pending = nil
	}
}

func (w *Writer) flush() error {
	err := w.buffer().Flush()
	w.releaseBuffer()
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
