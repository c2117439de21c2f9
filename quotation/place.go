package quotation

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

const (
	// slotJitter is the range of the random part of a decode engine's score, in
	// slots. It keeps instances with the same delayed view from choosing the same
	// engine.
	slotJitter = 2
	// remoteSlotPenalty is added to the score of a decode engine in another data
	// centre, in slots.
	remoteSlotPenalty = 3
	// Best-effort requests leave 1/spareSlotDivisor of an engine's slots free.
	spareSlotDivisor = 4
	// sampleSize limits the engines that are compared for one request.
	sampleSize  = 64
	blockTokens = kiln.BlockBytes / 4
	// otherDataCentreDelay is added to the expected time of a prefill in another data
	// centre of the region, for two round trips of about 1.4 ms each way and a
	// transfer at half the rate.
	otherDataCentreDelay = 6 * time.Millisecond
	// otherRegionDelay is added for another region, for two round trips of 12 ms each
	// way and a transfer at a tenth of the rate.
	otherRegionDelay = 65 * time.Millisecond
	// delayJitter is the range of the random part of a prefill's expected time. It
	// keeps instances that can't see each other's queues from choosing the same
	// engine.
	delayJitter = 20 * time.Millisecond
)

// view is the input of one placement decision other than the request.
type view struct {
	snapshot *Snapshot
	prefix   *prefixIndex
	cfg      Config
	now      time.Time
	// decisions is the number of decisions so far, which Policy.RoundRobin uses.
	decisions uint64
}

// place chooses the engines for a request. It prefers the request's own region, and
// uses another one if the engines of its own don't respond or have been full for
// Config.OtherRegionAfterMS.
func (v view) place(req *Request) Decision {
	m := v.snapshot.models[req.Model]
	if m == nil {
		return Refuse{Code: receipt.CodeNoServer}
	}
	home := v.homeRegion(req)
	run, ok := v.placeInRegion(m, req, home)
	if ok {
		return run
	}
	waitsForHome := req.Waited < time.Duration(v.cfg.OtherRegionAfterMS)*time.Millisecond
	if home == "" || req.KVRegion != "" || waitsForHome && v.hasEngines(m, req, home) {
		return v.waitOrRefuse(m, req)
	}
	return v.placeInOtherRegion(m, req, home)
}

// placeInOtherRegion chooses both engines in one other region, so that the KV cache
// isn't transferred between regions, unless Config.PrefillInOtherRegions allows it.
func (v view) placeInOtherRegion(m *modelWorkers, req *Request, home string) Decision {
	for _, region := range v.snapshot.regionNames {
		if region == home {
			continue
		}
		run, ok := v.placeInRegion(m, req, region)
		if ok {
			run.CrossRegionBytes = crossRegionBytes(req)
			return run
		}
	}
	return v.waitOrRefuse(m, req)
}

// homeRegion returns the region of a request, or "" if it is unknown because the
// request's data centre has no servers.
func (v view) homeRegion(req *Request) string {
	if req.Region != "" {
		return req.Region
	}
	return v.snapshot.Region(req.DataCentre)
}

// waitOrRefuse decides on a request for which no engine has free capacity. If it could run
// on no engine that takes requests now, it doesn't have to wait.
func (v view) waitOrRefuse(m *modelWorkers, req *Request) Decision {
	var from time.Time
	served := false
	for _, version := range m.versions {
		pinned, ok := req.withVersion(version)
		if !ok {
			continue
		}
		decodeFrom, hasDecode := earliestAdmission(m.decode[""], &pinned)
		prefillFrom, hasPrefill := earliestAdmission(m.prefill[""], &pinned)
		if v.prefillsAlone(m, &pinned) {
			prefillFrom, hasPrefill = decodeFrom, hasDecode
		}
		if !hasDecode || !hasPrefill {
			continue
		}
		pairFrom := decodeFrom
		if prefillFrom.After(pairFrom) {
			pairFrom = prefillFrom
		}
		if !served || pairFrom.Before(from) {
			from = pairFrom
		}
		served = true
	}
	if !served {
		return Refuse{Code: receipt.CodeNoServer}
	}
	if from.After(v.now) {
		return Paused{Until: from}
	}
	return Wait{For: v.cfg.retry()}
}

// earliestAdmission returns when the first of the engines that may run a request takes
// requests. It returns false if there are none.
func earliestAdmission(workers []*Worker, req *Request) (from time.Time, ok bool) {
	for _, w := range workers {
		if !allowed(w, req) {
			continue
		}
		if !ok || w.pausedUntil.Before(from) {
			from = w.pausedUntil
		}
		ok = true
	}
	return from, ok
}

// hasEngines reports whether a region has engines of both roles that respond.
func (v view) hasEngines(m *modelWorkers, req *Request, region string) bool {
	now := v.now.UnixNano()
	return slices.ContainsFunc(m.versions, func(version string) bool {
		pinned, ok := req.withVersion(version)
		available := func(w *Worker) bool { return allowed(w, &pinned) && !w.failed(now) && !w.paused(v.now) }
		hasPrefill := ok && (v.prefillsAlone(m, &pinned) || slices.ContainsFunc(m.prefill[region], available))
		return hasPrefill && slices.ContainsFunc(m.decode[region], available)
	})
}

// placeInRegion chooses both engines, of the same version of their software. If there is no such
// pair with free capacity, a decode engine whose version has no prefill engines gets the request alone.
func (v view) placeInRegion(m *modelWorkers, req *Request, region string) (Run, bool) {
	if req.KVRegion != "" {
		region = req.KVRegion
	}
	remaining := *req
	var alone *Worker
	for range m.versions {
		decode := v.chooseDecode(m.decode[region], &remaining)
		if decode == nil {
			break
		}
		prefillRegion := region
		if prefillRegion == "" {
			prefillRegion = decode.Region
		}
		prefill := m.prefill[prefillRegion]
		if v.cfg.PrefillInOtherRegions {
			prefill = m.prefill[""]
		}
		pinned, _ := req.withVersion(decode.Version)
		run, ok := v.choosePrefill(prefill, &pinned, decode)
		if ok {
			run.Decode = decode
			return run, true
		}
		if alone == nil && v.prefillsAlone(m, &pinned) {
			alone = decode
		}
		remaining = remaining.withoutVersion(decode.Version)
	}
	if alone == nil {
		return Run{}, false
	}
	return v.estimateAlone(alone, req), true
}

// prefillsAlone reports whether the decode engines for a request compute the prompt, too, since
// there are no prefill engines for it. Those that have failed the request count as well: another
// prefill is no work for a decode engine.
func (v view) prefillsAlone(m *modelWorkers, req *Request) bool {
	first := *req
	first.Excluded = nil
	return v.cfg.DecodePrefillSpeed > 0 && !slices.ContainsFunc(m.prefill[""], func(w *Worker) bool { return allowed(w, &first) })
}

// estimateAlone estimates the times of a request whose decode engine computes the prompt, too.
func (v view) estimateAlone(decode *Worker, req *Request) Run {
	run := v.estimatePrefill(decode, req, 0, decode)
	run.Decode = decode
	run.Compute = time.Duration(float64(run.Compute) / v.cfg.DecodePrefillSpeed)
	run.KVBytes = 0
	return run
}

// withVersion returns the request for engines of one version, or false if it is restricted to
// another one.
func (r Request) withVersion(version string) (Request, bool) {
	ok := r.Version == "" || r.Version == version
	r.Version = version
	return r, ok
}

// withoutVersion returns the request for engines of other versions than one.
func (r Request) withoutVersion(version string) Request {
	r.excludedVersions = append(slices.Clone(r.excludedVersions), version)
	return r
}

// chooseDecode returns the engine with the lowest score among at most sampleSize engines
// with free capacity, or nil if there are none. The score is the utilization in slots, plus
// a random part of less than slotJitter, plus remoteSlotPenalty in another data centre. The
// search starts at a position that depends on the request.
func (v view) chooseDecode(workers []*Worker, req *Request) *Worker {
	if v.cfg.Policy.RoundRobin {
		return v.nextRoundRobin(workers, req)
	}
	now := v.now.UnixNano()
	seed := xxhash.Sum64String(req.ID)
	var best *Worker
	var bestScore float64
	seen := 0
	for i := range workers {
		w := workers[(seed+uint64(i))%uint64(len(workers))]
		if !v.hasCapacity(w, req, now) {
			continue
		}
		score := w.utilization(v.now)*float64(w.Slots) + slotJitter*randomFraction(seed, i)
		if w.DataCentre != req.DataCentre {
			score += remoteSlotPenalty
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

func (v view) hasCapacity(w *Worker, req *Request, now int64) bool {
	free := v.cfg.Policy.PrefillFirst || !w.full(v.now, v.spareSlots(w, req)) && w.hasMemoryFor(req.MemoryTokens)
	return free && !w.failed(now) && !w.paused(v.now) && allowed(w, req)
}

// spareSlots returns the number of slots that a request must leave free on an engine.
// It is 0 unless the request is best effort and has waited for at most
// Config.BestEffortMS.
func (v view) spareSlots(w *Worker, req *Request) int {
	waitedLong := req.Waited > time.Duration(v.cfg.BestEffortMS)*time.Millisecond
	if !req.BestEffort || waitedLong || v.cfg.Policy.NoSpareSlots {
		return 0
	}
	return w.Slots / spareSlotDivisor
}

func (v view) nextRoundRobin(workers []*Worker, req *Request) *Worker {
	now := v.now.UnixNano()
	for i := range workers {
		w := workers[(v.decisions+uint64(i))%uint64(len(workers))]
		if !w.failed(now) && !w.paused(v.now) && allowed(w, req) {
			return w
		}
	}
	return nil
}

// randomFraction returns a pseudo-random number in [0, 1) that depends on the request
// and the engine's index.
func randomFraction(seed uint64, i int) float64 {
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
	if req.Version != "" && w.Version != req.Version || slices.Contains(req.excludedVersions, w.Version) {
		return false
	}
	return len(req.Excluded) == 0 || !slices.Contains(req.Excluded, w.Address)
}

// choosePrefill chooses the engine with the earliest expected KV cache, among those
// that hold the longest known prefix and at most sampleSize others.
func (v view) choosePrefill(workers []*Worker, req *Request, decode *Worker) (Run, bool) {
	if v.cfg.Policy.RoundRobin {
		w := v.nextRoundRobin(workers, req)
		if w == nil {
			return Run{}, false
		}
		return v.estimatePrefill(w, req, 0, decode), true
	}
	now := v.now.UnixNano()
	best := v.chooseCached(workers, req, decode)
	bestReady := best.ReadyIn()
	seed := xxhash.Sum64String(req.ID)
	seen := 0
	for i := range workers {
		w := workers[(seed+uint64(i))%uint64(len(workers))]
		if w.failed(now) || w.paused(v.now) || !allowed(w, req) {
			continue
		}
		run := v.estimatePrefill(w, req, 0, decode)
		ready := run.ReadyIn() + time.Duration(float64(delayJitter)*randomFraction(seed, i))
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

// chooseCached chooses among the engines that hold the longest known prefix.
func (v view) chooseCached(workers []*Worker, req *Request, decode *Worker) Run {
	var best Run
	holders, length := v.match(req)
	if length == 0 || len(workers) == 0 {
		return best
	}
	now := v.now.UnixNano()
	for _, address := range holders {
		w := v.snapshot.workers[address]
		if w == nil || w.Role == kiln.RoleDecode || w.Region != workers[0].Region || w.failed(now) || w.paused(v.now) || !allowed(w, req) {
			continue
		}
		run := v.estimatePrefill(w, req, min(length*blockTokens, req.PromptTokens), decode)
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

// estimatePrefill estimates the queue, compute and transfer times of a prefill on one
// engine.
func (v view) estimatePrefill(w *Worker, req *Request, cached int, decode *Worker) Run {
	computed := req.PromptTokens - cached
	bytes := int64(req.PromptTokens) * v.cfg.KVBytesPerToken
	run := Run{
		Prefill:        w,
		CachedTokens:   cached,
		ComputedTokens: computed,
		Queue:          seconds(float64(w.QueuedTokens(v.now))/w.PrefillRate) + w.load.delay.at(v.now),
		Compute:        seconds(float64(computed) / w.PrefillRate),
		KVBytes:        bytes,
		MemoryTokens:   req.MemoryTokens,
	}
	if w == decode {
		return run
	}
	run.Queue += v.distanceDelay(w, req)
	pending := bytes
	if !v.cfg.Policy.NoTransfer {
		pending += v.pendingBytes(w, decode)
	}
	run.Transfer = seconds(float64(pending) / v.cfg.LinkBytesPerSecond)
	return run
}

// distanceDelay returns the additional time of a prefill on an engine outside the
// request's data centre.
func (v view) distanceDelay(w *Worker, req *Request) time.Duration {
	switch {
	case w.DataCentre == req.DataCentre:
		return 0
	case w.Region == v.homeRegion(req):
		return otherDataCentreDelay
	default:
		return otherRegionDelay
	}
}

// pendingBytes returns the size of the KV caches in transfer on the busier one of the
// two engines' links.
func (v view) pendingBytes(prefill, decode *Worker) int64 {
	pending := prefill.PendingBytes(v.now)
	if decode != nil {
		pending = max(pending, decode.PendingBytes(v.now))
	}
	return pending
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// crossRegionBytes estimates the traffic of a request that runs in another region: its
// prompt and its response.
func crossRegionBytes(req *Request) int64 {
	const bytesPerFrame = 120
	if req.AnswerBytes > 0 {
		return int64(req.PromptBytes) + int64(req.AnswerBytes)
	}
	return int64(req.PromptBytes) + int64(req.OutputTokens)*bytesPerFrame
}
