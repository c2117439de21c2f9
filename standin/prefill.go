package standin

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// export is a KV cache that another engine can import until it expires.
type export struct {
	handle          string
	attempt         string
	owner           kiln.Owner
	model           string
	prompt          kiln.Prompt
	generatedTokens int
	computedTokens  int
	pieces          int
	renewedAt       time.Time
	expiresAt       time.Time
	fetched         bool
}

// prefillJob is a queued or running prefill.
type prefillJob struct {
	req      kiln.PrefillRequest
	result   kiln.PrefillResult
	err      error
	done     chan struct{}
	finished bool
	dropped  bool
	pieces   int
}

// finish sets the result and wakes the caller. Later calls have no effect. The
// caller must hold the engine's lock.
func (j *prefillJob) finish(result kiln.PrefillResult, err error) {
	if j.finished {
		return
	}
	j.finished = true
	j.result = result
	j.err = err
	close(j.done)
}

// prefillQueue is a queue of jobs ordered by descending priority, then by arrival.
type prefillQueue struct{ jobs []*prefillJob }

func (q *prefillQueue) push(job *prefillJob) {
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].req.Priority < job.req.Priority {
		i--
	}
	q.jobs = slices.Insert(q.jobs, i, job)
}

func (q *prefillQueue) pop() *prefillJob {
	if len(q.jobs) == 0 {
		return nil
	}
	job := q.jobs[0]
	q.jobs = q.jobs[1:]
	return job
}

func (q *prefillQueue) remove(attempt string, owner kiln.Owner) *prefillJob {
	for i, job := range q.jobs {
		if job.req.Attempt == attempt && !isFenced(job.req.Owner, owner) {
			q.jobs = slices.Delete(q.jobs, i, i+1)
			return job
		}
	}
	return nil
}

func (q *prefillQueue) queuedTokens() int {
	total := 0
	for _, job := range q.jobs {
		total += job.req.Prompt.Tokens + job.req.Generated
	}
	return total
}

// Prefill computes the KV cache of a prompt and keeps it for export.
func (e *Engine) Prefill(ctx context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	const call = "prefill"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return kiln.PrefillResult{}, err
	}
	job, err := e.enqueue(call, req)
	if err != nil {
		return kiln.PrefillResult{}, err
	}
	select {
	case <-job.done:
	case <-ctx.Done():
		e.dequeue(job)
		return kiln.PrefillResult{}, ctx.Err()
	}
	if job.err != nil {
		return kiln.PrefillResult{}, job.err
	}
	return job.result, e.faults.applyAfter(ctx, call)
}

// isValidContinuation reports whether the text to continue from is the beginning of
// the answer. All engines generate the same answer to a prompt. Prompts without text
// accept any continuation.
func isValidContinuation(req kiln.PrefillRequest) bool {
	if req.Prompt.Text == "" {
		return true
	}
	return req.Continuation == strings.Join(Answer(req.Model, req.Prompt.Text, req.Generated), "")
}

func (e *Engine) enqueue(call string, req kiln.PrefillRequest) (*prefillJob, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	if req.Attempt == "" || req.Owner.Instance == "" || req.Prompt.Tokens < 0 {
		return nil, e.refusal(call, kiln.ErrBadRequest, "attempt, owner and prompt are required")
	}
	if !isValidContinuation(req) {
		return nil, e.refusal(call, kiln.ErrBadRequest, "the continuation is not what was generated before")
	}
	if err := e.checkNewWorkLocked(call, req.Model, kiln.RolePrefill); err != nil {
		return nil, err
	}
	if e.queue.queuedTokens()+req.Prompt.Tokens > e.cfg.MaxQueuedTokens {
		return nil, e.refusal(call, kiln.ErrBusy, "the prefill queue is full")
	}
	job := &prefillJob{
		req:    req,
		done:   make(chan struct{}),
		pieces: piecesFor(req.Prompt.Tokens + req.Generated),
	}
	e.queue.push(job)
	e.startQueuedPrefillLocked()
	return job, nil
}

// dequeue removes a job from the queue after its caller has gone. A running job
// continues.
func (e *Engine) dequeue(job *prefillJob) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.queue.jobs, job); i >= 0 {
		e.queue.jobs = slices.Delete(e.queue.jobs, i, i+1)
	}
}

// startQueuedPrefillLocked starts the first queued job unless a job is running.
func (e *Engine) startQueuedPrefillLocked() {
	for e.runningPrefill == nil {
		job := e.queue.pop()
		if job == nil {
			return
		}
		if e.piecesUsed+job.pieces > e.cfg.Pieces {
			job.finish(kiln.PrefillResult{}, e.refusal("prefill", kiln.ErrFull, "no memory for the export"))
			continue
		}
		e.startPrefillLocked(job)
	}
}

func (e *Engine) startPrefillLocked(job *prefillJob) {
	e.runningPrefill = job
	e.piecesUsed += job.pieces
	cached := min(e.cache.match(job.req.Prompt.Blocks)*kiln.BlockBytes/bytesPerToken, job.req.Prompt.Tokens)
	computed := job.req.Prompt.Tokens - cached + job.req.Generated
	e.counters.CachedTokens += int64(cached)
	seconds := float64(computed) / e.cfg.PrefillTokensPerSecond
	d := time.Duration(e.cfg.PrefillBaseUS)*time.Microsecond + time.Duration(seconds*float64(time.Second))
	time.AfterFunc(d, func() { e.finishPrefill(job, cached, computed) })
}

// bytesPerToken is the average length of a token's text, which must match
// kiln.NewPrompt.
const bytesPerToken = 4

func (e *Engine) finishPrefill(job *prefillJob, cached, computed int) {
	if err := e.faults.waitWhileHeld(context.Background(), "prefill_step"); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningPrefill = nil
	e.counters.PrefillTokens += int64(computed)
	if job.req.Generated > 0 {
		e.counters.WastedTokens += int64(computed)
	}
	defer e.startQueuedPrefillLocked()
	if job.dropped {
		e.piecesUsed -= job.pieces
		e.counters.WastedTokens += int64(computed)
		return
	}
	e.cache.store(job.req.Prompt.Blocks, e.publishEventLocked)
	x := e.addExportLocked(job, computed)
	job.finish(kiln.PrefillResult{
		Source:   e.deps.Address,
		Handle:   x.handle,
		Computed: computed,
		Cached:   cached,
		Bytes:    e.exportBytes(x),
		KeptMS:   e.cfg.ExportKeptMS,
	}, nil)
}

func (e *Engine) addExportLocked(job *prefillJob, computed int) *export {
	e.lastHandle++
	now := time.Now()
	x := &export{
		handle:          strconv.FormatUint(e.incarnation, hexBase) + "-" + strconv.FormatUint(e.lastHandle, hexBase),
		attempt:         job.req.Attempt,
		owner:           job.req.Owner,
		model:           job.req.Model,
		prompt:          job.req.Prompt,
		generatedTokens: job.req.Generated,
		computedTokens:  computed,
		pieces:          job.pieces,
		renewedAt:       now,
		expiresAt:       now.Add(time.Duration(e.cfg.ExportKeptMS) * time.Millisecond),
	}
	e.exports[x.handle] = x
	return x
}

func (e *Engine) exportBytes(x *export) int64 {
	return int64(x.prompt.Tokens+x.generatedTokens) * e.cfg.KVBytesPerToken
}

func (e *Engine) freeExportLocked(x *export) {
	delete(e.exports, x.handle)
	e.piecesUsed -= x.pieces
	if !x.fetched {
		e.counters.WastedTokens += int64(x.computedTokens)
	}
}

// publishEventLocked publishes a cache event with a delay, or loses it.
func (e *Engine) publishEventLocked(kind kiln.CacheEventKind, block uint64) {
	ctx := context.Background()
	delay := e.cfg.EventDelayMS
	if rule, ok := e.faults.take(ctx, FaultDelayEvents, "events"); ok {
		delay += rule.MS
	}
	loss := e.cfg.EventLossPercent
	if rule, ok := e.faults.take(ctx, FaultLoseEvents, "events"); ok {
		loss = rule.Percent
	}
	visibleAt := time.Now().Add(time.Duration(delay) * time.Millisecond)
	e.cache.publish(kind, block, visibleAt, e.rng.IntN(100) < loss)
}

// Export returns the description of an export to an engine that imports it.
func (e *Engine) Export(ctx context.Context, handle string) (ExportInfo, error) {
	const call = "export"
	if err := e.applyFaultsBefore(ctx, call); err != nil {
		return ExportInfo{}, err
	}
	exported, err := e.findExport(handle)
	return exported, errors.Join(err, e.faults.applyAfter(ctx, call))
}

func (e *Engine) findExport(handle string) (ExportInfo, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	x := e.exports[handle]
	if x == nil {
		return ExportInfo{}, errNoExport
	}
	x.fetched = true
	return ExportInfo{
		Attempt:   x.attempt,
		Model:     x.model,
		Text:      x.prompt.Text,
		Generated: x.generatedTokens,
		Bytes:     e.exportBytes(x),
	}, nil
}
