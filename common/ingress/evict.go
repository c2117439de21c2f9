package ingress

import (
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// minEvictIdle is how long a connection must be idle before it may be closed for another
	// one. The first request on a new connection arrives earlier.
	minEvictIdle = 500 * time.Millisecond
	// evictFraction is the part of the connections that are closed at once, so that the
	// search for them is rare.
	evictFraction = 1.0 / 32
	// evictInterval is the shortest interval between searches.
	evictInterval = 10 * time.Millisecond
)

// idleConn is a connection without a request.
type idleConn struct {
	conn  *conn
	since time.Duration
}

// longestIdle returns the n connections that have been idle longest, without those that are idle
// since a time after latest.
func longestIdle(idle []idleConn, n int, latest time.Duration) []idleConn {
	idle = slices.DeleteFunc(idle, func(c idleConn) bool { return c.since > latest })
	slices.SortFunc(idle, func(a, b idleConn) int { return int(a.since - b.since) })
	return idle[:min(n, len(idle))]
}

// makeRoom closes some of the connections that have been idle longest.
func (s *Server) makeRoom() {
	now := time.Since(s.started)
	last := s.evictedAt.Load()
	if now-time.Duration(last) < evictInterval || !s.evictedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	s.mu.Lock()
	var idle []idleConn
	for c := range s.conns {
		if c.idle.Load() {
			idle = append(idle, idleConn{
				conn:  c,
				since: time.Duration(c.idleSince.Load()),
			})
		}
	}
	n := 1 + int(evictFraction*float64(len(s.conns)))
	s.mu.Unlock()
	for _, c := range longestIdle(idle, n, now-minEvictIdle) {
		c.conn.evict()
	}
}

// evict makes the connection close unless it has a request, or bytes of one. A request whose first
// bytes are read meanwhile is refused.
func (c *conn) evict() {
	if hasUnreadBytes(c.netConn) || !c.idle.CompareAndSwap(true, false) {
		return
	}
	c.endCharge()
	_ = c.netConn.SetReadDeadline(pastDeadline)
}

// hasUnreadBytes reports whether the kernel has received bytes that were not read.
func hasUnreadBytes(netConn net.Conn) bool {
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}
