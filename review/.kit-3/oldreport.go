package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// zoneGateways is the number of gateways in each of the data centres. The site has 37 in six; what matters is that
	// there are more than partitions of a topic (8).
	zoneGateways = 4
	reportRounds = 4
	// readerOutage and otherOutage are how long the store turns the reader and another machine away. The dose of the
	// site is 9 s for a third of the machines. otherAfter is when it turns the other one away, after the reader.
	readerOutage = 3100 * time.Millisecond
	otherOutage  = 9 * time.Second
	otherAfter   = time.Second
	// changeAfter is when the manifest changes, after the reader is turned away.
	changeAfter = 1500 * time.Millisecond
	// applyTime is the bound within which a manifest must be in force.
	applyTime = 4 * time.Second
	// checkTime is how long requests are sent to all gateways after that.
	checkTime = 3 * time.Second
)

// gate is the channel of one gateway to the store. If closed, the store turns the gateway away: it resets its channels.
type gate struct {
	store string
	addr  string

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

func newGate(store string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{store: store, addr: l.Addr().String(), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c)
		}
	}()
	return g, nil
}

// add records an open channel. It resets the channel and returns false if the gate is closed.
func (g *gate) add(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		reset(c)
		return false
	}
	g.conns[c] = true
	return true
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (g *gate) serve(c net.Conn) {
	if !g.add(c) {
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, c)
		_ = c.Close()
	}()
	up, err := net.Dial("tcp", g.store)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() {
		_, _ = io.Copy(up, c)
		_ = up.Close()
	}()
	_, _ = io.Copy(c, up)
}

func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if closed {
		for c := range g.conns {
			reset(c)
		}
	}
}

// movedManifest returns a manifest in which a service serves the route of the orders.
func movedManifest(version int, service string) []byte {
	var m map[string]any
	_ = json.Unmarshal(manifest(version), &m)
	route := m["routes"].([]any)[0].(map[string]any)
	route["service"] = service
	other := map[string]any{}
	for name, value := range m["services"].([]any)[1].(map[string]any) {
		other[name] = value
	}
	other["name"] = "desk2"
	m["services"] = append(m["services"].([]any), other)
	raw, _ := json.Marshal(m)
	return raw
}

// holder returns the member that holds the first partition of a group.
func (s *store) holder(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	if !ok {
		return ""
	}
	g.expire(time.Now())
	if _, alive := g.members[g.owners[0]]; !alive || g.due(0) != g.owners[0] {
		return ""
	}
	return g.owners[0]
}

// reportSite is a site of three data centres whose gateways learn from a reader that the logs have not changed.
type reportSite struct {
	*site
	gates []*gate
	peers []string

	mu   sync.Mutex
	runs map[string]string
}

func (r *reportSite) start() error {
	r.store.put("keyed.op", "config", movedManifest(7, "desk"))
	for _, service := range []string{"desk", "desk2"} {
		for n := range 2 {
			if _, err := r.startWorker(fmt.Sprintf("i-%s-%d", service, n+1), service, "", r.book); err != nil {
				return err
			}
		}
	}
	zones := []string{"quito-sur", "guayaquil-sur", "loja"}
	regions := map[string]string{"quito-sur": "andina", "guayaquil-sur": "litoral", "loja": "andina"}
	for n := range zoneGateways * len(zones) {
		zone := zones[n/zoneGateways]
		gate, err := newGate(r.store.addr)
		if err != nil {
			return err
		}
		r.gates = append(r.gates, gate)
		name := fmt.Sprintf("front-%s-%d", zone, n%zoneGateways+1)
		if err := r.startReady(name, map[string]any{
			"data_centre": zone, "region": regions[zone], "regions": regions,
			"store": gate.addr, "memory_mb": 229, "apply_ms": 4000, "drain_ms": 4000,
			"retries": map[string]any{"ratio": 0.2, "slack": 218, "window_ms": 10000, "reserve": 0.25},
		}); err != nil {
			return err
		}
	}
	return nil
}

// startReady starts a gateway and waits until it is ready. Another process may have taken one of its addresses since
// they were found free; then it is started with others.
func (r *reportSite) startReady(name string, changes map[string]any) error {
	var err error
	for range 3 {
		peer := freeAddress()
		changes["peer_listen"] = peer
		var g *gateway
		if g, err = r.startGateway(name, changes); err != nil {
			return err
		}
		if err = g.awaitReady(5 * time.Second); err == nil {
			r.peers = append(r.peers, peer)
			return nil
		}
		g.kill()
		r.gateways = r.gateways[:len(r.gateways)-1]
	}
	return err
}

// book runs an order.
func (r *reportSite) book(w *worker, c net.Conn, q request) bool {
	r.mu.Lock()
	r.runs[q.id] = w.service
	r.mu.Unlock()
	body := "booked at " + w.id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nBalsamlock-Server-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s",
		headerID, q.id, headerSeal, w.id, len(body), body)
	return err == nil
}

// reader returns the index of the gateway that reads the logs for quito-sur.
func (r *reportSite) reader() (int, bool) {
	holder := r.store.holder("readers-quito-sur")
	for n, peer := range r.peers[:zoneGateways] {
		if peer == holder {
			return n, true
		}
	}
	return 0, false
}

// next returns the gateway that the store would deal the reader's partition to.
func (r *reportSite) next(reader int) int {
	next := -1
	for n, peer := range r.peers[:zoneGateways] {
		if n != reader && (next < 0 || peer < r.peers[next]) {
			next = n
		}
	}
	return next
}

// awaitReader waits until there has been one reader for a while.
func (r *reportSite) awaitReader() (int, bool) {
	const calm, limit = 4500 * time.Millisecond, 14 * time.Second
	since, last := time.Now(), -1
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n, ok := r.reader()
		if !ok {
			n = -1
		}
		if n != last {
			since, last = time.Now(), n
		}
		if last >= 0 && time.Since(since) > calm {
			return last, true
		}
	}
	return 0, false
}

// check sends orders to all gateways, and returns those that were run by the old service.
func (r *reportSite) check(round int, want string) []string {
	var broken []string
	var mu sync.Mutex
	var clients sync.WaitGroup
	for n, g := range r.gateways {
		clients.Go(func() {
			cl := &client{address: g.listen}
			defer cl.close()
			end := time.Now().Add(checkTime)
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("order-%d-%d-%03d", round, n+1, k)
				answer := cl.do(http.MethodPost, "ficu95.example", "/order/1", id, 3000, "", []byte("plaza"))
				r.mu.Lock()
				ran := r.runs[id]
				r.mu.Unlock()
				r.log("client: %s at %s: %s; run by %q", id, g.name, answer, ran)
				if ran != "" && ran != want {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("CONFIG: %s at %s was run by %s instead of %s", id, g.name, ran, want))
					mu.Unlock()
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return broken
}

// oldReport lets the store turn the reader and another gateway of its data centre away, while the manifest changes. The
// reader gets back before the other one.
func oldReport(s *site, trouble bool) ([]string, error) {
	r := &reportSite{site: s, runs: map[string]string{}}
	if err := r.start(); err != nil {
		return nil, err
	}
	var broken []string
	services := []string{"desk", "desk2"}
	for round := 1; round <= reportRounds; round++ {
		reader, ok := r.awaitReader()
		if !ok {
			return nil, fmt.Errorf("there is no reader")
		}
		other := r.next(reader)
		s.log("round %d: %s is the reader, the other one is %s", round, r.gateways[reader].name, r.gateways[other].name)
		if trouble {
			r.gates[reader].set(true)
			s.log("the store turns %s away", r.gateways[reader].name)
		}
		time.Sleep(otherAfter)
		if trouble {
			r.gates[other].set(true)
			s.log("the store turns %s away", r.gateways[other].name)
		}
		time.Sleep(changeAfter - otherAfter)
		want := services[round%len(services)]
		s.store.put("keyed.op", "config", movedManifest(7+round, want))
		s.log("version %d is acknowledged: %s serves the orders", 7+round, want)
		time.Sleep(readerOutage - changeAfter)
		r.gates[reader].set(false)
		s.log("the store serves %s again", r.gateways[reader].name)
		time.Sleep(otherAfter + otherOutage - readerOutage)
		r.gates[other].set(false)
		s.log("the store serves %s again", r.gateways[other].name)
		time.Sleep(max(contact, applyTime) + 500*time.Millisecond)
		broken = append(broken, r.check(round, want)...)
	}
	return broken, nil
}
