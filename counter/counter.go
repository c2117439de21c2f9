// Package counter is the callers' HTTP API: completions, model list, plain
// services and drafts.
//
// A request passes a chain of filters, each of which adds to an immutable
// Exchange or refuses: the gate of a shutdown, the caller's key, the routing
// document in force. The handlers behind it admit the request, run it and write
// the outcome. Every refusal is JSON and tells whether the work was run.
//
// # Usage
//
//	handler := counter.New(counter.Deps{
//		Index:     follower.Index,
//		Admission: admission,
//		Generator: runner,
//		Services:  services,
//		Drafts:    drafts,
//		Gate:      counter.NewGate(),
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

// Classes of requests in metrics and limits.
const (
	ClassCompletion = "completion"
	ClassDraft      = "draft"
	ClassLookup     = "lookup"
	ClassOrder      = "order"
)

// Config are the settings of the callers' API.
type Config struct {
	// MaxBodyBytes bounds a request's body, in bytes.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// RequestTimeoutMS bounds a request that names no deadline, in milliseconds.
	RequestTimeoutMS int `json:"request_timeout_ms"`
}

// DefaultConfig returns the settings that hold when none are given.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:     1 << 20,
		RequestTimeoutMS: 120_000,
	}
}

// Check reports wrong settings.
func (cfg Config) Check(p *settings.Problems) {
	p.Add(cfg.MaxBodyBytes > 0, "max_body_bytes", cfg.MaxBodyBytes, "a whole number of bytes greater than 0")
	p.Positive("request_timeout_ms", cfg.RequestTimeoutMS)
}

func (cfg Config) requestTimeout() time.Duration {
	return time.Duration(cfg.RequestTimeoutMS) * time.Millisecond
}

// AdmissionRequest describes a request that asks to be admitted.
type AdmissionRequest struct {
	Request string
	Caller  *plan.Grant
	Class   string
	// PromptTokens and OutputTokens are the cost, in tokens; 0 for services.
	PromptTokens int
	OutputTokens int
	// FirstToken is the time within which the request should be served.
	FirstToken time.Duration
}

// Permit is an admitted request's place. Done gives it back.
type Permit interface{ Done() }

// Admission applies limits and the fair queue.
type Admission interface {
	// Admit waits for a place. On refusal the permit is nil and the reason
	// tells why; nothing was run.
	Admit(ctx context.Context, ticket AdmissionRequest) (Permit, receipt.Reason)
}

// Generator runs generations.
type Generator interface {
	Run(ctx context.Context, req firing.Request, sink firing.Sink) firing.Result
}

// ServiceCall is one call of a plain service by a caller.
type ServiceCall struct {
	Request string
	Caller  *plan.Grant
	Service string
	Call    *plan.Call
	// Path and Query are what the service sees.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Key is the caller's idempotency key, empty if none was sent.
	Key string
}

// Services runs calls of plain services: repeatable ones with retries and
// hedges, others at most once.
type Services interface {
	Call(ctx context.Context, call ServiceCall) receipt.Outcome
}

// DraftState tells how far a draft is.
type DraftState string

// The states of a draft towards its caller.
const (
	DraftPending   DraftState = "pending"
	DraftReady     DraftState = "ready"
	DraftCollected DraftState = "collected"
)

// Drafts accepts long requests and hands out their answers once.
type Drafts interface {
	// Accept returns the draft's id once its arrival is certain.
	Accept(ctx context.Context, req firing.Request) (id string, outcome receipt.Outcome)
	// State tells how far a caller's draft is; false if it has no such draft.
	State(caller, id string) (DraftState, bool)
	// Collect returns the answer, once for each collection key.
	Collect(ctx context.Context, caller, id, key string) receipt.Outcome
}

// Deps are what the API needs.
type Deps struct {
	// Index returns the routing document in force, nil before the first.
	Index func() *plan.Index
	// DataCentre is the instance's own.
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
	h.route("POST /v1/completions", h.completions)
	h.route("POST /v1/chat/completions", h.chatCompletions)
	h.route("GET /v1/models", h.models)
	h.route("POST /v1/drafts", h.acceptDraft)
	h.route("GET /v1/drafts/{id}", h.draftState)
	h.route("POST /v1/drafts/{id}/collect", h.collectDraft)
	h.route("/services/{service}/{path...}", h.service)
	h.route("/", h.notFound)
	return h
}

func (h *Handler) route(pattern string, serve serveFunc) {
	h.mux.Handle(pattern, h.begin(h.gated(h.identified(serve))))
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

var _ http.Handler = (*Handler)(nil)
