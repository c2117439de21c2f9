package crew

import (
	"time"

	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

const (
	// instanceLease is how long an instance counts as live without being seen in a wave
	// or an exchange.
	instanceLease = 3 * time.Second
	// contactLease is how long a data centre counts as reachable without a direct
	// exchange.
	contactLease = 5 * time.Second
	// forgetAfter is how long the record of a gone instance is kept if the platform's
	// list does not contain the instance.
	forgetAfter = 2 * time.Hour
)

// Event is an input of Apply: RoutingAccepted, ListRead, LoadReported, ServerLeaving,
// InstanceLeaving, HealthChanged, RecordsReceived, InstancesSeen, DataCentreContacted
// or ClockAdvanced.
type Event interface{ isEvent() }

// RoutingAccepted is the event that a routing document became active.
type RoutingAccepted struct{ Routing Routing }

// ListRead is the event that the platform's instance list was read.
type ListRead struct {
	At        time.Time
	Instances []ledger.ListedInstance
}

// LoadReported is a backend server's own load report. Incarnation 0 in the report
// stands for the newest known one, for servers that do not report theirs.
type LoadReported struct {
	At     time.Time
	Server string
	Load   kiln.LoadReport
}

// ServerLeaving is a statement from any source, such as a refused request, that an
// incarnation of a backend server takes no new work. Incarnation 0 stands for the
// newest known one.
type ServerLeaving struct {
	At          time.Time
	Server      string
	Incarnation uint64
}

// HealthChanged is the result of health checking by a polling instance: a backend
// server went up or down.
type HealthChanged struct {
	At     time.Time
	Server string
	Up     bool
}

// RecordsReceived holds records and loads received from peers.
type RecordsReceived struct {
	At        time.Time
	instances []instanceRecord
	servers   []serverRecord
	loads     []serverLoad
}

// InstancesSeen lists the keys of instances that were seen to be up, by a wave or an
// exchange.
type InstancesSeen struct {
	At   time.Time
	Keys []uint32
}

// DataCentreContacted is the event of a direct exchange with another data centre.
type DataCentreContacted struct {
	At         time.Time
	DataCentre string
}

// ClockAdvanced moves the time of the view to Now, after all events up to then were
// applied. Instance leases do not expire while Grace is set, which is the case after
// the process was frozen.
type ClockAdvanced struct {
	Now   time.Time
	Grace bool
}

// InstanceLeaving is an instance's own announcement that it takes no new work.
type InstanceLeaving struct{ ID string }

func (RoutingAccepted) isEvent()     {}
func (InstanceLeaving) isEvent()     {}
func (ListRead) isEvent()            {}
func (LoadReported) isEvent()        {}
func (ServerLeaving) isEvent()       {}
func (HealthChanged) isEvent()       {}
func (RecordsReceived) isEvent()     {}
func (InstancesSeen) isEvent()       {}
func (DataCentreContacted) isEvent() {}
func (ClockAdvanced) isEvent()       {}

// serverLoad is a load report with the key of its server.
type serverLoad struct {
	key  uint32
	load kiln.LoadReport
}

// Apply returns the view after an event. It is a pure function: it modifies neither the
// view nor the event and does not read the clock.
func Apply(v *View, event Event) *View { return ApplyAll(v, event) }

// ApplyAll returns the view after several events. It builds the view only once.
func ApplyAll(v *View, events ...Event) *View {
	next, _ := applyAll(v, events)
	return next
}

// applyAll is like ApplyAll and also returns the names of the members whose records
// changed.
func applyAll(v *View, events []Event) (next *View, changed []string) {
	b := newBuilder(v)
	for _, event := range events {
		b.apply(event)
	}
	return b.build(), b.changed
}

func (b *builder) apply(event Event) {
	switch e := event.(type) {
	case RoutingAccepted:
		b.view.routing = e.Routing
		b.needsIndex = true
	case ListRead:
		b.applyList(e)
	case LoadReported:
		b.applyLoadReport(e)
	case ServerLeaving:
		b.applyServerLeaving(e)
	case InstanceLeaving:
		if r, ok := b.view.instanceRecords[e.ID]; ok {
			r.leaving = true
			b.putInstance(r)
		}
	case HealthChanged:
		b.applyHealth(e)
	case RecordsReceived:
		b.applyRecords(e)
	case InstancesSeen:
		b.applySeen(e)
	case DataCentreContacted:
		b.putContact(e.DataCentre, e.At.UnixMilli())
	case ClockAdvanced:
		b.applyClock(e)
	}
}

func (b *builder) serverRecordOf(name string) serverRecord {
	r, ok := b.view.serverRecords[name]
	if !ok {
		return serverRecord{
			name: name,
		}
	}
	return r
}

func (b *builder) applyList(e ListRead) {
	listed := make(map[string]bool, len(e.Instances))
	for _, entry := range e.Instances {
		if entry.Kind != ledger.KindEntry {
			b.mergeStatement(entry.Name, entry.Incarnation, entry.State == ledger.InstanceLeaving, e.At)
			continue
		}
		listed[entry.ID] = true
		b.applyListedInstance(entry, e.At.UnixMilli())
	}
	for id, r := range b.view.instanceRecords {
		if r.listed && !listed[id] {
			r.listed = false
			b.putInstance(r)
		}
	}
}

func (b *builder) applyListedInstance(entry ledger.ListedInstance, now int64) {
	r, known := b.view.instanceRecords[entry.ID]
	if !known {
		r = instanceRecord{
			id:         entry.ID,
			address:    entry.Address,
			dataCentre: entry.DataCentre,
			region:     b.view.RegionOf(entry.DataCentre),
			addedAt:    now,
		}
	}
	r.listed = true
	r.leaving = r.leaving || entry.State == ledger.InstanceLeaving
	b.putInstance(r)
}

// mergeStatement merges the state of a backend server as stated by one source.
func (b *builder) mergeStatement(name string, incarnation uint64, leaving bool, at time.Time) {
	if name == "" {
		return
	}
	r := b.serverRecordOf(name)
	if mutation.Off(mutation.LeavingWins) && !leaving && incarnation >= r.incarnation {
		r.leaving = false
	}
	r = r.merge(serverRecord{
		incarnation:        incarnation,
		leaving:            leaving,
		leavingIncarnation: incarnation,
	})
	if leaving {
		r = r.noteLeaving(incarnation, at)
	}
	b.putServer(r)
}

func (b *builder) applyLoadReport(e LoadReported) {
	if e.Load.Incarnation == 0 {
		e.Load.Incarnation = b.serverRecordOf(e.Server).incarnation
	}
	b.mergeStatement(e.Server, e.Load.Incarnation, e.Load.Leaving, e.At)
	r := b.serverRecordOf(e.Server)
	received := traitsOf(e.Load)
	if received.at > r.traits.at && !received.sameProperties(r.traits) {
		r.traits = received
		b.putServer(r)
	}
	b.updateLoad(e.Server, e.Load)
}

// updateLoad stores a load report unless a newer one is known.
func (b *builder) updateLoad(name string, load kiln.LoadReport) {
	previous, ok := b.loads[name]
	if !ok {
		i, known := b.view.index.servers[name]
		if !known {
			return
		}
		previous = b.view.servers[i].Load
	}
	if !load.At.After(previous.At) || load.Incarnation < previous.Incarnation {
		return
	}
	b.putLoad(name, load)
}

func (b *builder) applyServerLeaving(e ServerLeaving) {
	incarnation := e.Incarnation
	if incarnation == 0 {
		incarnation = b.serverRecordOf(e.Server).incarnation
	}
	b.mergeStatement(e.Server, incarnation, true, e.At)
}

func (b *builder) applyHealth(e HealthChanged) {
	r := b.serverRecordOf(e.Server)
	at := e.At.UnixMilli()
	if e.Up {
		r.liveness.upAt = max(r.liveness.upAt, at)
	} else {
		r.liveness.downAt = max(r.liveness.downAt, at)
	}
	b.putServer(r)
}

func (b *builder) applyRecords(e RecordsReceived) {
	for _, received := range e.instances {
		r, known := b.view.instanceRecords[received.id]
		if !known {
			r = received
			r.addedAt = e.At.UnixMilli()
		}
		b.putInstance(r.merge(received))
	}
	for _, received := range e.servers {
		r := b.serverRecordOf(received.name)
		if mutation.Off(mutation.LeavingWins) && !received.leaving && received.incarnation >= r.incarnation {
			r.leaving = false
		}
		r = r.merge(received)
		if received.leaving {
			r = r.noteLeaving(received.leavingIncarnation, e.At)
		}
		b.putServer(r)
	}
	for _, received := range e.loads {
		b.applyPeerLoad(received)
	}
}

// applyPeerLoad applies a load report from a peer. It fills in the fields that are not
// part of peer messages from the server's record.
func (b *builder) applyPeerLoad(received serverLoad) {
	i, ok := b.view.index.serversByKey[received.key]
	if !ok {
		return
	}
	name := b.view.servers[i].Name
	r := b.serverRecordOf(name)
	load := received.load
	load.Incarnation = r.incarnation
	load.Leaving = r.isLeaving()
	load.Role = r.traits.role
	load.Slots = r.traits.slots
	load.Pieces = r.traits.pieces
	load.Models = r.traits.models
	b.updateLoad(name, load)
}

func (b *builder) applySeen(e InstancesSeen) {
	at := e.At.UnixMilli()
	for _, key := range e.Keys {
		i, ok := b.view.index.instancesByKey[key]
		if !ok {
			continue
		}
		r := b.view.instanceRecords[i.ID]
		r.liveness.upAt = max(r.liveness.upAt, at)
		if i.ID == b.view.self.ID {
			r.liveness.upAt = max(r.liveness.upAt, r.liveness.downAt+1)
		}
		b.putInstance(r)
	}
}

// applyClock expires leases. Leases of instances in other data centres expire there.
func (b *builder) applyClock(e ClockAdvanced) {
	now := e.Now.UnixMilli()
	reachable := b.reachable()
	b.view.now = now
	b.view.advanced = true
	for dataCentre, wasReachable := range reachable {
		b.needsIndex = b.needsIndex || b.view.Reachable(dataCentre) != wasReachable
	}
	for id, r := range b.view.instanceRecords {
		b.expireInstance(id, r, now, e.Grace)
	}
}

func (b *builder) reachable() map[string]bool {
	reachable := make(map[string]bool, len(b.view.contacts))
	for dataCentre := range b.view.contacts {
		reachable[dataCentre] = b.view.Reachable(dataCentre)
	}
	return reachable
}

func (b *builder) expireInstance(id string, r instanceRecord, now int64, grace bool) {
	if id == b.view.self.ID || !b.view.Reachable(r.dataCentre) {
		return
	}
	sinceSeen := now - max(r.liveness.upAt, r.addedAt)
	if r.liveness.isDown() {
		if !r.listed && now-r.liveness.downAt > forgetAfter.Milliseconds() {
			b.dropInstance(id)
		}
		return
	}
	if r.dataCentre == b.view.self.DataCentre && sinceSeen > instanceLease.Milliseconds() && !grace {
		r.liveness.downAt = now
		b.putInstance(r)
	}
}
