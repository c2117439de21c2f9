package draft

import (
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/ledger"
)

// Restart drops the drafts read. Those that this instance holds or runs stay in
// its memory, and are offered to the log again if they are not in it.
func (d *Manager) Restart(ledger.RestartReason, ledger.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table = newTable()
	d.freshSince = time.Time{}
	for key, owned := range d.owning {
		if d.held[key] == nil {
			d.held[key] = holdAgain(owned)
		}
	}
}

// holdAgain returns an unfinished draft as one that this instance holds.
func holdAgain(owned work) *held {
	accepted := proto.CloneOf(owned.accepted)
	accepted.Request = &draftpb.Blob{Inline: owned.payload}
	return &held{
		accepted: accepted,
		own:      true,
	}
}

// Apply takes the entries of one record.
func (d *Manager) Apply(entries []ledger.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, found := range entries {
		var record draftpb.Record
		if err := proto.Unmarshal(found.Item, &record); err != nil {
			log.Error().Str("step", "decode").Int64("offset", int64(found.Offset)).Err(err).Msg("entry ignored")
			continue
		}
		d.applyRecord(found, &record)
	}
	d.poke()
}

func (d *Manager) applyRecord(found ledger.Entry, record *draftpb.Record) {
	if lease, ok := record.GetBody().(*draftpb.Record_Lease); ok {
		d.table.renew(lease.Lease, time.Now())
		return
	}
	if len(record.GetId()) != len(id{}) {
		return
	}
	key := id(record.GetId())
	before := d.table.openCaller(key)
	defer func() { d.table.recount(before, d.table.openCaller(key)) }()
	switch body := record.GetBody().(type) {
	case *draftpb.Record_Accepted:
		d.table.accept(key, body.Accepted, found.At, found.Offset)
	case *draftpb.Record_Adopted:
		d.table.adopt(key, body.Adopted)
	case *draftpb.Record_Result:
		if !d.table.end(key, body.Result) {
			d.count("drafts", "result_ignored")
		}
	case *draftpb.Record_Delivered:
		d.table.deliver(key, body.Delivered)
	case *draftpb.Record_Withdrawn:
		d.table.withdraw(key, found.At)
	case *draftpb.Record_Kept:
		d.table.keep(key, body.Kept, found.At, found.Offset)
	}
	d.fence(key)
}

// fence cancels this instance's run of a draft that is done or has another
// owner.
func (d *Manager) fence(key id) {
	run := d.running[key]
	found := d.table.drafts[key]
	if found == nil {
		return
	}
	ended := found.result != nil || found.owner != d.deps.Instance
	if ended {
		delete(d.owning, key)
	}
	if run != nil && (ended || found.epoch != run.epoch) {
		run.cancel()
	}
}

// poke wakes the control loop.
func (d *Manager) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

var _ ledger.EntryHandler = (*Manager)(nil)
