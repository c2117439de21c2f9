package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/workshop"
)

// ServiceConfig configures a stand-in service.
type ServiceConfig struct {
	// CallMS is the duration of a call.
	CallMS int64 `json:"call_ms"`
	// MaxCalls is the maximum number of calls in flight.
	MaxCalls int `json:"max_calls"`
}

// DefaultServiceConfig returns the default configuration, with short calls.
func DefaultServiceConfig() ServiceConfig {
	return ServiceConfig{
		CallMS:   4,
		MaxCalls: 256,
	}
}

// ServiceAnswer is the body of an answer.
type ServiceAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Run is the number of calls with the key so far, including this one. Without a
	// key it is 1.
	Run int `json:"run"`
	// Value is the result of ServiceValue for the request.
	Value string `json:"value"`
}

// Service is a stand-in for a plain service. It runs calls with a repeated
// idempotency key again and counts the runs, so that tests can detect a second run.
// It is safe for concurrent use.
type Service struct {
	name   string
	cfg    ServiceConfig
	faults *Faults

	mu            sync.Mutex
	runs          map[string]int
	keylessRuns   int
	inFlight      int
	leaving       bool
	lastNewWorkAt time.Time
}

// NewService returns a service with the given name.
func NewService(name string, cfg ServiceConfig) *Service {
	return &Service{
		name:   name,
		cfg:    cfg,
		faults: NewFaults(),
		runs:   map[string]int{},
	}
}

// Faults returns the service's fault rules.
func (s *Service) Faults() *Faults { return s.faults }

// Runs returns the number of runs of each idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// KeylessRuns returns the number of runs without an idempotency key.
func (s *Service) KeylessRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keylessRuns
}

// SetLeaving makes the service refuse new work.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// LastNewWork returns when the service last received new work, whether it accepted
// or refused it.
func (s *Service) LastNewWork() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastNewWorkAt
}

// Call runs a call and returns its answer.
func (s *Service) Call(ctx context.Context, req workshop.Request) (workshop.Answer, error) {
	const call = "call"
	err := s.faults.applyBefore(ctx, call)
	if errors.Is(err, errRefused) || errors.Is(err, errOutage) {
		return workshop.Answer{}, s.notStartedError(err)
	}
	if err != nil {
		return workshop.Answer{}, err
	}
	run, err := s.start(req)
	if err != nil {
		return workshop.Answer{}, err
	}
	err = sleep(ctx, time.Duration(s.cfg.CallMS)*time.Millisecond)
	s.finish()
	if err != nil {
		return workshop.Answer{}, err
	}
	if err := s.faults.applyAfter(ctx, call); err != nil {
		return workshop.Answer{}, err
	}
	return s.answer(req, run)
}

func (s *Service) notStartedError(err error) error {
	return &workshop.NotStartedError{
		Peer: s.name,
		Err:  err,
	}
}

func (s *Service) start(req workshop.Request) (run int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNewWorkAt = time.Now()
	if s.leaving {
		return 0, s.notStartedError(errors.New("the service is leaving"))
	}
	if s.inFlight >= s.cfg.MaxCalls {
		return 0, s.notStartedError(errors.New("too many calls in progress"))
	}
	s.inFlight++
	if req.Key == "" {
		s.keylessRuns++
		return 1, nil
	}
	s.runs[req.Key]++
	return s.runs[req.Key], nil
}

func (s *Service) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Service) answer(req workshop.Request, run int) (workshop.Answer, error) {
	raw, err := json.Marshal(ServiceAnswer{
		Service: s.name,
		Method:  req.Method,
		Path:    req.Path,
		Key:     req.Key,
		Run:     run,
		Value:   ServiceValue(req),
	})
	if err != nil {
		return workshop.Answer{}, err
	}
	return workshop.Answer{
		Status: http.StatusOK,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   raw,
	}, nil
}

// ServiceValue returns the value with which every stand-in service answers a
// request. It depends only on the method, path, query and body.
func ServiceValue(req workshop.Request) string {
	digest := xxhash.New()
	for _, part := range []string{req.Method, req.Path, req.Query, string(req.Body)} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

func (s *Service) load() workshop.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return workshop.LoadReport{
		At:       time.Now(),
		InFlight: s.inFlight,
		Max:      s.cfg.MaxCalls,
		Leaving:  s.leaving,
	}
}

// Handler returns an HTTP handler for the service and its test endpoints.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("GET "+workshop.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.load())
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.SetLeaving()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.serveCall)
	s.faults.handleEndpoints(mux)
	return recordCallerHost(mux)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r)
	if !ok {
		return
	}
	answer, err := s.Call(r.Context(), workshop.Request{
		Method:  r.Method,
		Path:    r.URL.Path,
		Query:   r.URL.RawQuery,
		Header:  r.Header,
		Body:    body,
		Attempt: r.Header.Get(workshop.HeaderAttempt),
		Key:     r.Header.Get(workshop.HeaderIdempotencyKey),
	})
	var notStarted *workshop.NotStartedError
	switch {
	case errors.As(err, &notStarted):
		w.Header().Set(workshop.HeaderNotStarted, "true")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", answer.Header.Get("Content-Type"))
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body)
	}
}

var _ workshop.Service = (*Service)(nil)
