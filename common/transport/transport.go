// Package transport builds the HTTP clients of the programs and tells failures
// before a request was sent from those after.
//
// # Usage
//
//	client := transport.NewClient()
//	if _, err := client.Do(req); transport.NotSent(err) { ... }
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 90 * time.Second
	maxIdleConns    = 4096
	maxIdlePerHost  = 64
	readBufferBytes = 16 << 10
)

// NewClient returns a client without an overall timeout whose pool keeps enough
// idle connections for many streams to each host.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWithDial(dialer.DialContext)
}

// NewClientWithDial returns a client like NewClient's whose connections are made by
// dial.
func NewClientWithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleTimeout,
			ReadBufferSize:      readBufferBytes,
			DisableCompression:  true,
		},
	}
}

// NotSent tells whether err proves that no byte of the request went out: the
// connection could not be made. It holds for requests that net/http does not
// replay: those with a method that may have effects and without the
// Idempotency-Key header in its canonical spelling.
func NotSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
