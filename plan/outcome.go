package plan

// Outcome is the result of a publication: Published, Refused or Unresolved.
type Outcome interface{ isOutcome() }

// Published means that the document was accepted.
type Published struct {
	RecordID string
	Accepted Accepted
}

// Refused means that the document was not accepted and never will be with this
// record id and base.
type Refused struct {
	RecordID string
	Reason   RefusalReason
	Findings []Finding
	// Current identifies the newest accepted document, and Document is its
	// content.
	Current  Accepted
	Document Document
	Err      error
}

// Unresolved means that it is unknown whether the document was or will be
// accepted. Publishing it again with the same record id returns the outcome.
type Unresolved struct {
	RecordID string
	Err      error
}

func (Published) isOutcome()  {}
func (Refused) isOutcome()    {}
func (Unresolved) isOutcome() {}

// RefusalReason is the reason why a publication was refused.
type RefusalReason string

// The reasons for refusing a publication.
const (
	RefusedInvalid     RefusalReason = "invalid"
	RefusedBaseMoved   RefusalReason = "base_moved"
	RefusedUnavailable RefusalReason = "platform_unavailable"
)
