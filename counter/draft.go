package counter

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/balsamlock/balsamlock/receipt"
)

// HeaderCollectKey is the request header that identifies one collection of a
// draft. A repeated collection with the same key gets the same answer.
const HeaderCollectKey = "Collect-Key"

// draftBody is the response body for an accepted draft and for a query of its
// state.
type draftBody struct {
	ID    string     `json:"id"`
	State DraftState `json:"state"`
}

// acceptDraft accepts a long-running request whose answer is collected later.
func (h *Handler) acceptDraft(w http.ResponseWriter, r *http.Request, x Exchange) {
	_, req, ok := h.readGenerationRequest(w, r, x, false, ClassDraft)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.deps.Config.requestTimeout())
	defer cancel()
	permit, reason := h.admit(ctx, x, req)
	if permit == nil {
		h.writeError(w, x, reason, NotRun)
		return
	}
	defer permit.Done()
	id, outcome := h.deps.Drafts.Accept(ctx, req)
	if id == "" {
		h.writeOutcomeError(w, x, outcome)
		return
	}
	h.deps.Metrics.Count("answered", "draft_accepted")
	w.Header().Set("Location", "/v1/drafts/"+id)
	writeJSON(w, http.StatusAccepted, draftBody{
		ID:    id,
		State: DraftPending,
	})
}

func (h *Handler) draftState(w http.ResponseWriter, r *http.Request, x Exchange) {
	id := r.PathValue("id")
	state, ok := h.deps.Drafts.State(x.callerName(), id)
	if !ok {
		h.reject(w, x, receipt.CodeNotFound, fmt.Errorf("no draft %q of this caller", id))
		return
	}
	writeJSON(w, http.StatusOK, draftBody{
		ID:    id,
		State: state,
	})
}

func (h *Handler) collectDraft(w http.ResponseWriter, r *http.Request, x Exchange) {
	key := r.Header.Get(HeaderCollectKey)
	if key == "" {
		h.reject(w, x, receipt.CodeKeyRequired, errors.New("header "+HeaderCollectKey+": a key of the caller's choice is required"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.deps.Config.requestTimeout())
	defer cancel()
	outcome := h.deps.Drafts.Collect(ctx, x.callerName(), r.PathValue("id"), key)
	h.writeOutcome(w, x, ClassDraft, outcome)
}
