package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	zone    = "randstad-a"
	region  = "randstad"
	desk    = "workshop-desk"
	drafts  = "drafting-models"
	modelID = "m"
	// tokensPerEvent is the stride of the site's engines.
	tokensPerEvent = 72
	// kvTokens is the memory of one engine.
	kvTokens = 85406
)

// Headers of the wire.
const (
	headerAttempt  = "Balsamlock-Attempt-Id"
	headerSeal     = "Balsamlock-Response-Seal"
	headerNotRun   = "Balsamlock-Not-Executed"
	headerExpect   = "Balsamlock-Expect-Instance"
	headerInstance = "Balsamlock-Instance-Id"
	headerStage    = "Balsamlock-Stage"
	headerSource   = "Balsamlock-Kv-Source"
	headerHold     = "Balsamlock-Kv-Hold"
	headerLast     = "Last-Event-Id"
	headerDeadline = "Balsamlock-Deadline-Ms"
	headerTokens   = "Balsamlock-Token-Count"
	headerParts    = "Balsamlock-Prefix-Hash"
	headerHint     = "Balsamlock-Length-Hint"
	headerModel    = "Balsamlock-Model"
)

// received is one request that reached a worker.
type received struct {
	at      time.Time
	worker  string
	attempt string
	line    string
	host    string
	ran     bool
	// endedAt and whole are set when the worker has ended the request, and whole if it has sent its
	// whole answer.
	endedAt time.Time
	whole   bool
}

// hold is a slot and memory that a request may use later.
type hold struct {
	until  time.Time
	tokens int
}

// worker is a stand-in for a worker: a plain one, or an engine with a stage.
type worker struct {
	lab     *lab
	id      string
	service string
	stage   string
	slots   int
	address string
	// work returns how long a plain request takes.
	work func(r *http.Request) time.Duration
	// gap returns the time before an event of a stream, counted from 1.
	gap func(attempt string, event int) time.Duration
	// events returns the number of events of a stream.
	events func(r *http.Request) int

	mu       sync.Mutex
	state    string
	born     int64
	seq      int
	running  int
	held     map[string]hold
	lastHold int
	// preempts is set if the memory of runs grows with each token, and runs are preempted when it is full.
	preempts bool
	growing  []*growingRun
	// used is the memory of the running streams, in tokens.
	used     int
	log      []*received
	stopBeat chan struct{}
	stopped  bool
	server   *http.Server
}

func (l *lab) newWorker(id, service, stage string, slots int) (*worker, error) {
	w := &worker{
		lab:      l,
		id:       id,
		service:  service,
		stage:    stage,
		slots:    slots,
		work:     func(*http.Request) time.Duration { return 60 * time.Millisecond },
		gap:      func(string, int) time.Duration { return 45 * time.Millisecond },
		events:   eventsOf,
		state:    "ready",
		born:     time.Now().UnixMilli(),
		held:     map[string]hold{},
		stopBeat: make(chan struct{}),
	}
	var err error
	if err = w.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	l.closers = append(l.closers, w.stop)
	go w.beat(w.stopBeat)
	return w, nil
}

// listen serves the worker at an address.
func (w *worker) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	return nil
}

// stop ends the worker at once: its channels break, and it writes nothing more.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	close(w.stopBeat)
	_ = w.server.Close()
	w.lab.record("%s: ended", w.id)
}

// startAgain starts the worker under its id and address as a new incarnation.
func (w *worker) startAgain() error {
	w.mu.Lock()
	w.stopped = false
	w.stopBeat = make(chan struct{})
	w.born = time.Now().UnixMilli()
	w.seq = 0
	w.held = map[string]hold{}
	w.mu.Unlock()
	if err := w.listen(w.address); err != nil {
		return err
	}
	w.lab.record("%s: started again, born %d", w.id, w.born)
	go w.beat(w.stopBeat)
	return nil
}

// entry returns the entry with which a worker registers itself.
func (w *worker) entry(state string, born int64) map[string]any {
	entry := map[string]any{
		"service":      w.service,
		"addr":         w.address,
		"zone":         zone,
		"version":      "v1",
		"slots":        w.slots,
		"state":        state,
		"cold-left-ms": 0,
		"seq":          w.seq,
		"born":         born,
	}
	if w.stage != "" {
		entry["stage"] = w.stage
		entry["models"] = []map[string]any{{
			"name":     modelID,
			"version":  1,
			"adapters": []string{},
		}}
	}
	return entry
}

// beat writes the entry about every heartbeatMS.
func (w *worker) beat(stop chan struct{}) {
	for {
		w.register()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

// currentEntry returns the entry that the worker would write now.
func (w *worker) currentEntry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return w.entry(w.state, w.born)
}

// register writes the entry once.
func (w *worker) register() { w.lab.store.putJSON(topicServers, w.id, w.currentEntry()) }

func (w *worker) setState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.register()
	w.lab.record("%s: the store has acknowledged state %s", w.id, state)
}

// requests returns a copy of what the worker has received.
func (w *worker) requests() []received {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]received, 0, len(w.log))
	for _, r := range w.log {
		list = append(list, *r)
	}
	return list
}

// ServeHTTP serves one request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get(headerExpect); expect != "" && expect != w.id {
		rw.Header().Set(headerInstance, w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case strings.HasPrefix(r.RequestURI, "/api/hold-take"):
		w.holdTake(rw, r)
	case strings.HasPrefix(r.RequestURI, "/api/hold-drop/"):
		w.mu.Lock()
		delete(w.held, strings.TrimPrefix(r.RequestURI, "/api/hold-drop/"))
		w.mu.Unlock()
	case strings.HasPrefix(r.RequestURI, "/api/"):
		// Handles need no memory here.
	default:
		w.serve(rw, r)
	}
}

// freeLocked returns the slots and the memory that are neither used nor held.
func (w *worker) freeLocked() (slots, tokens int) {
	now := time.Now()
	slots, tokens = w.slots-w.running, kvTokens-w.used-w.usedLocked()
	for id, h := range w.held {
		if now.After(h.until) {
			delete(w.held, id)
			continue
		}
		slots--
		tokens -= h.tokens
	}
	return slots, tokens
}

// admits reports whether a request that needs memory for tokens can run now.
func (w *worker) admitsLocked(tokens int) bool {
	slots, free := w.freeLocked()
	return slots > 0 && tokens <= free
}

func (w *worker) holdTake(rw http.ResponseWriter, r *http.Request) {
	var req struct {
		Tokens int `json:"tokens"`
		TTLMS  int `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || req.Tokens <= 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	ok := w.stage == "decode" && w.admitsLocked(req.Tokens)
	w.lastHold++
	id := fmt.Sprintf("h%d", w.lastHold)
	if ok {
		w.held[id] = hold{
			until:  time.Now().Add(time.Duration(req.TTLMS) * time.Millisecond),
			tokens: req.Tokens,
		}
	}
	w.mu.Unlock()
	if !ok {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(rw, map[string]any{"hold": id})
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get(headerAttempt)
	rw.Header().Set(headerAttempt, attempt)
	if r.Header.Get(headerStage) == "prefill" {
		w.prefill(rw, r)
		return
	}
	entry := &received{
		at:      time.Now(),
		worker:  w.id,
		attempt: attempt,
		line:    r.Method + " " + r.RequestURI,
		host:    r.Host,
	}
	w.mu.Lock()
	w.log = append(w.log, entry)
	lease := r.Header.Get(headerHold)
	held, isHeld := w.held[lease]
	delete(w.held, lease)
	tokens := w.memory(r)
	entry.ran = isHeld || w.admitsLocked(tokens)
	load := fmt.Sprintf("%d,0,%d", w.running, w.slots)
	if entry.ran {
		w.running++
		w.used += tokens
	}
	ran := entry.ran
	w.mu.Unlock()
	if !ran {
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.lab.record("%s: %s %s: turned away as full", w.id, attempt, entry.line)
		return
	}
	w.lab.record("%s: %s %s: runs", w.id, attempt, entry.line)
	rw.Header().Set(headerSeal, "seal."+w.id+"."+attempt)
	rw.Header().Set("Balsamlock-Server-Load", load)
	whole := false
	if w.stage == "" {
		whole = w.answer(r.Context(), rw, r, body)
	} else if w.preempts {
		whole = w.streamInMemory(r.Context(), rw, r, attempt, held)
	} else {
		whole = w.stream(r.Context(), rw, r, attempt)
	}
	w.mu.Lock()
	w.running--
	w.used -= tokens
	entry.whole = whole
	entry.endedAt = time.Now()
	w.mu.Unlock()
	if whole {
		w.lab.record("%s: %s: sent its whole answer", w.id, attempt)
	} else {
		w.lab.record("%s: %s: its channel was closed before the end", w.id, attempt)
	}
}

// memory returns the memory that a request takes in the end, in tokens.
func (w *worker) memory(r *http.Request) int {
	if w.stage == "" || w.preempts {
		return 0
	}
	prompt, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens + tokensPerEvent*w.events(r)
}

func (w *worker) prefill(rw http.ResponseWriter, r *http.Request) {
	prompt, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(prompt)
	// 55.5 prompt tokens are read in a millisecond.
	if !pause(r.Context(), 5*time.Millisecond+time.Duration(tokens)*18*time.Microsecond) {
		return
	}
	w.lab.record("%s: %s: the prompt is read", w.id, r.Header.Get(headerAttempt))
	writeJSON(rw, map[string]any{
		"kv-handle": "k" + r.Header.Get(headerAttempt),
		"tokens":    tokens,
		"version":   1,
	})
}

// answer answers a plain request. The body repeats what the worker has received.
func (w *worker) answer(ctx context.Context, rw http.ResponseWriter, r *http.Request, body []byte) bool {
	if !pause(ctx, w.work(r)) {
		return false
	}
	_, err := fmt.Fprintf(rw, "%s %s %d bytes by %s", r.Method, r.RequestURI, len(body), w.id)
	return err == nil
}

// stream sends the events after the last one that the client has.
func (w *worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, attempt string) bool {
	rw.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get(headerLast))
	last := w.events(r)
	due := time.Now()
	for n := from + 1; n <= last; n++ {
		due = due.Add(w.gap(attempt, n))
		if !pause(ctx, time.Until(due)) {
			return false
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %d\n\n", n, n, last); err != nil {
			return false
		}
		_ = http.NewResponseController(rw).Flush()
	}
	return true
}

// pause reports whether d has passed before the context was done.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
