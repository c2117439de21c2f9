package intake

import (
	"container/heap"
	"sync"
)

// lane is the queue of the requests that compete for the same engines. Its lock
// is held for a few operations of the fair queue and never while anything
// waits.
type lane struct {
	cfg QueueConfig
	mu  sync.Mutex
	// shares are the callers with waiting requests by priority.
	shares   [Priorities]fairShare
	count    int
	arrivals uint64
	// placing is the turn that is being placed, nil when the lane is free.
	placing *Turn
	// closed is set while no room is known of, closer is the turn that found
	// none and whose timer opens the lane again.
	closed bool
	closer *Turn
}

func newLane(cfg QueueConfig) *lane {
	l := &lane{cfg: cfg}
	for i := range l.shares {
		l.shares[i].flows = map[string]*flow{}
		l.shares[i].finish = map[string]float64{}
	}
	return l
}

func (l *lane) waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

func (l *lane) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = false
	l.grantLocked()
}

func (l *lane) enqueue(t *Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals++
	t.arrival = l.arrivals
	l.pushLocked(t)
	l.grantLocked()
}

func (l *lane) pushLocked(t *Turn) {
	t.granted = make(chan struct{})
	t.queued = true
	l.count++
	l.share(t).push(l.flowName(t), t)
}

func (l *lane) share(t *Turn) *fairShare {
	return &l.shares[min(max(t.entry.Priority, 0), Priorities-1)]
}

func (l *lane) flowName(t *Turn) string {
	if l.cfg.FIFO {
		return ""
	}
	return t.entry.Caller
}

// requeue puts a turn back that found no room and closes the lane.
func (l *lane) requeue(t *Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.placing == t {
		l.placing = nil
	}
	l.closed = true
	l.closer = t
	l.pushLocked(t)
}

func (l *lane) placed(t *Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.placing == t {
		l.placing = nil
	}
	if !t.started {
		t.started = true
		l.share(t).charge(l.flowName(t), t)
	}
	l.grantLocked()
}

func (l *lane) leave(t *Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.queued {
		t.queued = false
		l.count--
		l.share(t).remove(l.flowName(t), t)
	}
	if l.placing == t {
		l.placing = nil
	}
	if l.closer == t {
		// Its timer ends with it.
		l.closed = false
		l.closer = nil
	}
	l.grantLocked()
}

// grantLocked gives the turn to the next request if the lane is free.
func (l *lane) grantLocked() {
	if l.placing != nil || l.closed || l.count == 0 {
		return
	}
	for i := Priorities - 1; i >= 0; i-- {
		t := l.shares[i].pop()
		if t == nil {
			continue
		}
		l.count--
		t.queued = false
		l.placing = t
		close(t.granted)
		return
	}
}

// flow is one caller's waiting requests.
type flow struct {
	name  string
	start float64
	turns []*Turn
	index int
}

// fairShare is start-time fair queueing over the callers of one priority. It
// implements heap.Interface over the flows' virtual start times.
type fairShare struct {
	heap  []*flow
	flows map[string]*flow
	// finish is the virtual time at which a caller's work so far ends; entries
	// at or before now are dropped from time to time.
	finish map[string]float64
	now    float64
	sweep  int
}

func (s *fairShare) push(name string, t *Turn) {
	f := s.flows[name]
	if f == nil {
		f = &flow{
			name:  name,
			start: s.startOf(name, t),
		}
		s.flows[name] = f
		heap.Push(s, f)
	}
	at := len(f.turns)
	for at > 0 && f.turns[at-1].arrival > t.arrival {
		at--
	}
	f.turns = append(f.turns, nil)
	copy(f.turns[at+1:], f.turns[at:])
	f.turns[at] = t
}

// pop takes the next request of the caller whose turn it is.
func (s *fairShare) pop() *Turn {
	if len(s.heap) == 0 {
		return nil
	}
	f := s.heap[0]
	t := f.turns[0]
	t.start = f.start
	s.drop(f, 0)
	return t
}

// startOf returns the virtual start time of a caller that begins to wait; a
// request that goes back keeps its own.
func (s *fairShare) startOf(name string, t *Turn) float64 {
	if t.start > 0 {
		return t.start
	}
	return max(s.now, s.finish[name])
}

// charge adds the cost of a request to its caller's virtual time.
func (s *fairShare) charge(name string, t *Turn) {
	s.now = max(s.now, t.start)
	cost := float64(max(1, t.entry.Cost)) / float64(max(1, t.entry.Weight))
	s.finish[name] = max(t.start, s.finish[name]) + cost
	if f := s.flows[name]; f != nil {
		f.start = s.finish[name]
		heap.Fix(s, f.index)
	}
	s.sweep++
	if s.sweep > len(s.finish)+sweepEvery {
		s.forget()
	}
}

// sweepEvery is the least number of requests between two sweeps.
const sweepEvery = 64

// forget drops the callers whose work has ended in virtual time.
func (s *fairShare) forget() {
	s.sweep = 0
	for name, finish := range s.finish {
		if finish <= s.now && s.flows[name] == nil {
			delete(s.finish, name)
		}
	}
}

func (s *fairShare) remove(name string, t *Turn) {
	f := s.flows[name]
	if f == nil {
		return
	}
	for i, other := range f.turns {
		if other == t {
			s.drop(f, i)
			return
		}
	}
}

func (s *fairShare) drop(f *flow, at int) {
	copy(f.turns[at:], f.turns[at+1:])
	f.turns[len(f.turns)-1] = nil
	f.turns = f.turns[:len(f.turns)-1]
	if len(f.turns) == 0 {
		heap.Remove(s, f.index)
		delete(s.flows, f.name)
	}
}

// Len returns the number of callers with waiting requests.
func (s *fairShare) Len() int { return len(s.heap) }

// Less orders callers by virtual start time.
func (s *fairShare) Less(i, j int) bool { return s.heap[i].start < s.heap[j].start }

// Swap exchanges two callers.
func (s *fairShare) Swap(i, j int) {
	s.heap[i], s.heap[j] = s.heap[j], s.heap[i]
	s.heap[i].index = i
	s.heap[j].index = j
}

// Push adds a caller; see heap.Push.
func (s *fairShare) Push(x any) {
	f := x.(*flow)
	f.index = len(s.heap)
	s.heap = append(s.heap, f)
}

// Pop removes the last caller; see heap.Pop.
func (s *fairShare) Pop() any {
	last := s.heap[len(s.heap)-1]
	s.heap[len(s.heap)-1] = nil
	s.heap = s.heap[:len(s.heap)-1]
	return last
}

var _ heap.Interface = (*fairShare)(nil)
