// Package transport implements the HTTP clients of the programs, distinguishes failures
// before a request was sent from failures after that, and retries failed accepts.
//
// Reading the body of a response fails if the connection was lost before its end. That
// also holds for a body that ends with its connection, and for one that arrives while
// the request is being sent.
//
// # Usage
//
//	client := transport.NewClient()
//	if _, err := client.Do(req); transport.NotSent(err) { ... }
package transport

import (
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout         = 2 * time.Second
	idleTimeout         = 90 * time.Second
	maxIdleConns        = 4096
	maxIdleConnsPerHost = 64
	readBufferBytes     = 16 << 10
)

// NewClient returns a client that keeps enough idle connections for many concurrent
// streams to each host. Requests have no timeout other than that of their context, since
// streams may take long.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWithDial(dialer.DialContext)
}

// NewClientWithDial returns a client like that of NewClient which uses dial to open
// connections.
func NewClientWithDial(dial dialFunc) *http.Client {
	return &http.Client{Transport: CheckHeads(New(dial))}
}

// New returns the transport of these clients. It doesn't check the heads of responses:
// the caller wraps it with CheckHeads or calls CheckHead.
func New(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext:         dialClientConns(dial),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      readBufferBytes,
		DisableCompression:  true,
	}
}

// NotSent reports whether err proves that no byte of the request was sent, because the
// connection couldn't be opened.
//
// The result is only valid for requests that net/http doesn't retry by itself: those with
// a non-idempotent method and without the Idempotency-Key header in its canonical
// spelling.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
