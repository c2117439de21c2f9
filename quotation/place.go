package quotation

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

const (
	// spreadSlots is the range of the random part of a decode engine's score,
	// in slots; it keeps instances with the same lagged view apart.
	spreadSlots = 2
	// remoteSlots is the penalty of a decode engine in another data centre.
	remoteSlots = 3
	// sparePart of an engine's slots is left free by requests that can wait.
	sparePart = 4
	// sampleSize bounds the engines that are compared for one request.
	sampleSize  = 64
	blockTokens = kiln.BlockBytes / 4
	// remoteDelay is added to the expected time of a prefill in another data
	// centre of the region: two round trips of about 1.4 ms each way, and the
	// transfer at half the rate.
	remoteDelay = 6 * time.Millisecond
	// abroadDelay is the same for another region: two round trips of 12 ms each
	// way, and the transfer at a tenth of the rate.
	abroadDelay = 65 * time.Millisecond
	// spreadDelay is the range of the random part of a prefill's expected time; it
	// keeps instances that can't see each other's queues apart.
	spreadDelay = 20 * time.Millisecond
)

// view is the state that one decision reads.
type view struct {
	fleet  *Fleet
	prefix *prefixIndex
	cfg    Config
	now    time.Time
	// turn is the count of decisions, for the round-robin baseline.
	turn uint64
}

// place chooses the engines for a request: in its own region, or in another
// one when its own has no engines that answer, or has been full for some time.
func (v view) place(req *Request) Decision {
	l := v.fleet.lanes[req.Model]
	if l == nil {
		return Refuse{Code: receipt.CodeNoServer}
	}
	home := v.home(req)
	run, ok := v.placeIn(l, req, home)
	if ok {
		return run
	}
	patient := req.Waited < time.Duration(v.cfg.OtherRegionAfterMS)*time.Millisecond
	if home == "" || req.KVRegion != "" || patient && v.serves(l, req, home) {
		return v.waitOrRefuse(l, req)
	}
	return v.placeAbroad(l, req, home)
}

// placeAbroad chooses engines in another region; the KV cache stays there.
func (v view) placeAbroad(l *lane, req *Request, home string) Decision {
	for _, region := range v.fleet.regionNames {
		if region == home {
			continue
		}
		run, ok := v.placeIn(l, req, region)
		if ok {
			run.CrossRegionBytes = crossRegionBytes(req)
			return run
		}
	}
	return v.waitOrRefuse(l, req)
}

// home returns the region of a request. Its data centre may have no servers by
// which to tell it.
func (v view) home(req *Request) string {
	if req.Region != "" {
		return req.Region
	}
	return v.fleet.Region(req.DataCentre)
}

func (v view) waitOrRefuse(l *lane, req *Request) Decision {
	allows := func(w *Worker) bool { return allowed(w, req) }
	if slices.ContainsFunc(l.decode[""], allows) && slices.ContainsFunc(l.prefill[""], allows) {
		return Wait{For: v.cfg.retry()}
	}
	return Refuse{Code: receipt.CodeNoServer}
}

// serves tells whether a region has engines of both roles that answer.
func (v view) serves(l *lane, req *Request, region string) bool {
	now := v.now.UnixNano()
	answers := func(w *Worker) bool { return allowed(w, req) && !w.failed(now) }
	return slices.ContainsFunc(l.decode[region], answers) && slices.ContainsFunc(l.prefill[region], answers)
}

func (v view) placeIn(l *lane, req *Request, region string) (Run, bool) {
	if req.KVRegion != "" {
		region = req.KVRegion
	}
	decode := v.chooseDecode(l.decode[region], req)
	if decode == nil {
		return Run{}, false
	}
	if region == "" {
		region = decode.Region
	}
	prefill := l.prefill[region]
	if v.cfg.PrefillInOtherRegions {
		prefill = l.prefill[""]
	}
	run, ok := v.choosePrefill(prefill, req, decode)
	run.Decode = decode
	return run, ok
}

// chooseDecode takes the engine with the most room among a bounded number of
// those that have any, from a place in the list that differs by request.
func (v view) chooseDecode(workers []*Worker, req *Request) *Worker {
	if v.cfg.Policy.RoundRobin {
		return v.nextInTurn(workers, req)
	}
	now := v.now.UnixNano()
	seed := xxhash.Sum64String(req.ID)
	var best *Worker
	var bestScore float64
	seen := 0
	for i := range workers {
		w := workers[(seed+uint64(i))%uint64(len(workers))]
		if !v.hasRoom(w, req, now) {
			continue
		}
		score := w.fill(v.now)*float64(w.Slots) + spreadSlots*spread(seed, i)
		if w.DataCentre != req.DataCentre {
			score += remoteSlots
		}
		if best == nil || score < bestScore {
			best = w
			bestScore = score
		}
		seen++
		if seen == sampleSize {
			break
		}
	}
	return best
}

func (v view) hasRoom(w *Worker, req *Request, now int64) bool {
	room := v.cfg.Policy.PrefillFirst || !w.full(v.now, v.spare(w, req)) && w.fits(req.MemoryTokens)
	return room && !w.failed(now) && allowed(w, req)
}

// spare returns the slots of an engine that a request leaves free: a part, when
// it can wait and has not waited too long.
func (v view) spare(w *Worker, req *Request) int {
	waited := req.Waited > time.Duration(v.cfg.DeferrableMS)*time.Millisecond
	if !req.Deferrable || waited || v.cfg.Policy.NoSpareSlots {
		return 0
	}
	return w.Slots / sparePart
}

func (v view) nextInTurn(workers []*Worker, req *Request) *Worker {
	now := v.now.UnixNano()
	for i := range workers {
		w := workers[(v.turn+uint64(i))%uint64(len(workers))]
		if !w.failed(now) && allowed(w, req) {
			return w
		}
	}
	return nil
}

// spread returns a number in [0, 1) that differs by request and engine.
func spread(seed uint64, i int) float64 {
	x := seed ^ (uint64(i)+1)*0x9e3779b97f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return float64(x>>11) / (1 << 53)
}

func allowed(w *Worker, req *Request) bool {
	if len(req.Pools) > 0 && !slices.Contains(req.Pools, w.Pool) {
		return false
	}
	if len(req.Servers) > 0 && !slices.Contains(req.Servers, w.Name) {
		return false
	}
	return len(req.Excluded) == 0 || !slices.Contains(req.Excluded, w.Address)
}

// choosePrefill takes the engine with the earliest KV cache among those that
// have the longest known prefix and a bounded number of others.
func (v view) choosePrefill(workers []*Worker, req *Request, decode *Worker) (Run, bool) {
	if v.cfg.Policy.RoundRobin {
		w := v.nextInTurn(workers, req)
		if w == nil {
			return Run{}, false
		}
		return v.quote(w, req, 0, decode), true
	}
	now := v.now.UnixNano()
	best := v.chooseCached(workers, req, decode)
	bestReady := best.ReadyIn()
	seed := xxhash.Sum64String(req.ID)
	seen := 0
	for i := range workers {
		w := workers[(seed+uint64(i))%uint64(len(workers))]
		if w.failed(now) || !allowed(w, req) {
			continue
		}
		run := v.quote(w, req, 0, decode)
		ready := run.ReadyIn() + time.Duration(float64(spreadDelay)*spread(seed, i))
		if best.Prefill == nil || ready < bestReady {
			best = run
			bestReady = ready
		}
		seen++
		if seen == sampleSize {
			break
		}
	}
	return best, best.Prefill != nil
}

// chooseCached chooses among the engines that have the longest known prefix.
func (v view) chooseCached(workers []*Worker, req *Request, decode *Worker) Run {
	var best Run
	holders, length := v.match(req)
	if length == 0 || len(workers) == 0 {
		return best
	}
	now := v.now.UnixNano()
	for _, address := range holders {
		w := v.fleet.workers[address]
		if w == nil || w.Role == kiln.RoleDecode || w.Region != workers[0].Region || w.failed(now) || !allowed(w, req) {
			continue
		}
		run := v.quote(w, req, min(length*blockTokens, req.PromptTokens), decode)
		if best.Prefill == nil || run.ReadyIn() < best.ReadyIn() {
			best = run
		}
	}
	return best
}

func (v view) match(req *Request) (holders []string, length int) {
	if v.cfg.Policy.NoPrefix {
		return nil, 0
	}
	return v.prefix.match(req.Blocks)
}

// quote estimates the times of a prefill on one engine.
func (v view) quote(w *Worker, req *Request, cached int, decode *Worker) Run {
	computed := req.PromptTokens - cached
	bytes := int64(req.PromptTokens) * v.cfg.KVBytesPerToken
	run := Run{
		Prefill:        w,
		CachedTokens:   cached,
		ComputedTokens: computed,
		Queue:          seconds(float64(w.Queued(v.now))/w.Rate) + w.tally.delay.at(v.now),
		Compute:        seconds(float64(computed) / w.Rate),
		KVBytes:        bytes,
		MemoryTokens:   req.MemoryTokens,
	}
	if w == decode {
		return run
	}
	run.Queue += v.distance(w, req)
	pending := bytes
	if !v.cfg.Policy.NoTransfer {
		pending += v.pending(w, decode)
	}
	run.Transfer = seconds(float64(pending) / v.cfg.LinkBytesPerSecond)
	return run
}

// distance returns what a prefill takes longer on an engine that isn't in the
// request's data centre.
func (v view) distance(w *Worker, req *Request) time.Duration {
	switch {
	case w.DataCentre == req.DataCentre:
		return 0
	case w.Region == v.home(req):
		return remoteDelay
	default:
		return abroadDelay
	}
}

// pending returns the KV cache that waits for the same links, in bytes.
func (v view) pending(prefill, decode *Worker) int64 {
	pending := prefill.Pending(v.now)
	if decode != nil {
		pending = max(pending, decode.Pending(v.now))
	}
	return pending
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// crossRegionBytes estimates the traffic of a request that moves to another
// region: its prompt and its frames.
func crossRegionBytes(req *Request) int64 {
	const bytesPerFrame = 120
	if req.AnswerBytes > 0 {
		return int64(req.PromptBytes) + int64(req.AnswerBytes)
	}
	return int64(req.PromptBytes) + int64(req.OutputTokens)*bytesPerFrame
}
