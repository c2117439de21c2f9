package draft

import (
	"bytes"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/ledger"
)

// draft is the state of one draft as read from the log. Large payloads stay in the log.
type draft struct {
	id       id
	accepted *draftpb.Accepted
	// owner is the instance that owns the draft in epoch, which is the highest one
	// read.
	owner string
	epoch uint64
	// result is nil until the work is done.
	result *draftpb.Result
	// delivered is the digest of the collection key that received the answer.
	delivered []byte
	// stateAt is the log's time of the record that holds the whole state. While several
	// records make up the state, it is the time of the oldest one.
	stateAt time.Time
	// offset is the offset of that record.
	offset ledger.Offset
	// trimmedAt is when this instance first found that the log has trimmed that record.
	trimmedAt time.Time
}

// snapshot returns the whole state. It omits the request of a draft that has a result.
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

// merge adds the state that a snapshot has from records that the log may have trimmed.
func (d *draft) merge(snapshot *draftpb.Kept) {
	if snapshot.GetEpoch() > d.epoch {
		d.epoch = snapshot.GetEpoch()
		d.owner = snapshot.GetOwner()
	}
	if d.result == nil {
		d.result = snapshot.GetResult()
	}
	if len(d.delivered) == 0 {
		d.delivered = snapshot.GetDelivered()
	}
}

// isCoveredBy reports whether a snapshot holds the whole state of the draft.
func (d *draft) isCoveredBy(snapshot *draftpb.Kept) bool {
	return snapshot.GetEpoch() == d.epoch &&
		(snapshot.GetResult() != nil) == (d.result != nil) &&
		bytes.Equal(snapshot.GetDelivered(), d.delivered)
}

// acceptedAt returns the time of the acceptance by the clock of the accepting instance.
func (d *draft) acceptedAt() time.Time { return time.UnixMilli(d.accepted.GetAt()) }

// table holds the state of all drafts as read from the log. It isn't safe for
// concurrent use.
type table struct {
	drafts map[id]*draft
	// leases holds the latest lease of each instance.
	leases map[string]lease
	// departed holds the instances that have given up their lease.
	departed map[string]bool
	// open counts the open drafts of each caller.
	open map[string]int
	// withdrawn holds the ids of withdrawn drafts. Later records with these ids are
	// ignored.
	withdrawn map[id]time.Time
}

func newTable() *table {
	return &table{
		drafts:    map[id]*draft{},
		leases:    map[string]lease{},
		departed:  map[string]bool{},
		open:      map[string]int{},
		withdrawn: map[id]time.Time{},
	}
}

// isOpen reports whether a draft has neither failed nor been collected. A nil draft
// isn't open.
func (d *draft) isOpen() bool {
	return d != nil && len(d.delivered) == 0 && d.result.GetCode() == ""
}

// callerIfOpen returns the caller of an open draft, or an empty string if the draft
// isn't open.
func (t *table) callerIfOpen(draftID id) string {
	d := t.drafts[draftID]
	if !d.isOpen() {
		return ""
	}
	return d.accepted.GetCaller()
}

// updateOpenCount updates the counts of open drafts. The arguments are the results of
// callerIfOpen before and after a change of one draft.
func (t *table) updateOpenCount(before, after string) {
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

// isKnown reports whether there is a draft with this id or one was withdrawn.
func (t *table) isKnown(draftID id) bool {
	_, withdrawn := t.withdrawn[draftID]
	return withdrawn || t.drafts[draftID] != nil
}

// withdraw deletes a draft that has no result. The withdrawal may be read before the
// acceptance.
func (t *table) withdraw(draftID id, at time.Time) {
	if d := t.drafts[draftID]; d != nil && d.result != nil {
		return
	}
	delete(t.drafts, draftID)
	t.withdrawn[draftID] = at
}

func (t *table) accept(draftID id, accepted *draftpb.Accepted, at time.Time, offset ledger.Offset) {
	if t.isKnown(draftID) {
		return
	}
	t.drafts[draftID] = &draft{
		id:       draftID,
		accepted: accepted,
		owner:    accepted.GetOwner(),
		epoch:    1,
		stateAt:  at,
		offset:   offset,
	}
}

// adopt changes the owner if the epoch is the next one.
func (t *table) adopt(draftID id, adopted *draftpb.Adopted) {
	d := t.drafts[draftID]
	if d == nil || d.result != nil || adopted.GetEpoch() != d.epoch+1 {
		return
	}
	d.epoch = adopted.GetEpoch()
	d.owner = adopted.GetOwner()
}

// setResult sets the result of the current epoch and reports whether it did. Results of
// fenced owners are ignored.
func (t *table) setResult(draftID id, result *draftpb.Result) bool {
	d := t.drafts[draftID]
	if d == nil || d.result != nil || result.GetEpoch() != d.epoch {
		return false
	}
	d.result = result
	return true
}

// setDelivered records the first delivery. Later ones are ignored.
func (t *table) setDelivered(draftID id, delivered *draftpb.Delivered) {
	d := t.drafts[draftID]
	if d == nil || d.result == nil || len(d.delivered) > 0 {
		return
	}
	d.delivered = delivered.GetKey()
}

// applySnapshot adds an unknown draft, as after a restart of the reader. A known draft
// is merged with the snapshot, and if the snapshot covers its whole state, the log
// needs to retain only the snapshot.
func (t *table) applySnapshot(draftID id, snapshot *draftpb.Kept, at time.Time, offset ledger.Offset) {
	d := t.drafts[draftID]
	if !t.isKnown(draftID) {
		t.drafts[draftID] = &draft{
			id:        draftID,
			accepted:  snapshot.GetAccepted(),
			owner:     snapshot.GetOwner(),
			epoch:     snapshot.GetEpoch(),
			result:    snapshot.GetResult(),
			delivered: snapshot.GetDelivered(),
			stateAt:   at,
			offset:    offset,
		}
		return
	}
	if d == nil {
		return
	}
	d.merge(snapshot)
	if d.isCoveredBy(snapshot) {
		d.accepted = snapshot.GetAccepted()
		d.result = snapshot.GetResult()
		d.stateAt = at
		d.offset = offset
		d.trimmedAt = time.Time{}
	}
}

// lease is the period in which an instance owns its drafts.
type lease struct {
	// renewedAt is when the renewal was read, by the clock of the reading instance.
	renewedAt time.Time
	duration  time.Duration
}

func (l lease) isExpired(now time.Time) bool { return now.Sub(l.renewedAt) > l.duration }

func (t *table) renewLease(record *draftpb.Lease, now time.Time) {
	instance := record.GetInstance()
	if record.GetLeaving() || t.departed[instance] {
		delete(t.leases, instance)
		t.departed[instance] = true
		return
	}
	t.leases[instance] = lease{
		renewedAt: now,
		duration:  millis(int(record.GetLeaseMs())),
	}
}

// liveInstances returns the instances whose lease has not expired.
func (t *table) liveInstances(now time.Time) []string {
	var live []string
	for instance, l := range t.leases {
		if !l.isExpired(now) {
			live = append(live, instance)
		}
	}
	return live
}

// restartLeases extends all leases to their full duration from now. It is called after
// a period in which no renewals could be read.
func (t *table) restartLeases(now time.Time) {
	for instance, l := range t.leases {
		l.renewedAt = now
		t.leases[instance] = l
	}
}

// isLeaseExpired reports whether an instance has no valid lease, and so no longer owns
// drafts.
func (t *table) isLeaseExpired(instance string, now time.Time) bool {
	return t.departed[instance] || t.leases[instance].isExpired(now)
}

// expire drops the leases, drafts and withdrawn ids that are older than the given time.
func (t *table) expire(before time.Time) {
	for instance, l := range t.leases {
		if l.renewedAt.Before(before) {
			delete(t.leases, instance)
		}
	}
	for draftID, d := range t.drafts {
		if d.acceptedAt().Before(before) {
			t.updateOpenCount(t.callerIfOpen(draftID), "")
			delete(t.drafts, draftID)
		}
	}
	for draftID, at := range t.withdrawn {
		if at.Before(before) {
			delete(t.withdrawn, draftID)
		}
	}
}
