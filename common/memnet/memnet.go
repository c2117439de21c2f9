// Package memnet implements an in-memory network for tests in virtual time.
//
// Two hosts can be partitioned from each other. A host can be isolated, which simulates
// that its process was killed, or paused, which simulates that its process is stopped.
//
// # Usage
//
//	network := memnet.New()
//	listener, err := network.Listen("10.0.0.1:80")
//	transport := &http.Transport{DialContext: network.Dialer("10.0.0.2")}
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// dialTimeout is the time after which a dial to an unreachable host fails.
const dialTimeout = time.Second

// ErrClosed is returned by Accept after the listener was closed.
var ErrClosed = net.ErrClosed

// link is the connection between two hosts in one direction.
type link struct{ from, to string }

// Network is an in-memory network of hosts. It is safe for concurrent use.
type Network struct {
	mu         sync.Mutex
	listeners  map[string]*listener
	partitions map[link]bool
	isolated   map[string]bool
	paused     map[string]chan struct{}
	conns      map[*conn]struct{}
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners:  map[string]*listener{},
		partitions: map[link]bool{},
		isolated:   map[string]bool{},
		paused:     map[string]chan struct{}{},
		conns:      map[*conn]struct{}{},
	}
}

// Listen listens on an address of the form IP:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("listen on %s: address in use", address)
	}
	l := &listener{
		network: n,
		address: net.TCPAddrFromAddrPort(parsed),
		backlog: make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function that opens connections from a host, given by its IP.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	unreachable := n.isUnreachable(host, hostOf(address))
	n.mu.Unlock()
	if unreachable {
		return nil, dialUnreachable(ctx, address)
	}
	if l == nil {
		return nil, dialError(address, syscall.ECONNREFUSED)
	}
	local, remote := net.Pipe()
	c := &conn{
		Conn:    local,
		network: n,
		link: link{
			from: host,
			to:   hostOf(address),
		},
		closed: make(chan struct{}),
	}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	if err := c.waitWhilePaused(ctx); err != nil {
		_ = c.Close()
		return nil, dialError(address, err)
	}
	select {
	case l.backlog <- remote:
		return c, nil
	case <-l.closed:
		_ = c.Close()
		return nil, dialError(address, syscall.ECONNREFUSED)
	case <-ctx.Done():
		_ = c.Close()
		return nil, dialError(address, ctx.Err())
	}
}

// dialUnreachable waits for the dial timeout and returns the error of a dial to an
// unreachable host.
func dialUnreachable(ctx context.Context, address string) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return dialError(address, errors.New("no route to host"))
	case <-ctx.Done():
		return dialError(address, ctx.Err())
	}
}

func dialError(address string, err error) error {
	return &net.OpError{
		Op:  "dial",
		Net: "mem",
		Err: fmt.Errorf("%s: %w", address, err),
	}
}

// Partition closes the connections between two hosts and makes new ones fail until Heal
// is called.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	n.partitions[link{from: a, to: b}] = true
	n.partitions[link{from: b, to: a}] = true
	n.mu.Unlock()
	n.closeUnreachable()
}

// Isolate closes all connections that a host opened or that were opened to it, and makes
// new ones fail until Reconnect is called.
func (n *Network) Isolate(host string) {
	n.mu.Lock()
	n.isolated[host] = true
	n.mu.Unlock()
	n.closeUnreachable()
}

// Reconnect ends the isolation of a host.
func (n *Network) Reconnect(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, host)
}

// Pause stops the traffic of a host until Resume is called. Its connections stay open.
func (n *Network) Pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] == nil {
		n.paused[host] = make(chan struct{})
	}
}

// Resume ends the pause of a host.
func (n *Network) Resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[host] != nil {
		close(n.paused[host])
		delete(n.paused, host)
	}
}

// closeUnreachable closes the connections whose hosts can't reach each other any more.
func (n *Network) closeUnreachable() {
	n.mu.Lock()
	var unreachable []*conn
	for c := range n.conns {
		if n.isUnreachable(c.link.from, c.link.to) {
			unreachable = append(unreachable, c)
		}
	}
	n.mu.Unlock()
	for _, c := range unreachable {
		_ = c.Close()
	}
}

// resumedChan returns a channel that is closed when a paused host of the link is resumed,
// or nil if neither host is paused.
func (n *Network) resumedChan(l link) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[l.from]; resumed != nil {
		return resumed
	}
	if resumed := n.paused[l.to]; resumed != nil {
		return resumed
	}
	return nil
}

// Heal ends the partition between two hosts.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, link{from: a, to: b})
	delete(n.partitions, link{from: b, to: a})
}

func (n *Network) isUnreachable(from, to string) bool {
	return n.partitions[link{from: from, to: to}] || n.isolated[from] || n.isolated[to]
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// conn is the dialing side of a connection.
type conn struct {
	net.Conn
	network *Network
	link    link
	once    sync.Once
	closed  chan struct{}
}

// waitWhilePaused waits while a host of the connection is paused.
func (c *conn) waitWhilePaused(ctx context.Context) error {
	for {
		resumed := c.network.resumedChan(c.link)
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-c.closed:
			return ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Read implements net.Conn. Data that arrives during a pause is returned after it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.waitWhilePaused(context.Background()); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.waitWhilePaused(context.Background()); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

type listener struct {
	network *Network
	address net.Addr
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, ErrClosed
	}
}

// Close implements net.Listener. The address can be listened on again.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

var _ net.Listener = (*listener)(nil)
