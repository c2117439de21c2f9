package counter

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/receipt"
	"github.com/balsamlock/balsamlock/workshop"
)

// passedHeaders are the request headers that a plain service gets to see.
var passedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// service passes a call on to a plain service.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, x Exchange) {
	name, path := r.PathValue("service"), "/"+r.PathValue("path")
	call, ok := x.Index.Call(name, r.Method, path)
	if !ok {
		h.invalid(w, x, receipt.CodeNotFound, fmt.Errorf("service %q has no call %s %s", name, r.Method, path))
		return
	}
	if !x.Caller.AllowsService(name) {
		h.invalid(w, x, receipt.CodeForbidden, fmt.Errorf("caller may not use service %q", name))
		return
	}
	body, ok := h.body(w, r, x)
	if !ok {
		return
	}
	class := classOf(call)
	ctx, cancel := context.WithTimeout(r.Context(), h.callTimeout(call))
	defer cancel()
	permit, reason := h.deps.Admission.Admit(ctx, AdmissionRequest{
		Request: x.ID,
		Caller:  x.Caller,
		Class:   class,
	})
	if permit == nil {
		h.refuse(w, x, reason, NotRun)
		return
	}
	defer permit.Done()
	outcome := h.deps.Services.Call(ctx, ServiceCall{
		Request: x.ID,
		Caller:  x.Caller,
		Service: name,
		Call:    call,
		Path:    path,
		Query:   r.URL.RawQuery,
		Header:  passHeaders(r.Header),
		Body:    body,
		Key:     r.Header.Get(workshop.HeaderIdempotencyKey),
	})
	h.writeOutcome(w, x, class, outcome)
}

func classOf(call *plan.Call) string {
	if call.Repeatable {
		return ClassLookup
	}
	return ClassOrder
}

func (h *Handler) callTimeout(call *plan.Call) time.Duration {
	if call.DeadlineMS > 0 {
		return time.Duration(call.DeadlineMS) * time.Millisecond
	}
	return h.deps.Config.requestTimeout()
}

func passHeaders(from http.Header) http.Header {
	header := http.Header{}
	for _, name := range passedHeaders {
		if values := from.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return header
}

// writeOutcome writes a whole answer or a refusal.
func (h *Handler) writeOutcome(w http.ResponseWriter, x Exchange, class string, outcome receipt.Outcome) {
	answer, ok := outcome.(receipt.Answered)
	if !ok {
		h.refuseOutcome(w, x, outcome)
		return
	}
	h.answered(x, class)
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
