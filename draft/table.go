package draft

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/ledger"
)

// draft is what the log says of one draft. Payloads stay in the log.
type draft struct {
	id       id
	accepted *draftpb.Accepted
	// owner and epoch are those of the highest epoch.
	owner string
	epoch uint64
	// result is nil while the work is not done.
	result *draftpb.Result
	// delivered is the digest of the collection that has the answer.
	delivered []byte
	// kept is the log's time of the record that carries the whole state, or of
	// the oldest one that is needed for it.
	kept time.Time
	// offset is that record's offset.
	offset ledger.Offset
	// lost is when the log was first seen to keep that record no longer.
	lost time.Time
}

// snapshot returns the whole state. A draft that is done needs no request.
func (d *draft) snapshot() *draftpb.Kept {
	accepted := proto.CloneOf(d.accepted)
	if d.result != nil {
		accepted.Request = nil
	}
	return &draftpb.Kept{
		Accepted:  accepted,
		Epoch:     d.epoch,
		Owner:     d.owner,
		Result:    d.result,
		Delivered: d.delivered,
	}
}

// advance takes what a snapshot knows of records that were not kept.
func (d *draft) advance(kept *draftpb.Kept) {
	if kept.GetEpoch() > d.epoch {
		d.epoch = kept.GetEpoch()
		d.owner = kept.GetOwner()
	}
	if d.result == nil {
		d.result = kept.GetResult()
	}
	if len(d.delivered) == 0 {
		d.delivered = kept.GetDelivered()
	}
}

// isSame tells whether a snapshot holds everything that is known.
func (d *draft) isSame(kept *draftpb.Kept) bool {
	return kept.GetEpoch() == d.epoch &&
		(kept.GetResult() != nil) == (d.result != nil) &&
		bytes.Equal(kept.GetDelivered(), d.delivered)
}

// acceptedAt is the time of the acceptance by the owner's clock.
func (d *draft) acceptedAt() time.Time { return time.UnixMilli(d.accepted.GetAt()) }

// table holds the drafts by the records read. It isn't safe for concurrent
// use.
type table struct {
	drafts map[id]*draft
	// leases holds the newest lease of each instance.
	leases map[string]lease
	// left holds the instances that gave up their lease.
	left map[string]bool
	// open counts the drafts of each caller that wait for a collection.
	open map[string]int
	// withdrawn holds the ids that stay without a draft.
	withdrawn map[id]time.Time
}

func newTable() *table {
	return &table{
		drafts:    map[id]*draft{},
		leases:    map[string]lease{},
		left:      map[string]bool{},
		open:      map[string]int{},
		withdrawn: map[id]time.Time{},
	}
}

// isOpen tells whether a draft still waits for its collection.
func (d *draft) isOpen() bool {
	return d != nil && len(d.delivered) == 0 && d.result.GetCode() == ""
}

// openCaller returns the caller of an open draft, empty for none.
func (t *table) openCaller(d id) string {
	found := t.drafts[d]
	if !found.isOpen() {
		return ""
	}
	return found.accepted.GetCaller()
}

// recount books that a draft was open for one caller and now is for another;
// empty stands for a draft that isn't open.
func (t *table) recount(before, after string) {
	if before == after {
		return
	}
	if before != "" {
		t.open[before]--
	}
	if t.open[before] <= 0 {
		delete(t.open, before)
	}
	if after != "" {
		t.open[after]++
	}
}

// knows tells whether an id has or had a draft.
func (t *table) knows(d id) bool {
	_, withdrawn := t.withdrawn[d]
	return withdrawn || t.drafts[d] != nil
}

// withdraw takes a draft back, also before its acceptance is read.
func (t *table) withdraw(d id, at time.Time) {
	if found := t.drafts[d]; found != nil && found.result != nil {
		return
	}
	delete(t.drafts, d)
	t.withdrawn[d] = at
}

func (t *table) accept(d id, accepted *draftpb.Accepted, at time.Time, offset ledger.Offset) {
	if t.knows(d) {
		return
	}
	t.drafts[d] = &draft{
		id:       d,
		accepted: accepted,
		owner:    accepted.GetOwner(),
		epoch:    1,
		kept:     at,
		offset:   offset,
	}
}

// adopt makes an instance the owner if its epoch is the next one.
func (t *table) adopt(d id, adopted *draftpb.Adopted) {
	found := t.drafts[d]
	if found == nil || found.result != nil || adopted.GetEpoch() != found.epoch+1 {
		return
	}
	found.epoch = adopted.GetEpoch()
	found.owner = adopted.GetOwner()
}

// end takes the result of the owner; a fenced one is ignored.
func (t *table) end(d id, result *draftpb.Result) bool {
	found := t.drafts[d]
	if found == nil || found.result != nil || result.GetEpoch() != found.epoch {
		return false
	}
	found.result = result
	return true
}

// deliver lets the first delivery win.
func (t *table) deliver(d id, delivered *draftpb.Delivered) {
	found := t.drafts[d]
	if found == nil || found.result == nil || len(found.delivered) > 0 {
		return
	}
	found.delivered = delivered.GetKey()
}

// keep takes a snapshot: a new draft after a start over, else only a later
// time from which the log keeps the whole state.
func (t *table) keep(d id, kept *draftpb.Kept, at time.Time, offset ledger.Offset) {
	found := t.drafts[d]
	if !t.knows(d) {
		t.drafts[d] = &draft{
			id:        d,
			accepted:  kept.GetAccepted(),
			owner:     kept.GetOwner(),
			epoch:     kept.GetEpoch(),
			result:    kept.GetResult(),
			delivered: kept.GetDelivered(),
			kept:      at,
			offset:    offset,
		}
		return
	}
	if found == nil {
		return
	}
	found.advance(kept)
	if found.isSame(kept) {
		found.accepted = kept.GetAccepted()
		found.result = kept.GetResult()
		found.kept = at
		found.offset = offset
		found.lost = time.Time{}
	}
}

// lease is the time in which an instance owns its drafts.
type lease struct {
	// at is when the renewal was read, by this instance's clock.
	at   time.Time
	span time.Duration
}

func (l lease) hasLapsed(now time.Time) bool { return now.Sub(l.at) > l.span }

func (t *table) renew(renewed *draftpb.Lease, now time.Time) {
	instance := renewed.GetInstance()
	if renewed.GetLeaving() || t.left[instance] {
		delete(t.leases, instance)
		t.left[instance] = true
		return
	}
	t.leases[instance] = lease{
		at:   now,
		span: millis(int(renewed.GetLeaseMs())),
	}
}

// live returns the instances whose lease has not lapsed.
func (t *table) live(now time.Time) []string {
	var live []string
	for instance, held := range t.leases {
		if !held.hasLapsed(now) {
			live = append(live, instance)
		}
	}
	return live
}

// restartLeases gives every instance a whole lease from now on, after a time in
// which no renewal could be read.
func (t *table) restartLeases(now time.Time) {
	for instance, held := range t.leases {
		held.at = now
		t.leases[instance] = held
	}
}

// hasLapsed tells whether an instance no longer owns drafts.
func (t *table) hasLapsed(instance string, now time.Time) bool {
	return t.left[instance] || t.leases[instance].hasLapsed(now)
}

// expire drops the drafts that were accepted before a time.
func (t *table) expire(before time.Time) {
	for instance, held := range t.leases {
		if held.at.Before(before) {
			delete(t.leases, instance)
		}
	}
	for d, found := range t.drafts {
		if found.acceptedAt().Before(before) {
			t.recount(t.openCaller(d), "")
			delete(t.drafts, d)
		}
	}
	for d, at := range t.withdrawn {
		if at.Before(before) {
			delete(t.withdrawn, d)
		}
	}
}
