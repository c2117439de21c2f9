package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// deployment is a small deployment: its workers, and the instances in the order in which they were started.
type deployment struct {
	engines  []*worker
	services []*worker
	front    []*gateway
}

// all returns the workers that run requests.
func (d *deployment) all() []*worker { return append(append([]*worker{}, d.engines...), d.services...) }

// deploy starts workers and instances, and waits until the instances are in touch.
func (l *lab) deploy(prefills, decodes, desks, instances int, config map[string]any) (*deployment, error) {
	d := &deployment{}
	for n := range prefills {
		if _, err := l.newWorker(fmt.Sprintf("i-prefill%d", n+1), drafts, "prefill", 12); err != nil {
			return nil, err
		}
	}
	for n := range decodes {
		w, err := l.newWorker(fmt.Sprintf("i-decode%d", n+1), drafts, "decode", 12)
		if err != nil {
			return nil, err
		}
		d.engines = append(d.engines, w)
	}
	for n := range desks {
		w, err := l.newWorker(fmt.Sprintf("i-desk%d", n+1), desk, "", 6)
		if err != nil {
			return nil, err
		}
		d.services = append(d.services, w)
	}
	l.store.putJSON(topicOperator, "config", config)
	for n := range instances {
		g, err := l.startGateway(fmt.Sprintf("front-%s-%d", zone, n+1))
		if err != nil {
			return nil, err
		}
		d.front = append(d.front, g)
	}
	time.Sleep(contactMS * time.Millisecond)
	return d, nil
}

// headerEvents tells the stand-ins how many events a stream has. Clients' headers are forwarded.
const headerEvents = "X-Events"

func eventsOf(r *http.Request) int {
	events, _ := strconv.Atoi(r.Header.Get(headerEvents))
	return max(1, events)
}

// answers collects what the clients got.
type answers struct {
	mu   sync.Mutex
	list []answer
}

func (a *answers) add(one answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

const (
	lossSlack = 200 * time.Millisecond
	// lateInGrace is the last sixth of the grace period.
	lateInGrace = graceSeconds * time.Second * 5 / 6
	// soonAfterStop is how long after the SIGTERM a request may be sent for the excuse of lateInGrace.
	soonAfterStop = 3 * time.Second
	timeBudget    = 14 * time.Second
)

// settle waits until the workers have noticed which channels were closed.
func settle() { time.Sleep(500 * time.Millisecond) }

// lost returns why an answer breaks the rule LOST around a SIGTERM at stopAt, or an empty string.
func (d *deployment) lost(a answer, stopAt time.Time) string {
	if a.whole || a.endedAt.Sub(a.sentAt) >= timeBudget {
		return ""
	}
	var run *received
	for _, w := range d.all() {
		for _, r := range w.requests() {
			if r.attempt == a.attempt && r.ran {
				run = &r
			}
		}
	}
	if run == nil && a.endedAt.Sub(a.sentAt) <= lossSlack {
		return ""
	}
	if run != nil && a.sentAt.Sub(stopAt) <= soonAfterStop && (run.endedAt.IsZero() || run.endedAt.Sub(stopAt) >= lateInGrace) {
		return ""
	}
	where := "not passed on to a worker"
	if run != nil {
		where = "passed on to " + run.worker
	}
	return fmt.Sprintf("LOST: %s, sent %+.2f s after the SIGTERM and %s: %.2f s later its channel ended: %s",
		a.attempt, a.sentAt.Sub(stopAt).Seconds(), where, a.endedAt.Sub(a.sentAt).Seconds(), a.describe())
}

// lookup sends a look-up, which may be repeated.
func (c *channel) lookup() answer {
	return c.do(request{
		attempt: newAttempt(),
		method:  http.MethodGet,
		target:  prefixLookup + "2f",
		header:  map[string]string{headerDeadline: "3000"},
	}, 3*time.Second)
}
