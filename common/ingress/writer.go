package ingress

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// ErrCallerGone is the error of a write to a caller that has left.
var ErrCallerGone = errors.New("caller has left")

// Writer writes one answer. It is used by one goroutine.
type Writer struct {
	conn *conn
	// request is nil for answers to requests that could not be read.
	request *http.Request
	chunked bool
	// close ends the connection after the answer.
	close    bool
	started  bool
	finished bool
	aborted  bool
}

func newWriter(c *conn, req *http.Request) *Writer {
	return &Writer{
		conn:    c,
		request: req,
	}
}

// Started tells whether the answer's header went out.
func (w *Writer) Started() bool { return w.started }

// CloseAfter ends the connection after the answer.
func (w *Writer) CloseAfter() { w.close = true }

// Respond writes a whole answer.
func (w *Writer) Respond(status int, header http.Header, body []byte) {
	if w.started {
		return
	}
	w.finished = true
	w.started = true
	w.head(status, header)
	if hasBody(status) {
		w.field("Content-Length", strconv.Itoa(len(body)))
	}
	w.endHead()
	if w.request == nil || w.request.Method != http.MethodHead {
		_, _ = w.conn.writer.Write(body)
	}
	if err := w.flush(); err != nil {
		w.aborted = true
	}
}

func hasBody(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// Start writes the header of an answer whose body follows by Write and ends with
// Finish or Abort.
func (w *Writer) Start(status int, header http.Header) error {
	w.started = true
	w.head(status, header)
	if w.request.ProtoAtLeast(1, 1) {
		w.field("Transfer-Encoding", "chunked")
		w.chunked = true
	}
	w.endHead()
	return nil
}

// Write passes a part of the body on at once.
func (w *Writer) Write(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	// The buffered writer keeps the first error; flush returns it.
	if w.chunked {
		_, _ = w.conn.writer.WriteString(strconv.FormatInt(int64(len(part)), 16) + "\r\n")
	}
	_, _ = w.conn.writer.Write(part)
	if w.chunked {
		_, _ = w.conn.writer.WriteString("\r\n")
	}
	return w.flush()
}

// Finish ends a body as complete.
func (w *Writer) Finish() error {
	w.finished = true
	if w.chunked {
		_, _ = w.conn.writer.WriteString("0\r\n\r\n")
	}
	return w.flush()
}

// Abort ends the connection so that the answer doesn't look complete.
func (w *Writer) Abort() {
	w.finished = true
	w.aborted = true
	if tcp, ok := w.conn.net.(*net.TCPConn); ok && w.started {
		_ = tcp.SetLinger(0)
	}
	_ = w.conn.net.Close()
}

func (w *Writer) head(status int, header http.Header) {
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(w.conn.server.deps.WriteTimeout))
	_, _ = fmt.Fprintf(w.conn.writer, "HTTP/1.1 %03d %s\r\n", status, http.StatusText(status))
	_ = header.WriteSubset(w.conn.writer, framing)
	if w.close {
		w.field("Connection", "close")
	}
}

// framing are the fields that this server sets itself.
var framing = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Keep-Alive":        true,
	"Transfer-Encoding": true,
}

func (w *Writer) field(name, value string) {
	_, _ = w.conn.writer.WriteString(name + ": " + value + "\r\n")
}

func (w *Writer) endHead() { _, _ = w.conn.writer.WriteString("\r\n") }

func (w *Writer) flush() error {
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(w.conn.server.deps.WriteTimeout))
	if err := w.conn.writer.Flush(); err != nil {
		return fmt.Errorf("answer: %w: %w", ErrCallerGone, err)
	}
	return nil
}
