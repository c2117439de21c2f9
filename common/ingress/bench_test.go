package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkKeptConnection measures requests on one connection, including the caller's side.
func BenchmarkKeptConnection(b *testing.B) {
	c := qt.New(b)
	_, address := startServer(c, respondWith(800))
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for b.Loop() {
		if _, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
