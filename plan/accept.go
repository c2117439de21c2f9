package plan

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/ledger"
)

// State is the replicated state of one reader of the documents stream. It is
// immutable. Use NewState, since the zero value is not valid.
//
// The snapshot is valid as of its offset. Proposals that are read after a gap
// are deferred until a snapshot provides the document that they are based on.
type State struct {
	snapshot Snapshot
	// next is the offset of the next record to read.
	next ledger.Offset
	// deferred holds the proposals from start on that cannot be evaluated until
	// a snapshot covers start-1. It is used only while snapshot.AsOf < start-1.
	start        ledger.Offset
	deferred     []ledger.Record
	lastSnapshot lastSnapshot
}

// lastSnapshot describes the newest snapshot in the log. It determines when the
// next one is due.
type lastSnapshot struct {
	asOf ledger.Offset
	// appendedAt is the append time of the snapshot by the clock of the log.
	// Every record that a new reader needs is at least that recent.
	appendedAt time.Time
	// recordsSince is the number of records read since the snapshot.
	recordsSince int
}

// NewState returns the initial state of a reader that has read no records.
func NewState() State {
	return State{
		snapshot: Snapshot{
			AsOf:     -1,
			Document: emptyDocument(),
		},
		lastSnapshot: lastSnapshot{asOf: -1},
	}
}

// Snapshot returns the newest accepted document and its history as of the last
// evaluated record.
func (s State) Snapshot() Snapshot { return s.snapshot }

// Newest returns the identity of the newest accepted document.
func (s State) Newest() Accepted { return s.snapshot.Newest() }

// Next returns the offset of the next record to read.
func (s State) Next() ledger.Offset { return s.next }

// IsComplete reports whether every record read has been evaluated. An
// incomplete reader has missed records and waits for a snapshot.
func (s State) IsComplete() bool { return s.snapshot.AsOf >= s.start-1 }

// WithStart returns the state of a reader that restarts at an offset. The
// snapshot stays valid.
func (s State) WithStart(oldest ledger.Offset) State {
	s.start = oldest
	s.next = oldest
	s.deferred = nil
	return s
}

// ApplyRecord applies the record at the next offset. The result depends only on
// the stream: every reader that has read it up to this record, from the
// beginning or from any snapshot, gets the same result.
func ApplyRecord(s State, record ledger.Record) (State, ApplyResult) {
	knownAsOf := s.snapshot.AsOf
	s.next = record.Offset + 1
	s.lastSnapshot.recordsSince++
	decoded, err := decodeRecord(record.Payload)
	if err != nil {
		return s.advance(record.Offset), Skipped{
			Reason: ReasonMalformed,
			Err:    err,
		}
	}
	switch m := decoded.(type) {
	case snapshotRecord:
		return s.applySnapshotRecord(record, m)
	case proposal:
		if record.Offset <= knownAsOf && !mutation.Off(mutation.OffsetOrder) {
			return s, NoChange{}
		}
		if !s.IsComplete() {
			s.deferred = append(slices.Clip(s.deferred), record)
			return s, Deferred{}
		}
		return s.evaluateProposal(record.Offset, m)
	}
	return s, Skipped{Reason: ReasonMalformed}
}

// advance moves a complete reader past a record that has no effect.
func (s State) advance(offset ledger.Offset) State {
	if s.IsComplete() {
		s.snapshot.AsOf = max(s.snapshot.AsOf, offset)
	}
	return s
}

// evaluateProposal accepts the first valid proposal that is based on the newest
// accepted document.
func (s State) evaluateProposal(offset ledger.Offset, p proposal) (State, ApplyResult) {
	document, findings, err := p.decode()
	if err != nil {
		return s.advance(offset), Skipped{
			Reason:   ReasonMalformed,
			RecordID: p.id,
			Err:      err,
		}
	}
	if len(findings) > 0 {
		return s.advance(offset), Skipped{
			Reason:   ReasonInvalid,
			RecordID: p.id,
			Findings: findings,
		}
	}
	if document.Base != s.Newest().Digest && !mutation.Off(mutation.OffsetOrder) {
		return s.advance(offset), Skipped{
			Reason:   ReasonBaseMoved,
			RecordID: p.id,
		}
	}
	accepted := Accepted{
		Version:  Version(offset),
		RecordID: p.id,
		Digest:   document.Digest(),
		Base:     document.Base,
	}
	s.snapshot = Snapshot{
		AsOf:     offset,
		History:  appendHistory(s.snapshot.History, accepted),
		Document: document,
	}
	return s, ProposalAccepted{Accepted: accepted}
}

func appendHistory(history []Accepted, accepted Accepted) []Accepted {
	history = append(slices.Clip(history), accepted)
	if len(history) > historyLength {
		history = history[len(history)-historyLength:]
	}
	return history
}

func (s State) applySnapshotRecord(record ledger.Record, m snapshotRecord) (State, ApplyResult) {
	snapshot, err := decodeSnapshotHistory(m.body)
	if err != nil || snapshot.AsOf >= record.Offset {
		return s.advance(record.Offset), Skipped{
			Reason: ReasonMalformed,
			Err:    err,
		}
	}
	s.lastSnapshot = s.lastSnapshot.observe(record, snapshot.AsOf)
	// A snapshot from before this reader's start says nothing about the records
	// between them.
	if snapshot.AsOf < s.start-1 && !mutation.Off(mutation.OffsetOrder) {
		return s.advance(record.Offset), Skipped{Reason: ReasonOldSnapshot}
	}
	// The document is decoded only if the snapshot is newer than the state.
	if snapshot.AsOf <= s.snapshot.AsOf && !mutation.Off(mutation.OffsetOrder) {
		return s.advance(record.Offset), s.checkKnownSnapshot(snapshot)
	}
	snapshot, err = decodeSnapshot(m.body)
	if err != nil {
		return s.advance(record.Offset), Skipped{
			Reason: ReasonMalformed,
			Err:    err,
		}
	}
	s, result := ApplySnapshot(s, snapshot)
	return s.advance(record.Offset), result
}

// observe returns the description after a snapshot was read. A snapshot with
// other records between its offset and its own position was appended late. Its
// age counts from the time at which it was due, which isn't known, so it is
// ignored.
func (l lastSnapshot) observe(record ledger.Record, asOf ledger.Offset) lastSnapshot {
	if asOf != record.Offset-1 || asOf < l.asOf {
		return l
	}
	return lastSnapshot{
		asOf:       asOf,
		appendedAt: record.At,
	}
}

// ApplySnapshot adopts a snapshot from the log or a peer if it is newer than
// the state. It never replaces a document by an older one.
func ApplySnapshot(s State, snapshot Snapshot) (State, ApplyResult) {
	if snapshot.AsOf <= s.snapshot.AsOf && !mutation.Off(mutation.OffsetOrder) {
		return s, s.checkKnownSnapshot(snapshot)
	}
	if !mayPrecede(s.snapshot, snapshot) && !mutation.Off(mutation.OffsetOrder) {
		return s, Skipped{Reason: ReasonForeignSnapshot}
	}
	s.snapshot = snapshot
	if !s.IsComplete() {
		return s, SnapshotAdopted{Accepted: snapshot.Newest()}
	}
	deferred := s.deferred
	s.deferred = nil
	for _, record := range deferred {
		if record.Offset > s.snapshot.AsOf {
			s = s.evaluateDeferred(record)
		}
	}
	s.snapshot.AsOf = max(s.snapshot.AsOf, s.next-1)
	return s, SnapshotAdopted{Accepted: s.Newest()}
}

// checkKnownSnapshot compares a snapshot that is not newer than the state with
// the state's history.
func (s State) checkKnownSnapshot(snapshot Snapshot) ApplyResult {
	if !mayPrecede(snapshot, s.snapshot) {
		return Skipped{Reason: ReasonForeignSnapshot}
	}
	return NoChange{}
}

// evaluateDeferred evaluates a deferred proposal.
func (s State) evaluateDeferred(record ledger.Record) State {
	decoded, err := decodeRecord(record.Payload)
	if err != nil {
		return s
	}
	if p, ok := decoded.(proposal); ok {
		s, _ = s.evaluateProposal(record.Offset, p)
	}
	return s
}

// mayPrecede reports whether the newest document of known can be the same as,
// or an ancestor of, the newest document of snapshot. The history is limited,
// so an older document cannot always be verified.
func mayPrecede(known, snapshot Snapshot) bool {
	ancestor := known.Newest()
	if ancestor.Version == NoVersion {
		return true
	}
	if snapshot.Newest().Version < ancestor.Version {
		return false
	}
	if len(snapshot.History) == historyLength && snapshot.History[0].Version > ancestor.Version {
		return true
	}
	return slices.ContainsFunc(snapshot.History, func(a Accepted) bool {
		return a.Version == ancestor.Version && a.Digest == ancestor.Digest
	})
}
