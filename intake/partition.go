package intake

import (
	"container/heap"
	"sync"
)

// partition queues the requests that compete for the same engines and grants one
// turn at a time. Its lock is held only for operations on the fair queues, never
// while a request waits.
type partition struct {
	cfg QueueConfig
	mu  sync.Mutex
	// queues holds one fair queue for each priority.
	queues   [Priorities]fairQueue
	count    int
	arrivals uint64
	// placing is the turn being placed, nil if there is none.
	placing *Turn
	// blocked is set while no free capacity is expected. blockedBy is the turn that
	// found none; its timer unblocks the partition.
	blocked   bool
	blockedBy *Turn
}

func newPartition(cfg QueueConfig) *partition {
	p := &partition{cfg: cfg}
	for i := range p.queues {
		p.queues[i].flows = map[string]*flow{}
		p.queues[i].finishTimes = map[string]float64{}
	}
	return p
}

func (p *partition) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

func (p *partition) unblock() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = false
	p.grantLocked()
}

func (p *partition) enqueue(t *Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals++
	t.arrival = p.arrivals
	p.pushLocked(t)
	p.grantLocked()
}

func (p *partition) pushLocked(t *Turn) {
	t.granted = make(chan struct{})
	t.queued = true
	p.count++
	p.queue(t).push(p.flowName(t), t)
}

func (p *partition) queue(t *Turn) *fairQueue {
	return &p.queues[min(max(t.entry.Priority, 0), Priorities-1)]
}

func (p *partition) flowName(t *Turn) string {
	if p.cfg.FIFO {
		return ""
	}
	return t.entry.Caller
}

// requeue queues a turn again that found no free capacity, and blocks the partition.
func (p *partition) requeue(t *Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placing == t {
		p.placing = nil
	}
	p.blocked = true
	p.blockedBy = t
	p.pushLocked(t)
}

func (p *partition) placed(t *Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.placing == t {
		p.placing = nil
	}
	if !t.started {
		t.started = true
		p.queue(t).charge(p.flowName(t), t)
	}
	p.grantLocked()
}

func (p *partition) remove(t *Turn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.queued {
		t.queued = false
		p.count--
		p.queue(t).remove(p.flowName(t), t)
	}
	if p.placing == t {
		p.placing = nil
	}
	if p.blockedBy == t {
		// The timer that would unblock the partition ends with the turn.
		p.blocked = false
		p.blockedBy = nil
	}
	p.grantLocked()
}

// grantLocked grants the next turn unless one is being placed or the partition is
// blocked.
func (p *partition) grantLocked() {
	if p.placing != nil || p.blocked || p.count == 0 {
		return
	}
	for i := Priorities - 1; i >= 0; i-- {
		t := p.queues[i].pop()
		if t == nil {
			continue
		}
		p.count--
		t.queued = false
		p.placing = t
		close(t.granted)
		return
	}
}

// flow holds the waiting requests of one caller in order of arrival.
type flow struct {
	name         string
	virtualStart float64
	turns        []*Turn
	index        int
}

// fairQueue implements start-time fair queueing over the callers of one priority.
// It implements heap.Interface, ordered by the virtual start times of the flows.
type fairQueue struct {
	heap  []*flow
	flows map[string]*flow
	// finishTimes holds the virtual time at which each caller's charged work ends.
	// sweep deletes entries that are not after virtualTime.
	finishTimes       map[string]float64
	virtualTime       float64
	chargesSinceSweep int
}

func (q *fairQueue) push(name string, t *Turn) {
	f := q.flows[name]
	if f == nil {
		f = &flow{
			name:         name,
			virtualStart: q.virtualStartOf(name, t),
		}
		q.flows[name] = f
		heap.Push(q, f)
	}
	at := len(f.turns)
	for at > 0 && f.turns[at-1].arrival > t.arrival {
		at--
	}
	f.turns = append(f.turns, nil)
	copy(f.turns[at+1:], f.turns[at:])
	f.turns[at] = t
}

// pop removes and returns the first request of the caller with the lowest virtual
// start time. It returns nil if the queue is empty.
func (q *fairQueue) pop() *Turn {
	if len(q.heap) == 0 {
		return nil
	}
	f := q.heap[0]
	t := f.turns[0]
	t.virtualStart = f.virtualStart
	q.removeAt(f, 0)
	return t
}

// virtualStartOf returns the virtual start time of a new flow. A request that is
// queued again keeps its earlier start time.
func (q *fairQueue) virtualStartOf(name string, t *Turn) float64 {
	if t.virtualStart > 0 {
		return t.virtualStart
	}
	return max(q.virtualTime, q.finishTimes[name])
}

// charge advances the caller's virtual finish time by the cost of the request
// divided by the caller's weight.
func (q *fairQueue) charge(name string, t *Turn) {
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	cost := float64(max(1, t.entry.Cost)) / float64(max(1, t.entry.Weight))
	q.finishTimes[name] = max(t.virtualStart, q.finishTimes[name]) + cost
	if f := q.flows[name]; f != nil {
		f.virtualStart = q.finishTimes[name]
		heap.Fix(q, f.index)
	}
	q.chargesSinceSweep++
	if q.chargesSinceSweep > len(q.finishTimes)+minSweepInterval {
		q.sweep()
	}
}

// minSweepInterval is the minimum number of charges between two sweeps.
const minSweepInterval = 64

// sweep deletes the finish times of callers without waiting requests whose work has
// ended in virtual time. It bounds the memory used for callers that went away.
func (q *fairQueue) sweep() {
	q.chargesSinceSweep = 0
	for name, finish := range q.finishTimes {
		if finish <= q.virtualTime && q.flows[name] == nil {
			delete(q.finishTimes, name)
		}
	}
}

func (q *fairQueue) remove(name string, t *Turn) {
	f := q.flows[name]
	if f == nil {
		return
	}
	for i, other := range f.turns {
		if other == t {
			q.removeAt(f, i)
			return
		}
	}
}

func (q *fairQueue) removeAt(f *flow, at int) {
	copy(f.turns[at:], f.turns[at+1:])
	f.turns[len(f.turns)-1] = nil
	f.turns = f.turns[:len(f.turns)-1]
	if len(f.turns) == 0 {
		heap.Remove(q, f.index)
		delete(q.flows, f.name)
	}
}

// Len implements heap.Interface. It returns the number of callers with waiting
// requests.
func (q *fairQueue) Len() int { return len(q.heap) }

// Less implements heap.Interface. It orders callers by virtual start time.
func (q *fairQueue) Less(i, j int) bool { return q.heap[i].virtualStart < q.heap[j].virtualStart }

// Swap implements heap.Interface.
func (q *fairQueue) Swap(i, j int) {
	q.heap[i], q.heap[j] = q.heap[j], q.heap[i]
	q.heap[i].index = i
	q.heap[j].index = j
}

// Push implements heap.Interface. Use heap.Push instead.
func (q *fairQueue) Push(x any) {
	f := x.(*flow)
	f.index = len(q.heap)
	q.heap = append(q.heap, f)
}

// Pop implements heap.Interface. Use heap.Pop or heap.Remove instead.
func (q *fairQueue) Pop() any {
	last := q.heap[len(q.heap)-1]
	q.heap[len(q.heap)-1] = nil
	q.heap = q.heap[:len(q.heap)-1]
	return last
}

var _ heap.Interface = (*fairQueue)(nil)
