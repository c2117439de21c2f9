package draft

import (
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/ledger"
)

// Restart drops all drafts that were read from the log. Drafts that this instance holds
// or has loaded stay in memory and are appended again if they are not in the log.
func (m *Manager) Restart(ledger.RestartReason, ledger.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table = newTable()
	m.freshSince = time.Time{}
	for draftID, l := range m.loaded {
		if m.held[draftID] == nil {
			m.held[draftID] = newHeldDraft(l)
		}
	}
}

// newHeldDraft turns an unfinished draft that was loaded into a held one.
func newHeldDraft(l loadedDraft) *heldDraft {
	accepted := proto.CloneOf(l.accepted)
	accepted.Request = &draftpb.Blob{Inline: l.payload}
	return &heldDraft{
		accepted:     accepted,
		acceptedHere: true,
	}
}

// Apply applies the entries of one log record to the table of drafts.
func (m *Manager) Apply(entries []ledger.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, entry := range entries {
		var record draftpb.Record
		if err := proto.Unmarshal(entry.Item, &record); err != nil {
			log.Error().Str("step", "decode").Int64("offset", int64(entry.Offset)).Err(err).Msg("ignoring malformed draft record")
			continue
		}
		m.applyRecord(entry, &record)
	}
	m.wakeControl()
}

func (m *Manager) applyRecord(entry ledger.Entry, record *draftpb.Record) {
	if lease, ok := record.GetBody().(*draftpb.Record_Lease); ok {
		m.table.renewLease(lease.Lease, time.Now())
		return
	}
	if len(record.GetId()) != len(id{}) {
		return
	}
	draftID := id(record.GetId())
	before := m.table.callerIfOpen(draftID)
	defer func() { m.table.updateOpenCount(before, m.table.callerIfOpen(draftID)) }()
	switch body := record.GetBody().(type) {
	case *draftpb.Record_Accepted:
		m.table.accept(draftID, body.Accepted, entry.At, entry.Offset)
	case *draftpb.Record_Adopted:
		m.table.adopt(draftID, body.Adopted)
	case *draftpb.Record_Result:
		if !m.table.setResult(draftID, body.Result) {
			m.count("drafts", "result_ignored")
		}
	case *draftpb.Record_Delivered:
		m.table.setDelivered(draftID, body.Delivered)
	case *draftpb.Record_Withdrawn:
		m.table.withdraw(draftID, entry.At)
	case *draftpb.Record_Kept:
		m.table.applySnapshot(draftID, body.Kept, entry.At, entry.Offset)
	}
	m.cancelIfFenced(draftID)
}

// cancelIfFenced cancels this instance's run of a draft that has a result or another
// owner or epoch.
func (m *Manager) cancelIfFenced(draftID id) {
	run := m.running[draftID]
	d := m.table.drafts[draftID]
	if d == nil {
		return
	}
	ended := d.result != nil || d.owner != m.deps.Instance
	if ended {
		delete(m.loaded, draftID)
	}
	if run != nil && (ended || d.epoch != run.epoch) {
		run.cancel()
	}
}

// wakeControl makes the control loop plan without waiting for its interval.
func (m *Manager) wakeControl() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

var _ ledger.EntryHandler = (*Manager)(nil)
