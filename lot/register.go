package lot

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/uptime"
)

const (
	// maxStreams limits the streams that a Register holds of each kind: its own and those of
	// others.
	maxStreams = 50_000
	// forgetInterval is the shortest time between two searches for old streams.
	forgetInterval = time.Second
)

// Stream is a stream that was begun at a version of a service.
type Stream struct {
	Key     Key
	Service string
	Version string
}

// Register holds the streams that this instance has begun or taken up, and those that others
// have recorded. It is safe for concurrent use.
type Register struct {
	lifetime func() time.Duration

	mu     sync.Mutex
	own    map[Key]*ownStream
	others map[Key]foundStream
	// forgotAt is when old streams were last forgotten.
	forgotAt uptime.Instant
	due      chan struct{}
}

// ownStream is a stream of this instance.
type ownStream struct {
	Stream
	at uptime.Instant
	// recorded is set once others can read it.
	recorded bool
}

// foundStream is what others have recorded of a stream.
type foundStream struct {
	version string
	at      uptime.Instant
}

func newRegister(lifetime func() time.Duration) *Register {
	return &Register{
		lifetime: lifetime,
		own:      map[Key]*ownStream{},
		others:   map[Key]foundStream{},
		due:      make(chan struct{}, 1),
	}
}

// Begin records that this instance has begun a stream, or goes on with it. It must be called
// before the first token is passed on.
func (r *Register) Begin(s Stream, now uptime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.own) >= maxStreams {
		r.forgetLocked(now)
	}
	if _, known := r.own[s.Key]; known || len(r.own) >= maxStreams {
		return
	}
	r.own[s.Key] = &ownStream{
		Stream: s,
		at:     now,
	}
	r.Wake()
}

// End forgets a stream that is complete. One that broke off is kept for its lifetime, since
// its caller may take it up.
func (r *Register) End(key Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, key)
}

// Due returns a channel that receives when streams may have to be recorded.
func (r *Register) Due() <-chan struct{} { return r.due }

// Wake makes Due receive.
func (r *Register) Wake() {
	select {
	case r.due <- struct{}{}:
	default:
	}
}

// forgetLocked forgets the streams that are too old to be taken up, at most once in
// forgetInterval.
func (r *Register) forgetLocked(now uptime.Instant) {
	if !r.forgotAt.IsZero() && now.Sub(r.forgotAt) < forgetInterval {
		return
	}
	r.forgotAt = now
	for key, s := range r.own {
		if now.Sub(s.at) > r.lifetime() {
			delete(r.own, key)
		}
	}
	for key, s := range r.others {
		if now.Sub(s.at) > r.lifetime() {
			delete(r.others, key)
		}
	}
}

// unrecorded returns up to n streams that weren't recorded and whose service isn't left out,
// grouped by service and version.
func (r *Register) unrecorded(n int, leaveOut func(service string) bool, now uptime.Instant) [][]Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLocked(now)
	groups := map[Registration][]Stream{}
	for _, s := range r.own {
		if n == 0 {
			// The others follow when these are recorded.
			r.Wake()
			break
		}
		if s.recorded || leaveOut(s.Service) {
			continue
		}
		group := Registration{
			Service: s.Service,
			Version: s.Version,
		}
		groups[group] = append(groups[group], s.Stream)
		n--
	}
	lists := make([][]Stream, 0, len(groups))
	for _, streams := range groups {
		lists = append(lists, streams)
	}
	return lists
}

// Recorded marks streams as recorded.
func (r *Register) Recorded(streams []Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range streams {
		if own, ok := r.own[s.Key]; ok {
			own.recorded = true
		}
	}
}

// recordAgain marks all streams as not recorded, because the records may have been lost.
func (r *Register) recordAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.own {
		s.recorded = false
	}
}

// Found adds streams that others have recorded. Beyond maxStreams, older ones are forgotten.
func (r *Register) Found(keys []Key, version string, now uptime.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		r.others[key] = foundStream{
			version: version,
			at:      now,
		}
	}
	if len(r.others) <= maxStreams {
		return
	}
	r.forgetLocked(now)
	if len(r.others) > maxStreams {
		// Many at once, so that most calls forget none.
		r.dropOldestLocked(len(r.others) - maxStreams*3/4)
	}
}

func (r *Register) dropOldestLocked(n int) {
	type aged struct {
		key Key
		at  uptime.Instant
	}
	list := make([]aged, 0, len(r.others))
	for key, s := range r.others {
		list = append(list, aged{
			key: key,
			at:  s.at,
		})
	}
	slices.SortFunc(list, func(a, b aged) int { return int(a.at.Sub(b.at)) })
	for _, s := range list[:n] {
		delete(r.others, s.key)
	}
}

// Version returns the version of a stream of this instance or of one that another has
// recorded.
func (r *Register) Version(key Key) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.own[key]; ok {
		return s.Version, true
	}
	s, ok := r.others[key]
	return s.version, ok
}
