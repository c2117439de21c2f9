package crew

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
)

// LeavingDeadline is how long a backend server may still get new work after the first
// report that it is leaving.
const LeavingDeadline = 3 * time.Second

// viewLease is the maximum age of a view by which work may be assigned.
const viewLease = 2 * time.Second

type engineKey struct {
	model string
	role  kiln.Role
}

// View is an immutable snapshot of the membership. Lookups of servers do not allocate,
// and their results must not be modified. The zero value is not usable; see NewView.
type View struct {
	self    Self
	routing Routing
	// instanceRecords and serverRecords change rarely. Views share them until they
	// change.
	instanceRecords map[string]instanceRecord
	serverRecords   map[string]serverRecord
	// contacts holds the time of the last direct exchange with each other data centre,
	// in milliseconds since the epoch.
	contacts map[string]int64
	// now is the time up to which all events are applied. advanced is set when it first
	// advances.
	now      int64
	advanced bool

	index *index
	// servers is sorted by name. The positions in index refer to it.
	servers  []*Server
	engines  map[engineKey][]*Server
	services map[string][]*Server
}

// index holds what is derived from records and routing only, so that a new load does
// not require rebuilding it.
type index struct {
	servers          map[string]int
	serversByKey     map[uint32]int
	engines          map[engineKey][]int
	services         map[string][]int
	instances        map[string][]*Instance
	instancesByID    map[string]*Instance
	instancesByKey   map[uint32]*Instance
	pollers          map[string][]string
	pollerCandidates map[string][]string
	digests          map[string]uint64
	digest           uint64
}

// Self describes the instance that a view belongs to.
type Self struct {
	// ID is unique for each start of an instance.
	ID string
	// Address is the IP:port on which the instance serves its peers.
	Address    string
	DataCentre string
	Region     string
}

// Routing is the part of the routing document that lists backend servers.
type Routing struct {
	Regions []plan.Region
	Pools   []plan.Pool
	Servers []plan.Server
}

// RoutingOf returns the part of a document that lists backend servers.
func RoutingOf(document plan.Document) Routing {
	return Routing{
		Regions: document.Regions,
		Pools:   document.Pools,
		Servers: document.Servers,
	}
}

// NewView returns a view that contains only the instance itself.
func NewView(self Self, now time.Time) *View {
	b := builder{
		view: View{
			self:            self,
			instanceRecords: map[string]instanceRecord{},
			serverRecords:   map[string]serverRecord{},
			contacts:        map[string]int64{},
			now:             now.UnixMilli(),
		},
	}
	b.putInstance(instanceRecord{
		id:         self.ID,
		address:    self.Address,
		dataCentre: self.DataCentre,
		region:     self.Region,
		liveness: liveness{
			upAt: now.UnixMilli(),
		},
	})
	return b.build()
}

// Self returns the instance that the view belongs to.
func (v *View) Self() Self { return v.self }

// Engines returns the live engines for a model and role, sorted by name. Engines with
// role "both" are returned for either role. Loads may be old or missing; see
// Server.Load.
func (v *View) Engines(model string, role kiln.Role) []*Server {
	return v.engines[engineKey{
		model: model,
		role:  role,
	}]
}

// Services returns the live servers of a plain service, sorted by name.
func (v *View) Services(service string) []*Server { return v.services[service] }

// Servers returns all backend servers in any state, sorted by name.
func (v *View) Servers() []*Server { return v.servers }

// Server returns a backend server by name, in any state.
func (v *View) Server(name string) (*Server, bool) {
	i, ok := v.index.servers[name]
	if !ok {
		return nil, false
	}
	return v.servers[i], true
}

// Instances returns the entry instances of a data centre in any state, sorted by ID.
func (v *View) Instances(dataCentre string) []*Instance { return v.index.instances[dataCentre] }

// Instance returns an entry instance by ID, in any state.
func (v *View) Instance(id string) (*Instance, bool) {
	i, ok := v.index.instancesByID[id]
	return i, ok
}

// DataCentres returns the names of the data centres that have instances, sorted.
func (v *View) DataCentres() []string {
	names := make([]string, 0, len(v.index.instances))
	for name := range v.index.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Live returns the IDs of the live instances of a data centre, sorted.
func (v *View) Live(dataCentre string) []string {
	var ids []string
	for _, i := range v.index.instances[dataCentre] {
		if i.State == StateLive {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// MayPlace reports whether a backend server may get new work. It should be called
// immediately before work is assigned, on a view loaded just before. It also checks the
// invariant that no server gets work that is known to be leaving. It returns false for
// all servers while the view is stale, for example after the process was frozen.
func (v *View) MayPlace(server string) bool {
	s, ok := v.Server(server)
	if !ok || s.State != StateLive || v.isStale() {
		return false
	}
	known := !s.leavingSince.IsZero() && time.Since(s.leavingSince) > LeavingDeadline
	invariant.Check(!known, invariant.NoWorkToLeavingServer, "work for server %s, known to be leaving since %s", server, s.leavingSince)
	return true
}

// IsStale reports whether the view is too old to assign work by it, for example after
// the process was frozen.
func (v *View) IsStale() bool { return v.isStale() }

func (v *View) isStale() bool {
	return v.advanced && time.Since(time.UnixMilli(v.now)) > viewLease
}

// Reachable reports whether there was a recent direct exchange with a data centre. It
// is always true for the instance's own data centre.
func (v *View) Reachable(dataCentre string) bool {
	if dataCentre == v.self.DataCentre {
		return true
	}
	return v.now-v.contacts[dataCentre] <= contactLease.Milliseconds()
}

// Digest returns a hash of the states of all members. Equal views have equal digests.
func (v *View) Digest() uint64 { return v.index.digest }

// RegionOf returns the region of a data centre, or an empty string if it is unknown.
func (v *View) RegionOf(dataCentre string) string {
	for _, region := range v.routing.Regions {
		if slices.Contains(region.DataCentres, dataCentre) {
			return region.Name
		}
	}
	for _, i := range v.index.instances[dataCentre] {
		if i.Region != "" {
			return i.Region
		}
	}
	return ""
}

func byName(a, b *Server) int { return strings.Compare(a.Name, b.Name) }
