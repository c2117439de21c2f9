package crew

import (
	"maps"
	"slices"
	"strings"

	"github.com/balsamlock/balsamlock/common/rendezvous"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
)

// pollersPerServer is the number of instances that may poll one server: one that polls
// it regularly and its backups.
const pollersPerServer = 3

// builder builds the next view. It copies shared maps before it changes them.
type builder struct {
	view View
	// ownsInstances, ownsServers and ownsContacts are set when the maps are copies.
	ownsInstances bool
	ownsServers   bool
	ownsContacts  bool
	// needsIndex is set when the index must be rebuilt.
	needsIndex bool
	// changed lists the members whose state in the view has changed.
	changed []string
	// loads holds the new loads by server name.
	loads map[string]kiln.LoadReport
}

func newBuilder(v *View) *builder {
	return &builder{
		view: *v,
	}
}

func (b *builder) putInstance(r instanceRecord) {
	previous, known := b.view.instanceRecords[r.id]
	if known && previous == r {
		return
	}
	if !b.ownsInstances {
		b.view.instanceRecords = maps.Clone(b.view.instanceRecords)
		b.ownsInstances = true
	}
	b.view.instanceRecords[r.id] = r
	if !known || previous.differs(r) {
		b.needsIndex = true
		b.changed = append(b.changed, r.id)
	}
}

func (b *builder) dropInstance(id string) {
	if !b.ownsInstances {
		b.view.instanceRecords = maps.Clone(b.view.instanceRecords)
		b.ownsInstances = true
	}
	delete(b.view.instanceRecords, id)
	b.needsIndex = true
}

func (b *builder) putServer(r serverRecord) {
	previous, known := b.view.serverRecords[r.name]
	if known && previous.equal(r) {
		return
	}
	if !b.ownsServers {
		b.view.serverRecords = maps.Clone(b.view.serverRecords)
		b.ownsServers = true
	}
	b.view.serverRecords[r.name] = r
	if !known || previous.differs(r) {
		b.needsIndex = true
		b.changed = append(b.changed, r.name)
	}
}

func (b *builder) putContact(dataCentre string, at int64) {
	if at <= b.view.contacts[dataCentre] || dataCentre == b.view.self.DataCentre {
		return
	}
	if !b.ownsContacts {
		b.view.contacts = maps.Clone(b.view.contacts)
		b.ownsContacts = true
	}
	wasReachable := b.view.Reachable(dataCentre)
	b.view.contacts[dataCentre] = at
	if !wasReachable {
		b.needsIndex = true
	}
}

func (b *builder) putLoad(server string, load kiln.LoadReport) {
	if b.loads == nil {
		b.loads = map[string]kiln.LoadReport{}
	}
	b.loads[server] = load
}

// build returns the view. The builder must not be used afterwards.
func (b *builder) build() *View {
	switch {
	case b.needsIndex || b.view.index == nil:
		b.rebuild()
	case len(b.loads) > 0:
		b.view.servers = slices.Clone(b.view.servers)
		b.applyLoads()
		b.buildLookups()
	}
	return &b.view
}

func (b *builder) applyLoads() {
	for name, load := range b.loads {
		i, ok := b.view.index.servers[name]
		if !ok {
			continue
		}
		server := *b.view.servers[i]
		server.Load = load
		b.view.servers[i] = &server
	}
}

// rebuild derives the servers and the index from records and routing.
func (b *builder) rebuild() {
	v := &b.view
	previous := v.index
	loads := make(map[string]kiln.LoadReport, len(v.servers))
	for _, server := range v.servers {
		loads[server.Name] = server.Load
	}
	next := &index{
		servers:          make(map[string]int, len(v.routing.Servers)),
		serversByKey:     make(map[uint32]int, len(v.routing.Servers)),
		engines:          map[engineKey][]int{},
		services:         map[string][]int{},
		instances:        map[string][]*Instance{},
		instancesByID:    make(map[string]*Instance, len(v.instanceRecords)),
		instancesByKey:   make(map[uint32]*Instance, len(v.instanceRecords)),
		pollers:          map[string][]string{},
		pollerCandidates: map[string][]string{},
		digests:          map[string]uint64{},
	}
	v.index = next
	b.indexInstances()
	b.indexServers(loads)
	b.indexPollers(previous)
	b.applyLoads()
	b.buildLookups()
	for _, digest := range next.digests {
		next.digest ^= digest
	}
}

func (b *builder) indexInstances() {
	v, next := &b.view, b.view.index
	for _, r := range v.instanceRecords {
		i := v.instance(r)
		next.instances[i.DataCentre] = append(next.instances[i.DataCentre], i)
		next.instancesByID[i.ID] = i
		next.instancesByKey[Key(i.ID)] = i
		next.digests[i.DataCentre] ^= r.digest()
	}
	for _, list := range next.instances {
		slices.SortFunc(list, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	}
}

func (v *View) instance(r instanceRecord) *Instance {
	state := r.state()
	if !v.Reachable(r.dataCentre) {
		state = StateGone
	}
	return &Instance{
		ID:         r.id,
		Address:    r.address,
		DataCentre: r.dataCentre,
		Region:     r.region,
		State:      state,
	}
}

func (b *builder) indexServers(loads map[string]kiln.LoadReport) {
	v, next := &b.view, b.view.index
	pools := make(map[string]plan.Pool, len(v.routing.Pools))
	for _, pool := range v.routing.Pools {
		pools[pool.Name] = pool
	}
	v.servers = make([]*Server, 0, len(v.routing.Servers))
	for _, entry := range v.routing.Servers {
		server := v.server(entry, pools[entry.Pool])
		server.Load = loads[server.Name]
		v.servers = append(v.servers, server)
	}
	slices.SortFunc(v.servers, byName)
	for i, server := range v.servers {
		next.servers[server.Name] = i
		next.serversByKey[Key(server.Name)] = i
		next.add(i, server)
		next.digests[server.DataCentre] ^= v.serverRecords[server.Name].digest()
	}
}

// indexPollers ranks the pollers of those servers that this instance may have to poll.
// It reuses the ranks of the previous index if the candidates have not changed.
func (b *builder) indexPollers(previous *index) {
	v, next := &b.view, b.view.index
	for _, server := range v.servers {
		nodes, known := next.pollerCandidates[server.DataCentre]
		if !known {
			nodes = v.pollerCandidatesOf(server.DataCentre)
			next.pollerCandidates[server.DataCentre] = nodes
		}
		if !slices.Contains(nodes, v.self.ID) {
			continue
		}
		if previous != nil && slices.Equal(previous.pollerCandidates[server.DataCentre], nodes) && previous.pollers[server.Name] != nil {
			next.pollers[server.Name] = previous.pollers[server.Name]
			continue
		}
		next.pollers[server.Name] = rendezvous.Top(server.Name, nodes, pollersPerServer)
	}
}

func (x *index) add(i int, server *Server) {
	if server.State != StateLive {
		return
	}
	if server.Service != "" {
		x.services[server.Service] = append(x.services[server.Service], i)
		return
	}
	for _, role := range []kiln.Role{kiln.RolePrefill, kiln.RoleDecode, kiln.RoleBoth} {
		if server.Role != role && server.Role != kiln.RoleBoth {
			continue
		}
		key := engineKey{
			model: server.Model,
			role:  role,
		}
		x.engines[key] = append(x.engines[key], i)
	}
}

// pollerCandidatesOf returns the instances that share the polls of a data centre's
// servers: its own live instances or, if it has no instances, the live ones of its
// region. A data centre that is only partitioned from this one keeps its own pollers.
func (v *View) pollerCandidatesOf(dataCentre string) []string {
	var nodes []string
	region := ""
	if len(v.index.instances[dataCentre]) == 0 {
		region = v.RegionOf(dataCentre)
	}
	for id, r := range v.instanceRecords {
		isCandidate := r.dataCentre == dataCentre || (region != "" && r.region == region)
		if isCandidate && r.state() == StateLive {
			nodes = append(nodes, id)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (v *View) server(entry plan.Server, pool plan.Pool) *Server {
	r := v.serverRecords[entry.Name]
	server := &Server{
		Name:          entry.Name,
		Address:       entry.Address,
		DataCentre:    entry.DataCentre,
		Region:        v.RegionOf(entry.DataCentre),
		Model:         pool.Model,
		Pool:          entry.Pool,
		Role:          kiln.Role(pool.Role),
		Slots:         entry.Slots,
		Service:       entry.Service,
		ChecksFencing: entry.ChecksFencing,
		Incarnation:   r.incarnation,
		State:         r.state(),
		leavingSince:  r.leavingSince(),
	}
	if r.traits.role != "" {
		server.Role = r.traits.role
	}
	if r.traits.slots > 0 {
		server.Slots = r.traits.slots
	}
	if server.State == StateLive && v.isPartitioned(entry.DataCentre) {
		server.State = StateGone
	}
	return server
}

// isPartitioned reports whether a data centre has instances but is not reachable.
func (v *View) isPartitioned(dataCentre string) bool {
	return !v.Reachable(dataCentre) && len(v.index.instances[dataCentre]) > 0
}

// buildLookups builds the lists of servers by engine key and by service from the index.
func (b *builder) buildLookups() {
	v := &b.view
	v.engines = make(map[engineKey][]*Server, len(v.index.engines))
	for key, positions := range v.index.engines {
		v.engines[key] = serversAt(v.servers, positions)
	}
	v.services = make(map[string][]*Server, len(v.index.services))
	for key, positions := range v.index.services {
		v.services[key] = serversAt(v.servers, positions)
	}
}

func serversAt(servers []*Server, positions []int) []*Server {
	selected := make([]*Server, 0, len(positions))
	for _, i := range positions {
		selected = append(selected, servers[i])
	}
	return selected
}
