package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// rereadRate is how fast a preempted request is read in again, in tokens a millisecond: half the speed of an
// engine that only reads prompts.
const rereadRate = 27.7

// returnMargin is the memory that stays free when a preempted request returns, so that it isn't preempted again
// at once.
const returnMargin = kvTokens * 15 / 100

// growingRun is a run on an engine whose memory grows with each token.
type growingRun struct {
	attempt string
	tokens  int
	// leasedUntil is the end of the lease with which the request came.
	leasedUntil time.Time
	preempted   bool
}

// promptTokens returns the length of a request's prompt.
func promptTokens(r *http.Request) int {
	prompt, _, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	tokens, _ := strconv.Atoi(prompt)
	return tokens
}

// streamInMemory sends a stream from an engine that preempts its newest requests when its memory runs out,
// but none that a lease covers. A preempted request is read in again when there is memory for it, the oldest
// one first.
func (w *worker) streamInMemory(ctx context.Context, rw http.ResponseWriter, r *http.Request, attempt string, lease hold) bool {
	run := &growingRun{
		attempt:     attempt,
		tokens:      promptTokens(r),
		leasedUntil: lease.until,
	}
	from, _ := strconv.Atoi(r.Header.Get(headerLast))
	run.tokens += from * tokensPerEvent
	w.mu.Lock()
	w.growing = append(w.growing, run)
	w.mu.Unlock()
	defer w.removeGrowing(run)
	rw.Header().Set("Content-Type", "text/event-stream")
	last := w.events(r)
	due := time.Now()
	for n := from + 1; n <= last; n++ {
		due = due.Add(w.gap(attempt, n))
		if !pause(ctx, time.Until(due)) {
			return false
		}
		if !w.grow(ctx, run) {
			return false
		}
		if time.Now().After(due) {
			due = time.Now()
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %d\n\n", n, n, last); err != nil {
			return false
		}
		_ = http.NewResponseController(rw).Flush()
	}
	return true
}

func (w *worker) removeGrowing(run *growingRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for at, other := range w.growing {
		if other == run {
			w.growing = append(w.growing[:at], w.growing[at+1:]...)
			return
		}
	}
}

// usedLocked returns the memory of the runs that are not preempted.
func (w *worker) usedLocked() int {
	used := 0
	for _, run := range w.growing {
		if !run.preempted {
			used += run.tokens
		}
	}
	return used
}

// grow takes memory for one more event, after a time without memory if the run is preempted. It returns false
// if the channel was closed meanwhile.
func (w *worker) grow(ctx context.Context, run *growingRun) bool {
	w.mu.Lock()
	if !run.preempted {
		run.tokens += tokensPerEvent
		w.preemptLocked()
	}
	preempted := run.preempted
	w.mu.Unlock()
	if !preempted {
		return true
	}
	since := time.Now()
	for preempted {
		if !pause(ctx, 5*time.Millisecond) {
			return false
		}
		w.mu.Lock()
		if w.nextToReturnLocked() == run && w.usedLocked()+run.tokens <= kvTokens-returnMargin {
			run.preempted = false
			preempted = false
		}
		w.mu.Unlock()
	}
	if !pause(ctx, time.Duration(float64(run.tokens)/rereadRate*float64(time.Millisecond))) {
		return false
	}
	w.lab.record("%s: %s: goes on after %.2f s without memory", w.id, run.attempt, time.Since(since).Seconds())
	return true
}

// preemptLocked preempts the newest runs until the others fit into the memory.
func (w *worker) preemptLocked() {
	for w.usedLocked() > kvTokens {
		var newest *growingRun
		for _, run := range w.growing {
			if !run.preempted && time.Now().After(run.leasedUntil) {
				newest = run
			}
		}
		if newest == nil {
			return
		}
		newest.preempted = true
		w.lab.record("%s: %s: preempted, the memory has run out", w.id, newest.attempt)
	}
}

func (w *worker) nextToReturnLocked() *growingRun {
	for _, run := range w.growing {
		if run.preempted {
			return run
		}
	}
	return nil
}
