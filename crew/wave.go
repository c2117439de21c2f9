package crew

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/crew/crewpb"
)

// sourcedLoad is a load with the key of the peer that sent it, or 0 for a load from
// this instance's own outbox.
type sourcedLoad struct {
	serverLoad
	source uint32
}

// wave collects the messages of the children until they are sent to the parent, and
// delivers the result to the children.
type wave struct {
	mu            sync.Mutex
	expected      map[uint32]bool // nil until expect is called
	arrived       map[uint32]uint32
	loads         []sourcedLoad
	present       []uint32
	contacts      map[string]int64
	membersDiffer bool
	closed        bool
	isGathered    bool
	gathered      chan struct{} // closed once all expected children have arrived
	done          chan struct{} // closed once result is set
	result        *result
}

// result is the outcome of a wave.
type result struct {
	loads    []sourcedLoad
	contacts map[string]int64
	// membersAgree is set if all instances of the wave expect the same members. Then
	// absent and membersSum are used, otherwise present.
	membersAgree bool
	absent       []uint32
	present      []uint32
	membersSum   uint32
}

func newWave() *wave {
	return &wave{
		arrived:  map[uint32]uint32{},
		contacts: map[string]int64{},
		gathered: make(chan struct{}),
		done:     make(chan struct{}),
	}
}

// add merges a child's message. It returns false if the wave has already been sent to
// the parent.
func (w *wave) add(g *crewpb.Gossip) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.membersDiffer = w.membersDiffer || g.GetViewsDiffer()
	w.present = append(w.present, g.GetPresent()...)
	for _, l := range loadsFromProto(g) {
		w.loads = append(w.loads, sourcedLoad{
			serverLoad: l,
			source:     g.GetSender(),
		})
	}
	mergeContacts(w.contacts, contactsFromProto(g))
	w.arrived[g.GetSender()] = g.GetMembersSum()
	w.closeIfGathered()
	return true
}

// expect sets the children to wait for.
func (w *wave) expect(children map[uint32]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expected = children
	w.closeIfGathered()
}

func (w *wave) closeIfGathered() {
	if w.expected == nil || w.isGathered {
		return
	}
	for key := range w.expected {
		if _, ok := w.arrived[key]; !ok {
			return
		}
	}
	w.isGathered = true
	close(w.gathered)
}

// close stops accepting messages and returns what the children sent together with this
// instance's own outbox.
func (w *wave) close(self, membersSum uint32, own outbox) *result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, l := range own.loads {
		w.loads = append(w.loads, sourcedLoad{
			serverLoad: l,
		})
	}
	mergeContacts(w.contacts, own.contacts)
	w.present = append(w.present, self)
	for _, childSum := range w.arrived {
		w.membersDiffer = w.membersDiffer || childSum != membersSum
	}
	return &result{
		loads:        slices.Clone(w.loads),
		contacts:     maps.Clone(w.contacts),
		membersAgree: !w.membersDiffer,
		present:      slices.Clone(w.present),
		membersSum:   membersSum,
	}
}

// finish delivers the result to the waiting children.
func (w *wave) finish(r *result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.result = r
	close(w.done)
}

// loadsFor returns the loads of a result except for those that the child itself sent.
func (r *result) loadsFor(child uint32) []serverLoad {
	loads := make([]serverLoad, 0, len(r.loads))
	for _, l := range r.loads {
		if l.source != child {
			loads = append(loads, l.serverLoad)
		}
	}
	return loads
}

// computeAbsent returns the root's result with absent set to the members that did not
// take part.
func (r *result) computeAbsent(members []*Instance) *result {
	if !r.membersAgree {
		return r
	}
	next := *r
	present := make(map[uint32]bool, len(r.present))
	for _, key := range r.present {
		present[key] = true
	}
	for _, i := range members {
		if key := Key(i.ID); !present[key] {
			next.absent = append(next.absent, key)
		}
	}
	return &next
}

// withReply returns the result combined with the parent's reply.
func (r *result) withReply(parent uint32, g *crewpb.Gossip) *result {
	next := *r
	next.loads = slices.Clone(r.loads)
	for _, l := range loadsFromProto(g) {
		next.loads = append(next.loads, sourcedLoad{
			serverLoad: l,
			source:     parent,
		})
	}
	next.contacts = contactsFromProto(g)
	mergeContacts(next.contacts, r.contacts)
	next.membersAgree = g.GetWhole()
	next.absent = g.GetAbsent()
	next.present = g.GetPresent()
	next.membersSum = g.GetMembersSum()
	return &next
}

// loadsEvent returns the loads of the wave as an event.
func (r *result) loadsEvent(now time.Time) RecordsReceived {
	e := RecordsReceived{
		At:    now,
		loads: make([]serverLoad, 0, len(r.loads)),
	}
	for _, l := range r.loads {
		e.loads = append(e.loads, l.serverLoad)
	}
	return e
}

// participants returns the keys of the instances that took part, or nil if this
// instance cannot tell because it expects other members.
func (r *result) participants(t tree) []uint32 {
	if !r.membersAgree {
		return r.present
	}
	if r.membersSum != t.membersSum() {
		return nil
	}
	var keys []uint32
	for _, i := range t.members {
		if key := Key(i.ID); !slices.Contains(r.absent, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func mergeContacts(into, from map[string]int64) {
	for dataCentre, at := range from {
		into[dataCentre] = max(into[dataCentre], at)
	}
}
