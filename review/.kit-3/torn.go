package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// tornEvery is one in how many answers of the faulty worker is preceded by additional bytes.
	tornEvery   = 20
	tornClients = 14
	tornOrders  = 60
)

// The pieces of an earlier refusal that the faulty worker writes: up to the middle of its first field, and up to
// the end of its status line.
const (
	pieceInField      = "HTTP/1.1 503 Service Unavailable\r\n" + headerNotExecuted + ": 1"
	pieceInStatusLine = "HTTP/1.1 503 Service Unavailable"
)

func tornField(s *site, trouble bool) ([]string, error) { return tornRefusal(s, trouble, pieceInField) }

func tornStatusLine(s *site, trouble bool) ([]string, error) {
	return tornRefusal(s, trouble, pieceInStatusLine)
}

// tornRefusal sends orders to a plain service of which one worker is faulty: it writes a piece of an earlier
// refusal once more on a kept connection, before its answer to the next request.
func tornRefusal(s *site, trouble bool, piece string) ([]string, error) {
	var mu sync.Mutex
	runs := map[string][]string{}
	tears, served := 0, 0
	running := map[string]int{}
	run := func(w *worker, c net.Conn, r request) {
		mu.Lock()
		running[w.id]++
		runs[r.id] = append(runs[r.id], w.id)
		mu.Unlock()
		s.log("%s runs %s", w.id, r.id)
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		running[w.id]--
		load := fmt.Sprintf("%d,0,%d", running[w.id], w.slots)
		mu.Unlock()
		body := "booked " + r.id + " at " + w.id
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nBalsamlock-Server-Load: %s\r\nContent-Length: %d\r\n\r\n%s",
			headerID, r.id, headerSeal, w.id, load, len(body), body)
	}
	sound := func(w *worker, c net.Conn, r request) bool {
		run(w, c, r)
		return true
	}
	faulty := func(w *worker, c net.Conn, r request) bool {
		mu.Lock()
		served++
		tear := trouble && r.n > 1 && served%tornEvery == 0
		if tear {
			tears++
		}
		mu.Unlock()
		if tear {
			s.log("%s writes a truncated copy of an earlier refusal before the answer to %s", w.id, r.id)
			fmt.Fprint(c, piece)
		}
		run(w, c, r)
		return true
	}
	s.store.put("keyed.op", "config", manifest(7))
	for n, handle := range []func(w *worker, c net.Conn, r request) bool{faulty, sound, sound} {
		if _, err := s.startWorker(fmt.Sprintf("i-desk%d", n+1), "desk", "", handle); err != nil {
			return nil, err
		}
	}
	g, err := s.startGateway("front-1")
	if err != nil {
		return nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	var broken []string
	answers := map[string]response{}
	var clients sync.WaitGroup
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
	time.Sleep(200 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	for id, answer := range answers {
		if len(runs[id]) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran at %v", id, runs[id]))
		}
		refused := answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421
		if refused && len(runs[id]) > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and has run at %v", id, answer.status, runs[id]))
		}
	}
	return broken, nil
}
