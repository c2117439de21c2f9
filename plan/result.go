package plan

// ApplyResult is the result of applying a record or snapshot: ProposalAccepted,
// Skipped, SnapshotAdopted, NoChange or Deferred.
type ApplyResult interface{ isApplyResult() }

// ProposalAccepted means that the proposed document was accepted.
type ProposalAccepted struct{ Accepted Accepted }

// Skipped means that a record or snapshot has no effect. All instances skip the
// same proposals.
type Skipped struct {
	Reason SkipReason
	// RecordID is the id of the proposal, empty if unknown.
	RecordID string
	Findings []Finding
	Err      error
}

// SnapshotAdopted means that the snapshot was newer than the state and replaced
// it.
type SnapshotAdopted struct{ Accepted Accepted }

// NoChange means that the state already covers the record or snapshot.
type NoChange struct{}

// Deferred means that the record cannot be evaluated because records before it
// are missing.
type Deferred struct{}

func (ProposalAccepted) isApplyResult() {}
func (Skipped) isApplyResult()          {}
func (SnapshotAdopted) isApplyResult()  {}
func (NoChange) isApplyResult()         {}
func (Deferred) isApplyResult()         {}

// SkipReason is the reason why a record or snapshot was skipped.
type SkipReason string

// The reasons for skipping a record or snapshot.
const (
	// ReasonMalformed means that the record could not be decoded.
	ReasonMalformed SkipReason = "record"
	// ReasonInvalid means that the document has findings.
	ReasonInvalid SkipReason = "invalid"
	// ReasonBaseMoved means that the document is not based on the newest
	// accepted one.
	ReasonBaseMoved SkipReason = "base_moved"
	// ReasonOldSnapshot means that records after the snapshot are missing.
	ReasonOldSnapshot SkipReason = "old_claim"
	// ReasonForeignSnapshot means that the snapshot does not descend from the
	// document that the reader holds.
	ReasonForeignSnapshot SkipReason = "foreign_claim"
)
