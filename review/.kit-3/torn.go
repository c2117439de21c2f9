package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// tornEvery is one in how many answers of the faulty worker is preceded by additional bytes, and one in how many
	// orders is answered with a failure if the case has failures.
	tornEvery   = 20
	tornClients = 18
	tornOrders  = 48
)

// torn is a disruption: what the faulty worker writes on a kept connection before its answer.
type torn struct {
	// piece is the beginning of an earlier response.
	piece string
	// fails is set if the workers answer some orders with a failure. The piece then comes before such an answer.
	fails bool
}

// The pieces end in the first field of a refusal, in its status line, and in the first field of a success.
var (
	pieceInField      = torn{piece: "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1"}
	pieceInStatusLine = torn{piece: "HTTP/1.1 503 Service Unavailable"}
	pieceOfSuccess    = torn{piece: "HTTP/1.1 200 OK\r\nContent-Type: text/pl", fails: true}
)

func tornField(s *site, trouble bool) ([]string, error) { return tornAnswers(s, trouble, pieceInField) }

func tornStatusLine(s *site, trouble bool) ([]string, error) {
	return tornAnswers(s, trouble, pieceInStatusLine)
}

func tornSuccess(s *site, trouble bool) ([]string, error) {
	return tornAnswers(s, trouble, pieceOfSuccess)
}

// desk is a plain service of three workers that book orders.
type desk struct {
	site    *site
	torn    torn
	trouble bool

	mu sync.Mutex
	// runs holds the workers that have run each order, failed the orders that a worker has answered with 500.
	runs    map[string][]string
	failed  map[string]bool
	running map[string]int
	served  map[string]int
}

// book runs an order and answers it. A faulty worker may write the piece first.
func (d *desk) book(w *worker, c net.Conn, r request, faulty bool) bool {
	d.mu.Lock()
	d.runs[r.id] = append(d.runs[r.id], w.id)
	d.running[w.id]++
	d.served[w.id]++
	turn := d.served[w.id]%tornEvery == 0
	fails := d.torn.fails && turn
	if fails {
		d.failed[r.id] = true
	}
	d.mu.Unlock()
	if d.trouble && faulty && turn && r.n > 1 {
		d.site.log("%s writes a truncated copy of an earlier response before the answer to %s", w.id, r.id)
		fmt.Fprint(c, d.torn.piece)
	}
	d.site.log("%s runs %s", w.id, r.id)
	time.Sleep(20 * time.Millisecond)
	d.mu.Lock()
	d.running[w.id]--
	load := fmt.Sprintf("%d,0,%d", d.running[w.id], w.slots)
	d.mu.Unlock()
	status, body := http.StatusOK, "booked "+r.id+" at "+w.id
	if fails {
		status, body = http.StatusInternalServerError, "not booked "+r.id+" at "+w.id
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: seal.%s\r\nBalsamlock-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), headerID, r.id, headerSeal, w.id, load, len(body), body)
	return err == nil
}

// tornAnswers sends orders to a plain service of which one worker is faulty: it writes the beginning of an earlier
// response once more on a kept connection, before its answer to the next request.
func tornAnswers(s *site, trouble bool, t torn) ([]string, error) {
	d := &desk{
		site: s, torn: t, trouble: trouble,
		runs: map[string][]string{}, failed: map[string]bool{}, running: map[string]int{}, served: map[string]int{},
	}
	s.store.put("keyed.op", "config", manifest(7))
	for n := range 3 {
		handle := func(w *worker, c net.Conn, r request) bool { return d.book(w, c, r, n == 0) }
		if _, err := s.startWorker(fmt.Sprintf("i-desk%d", n+1), "desk", "", handle); err != nil {
			return nil, err
		}
	}
	g, err := s.startGateway("front-1", nil)
	if err != nil {
		return nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	answers := sendOrders(s, g)
	time.Sleep(200 * time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	var broken []string
	for id, answer := range answers {
		broken = append(broken, d.check(id, answer)...)
	}
	return broken, nil
}

// sendOrders sends orders of several clients, each on a kept connection, and returns their answers.
func sendOrders(s *site, g *gateway) map[string]response {
	var mu sync.Mutex
	var clients sync.WaitGroup
	answers := map[string]response{}
	for c := range tornClients {
		clients.Go(func() {
			cl := &client{address: g.listen}
			defer cl.close()
			for n := range tornOrders {
				id := fmt.Sprintf("order-%d-%03d", c, n)
				answer := cl.do(http.MethodPost, "ficu95.example", "/order/1", id, 3000, "", []byte("came"))
				s.log("client: %s: %s", id, answer)
				mu.Lock()
				answers[id] = answer
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return answers
}

// check returns which rules the answer to an order breaks.
func (d *desk) check(id string, answer response) []string {
	var broken []string
	runs := d.runs[id]
	if len(runs) > 1 {
		broken = append(broken, fmt.Sprintf("TWICE: %s ran at %v", id, runs))
	}
	switch answer.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(runs) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and has run at %v", id, answer.status, runs))
		}
	case http.StatusOK:
		if d.failed[id] {
			broken = append(broken, fmt.Sprintf("MIXED: %s was answered %s, and the worker had answered with 500", id, answer))
		}
	}
	return broken
}
