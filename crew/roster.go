package crew

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// Roster is the list of backend servers in deployments where the servers register
// themselves in a registry. A server is removed from the list of placeable servers as
// soon as either the registry or the server itself reports that it is leaving.
//
// Registry entries that expire while the registry is unavailable do not prove that
// their servers are down. ExpireAt keeps such servers for a while. Readers load an
// immutable list.
//
// What a server says of itself holds for its incarnation, whether or not it is
// registered: an entry that is removed and added again does not undo it. An incarnation
// that has been succeeded does not come back: its entry may only have been written late.
type Roster struct {
	mu      sync.Mutex
	entries map[string]entry
	// newest holds the newest incarnations of servers, registered or not, by name.
	newest  map[string]newestIncarnation
	list    atomic.Pointer[[]Server]
	notices atomic.Pointer[notices]
}

// entry is one registered server.
type entry struct {
	server Server
	// until is when an expired entry is removed. It is zero while the server is
	// registered.
	until time.Time
}

// newestIncarnation is the newest incarnation of a server and when it was last registered.
type newestIncarnation struct {
	incarnation uint64
	at          time.Time
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	r := &Roster{
		entries: map[string]entry{},
		newest:  map[string]newestIncarnation{},
	}
	r.list.Store(&[]Server{})
	r.notices.Store(&notices{})
	return r
}

// Servers returns the servers that may get new work, now or after Server.PausedUntil,
// sorted by name. The slice is immutable; a change creates a new one.
func (r *Roster) Servers() []Server { return *r.list.Load() }

// FindByAddress returns the server of a service with the newest incarnation at an
// address, including leaving servers.
func (r *Roster) FindByAddress(address, service string) (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found Server
	for _, e := range r.entries {
		s := e.server
		if s.Address == address && s.Service == service && (found.Name == "" || s.Incarnation > found.Incarnation) {
			found = s
		}
	}
	return found, found.Name != ""
}

// Size returns the number of servers, including leaving and expired ones.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Put stores the state of a server as given by the registry. A server that was reported
// as leaving stays so until it is registered with a later incarnation. An entry of an
// earlier incarnation than the newest one is ignored. Put reports whether the entry has
// changed.
func (r *Roster) Put(server Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if server.Incarnation < r.newest[server.Name].incarnation {
		return false
	}
	r.noteNewestLocked(server)
	old, known := r.entries[server.Name]
	same := known && old.server.Incarnation == server.Incarnation && old.server.Address == server.Address
	if same && old.server.State == StateLeaving || r.noticeOf(server).IsLeaving() {
		server.State = StateLeaving
	}
	if server.State == StateLeaving {
		r.noteLeavingLocked(incarnationOf(server))
	}
	if same {
		server.Load = old.server.Load
	}
	server.Load.Role = server.Role
	if known && old.until.IsZero() && SameRegistration(old.server, server) {
		return false
	}
	r.entries[server.Name] = entry{server: server}
	r.publishLocked()
	return true
}

// noteNewestLocked records the incarnation of a registered server. Beyond maxNotices
// servers, the one that was registered longest ago is forgotten.
func (r *Roster) noteNewestLocked(server Server) {
	r.newest[server.Name] = newestIncarnation{
		incarnation: server.Incarnation,
		at:          time.Now(),
	}
	if len(r.newest) <= maxNotices {
		return
	}
	oldest := server.Name
	for name, n := range r.newest {
		if n.at.Before(r.newest[oldest].at) {
			oldest = name
		}
	}
	delete(r.newest, oldest)
}

// SameRegistration reports whether two servers are registered in the same way. Their loads
// and notices don't count.
func SameRegistration(a, b Server) bool {
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Service == b.Service &&
		a.Role == b.Role && a.Slots == b.Slots && a.State == b.State && a.Incarnation == b.Incarnation &&
		a.Model == b.Model && a.Version == b.Version && a.ColdUntil.Equal(b.ColdUntil)
}

// Remove removes a server that the registry no longer lists. It reports whether the
// server was known.
func (r *Roster) Remove(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.entries[name]; !known {
		return false
	}
	delete(r.entries, name)
	r.publishLocked()
	return true
}

// ExpireAt schedules the removal of a server whose registry entry disappeared while the
// registry was unavailable. Registering the server again cancels the removal.
func (r *Roster) ExpireAt(name string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[name]
	if !known || !old.until.IsZero() {
		return
	}
	old.until = until
	r.entries[name] = old
}

// RemoveExpired removes the servers whose scheduled removal time has passed and returns
// their names.
func (r *Roster) RemoveExpired(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dropped []string
	for name, e := range r.entries {
		if !e.until.IsZero() && !now.Before(e.until) {
			delete(r.entries, name)
			dropped = append(dropped, name)
		}
	}
	if len(dropped) > 0 {
		r.publishLocked()
	}
	return dropped
}

// Names returns the names of all servers, sorted.
func (r *Roster) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.entries))
}

// MarkLeaving records that an incarnation of a server is leaving, because the server
// itself said so or because another server answers at its address. It reports whether
// that is news of the registered incarnation, or of a server that is not registered.
func (r *Roster) MarkLeaving(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := serverIncarnation{
		name:        name,
		incarnation: incarnation,
	}
	if !r.noteLeavingLocked(id) {
		return false
	}
	e, known := r.entries[name]
	switch {
	case !known:
		return true
	case e.server.Incarnation != incarnation || e.server.State == StateLeaving:
		return false
	}
	e.server.State = StateLeaving
	r.entries[name] = e
	r.publishLocked()
	return true
}

// noteLeavingLocked records that an incarnation of a server is leaving, and reports
// whether that is new.
func (r *Roster) noteLeavingLocked(id serverIncarnation) bool {
	notice := r.notices.Load().of(id)
	if notice.IsLeaving() {
		return false
	}
	r.storeNoticeLocked(id, notice.WithLeaving(time.Now()))
	return true
}

// Pause records that a server has asked for no calls for a time from now on. It returns
// the end of the pause, at which this instance sends it work again: different instances
// wait a little longer by different amounts, so that they don't all return at the same
// moment. It reports whether the server was not paused before.
func (r *Roster) Pause(server Server, d time.Duration) (until time.Time, began bool) {
	now := time.Now()
	until = now.Add(d + rand.N(1+min(d/pauseSpreadDivisor, maxPauseSpread)))
	r.mu.Lock()
	defer r.mu.Unlock()
	id := incarnationOf(server)
	old := r.notices.Load().of(id)
	notice := old.WithPause(now, until)
	r.storeNoticeLocked(id, notice)
	r.publishLocked()
	return notice.PausedUntil, !now.Before(old.PausedUntil)
}

// A pause is prolonged by a random time of up to 1/pauseSpreadDivisor of its length, at
// most maxPauseSpread.
const (
	pauseSpreadDivisor = 4
	maxPauseSpread     = 2 * time.Second
)

// Admits reports whether a call may be sent to a server now. Unlike Admit, it does not
// count the call.
func (r *Roster) Admits(server Server, work Work) bool {
	_, ok := r.noticeOf(server).Admit(work, time.Now()).(Admitted)
	return ok
}

// Admit decides whether a call may be sent to a server. It must be called immediately
// before the call.
func (r *Roster) Admit(server Server, work Work) Admission {
	now := time.Now()
	admission := r.noticeOf(server).Admit(work, now)
	if admitted, ok := admission.(Admitted); !ok || !admitted.Counted {
		return admission
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	notice := r.noticeOf(server)
	admission = notice.Admit(work, now)
	if admitted, ok := admission.(Admitted); ok && admitted.Counted {
		r.storeNoticeLocked(incarnationOf(server), notice.WithPausedCall())
	}
	return admission
}

// noticeOf returns what the incarnation of a server has said.
func (r *Roster) noticeOf(server Server) Notice { return r.notices.Load().of(incarnationOf(server)) }

func (r *Roster) storeNoticeLocked(id serverIncarnation, notice Notice) {
	next := r.notices.Load().with(id, notice, time.Now())
	r.notices.Store(&next)
}

// SetLoad stores a server's own load report.
func (r *Roster) SetLoad(name string, load kiln.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[name]
	if !known {
		return
	}
	load.Role = e.server.Role
	e.server.Load = load
	r.entries[name] = e
	r.publishLocked()
}

func (r *Roster) publishLocked() {
	list := make([]Server, 0, len(r.entries))
	for _, name := range slices.Sorted(maps.Keys(r.entries)) {
		e := r.entries[name]
		if e.server.State == StateLive {
			e.server.PausedUntil = r.noticeOf(e.server).PausedUntil
			list = append(list, e.server)
		}
	}
	r.list.Store(&list)
}
