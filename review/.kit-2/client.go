package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// balancer selects a node for each new channel. It asks each node once a second, and takes it out after two misses.
type balancer struct {
	mu    sync.Mutex
	nodes []*gateway
	out   map[*gateway]bool
}

func startBalancer(nodes []*gateway) *balancer {
	b := &balancer{nodes: nodes, out: map[*gateway]bool{}}
	for _, g := range nodes {
		go func() {
			misses := 0
			for ; ; time.Sleep(time.Second) {
				if g.isReady() {
					misses = 0
				} else {
					misses++
				}
				b.mu.Lock()
				b.out[g] = misses >= 2
				b.mu.Unlock()
			}
		}()
	}
	return b
}

func (b *balancer) node() *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gateway
	for _, g := range b.nodes {
		if !b.out[g] {
			in = append(in, g)
		}
	}
	if 2*len(in) < len(b.nodes) {
		in = b.nodes
	}
	return in[rand.IntN(len(in))]
}

// attempt is one client attempt and what became of it.
type attempt struct {
	id   string
	node *gateway
	// sentAt is when its last byte was sent, endedAt when its answer or its channel ended.
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if the channel ended without a complete answer.
	status int
	seal   string
	body   string
	err    error
}

var attempts atomic.Int64

func newAttemptID() string { return fmt.Sprintf("%016x", attempts.Add(1)) }

// channel is a client's channel to a node.
type channel struct {
	node   *gateway
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(node *gateway) (*channel, error) {
	conn, err := net.DialTimeout("tcp", node.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{node: node, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// isOpen reports whether the node has left the channel open.
func (c *channel) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return true
	}
	_ = c.conn.Close()
	return false
}

// send sends a request and waits for its answer. It reports whether the channel may be used again.
func (c *channel) send(method, path string, budget time.Duration) (a *attempt, again bool) {
	a = &attempt{id: newAttemptID(), node: c.node}
	length := ""
	if method == http.MethodPost {
		length = "Content-Length: 5\r\n"
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: desk.example\r\nBalsamlock-Attempt-Id: %s\r\nBalsamlock-Deadline-Ms: %d\r\n%s\r\n",
		method, path, a.id, budget.Milliseconds(), length)
	if length != "" {
		request += "order"
	}
	_ = c.conn.SetDeadline(time.Now().Add(budget + 500*time.Millisecond))
	_, a.err = io.WriteString(c.conn, request)
	a.sentAt = time.Now()
	var resp *http.Response
	if a.err == nil {
		resp, a.err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	var body []byte
	if a.err == nil {
		body, a.err = io.ReadAll(resp.Body)
	}
	a.endedAt = time.Now()
	if a.err != nil {
		note("%s %s to %s: the channel ended without a complete answer: %v", method, a.id, a.node.name, a.err)
		_ = c.conn.Close()
		return a, false
	}
	a.status, a.seal, a.body = resp.StatusCode, resp.Header.Get("Balsamlock-Response-Seal"), string(body)
	note("%s %s to %s: %d after %d ms", method, a.id, a.node.name, a.status, a.endedAt.Sub(a.sentAt).Milliseconds())
	if resp.Close {
		_ = c.conn.Close()
		return a, false
	}
	return a, true
}
