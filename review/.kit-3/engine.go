package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	headerStage     = "Balsamlock-Stage"
	headerKVSource  = "Balsamlock-Kv-Source"
	headerLastEvent = "Last-Event-Id"
)

// streamRun is the run of a stream on one worker. It begins with its first token.
type streamRun struct {
	worker string
	begun  time.Time
	// ended is when the worker stopped to work on it, or zero.
	ended time.Time
	// from is the last event before the run, events the number of events that it has made.
	from, events int
	lost         bool
}

// pool is a service of prefill and decode workers. Its fields that are functions decide what is not usual.
type pool struct {
	site *site
	// step is the time for one event.
	step time.Duration
	// pause returns how long a worker is silent after an event, since the request is preempted and read in again.
	pause func(w *worker, r request, from, event int) time.Duration
	// loses reports whether the answer of a run is lost: the worker runs the request and closes the channel.
	loses func(w *worker, r request, from int) bool

	mu      sync.Mutex
	next    int
	handles map[string]string
	running map[string]int
	runs    map[string][]*streamRun
}

func newPool(s *site) *pool {
	return &pool{
		site: s, step: 45 * time.Millisecond,
		pause:   func(*worker, request, int, int) time.Duration { return 0 },
		loses:   func(*worker, request, int) bool { return false },
		handles: map[string]string{}, running: map[string]int{}, runs: map[string][]*streamRun{},
	}
}

// handle serves one request at a worker.
func (p *pool) handle(w *worker, c net.Conn, r request) bool {
	switch {
	case r.URL.Path == "/api/hold-take":
		return p.reply(w, c, r, http.StatusOK, map[string]any{"hold": p.newID("h")})
	case r.Method == http.MethodDelete:
		return p.reply(w, c, r, http.StatusOK, map[string]any{})
	case r.Header.Get(headerStage) == "prefill":
		time.Sleep(20 * time.Millisecond)
		handle := p.newID("k")
		p.mu.Lock()
		p.handles[w.addr+"/"+handle] = r.id
		p.mu.Unlock()
		return p.reply(w, c, r, http.StatusOK, map[string]any{"kv-handle": handle, "tokens": 1460, "version": 1})
	}
	return p.decode(w, c, r)
}

func (p *pool) newID(prefix string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return fmt.Sprintf("%s%06d", prefix, p.next)
}

func (p *pool) head(w *worker, r request, status int, fields string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := ""
	if r.id != "" {
		id = headerID + ": " + r.id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sBalsamlock-Server-Load: %d,0,%d\r\n%s", status, http.StatusText(status), id, p.running[w.id], w.slots, fields)
}

func (p *pool) reply(w *worker, c net.Conn, r request, status int, body any) bool {
	raw, _ := json.Marshal(body)
	_, err := fmt.Fprint(c, p.head(w, r, status, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)))
	return err == nil
}

func (p *pool) refuse(w *worker, c net.Conn, r request) bool {
	_, err := fmt.Fprint(c, p.head(w, r, http.StatusServiceUnavailable, headerNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n"))
	return err == nil
}

// admit takes a slot and the handle of a decode. It returns false if one of them can't be had.
func (p *pool) admit(w *worker, r request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	source := r.Header.Get(headerKVSource)
	if p.handles[source] != r.id || p.running[w.id] >= w.slots {
		return false
	}
	delete(p.handles, source)
	p.running[w.id]++
	return true
}

// decode runs a stream. The worker drops it as soon as its channel closes.
func (p *pool) decode(w *worker, c net.Conn, r request) bool {
	if !p.admit(w, r) {
		return p.refuse(w, c, r)
	}
	closed, stop := watchClose(c, r)
	defer stop()
	from, _ := strconv.Atoi(r.Header.Get(headerLastEvent))
	last, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	run := &streamRun{worker: w.id, from: from, lost: p.loses(w, r, from)}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		run.ended = time.Now()
		p.running[w.id]--
		p.site.log("%s ends its run of %s after %d events, answer lost: %v", w.id, r.id, run.events, run.lost)
	}()
	head := p.head(w, r, http.StatusOK, headerSeal+": seal."+w.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := from + 1; n <= last; n++ {
		if !sleepUnless(closed, p.step) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, r.id, n)
		p.mu.Lock()
		if run.events == 0 {
			run.begun = time.Now()
			p.runs[r.id] = append(p.runs[r.id], run)
			p.site.log("%s runs %s from event %d", w.id, r.id, n)
		}
		run.events++
		p.mu.Unlock()
		if !run.lost {
			if _, err := fmt.Fprintf(c, "%s%x\r\n%s\r\n", head, len(event), event); err != nil {
				return false
			}
			head = ""
		}
		if pause := p.pause(w, r, from, n); pause > 0 {
			p.site.log("%s has preempted %s after event %d", w.id, r.id, n)
			if !sleepUnless(closed, pause) {
				return false
			}
		}
	}
	if run.lost {
		return false
	}
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// watchClose returns a channel that is closed when the caller closes its channel. The caller must call stop.
func watchClose(c net.Conn, r request) (closed <-chan struct{}, stop func()) {
	gone, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_, err := r.reader.Peek(1)
		if netErr, ok := err.(net.Error); err != nil && !(ok && netErr.Timeout()) {
			close(gone)
		}
	}()
	return gone, func() {
		_ = c.SetReadDeadline(time.Now())
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// sleepUnless sleeps and returns true, or returns false as soon as closed is closed.
func sleepUnless(closed <-chan struct{}, d time.Duration) bool {
	select {
	case <-closed:
		return false
	case <-time.After(d):
		return true
	}
}

// draft sends a stream request and returns the answer.
func draft(g *gateway, route, id string, events int) response {
	cl := &client{address: g.listen}
	defer cl.close()
	fields := fmt.Sprintf("Balsamlock-Model: m\r\nBalsamlock-Token-Count: 1460,%d\r\nBalsamlock-Prefix-Hash: 5c1e07a2:800,%x:660\r\n", events, id)
	return cl.do(http.MethodPost, "ficu95.example", fmt.Sprintf("/%s/%d", route, events), id, 14000, fields, []byte("prompt"))
}
