package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	moveDrafts = 48
	moveEvents = 30
	// preemptAfter is the event after which the first run of a draft is preempted, and preemption how long that takes.
	// Clients leave after 3.6 s.
	preemptAfter = 25
	preemption   = 3450 * time.Millisecond
	// maxOverlap is the time of the rule, and a margin for the clocks of the stand-ins.
	maxOverlap = 400*time.Millisecond + 50*time.Millisecond
	// maxLost is the part of the requests that the worker ran whose answers it loses at most, lossTime how long it
	// loses answers.
	maxLost  = 0.4
	lossTime = 4 * time.Second
	// contact is the time without disruption after which a machine is in touch.
	contact = 4 * time.Second
)

// lostMove sends resumable drafts whose first run is preempted for longer than the gateway waits for an event. It sends
// the rest to another worker. One worker loses answers of requests that it ran.
func lostMove(s *site, trouble bool) ([]string, error) {
	p := newPool(s)
	p.pause = func(_ *worker, _ request, from, event int) time.Duration {
		if from == 0 && event == preemptAfter {
			return preemption
		}
		return 0
	}
	var lossMiddle time.Time
	ran, lost := 0, 0
	p.loses = func(w *worker, _ request, from int) bool {
		if w.id != "i-decode2" || !trouble || time.Since(lossMiddle).Abs() > lossTime/2 {
			return false
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		ran++
		if from == 0 || float64(lost+1) > maxLost*float64(ran) {
			return false
		}
		lost++
		return true
	}
	s.store.put("keyed.op", "config", manifest(7))
	for _, worker := range []struct{ id, stage string }{{"i-prefill1", "prefill"}, {"i-decode1", "decode"}, {"i-decode2", "decode"}, {"i-decode3", "decode"}} {
		w, err := s.startWorker(worker.id, "models", worker.stage, p.handle)
		if err != nil {
			return nil, err
		}
		w.slots = 12
		w.beat()
	}
	g, err := s.startGateway("front-1", nil)
	if err != nil {
		return nil, err
	}
	if err := g.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)
	lossMiddle = time.Now().Add(8 * time.Second)
	var drafts sync.WaitGroup
	for n := range moveDrafts {
		drafts.Go(func() {
			id := fmt.Sprintf("draft-%02d", n)
			answer := draft(g, "survey", id, moveEvents)
			s.log("client: %s: status %d, %d bytes, error %v", id, answer.status, len(answer.body), answer.err)
		})
		time.Sleep(250 * time.Millisecond)
	}
	drafts.Wait()
	time.Sleep(500 * time.Millisecond)
	return p.overlaps(), nil
}

// overlaps returns the runs that went on while another worker ran the request from a later event on.
func (p *pool) overlaps() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var broken []string
	for id, runs := range p.runs {
		for n := 1; n < len(runs); n++ {
			before, next := runs[n-1], runs[n]
			if d := before.ended.Sub(next.begun); d > maxOverlap {
				broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s, and %s still worked on it %d ms later", id, next.worker, before.worker, d.Milliseconds()))
			}
		}
	}
	return broken
}
