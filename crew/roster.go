package crew

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// Roster is the list of backend servers as a registry tells it, for deployments
// whose servers register themselves. The earliest bad news of a server wins: it
// is out as soon as the registry or the server itself says that it leaves.
//
// Entries that lapse while the registry is away say nothing about their
// servers; Lapse keeps them for a time. Readers load an immutable list.
type Roster struct {
	mu      sync.Mutex
	entries map[string]entry
	list    atomic.Pointer[[]Server]
}

// entry is one registered server.
type entry struct {
	server Server
	// until is when a lapsed entry is dropped, zero for one that is registered.
	until time.Time
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	r := &Roster{entries: map[string]entry{}}
	r.list.Store(&[]Server{})
	return r
}

// Servers returns the servers that may take new work, ordered by name. The slice
// is immutable; a change gives a new one.
func (r *Roster) Servers() []Server { return *r.list.Load() }

// FindByAddress returns the newest server of a service at an address, one that leaves
// included.
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

// Size returns the number of registered servers, those that leave included.
func (r *Roster) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.entries)
}

// Put records what the registry says of a server. A server that was reported as
// leaving stays so until it is registered with another incarnation. It tells
// whether anything changed that placement looks at.
func (r *Roster) Put(server Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[server.Name]
	same := known && old.server.Incarnation == server.Incarnation && old.server.Address == server.Address
	if same && old.server.State == StateLeaving {
		server.State = StateLeaving
	}
	if same {
		server.Load = old.server.Load
	}
	server.Load.Role = server.Role
	if known && old.until.IsZero() && equalServers(old.server, server) {
		return false
	}
	r.entries[server.Name] = entry{server: server}
	r.publishLocked()
	return true
}

func equalServers(a, b Server) bool {
	return a.Name == b.Name && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Service == b.Service &&
		a.Role == b.Role && a.Slots == b.Slots && a.State == b.State && a.Incarnation == b.Incarnation &&
		a.Model == b.Model && a.ColdUntil.Equal(b.ColdUntil)
}

// Remove drops a server that the registry no longer lists.
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

// ExpireAt drops a server at a later time unless it is registered again before,
// for entries that went missing while the registry was away.
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

// RemoveExpired drops the lapsed entries whose time has come and returns their names.
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

// Names returns the names of all registered servers.
func (r *Roster) Names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.entries))
}

// MarkLeaving records that a server said itself that it leaves, or that another one
// answers at its address. It tells whether that is news.
func (r *Roster) MarkLeaving(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, known := r.entries[name]
	if !known || e.server.Incarnation != incarnation || e.server.State == StateLeaving {
		return false
	}
	e.server.State = StateLeaving
	r.entries[name] = e
	r.publishLocked()
	return true
}

// SetLoad records a server's own account of its load.
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
	for _, e := range r.entries {
		if e.server.State == StateLive {
			list = append(list, e.server)
		}
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	r.list.Store(&list)
}
