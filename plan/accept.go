package plan

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/ledger"
)

// State is what one reader of the documents stream knows. It is immutable; the
// zero value is not of use, see NewState.
//
// The claim is true as of its offset. Records that were read behind a gap wait
// until a claim tells which document they meet.
type State struct {
	claim Snapshot
	// next is the offset of the next record of the stream.
	next ledger.Offset
	// waiting holds the proposals between start and next, which are unknown
	// until a claim covers start-1. It is of use while claim.AsOf < start-1.
	start   ledger.Offset
	waiting []ledger.Record
	kept    kept
}

// kept is the newest snapshot in the log, for the keeper.
type kept struct {
	asOf ledger.Offset
	// at is a time of the log from which the records that a fresh reader needs
	// are kept.
	at time.Time
	// records counts those read since.
	records int
}

// NewState returns the state of a reader that knows nothing.
func NewState() State {
	return State{
		claim: Snapshot{
			AsOf:     -1,
			Document: emptyDocument(),
		},
		kept: kept{asOf: -1},
	}
}

// Snapshot returns what the reader knows to be true.
func (s State) Snapshot() Snapshot { return s.claim }

// Newest returns the newest accepted document's name.
func (s State) Newest() Accepted { return s.claim.Newest() }

// Next returns the offset of the next record wanted.
func (s State) Next() ledger.Offset { return s.next }

// IsComplete tells whether every record read has been judged. A reader that
// isn't complete has missed records and waits for a snapshot.
func (s State) IsComplete() bool { return s.claim.AsOf >= s.start-1 }

// WithStart returns the state of a reader that starts over at an offset. What
// it knows stays true.
func (s State) WithStart(oldest ledger.Offset) State {
	s.start = oldest
	s.next = oldest
	s.waiting = nil
	return s
}

// Accept judges the record at the next offset. Every reader that has read the
// stream up to a record, from its start or from any snapshot on, reaches the
// same verdict about it.
func Accept(s State, record ledger.Record) (State, Verdict) {
	known := s.claim.AsOf
	s.next = record.Offset + 1
	s.kept.records++
	decoded, err := decodeRecord(record.Payload)
	if err != nil {
		return s.advance(record.Offset), PassedOver{
			Reason: ReasonRecord,
			Err:    err,
		}
	}
	switch m := decoded.(type) {
	case snapshot:
		return s.acceptSnapshot(record, m)
	case proposal:
		if record.Offset <= known && !mutation.Off(mutation.OffsetOrder) {
			return s, Known{}
		}
		if !s.IsComplete() {
			s.waiting = append(slices.Clip(s.waiting), record)
			return s, Waiting{}
		}
		return s.judge(record.Offset, m)
	}
	return s, PassedOver{Reason: ReasonRecord}
}

// advance moves a complete reader past a record without effect.
func (s State) advance(offset ledger.Offset) State {
	if s.IsComplete() {
		s.claim.AsOf = max(s.claim.AsOf, offset)
	}
	return s
}

// judge applies the rule: the first valid proposal on the current base wins.
func (s State) judge(offset ledger.Offset, p proposal) (State, Verdict) {
	document, findings, err := p.decode()
	if err != nil {
		return s.advance(offset), PassedOver{
			Reason:   ReasonRecord,
			RecordID: p.id,
			Err:      err,
		}
	}
	if len(findings) > 0 {
		return s.advance(offset), PassedOver{
			Reason:   ReasonInvalid,
			RecordID: p.id,
			Findings: findings,
		}
	}
	if document.Base != s.Newest().Digest && !mutation.Off(mutation.OffsetOrder) {
		return s.advance(offset), PassedOver{
			Reason:   ReasonBase,
			RecordID: p.id,
		}
	}
	accepted := Accepted{
		Version:  Version(offset),
		RecordID: p.id,
		Digest:   document.Digest(),
		Base:     document.Base,
	}
	s.claim = Snapshot{
		AsOf:     offset,
		History:  appendHistory(s.claim.History, accepted),
		Document: document,
	}
	return s, Taken{Accepted: accepted}
}

func appendHistory(history []Accepted, accepted Accepted) []Accepted {
	history = append(slices.Clip(history), accepted)
	if len(history) > historyLength {
		history = history[len(history)-historyLength:]
	}
	return history
}

func (s State) acceptSnapshot(record ledger.Record, m snapshot) (State, Verdict) {
	claim, err := claimWithoutDocument(m.body)
	if err != nil || claim.AsOf >= record.Offset {
		return s.advance(record.Offset), PassedOver{
			Reason: ReasonRecord,
			Err:    err,
		}
	}
	s.kept = s.kept.with(record, claim.AsOf)
	// A claim from before this reader's start says nothing about the records
	// in between.
	if claim.AsOf < s.start-1 && !mutation.Off(mutation.OffsetOrder) {
		return s.advance(record.Offset), PassedOver{Reason: ReasonOldClaim}
	}
	// The document is decoded only where it tells something new.
	if claim.AsOf <= s.claim.AsOf && !mutation.Off(mutation.OffsetOrder) {
		return s.advance(record.Offset), s.compare(claim)
	}
	claim, err = claimOf(m.body)
	if err != nil {
		return s.advance(record.Offset), PassedOver{
			Reason: ReasonRecord,
			Err:    err,
		}
	}
	s, verdict := Adopt(s, claim)
	return s.advance(record.Offset), verdict
}

// with notes a snapshot. One that was appended late, with records between its
// claim and itself, is as old as the time it was due at; that time isn't
// known, so such a snapshot doesn't count.
func (k kept) with(record ledger.Record, asOf ledger.Offset) kept {
	if asOf != record.Offset-1 || asOf < k.asOf {
		return k
	}
	return kept{
		asOf: asOf,
		at:   record.At,
	}
}

// Adopt takes a claim of a snapshot or a peer if it tells more than is known.
// A document is never replaced by an older one.
func Adopt(s State, claim Snapshot) (State, Verdict) {
	if claim.AsOf <= s.claim.AsOf && !mutation.Off(mutation.OffsetOrder) {
		return s, s.compare(claim)
	}
	if !follows(s.claim, claim) && !mutation.Off(mutation.OffsetOrder) {
		return s, PassedOver{Reason: ReasonForeignClaim}
	}
	s.claim = claim
	if !s.IsComplete() {
		return s, Adopted{Accepted: claim.Newest()}
	}
	waiting := s.waiting
	s.waiting = nil
	for _, record := range waiting {
		if record.Offset > s.claim.AsOf {
			s = s.replay(record)
		}
	}
	s.claim.AsOf = max(s.claim.AsOf, s.next-1)
	return s, Adopted{Accepted: s.Newest()}
}

// compare judges a claim that tells nothing new.
func (s State) compare(claim Snapshot) Verdict {
	if !follows(claim, s.claim) {
		return PassedOver{Reason: ReasonForeignClaim}
	}
	return Known{}
}

// replay judges a record that has waited.
func (s State) replay(record ledger.Record) State {
	decoded, err := decodeRecord(record.Payload)
	if err != nil {
		return s
	}
	if p, ok := decoded.(proposal); ok {
		s, _ = s.judge(record.Offset, p)
	}
	return s
}

// follows tells whether the document known may be an ancestor of the claimed
// one, or the same.
func follows(known, claim Snapshot) bool {
	have := known.Newest()
	if have.Version == NoVersion {
		return true
	}
	if claim.Newest().Version < have.Version {
		return false
	}
	if len(claim.History) == historyLength && claim.History[0].Version > have.Version {
		return true
	}
	return slices.ContainsFunc(claim.History, func(a Accepted) bool {
		return a.Version == have.Version && a.Digest == have.Digest
	})
}
