package console

import (
	"context"
	"net/http"
	"strings"

	"github.com/balsamlock/balsamlock/plan"
)

// showReview shows what publishing would change.
func (e *edit) showReview() {
	e.console.refresh(e.r.Context())
	accepted := e.console.deps.Follower.State().Snapshot()
	e.page.Title = "Review the changes"
	e.page.Accepted = accepted.Newest()
	e.page.Changes = plan.Diff(accepted.Document, e.document)
	e.page.Findings = e.document.Check()
	e.page.RecordID = plan.NewRecordID()
	if e.document.Base != accepted.Newest().Digest {
		e.page.CanRebase = true
		e.page.Alert = true
		e.page.Message = "Another document has been accepted since this edit began, so this draft was not published and cannot be as it is. The changes below are against the accepted document."
	}
	e.show(http.StatusOK, pageReview)
}

// rebase puts the draft's changes on the accepted document.
func (e *edit) rebase() {
	ctx, cancel := context.WithTimeout(e.r.Context(), e.console.deps.Config.publishTimeout())
	defer cancel()
	claim := e.console.deps.Follower.State().Snapshot()
	base, err := plan.Fetch(ctx, e.console.deps.Log, claim.History, e.document.Base)
	if err != nil {
		e.document = e.document.WithBase(claim.Newest().Digest)
		e.page.Alert = true
		e.page.Message = "The document that this draft began with cannot be read any more, so the draft as a whole takes the place of the accepted one. Look at every change below: some may undo another operator's work."
		e.showReview()
		return
	}
	merged, conflicts := plan.Merge(base, e.document, claim.Document)
	e.document = merged.WithBase(claim.Newest().Digest)
	e.page.Message = "Your changes are now on top of the accepted document."
	if len(conflicts) > 0 {
		e.page.Alert = true
		e.page.Message = "Your changes are now on top of the accepted document. You and another operator both changed these entries, and yours would win: " + strings.Join(conflicts, ", ") + "."
	}
	e.showReview()
}

func (e *edit) publish() {
	e.finish((*plan.Publisher).PublishAs)
}

// ask asks again for an outcome that was unknown.
func (e *edit) ask() {
	e.finish((*plan.Publisher).Resume)
}

type publishing func(p *plan.Publisher, ctx context.Context, recordID string, document plan.Document) plan.Outcome

func (e *edit) finish(publish publishing) {
	ctx, cancel := context.WithTimeout(e.r.Context(), e.console.deps.Config.publishTimeout())
	defer cancel()
	e.page.RecordID = e.r.PostForm.Get("record_id")
	if e.page.RecordID == "" {
		e.console.fail(e.w, e.page, http.StatusBadRequest, "The form carries no record id. Review the changes again.")
		return
	}
	publisher := plan.NewPublisher(e.console.deps.Log, e.console.deps.Follower)
	switch outcome := publish(publisher, ctx, e.page.RecordID, e.document).(type) {
	case plan.Published:
		e.showPublished(outcome)
	case plan.Refused:
		e.showRefused(outcome)
	case plan.Unresolved:
		e.showUnresolved(outcome)
	}
}

func (e *edit) showPublished(outcome plan.Published) {
	e.page = e.console.withAccepted(e.r, e.page)
	e.page.Title = "Accepted"
	e.page.Outcome = "accepted"
	e.page.Accepted = outcome.Accepted
	e.page.Message = "The document has been accepted."
	e.show(http.StatusOK, pageOutcome)
}

func (e *edit) showRefused(refused plan.Refused) {
	switch refused.Reason {
	case plan.RefusedBaseMoved:
		// The review tells about the base.
		e.showReview()
	case plan.RefusedInvalid:
		e.page.Alert = true
		e.page.Message = "Not published: the document has findings."
		e.showReview()
	default:
		e.page.Title = "Not published"
		e.page.Outcome = "refused"
		e.page.Alert = true
		e.page.Message = "Not published, nothing was sent: the platform's log could not be reached. Your draft is kept in this page."
		e.show(http.StatusServiceUnavailable, pageOutcome)
	}
}

func (e *edit) showUnresolved(outcome plan.Unresolved) {
	e.page.Title = "Outcome unknown"
	e.page.Outcome = "unknown"
	e.page.Alert = true
	e.page.CanAsk = true
	e.page.RecordID = outcome.RecordID
	e.page.Message = "The platform did not answer in time. The document may have been accepted, or may be later."
	e.show(http.StatusGatewayTimeout, pageOutcome)
}
