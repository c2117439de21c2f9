// Package counter implements the HTTP API for callers: completions, the model
// list, plain services and drafts.
//
// Each request passes through a chain of filters. A filter either adds to the
// immutable Exchange or ends the request with an error response. The filters
// attach the current routing document, stop new requests during a shutdown and
// authenticate the caller. The handlers then admit the request, run it and write
// the response. Every error response is JSON and states whether the work was run.
//
// # Usage
//
//	handler := counter.New(counter.Deps{
//		Index:     follower.Index,
//		Admission: admission,
//		Generator: runner,
//		Services:  services,
//		Drafts:    drafts,
//		Tracker:   counter.NewRequestTracker(),
//		Metrics:   metrics.New("entry"),
//		Config:    counter.DefaultConfig(),
//	})
//	server := &http.Server{Handler: handler}
package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/receipt"
)

// The request classes used in metrics and limits. A lookup is a repeatable call
// of a plain service, an order is a non-repeatable one.
const (
	ClassCompletion = "completion"
	ClassDraft      = "draft"
	ClassLookup     = "lookup"
	ClassOrder      = "order"
)

// Config holds the settings of the callers' API.
type Config struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RequestTimeoutMS is the timeout in milliseconds of a request that has no deadline
	// of its own.
	RequestTimeoutMS int `json:"request_timeout_ms"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:     1 << 20,
		RequestTimeoutMS: 120_000,
	}
}

// Check reports invalid settings to p.
func (cfg Config) Check(p *settings.Problems) {
	p.Add(cfg.MaxBodyBytes > 0, "max_body_bytes", cfg.MaxBodyBytes, "a whole number of bytes greater than 0")
	p.Positive("request_timeout_ms", cfg.RequestTimeoutMS)
}

func (cfg Config) requestTimeout() time.Duration {
	return time.Duration(cfg.RequestTimeoutMS) * time.Millisecond
}

// AdmissionRequest describes a request that waits for admission.
type AdmissionRequest struct {
	// Request is the request ID.
	Request string
	Caller  *plan.Grant
	Class   string
	// PromptTokens and OutputTokens are the cost of the request. Both are 0 for
	// calls of plain services.
	PromptTokens int
	OutputTokens int
	// FirstToken is the target time to first token.
	FirstToken time.Duration
}

// Permit is the capacity held by an admitted request. Done releases it.
type Permit interface{ Done() }

// Admission applies the callers' limits to requests. Fair queueing is part of the
// Generator.
type Admission interface {
	// Admit blocks until the request is admitted or refused. If it is refused, the
	// permit is nil, the reason says why, and nothing was run.
	Admit(ctx context.Context, req AdmissionRequest) (Permit, receipt.Reason)
}

// Generator runs generations and passes their tokens to a sink.
type Generator interface {
	Run(ctx context.Context, req firing.Request, sink firing.Sink) firing.Result
}

// ServiceCall is one call of a plain service by a caller.
type ServiceCall struct {
	// Request is the request ID.
	Request string
	Caller  *plan.Grant
	Service string
	Call    *plan.Call
	// Path and Query are sent to the service.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, or empty if none was sent.
	Key string
}

// Services runs calls of plain services. Repeatable calls may be retried and
// hedged; all others run at most once.
type Services interface {
	Call(ctx context.Context, call ServiceCall) receipt.Outcome
}

// DraftState is the state of a draft as reported to its caller.
type DraftState string

// The states of a draft.
const (
	DraftPending   DraftState = "pending"
	DraftReady     DraftState = "ready"
	DraftCollected DraftState = "collected"
)

// Drafts accepts long-running requests whose answers are collected later, once.
type Drafts interface {
	// Accept stores the draft and returns its ID. The draft is then in the log or,
	// while the log is unavailable, in the memory of at least two instances. If the ID is
	// empty, the outcome says why the draft was not stored and whether it may run.
	Accept(ctx context.Context, req firing.Request) (id string, outcome receipt.Outcome)
	// State returns the state of a draft. It returns false if the caller has no
	// draft with this ID.
	State(caller, id string) (DraftState, bool)
	// Collect returns the answer of a draft. The key identifies the collection: a
	// repeated call with the same key gets the same answer.
	Collect(ctx context.Context, caller, id, key string) receipt.Outcome
}

// Deps holds the dependencies of a Handler.
type Deps struct {
	// Index returns the current routing document, or nil if none was loaded yet.
	Index func() *plan.Index
	// DataCentre is the data centre of this instance.
	DataCentre string
	Admission  Admission
	Generator  Generator
	Services   Services
	Drafts     Drafts
	Tracker    *RequestTracker
	Metrics    *metrics.Metrics
	Config     Config
}

// Handler serves the callers' API.
type Handler struct {
	deps Deps
	mux  *http.ServeMux
}

// New returns the handler of the callers' API.
func New(deps Deps) *Handler {
	h := &Handler{
		deps: deps,
		mux:  http.NewServeMux(),
	}
	h.handle("POST /v1/completions", h.completions)
	h.handle("POST /v1/chat/completions", h.chatCompletions)
	h.handle("GET /v1/models", h.models)
	h.handle("POST /v1/drafts", h.acceptDraft)
	h.handle("GET /v1/drafts/{id}", h.draftState)
	h.handle("POST /v1/drafts/{id}/collect", h.collectDraft)
	h.handle("/services/{service}/{path...}", h.service)
	h.handle("/", h.notFound)
	return h
}

// handle registers a handler behind the filter chain.
func (h *Handler) handle(pattern string, serve handlerFunc) {
	h.mux.Handle(pattern, h.startExchange(h.trackRequest(h.authenticate(serve))))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

var _ http.Handler = (*Handler)(nil)
