package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	dialTimeout       = 2 * time.Second
	keepAlivePeriod   = 15 * time.Second
	idleTimeout       = 90 * time.Second
	readHeaderTimeout = 10 * time.Second
	// flushTimeout is the maximum time for writing finished responses during a shutdown.
	flushTimeout = 2 * time.Second
)

// Network opens listeners and connections.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// TCP is a Network that uses TCP.
type TCP struct {
	// Source is the local IP of outgoing connections, so that the other side sees the
	// instance's own address. If it is the zero value, the kernel chooses the IP.
	Source netip.Addr
}

// NewTCP returns the network of an instance that listens on listen (IP:port). Outgoing
// connections use the same IP, unless it is unspecified.
func NewTCP(listen string) TCP {
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() {
		return TCP{}
	}
	return TCP{Source: address.Addr()}
}

// Listen opens a TCP listener on an address.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial opens a TCP connection to an address.
func (t TCP) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: keepAlivePeriod,
	}
	if t.Source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(t.Source, 0))
	}
	return dialer.DialContext(ctx, network, address)
}

var _ Network = TCP{}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
