// Package memnet is an in-memory network of listeners by address, for tests in
// virtual time. Links between two hosts can be cut and healed; a host can be
// isolated, as when its process dies, or frozen, as when it is stopped.
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
	"time"
)

// dialTimeout is how long a dial over a cut link waits.
const dialTimeout = time.Second

// ErrClosed is returned by Accept once the listener is closed.
var ErrClosed = net.ErrClosed

// link is a pair of hosts in one direction.
type link struct{ from, to string }

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[link]bool
	isolated  map[string]bool
	frozen    map[string]chan struct{}
	conns     map[*conn]struct{}
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: map[string]*listener{},
		cuts:      map[link]bool{},
		isolated:  map[string]bool{},
		frozen:    map[string]chan struct{}{},
		conns:     map[*conn]struct{}{},
	}
}

// Listen opens a listener on IP:port.
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

// Dialer returns a dial function for connections from a host's IP.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

func (n *Network) dial(ctx context.Context, host, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	cut := n.isCut(host, hostOf(address))
	n.mu.Unlock()
	if cut {
		return nil, waitCut(ctx, address)
	}
	if l == nil {
		return nil, refused(address, errors.New("connection refused"))
	}
	near, far := net.Pipe()
	c := &conn{
		Conn:    near,
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
	if err := c.awaitThaw(ctx); err != nil {
		_ = c.Close()
		return nil, refused(address, err)
	}
	select {
	case l.backlog <- far:
		return c, nil
	case <-l.closed:
		_ = c.Close()
		return nil, refused(address, errors.New("connection refused"))
	case <-ctx.Done():
		_ = c.Close()
		return nil, refused(address, ctx.Err())
	}
}

func waitCut(ctx context.Context, address string) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
		return refused(address, errors.New("no route"))
	case <-ctx.Done():
		return refused(address, ctx.Err())
	}
}

func refused(address string, err error) error {
	return &net.OpError{
		Op:  "dial",
		Net: "mem",
		Err: fmt.Errorf("%s: %w", address, err),
	}
}

// Partition breaks the connections between two hosts, both ways, and fails new ones
// until Heal.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	n.cuts[link{from: a, to: b}] = true
	n.cuts[link{from: b, to: a}] = true
	n.mu.Unlock()
	n.breakCut()
}

// Isolate breaks all connections of a host and fails new ones until Join.
func (n *Network) Isolate(host string) {
	n.mu.Lock()
	n.isolated[host] = true
	n.mu.Unlock()
	n.breakCut()
}

// Reconnect ends the isolation of a host.
func (n *Network) Reconnect(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.isolated, host)
}

// Pause stalls the traffic of a host, without breaking its connections, until
// Thaw.
func (n *Network) Pause(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Resume lets the traffic of a frozen host go on.
func (n *Network) Resume(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] != nil {
		close(n.frozen[host])
		delete(n.frozen, host)
	}
}

// breakCut closes the connections over cut links.
func (n *Network) breakCut() {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if n.isCut(c.link.from, c.link.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// thawed returns a channel that is closed once the link's hosts aren't frozen,
// nil when neither is.
func (n *Network) thawed(l link) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.frozen[l.from]; gate != nil {
		return gate
	}
	if gate := n.frozen[l.to]; gate != nil {
		return gate
	}
	return nil
}

// Heal mends the link between two hosts.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from: a, to: b})
	delete(n.cuts, link{from: b, to: a})
}

func (n *Network) isCut(from, to string) bool {
	return n.cuts[link{from: from, to: to}] || n.isolated[from] || n.isolated[to]
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

type conn struct {
	net.Conn
	network *Network
	link    link
	once    sync.Once
	closed  chan struct{}
}

// awaitThaw waits while an end of the connection is frozen.
func (c *conn) awaitThaw(ctx context.Context) error {
	for {
		gate := c.network.thawed(c.link)
		if gate == nil {
			return nil
		}
		select {
		case <-gate:
		case <-c.closed:
			return ErrClosed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Read reads what the other end wrote.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if frozen := c.awaitThaw(context.Background()); frozen != nil {
		return 0, frozen
	}
	return n, err
}

// Write writes to the other end.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.awaitThaw(context.Background()); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and forgets it.
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

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, ErrClosed
	}
}

// Close frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.address }

var _ net.Listener = (*listener)(nil)
