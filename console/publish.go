package console

import (
	"context"
	"net/http"
	"strings"

	"github.com/balsamlock/balsamlock/plan"
)

// showReview shows the changes from the accepted document to the draft.
func (e *editRequest) showReview() {
	e.console.refresh(e.r.Context())
	snapshot := e.console.deps.Follower.State().Snapshot()
	e.page.Title = "Review the changes"
	e.page.Accepted = snapshot.Newest()
	e.page.Changes = plan.Diff(snapshot.Document, e.document)
	e.page.Findings = e.document.Check()
	e.page.RecordID = plan.NewRecordID()
	if e.document.Base != snapshot.Newest().Digest {
		e.page.CanRebase = true
		e.page.Alert = true
		e.page.Message = "Another document has been accepted since this edit began, so this draft was not published and cannot be published as it is. The changes below are relative to the accepted document."
	}
	e.render(http.StatusOK, pageReview)
}

// rebase applies the changes of the draft to the accepted document. If the base of the
// draft cannot be read from the log, the changes cannot be determined, and the draft
// replaces the accepted document as a whole.
func (e *editRequest) rebase() {
	ctx, cancel := context.WithTimeout(e.r.Context(), e.console.deps.Config.publishTimeout())
	defer cancel()
	snapshot := e.console.deps.Follower.State().Snapshot()
	base, err := plan.Fetch(ctx, e.console.deps.Log, snapshot.History, e.document.Base)
	if err != nil {
		e.document = e.document.WithBase(snapshot.Newest().Digest)
		e.page.Alert = true
		e.page.Message = "The document on which this draft is based can no longer be read, so the draft replaces the accepted document as a whole. Check every change below: some may revert changes by another operator."
		e.showReview()
		return
	}
	merged, conflicts := plan.Merge(base, e.document, snapshot.Document)
	e.document = merged.WithBase(snapshot.Newest().Digest)
	e.page.Message = "Your changes have been applied to the accepted document."
	if len(conflicts) > 0 {
		e.page.Alert = true
		e.page.Message = "Your changes have been applied to the accepted document. Another operator also changed these entries, and your version would replace theirs: " + strings.Join(conflicts, ", ") + "."
	}
	e.showReview()
}

func (e *editRequest) publish() {
	e.publishWith((*plan.Publisher).PublishAs)
}

// resumePublish determines the outcome of a publication whose outcome was unknown.
func (e *editRequest) resumePublish() {
	e.publishWith((*plan.Publisher).Resume)
}

type publishFunc func(p *plan.Publisher, ctx context.Context, recordID string, document plan.Document) plan.Outcome

func (e *editRequest) publishWith(publish publishFunc) {
	ctx, cancel := context.WithTimeout(e.r.Context(), e.console.deps.Config.publishTimeout())
	defer cancel()
	e.page.RecordID = e.r.PostForm.Get("record_id")
	if e.page.RecordID == "" {
		e.console.renderError(e.w, e.page, http.StatusBadRequest, "The form contains no record id. Review the changes again.")
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

func (e *editRequest) showPublished(outcome plan.Published) {
	e.page = e.console.withDocumentStatus(e.r, e.page)
	e.page.Title = "Accepted"
	e.page.Outcome = "accepted"
	e.page.Accepted = outcome.Accepted
	e.page.Message = "The document has been accepted."
	e.render(http.StatusOK, pageOutcome)
}

func (e *editRequest) showRefused(refused plan.Refused) {
	switch refused.Reason {
	case plan.RefusedBaseMoved:
		// The review page reports that the base has changed.
		e.showReview()
	case plan.RefusedInvalid:
		e.page.Alert = true
		e.page.Message = "Not published: the document has findings."
		e.showReview()
	default:
		e.page.Title = "Not published"
		e.page.Outcome = "refused"
		e.page.Alert = true
		e.page.Message = "Not published: the platform's log was unavailable, and nothing was sent. This page keeps your draft."
		e.render(http.StatusServiceUnavailable, pageOutcome)
	}
}

func (e *editRequest) showUnresolved(outcome plan.Unresolved) {
	e.page.Title = "Outcome unknown"
	e.page.Outcome = "unknown"
	e.page.Alert = true
	e.page.CanAsk = true
	e.page.RecordID = outcome.RecordID
	e.page.Message = "The platform did not respond in time. The document may have been accepted, or may still be accepted later."
	e.render(http.StatusGatewayTimeout, pageOutcome)
}
