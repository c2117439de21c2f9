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

// forwardedHeaders lists the request headers that are sent to a plain service.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// service forwards a call to a plain service.
func (h *Handler) service(w http.ResponseWriter, r *http.Request, x Exchange) {
	name, path := r.PathValue("service"), "/"+r.PathValue("path")
	call, ok := x.Index.Call(name, r.Method, path)
	if !ok {
		h.reject(w, x, receipt.CodeNotFound, fmt.Errorf("service %q has no call %s %s", name, r.Method, path))
		return
	}
	if !x.Caller.AllowsService(name) {
		h.reject(w, x, receipt.CodeForbidden, fmt.Errorf("caller may not use service %q", name))
		return
	}
	body, ok := h.readBody(w, r, x)
	if !ok {
		return
	}
	class := callClass(call)
	ctx, cancel := context.WithTimeout(r.Context(), h.callTimeout(call))
	defer cancel()
	permit, reason := h.deps.Admission.Admit(ctx, AdmissionRequest{
		Request: x.ID,
		Caller:  x.Caller,
		Class:   class,
	})
	if permit == nil {
		h.writeError(w, x, reason, NotRun)
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
		Header:  copyForwardedHeaders(r.Header),
		Body:    body,
		Key:     r.Header.Get(workshop.HeaderIdempotencyKey),
	})
	h.writeOutcome(w, x, class, outcome)
}

func callClass(call *plan.Call) string {
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

func copyForwardedHeaders(source http.Header) http.Header {
	header := http.Header{}
	for _, name := range forwardedHeaders {
		if values := source.Values(name); len(values) > 0 {
			header[name] = values
		}
	}
	return header
}

// writeOutcome writes a complete answer or an error response.
func (h *Handler) writeOutcome(w http.ResponseWriter, x Exchange, class string, outcome receipt.Outcome) {
	answer, ok := outcome.(receipt.Answered)
	if !ok {
		h.writeOutcomeError(w, x, outcome)
		return
	}
	h.recordAnswered(x, class)
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.Header().Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
