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

// ServiceConfig are the properties of a stand-in service.
type ServiceConfig struct {
	// CallMS is how long a call takes.
	CallMS int64 `json:"call_ms"`
	// MaxCalls bounds the calls in progress.
	MaxCalls int `json:"max_calls"`
}

// DefaultServiceConfig returns a service that answers fast.
func DefaultServiceConfig() ServiceConfig {
	return ServiceConfig{
		CallMS:   4,
		MaxCalls: 256,
	}
}

// ServiceAnswer is the JSON body of an answer.
type ServiceAnswer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Run counts the runs of the key, from 1.
	Run int `json:"run"`
	// Value depends on method, path, query and body only.
	Value string `json:"value"`
}

// Service is a stand-in for a plain service. It does not tell repeated keys
// apart, so that a second run shows. It is safe for concurrent use.
type Service struct {
	name   string
	cfg    ServiceConfig
	faults *Faults

	mu       sync.Mutex
	runs     map[string]int
	lookups  int
	inWork   int
	leaving  bool
	lastWork time.Time
}

// NewService returns a service of a name.
func NewService(name string, cfg ServiceConfig) *Service {
	return &Service{
		name:   name,
		cfg:    cfg,
		faults: NewFaults(),
		runs:   map[string]int{},
	}
}

// Faults returns the service's fault switches.
func (s *Service) Faults() *Faults { return s.faults }

// Runs returns the number of runs of each key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// KeylessRuns returns the number of runs without a key.
func (s *Service) KeylessRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookups
}

// SetLeaving makes the service refuse new work.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// LastNewWork returns when the service last saw new work, taken or refused.
func (s *Service) LastNewWork() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWork
}

// Call runs one call.
func (s *Service) Call(ctx context.Context, req workshop.Request) (workshop.Answer, error) {
	const call = "call"
	err := s.faults.before(ctx, call)
	if errors.Is(err, errRefused) || errors.Is(err, errOutage) {
		return workshop.Answer{}, s.notStarted(err)
	}
	if err != nil {
		return workshop.Answer{}, err
	}
	run, err := s.start(req)
	if err != nil {
		return workshop.Answer{}, err
	}
	err = sleep(ctx, time.Duration(s.cfg.CallMS)*time.Millisecond)
	s.end()
	if err != nil {
		return workshop.Answer{}, err
	}
	if err := s.faults.after(ctx, call); err != nil {
		return workshop.Answer{}, err
	}
	return s.answer(req, run)
}

func (s *Service) notStarted(err error) error {
	return &workshop.NotStartedError{
		Peer: s.name,
		Err:  err,
	}
}

func (s *Service) start(req workshop.Request) (run int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWork = time.Now()
	if s.leaving {
		return 0, s.notStarted(errors.New("the service is leaving"))
	}
	if s.inWork >= s.cfg.MaxCalls {
		return 0, s.notStarted(errors.New("too many calls in progress"))
	}
	s.inWork++
	if req.Key == "" {
		s.lookups++
		return 1, nil
	}
	s.runs[req.Key]++
	return s.runs[req.Key], nil
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inWork--
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

// ServiceValue returns the value that every stand-in service answers with.
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
		InFlight: s.inWork,
		Max:      s.cfg.MaxCalls,
		Leaving:  s.leaving,
	}
}

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("GET "+workshop.PathLoad, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.load()) })
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.SetLeaving()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/", s.serveCall)
	s.faults.route(mux)
	return withCaller(mux)
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
