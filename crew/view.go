package crew

import (
	"slices"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
)

// LeavingDeadline is how long after the first news of its leaving a backend
// server may still get new work.
const LeavingDeadline = 3 * time.Second

// viewLease is how old the news in a view may be for work to be handed out.
const viewLease = 2 * time.Second

type engineKey struct {
	model string
	role  kiln.Role
}

// View is an immutable snapshot of the crew. Look-ups allocate nothing, and
// what they return must not be changed. The zero value is not ready; see
// NewView.
type View struct {
	self    Self
	routing Routing
	// records are the slow part, shared by views until they change.
	instanceRecords map[string]instanceRecord
	serverRecords   map[string]serverRecord
	// contacts is the last direct exchange with each other data centre, in
	// milliseconds since the epoch.
	contacts map[string]int64
	// now is the time up to which all news is applied; ticked is set once it
	// advances.
	now    int64
	ticked bool

	index *index
	// servers are sorted by name; positions are those of index.
	servers  []*Server
	engines  map[engineKey][]*Server
	services map[string][]*Server
}

// index is what depends on records and routing, not on loads.
type index struct {
	servers     map[string]int
	byKey       map[uint32]int
	engines     map[engineKey][]int
	services    map[string][]int
	instances   map[string][]*Instance
	instanceIDs map[string]*Instance
	instanceKey map[uint32]*Instance
	pollers     map[string][]string
	pollerNodes map[string][]string
	digests     map[string]uint64
	digest      uint64
}

// Self is the instance that a view belongs to.
type Self struct {
	// ID is unique for each start.
	ID string
	// Address is the IP:port for peers.
	Address    string
	DataCentre string
	Region     string
}

// Routing is the part of the routing document that names backend servers.
type Routing struct {
	Regions []plan.Region
	Pools   []plan.Pool
	Servers []plan.Server
}

// RoutingOf returns the part of a document that names backend servers.
func RoutingOf(document plan.Document) Routing {
	return Routing{
		Regions: document.Regions,
		Pools:   document.Pools,
		Servers: document.Servers,
	}
}

// NewView returns a view with nothing but the instance itself in it.
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
		life: life{
			upAt: now.UnixMilli(),
		},
	})
	return b.build()
}

// Self returns the instance that the view belongs to.
func (v *View) Self() Self { return v.self }

// Engines returns the live engines for a model and role, in the order of their
// names; those with role "both" are in either. Loads may be old or missing; see
// Server.Load.
func (v *View) Engines(model string, role kiln.Role) []*Server {
	return v.engines[engineKey{
		model: model,
		role:  role,
	}]
}

// Services returns the live servers of a plain service, by name.
func (v *View) Services(service string) []*Server { return v.services[service] }

// Servers returns all backend servers, whatever their state, by name.
func (v *View) Servers() []*Server { return v.servers }

// Server returns a backend server by name, whatever its state.
func (v *View) Server(name string) (*Server, bool) {
	i, ok := v.index.servers[name]
	if !ok {
		return nil, false
	}
	return v.servers[i], true
}

// Instances returns the entry instances of a data centre by id, whatever their
// state.
func (v *View) Instances(dataCentre string) []*Instance { return v.index.instances[dataCentre] }

// Instance returns an entry instance by id, whatever its state.
func (v *View) Instance(id string) (*Instance, bool) {
	i, ok := v.index.instanceIDs[id]
	return i, ok
}

// DataCentres returns the data centres that have instances, by name.
func (v *View) DataCentres() []string {
	names := make([]string, 0, len(v.index.instances))
	for name := range v.index.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Live returns the ids of the live instances of a data centre, sorted.
func (v *View) Live(dataCentre string) []string {
	var ids []string
	for _, i := range v.index.instances[dataCentre] {
		if i.State == StateLive {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// MayPlace tells whether a backend server may get new work. It is meant for the
// place where work is handed out, on a view loaded just before, and asserts
// there that no server gets work that was known to be leaving. It is false for
// all servers while the view is old, as it is when the process was frozen.
func (v *View) MayPlace(server string) bool {
	s, ok := v.Server(server)
	if !ok || s.State != StateLive || v.isOld() {
		return false
	}
	known := !s.leavingSince.IsZero() && time.Since(s.leavingSince) > LeavingDeadline
	invariant.Check(!known, invariant.NoWorkToLeaving, "work for server %s, known to be leaving since %s", server, s.leavingSince)
	return true
}

// IsStale tells whether the news in the view are too old to hand out work by them,
// as after the process was frozen.
func (v *View) IsStale() bool { return v.isOld() }

func (v *View) isOld() bool {
	return v.ticked && time.Since(time.UnixMilli(v.now)) > viewLease
}

// Reachable tells whether a data centre has been heard of directly of late.
func (v *View) Reachable(dataCentre string) bool {
	if dataCentre == v.self.DataCentre {
		return true
	}
	return v.now-v.contacts[dataCentre] <= contactLease.Milliseconds()
}

// Digest covers the states of all members; equal views have equal digests.
func (v *View) Digest() uint64 { return v.index.digest }

// RegionOf returns the region of a data centre, empty when it isn't known.
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
