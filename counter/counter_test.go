package counter_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/receipt"
)

const (
	studioKey = "studio-key-0123456789"
	rivalKey  = "rival-key-0123456789"
)

// site is a callers' API over fakes that count what they were asked.
type site struct {
	handler   *counter.Handler
	gate      *counter.RequestTracker
	outcome   receipt.Outcome
	tokens    []string
	pause     time.Duration
	mu        sync.Mutex
	generated int
	called    int
	drafts    map[string]string
}

func newSite() *site {
	s := &site{
		gate:    counter.NewRequestTracker(),
		outcome: receipt.Answered{Status: http.StatusOK},
		tokens:  []string{"lead ", "came ", "fits"},
		drafts:  map[string]string{"d1": "studio"},
	}
	index := plan.NewIndex(document())
	s.handler = counter.New(counter.Deps{
		Index:      func() *plan.Index { return index },
		DataCentre: "randstad-a",
		Admission:  s,
		Generator:  s,
		Services:   s,
		Drafts:     s,
		Tracker:    s.gate,
		Metrics:    metrics.New(""),
		Config: counter.Config{
			MaxBodyBytes:     2000,
			RequestTimeoutMS: 1000,
		},
	})
	return s
}

func document() plan.Document {
	digest := func(key string) []string {
		sum := sha256.Sum256([]byte(key))
		return []string{hex.EncodeToString(sum[:])}
	}
	return plan.Document{
		FormatVersion: plan.FormatVersion,
		Models: []plan.Model{{
			Name:            "draft-7b",
			FirstTokenMS:    460,
			PerTokenMS:      27,
			MaxPromptTokens: 400,
			MaxOutputTokens: 64,
		}},
		Services: []plan.Service{{
			Name: "workshop-desk",
			Calls: []plan.Call{{
				Name:       "panels",
				Method:     http.MethodGet,
				PathPrefix: "/panels",
				Repeatable: true,
			}},
		}},
		Callers: []plan.Caller{
			{
				Name:      "studio",
				KeySHA256: digest(studioKey),
				Models:    []string{"*"},
				Services:  []string{"*"},
			},
			{
				Name:      "rival",
				KeySHA256: digest(rivalKey),
			},
		},
	}
}

type permit struct{}

func (permit) Done() {}

func (s *site) Admit(context.Context, counter.AdmissionRequest) (counter.Permit, receipt.Reason) {
	return permit{}, receipt.Reason{}
}

func (s *site) Run(ctx context.Context, req firing.Request, sink firing.Sink) firing.Result {
	s.mu.Lock()
	s.generated++
	s.mu.Unlock()
	if s.pause > 0 {
		select {
		case <-time.After(s.pause):
		case <-ctx.Done():
		}
	}
	for i, text := range s.tokens {
		frame := kiln.Frame{
			Attempt: req.ID,
			Index:   i,
			Text:    text,
		}
		if sink.Token(frame) != nil {
			break
		}
	}
	return firing.Result{
		Outcome: s.outcome,
		Finish:  "stop",
	}
}

func (s *site) Call(context.Context, counter.ServiceCall) receipt.Outcome {
	s.called++
	return receipt.Answered{
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        []byte(`{"panel":7}`),
	}
}

func (s *site) Accept(context.Context, firing.Request) (string, receipt.Outcome) { return "d1", nil }

func (s *site) State(caller, id string) (counter.DraftState, bool) {
	return counter.DraftReady, s.drafts[id] == caller
}

func (s *site) Collect(_ context.Context, caller, id, _ string) receipt.Outcome {
	if s.drafts[id] != caller {
		return receipt.NewAttempt(id).Refuse(receipt.Reason{
			Code: receipt.CodeNotFound,
			Step: receipt.StepDeliver,
		})
	}
	delete(s.drafts, id)
	return receipt.Answered{Status: http.StatusOK}
}

func (s *site) do(method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set(counter.HeaderCollectKey, "k")
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w
}

func detail(c *qt.C, w *httptest.ResponseRecorder) counter.ErrorDetail {
	var body counter.ErrorBody
	c.Assert(json.Unmarshal(w.Body.Bytes(), &body), qt.IsNil, qt.Commentf("%s", w.Body))
	return body.Error
}

// refusals lists requests and what they get: name | request | key | body | status | code.
const refusals = `
no key                      | POST /v1/completions                         |        | {}                                      | 401 | unauthorized
unknown key                 | POST /v1/completions                         | nobody | {}                                      | 401 | unauthorized
unknown key, unknown page   | GET /nothing                                 | nobody |                                         | 401 | unauthorized
unknown page                | GET /nothing                                 | studio |                                         | 404 | not_found
body too long               | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"LONG"}    | 413 | too_large
prompt too long             | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"WIDE"}    | 413 | too_large
output too long             | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","max_tokens":65} | 413 | too_large
not JSON                    | POST /v1/completions                         | studio | {"model                                 | 400 | invalid_request
no output                   | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","max_tokens":0} | 400 | invalid_request
unsupported                 | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","n":2} | 400 | invalid_request
temperature                 | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","temperature":3} | 400 | invalid_request
no prompt                   | POST /v1/completions                         | studio | {"model":"draft-7b"}                    | 400 | invalid_request
unknown role                | POST /v1/chat/completions                    | studio | {"model":"draft-7b","messages":[{"role":"x","content":"a"}]} | 400 | invalid_request
unknown model               | POST /v1/completions                         | studio | {"model":"other","prompt":"a"}          | 404 | not_found
foreign model               | POST /v1/completions                         | rival  | {"model":"draft-7b","prompt":"a"}       | 403 | forbidden
foreign service             | GET /services/workshop-desk/panels/7         | rival  |                                         | 403 | forbidden
unknown call                | POST /services/workshop-desk/panels/7        | studio |                                         | 404 | not_found
escaping path               | GET /services/workshop-desk/panels/%2e%2e/x  | studio |                                         | 404 | not_found
foreign draft               | GET /v1/drafts/d1                            | rival  |                                         | 404 | not_found
foreign collection          | POST /v1/drafts/d1/collect                   | rival  |                                         | 404 | not_found
`

func TestRefusalsTouchNothing(t *testing.T) {
	keys := map[string]string{
		"studio": studioKey,
		"rival":  rivalKey,
		"nobody": "nobody",
	}
	bodies := strings.NewReplacer("LONG", strings.Repeat("x", 3000), "WIDE", strings.Repeat("y", 1700))
	for line := range strings.Lines(strings.TrimSpace(refusals)) {
		columns := strings.Split(line, "|")
		for i := range columns {
			columns[i] = strings.TrimSpace(columns[i])
		}
		t.Run(columns[0], func(t *testing.T) {
			c := qt.New(t)
			s := newSite()
			method, path, _ := strings.Cut(columns[1], " ")
			w := s.do(method, path, keys[columns[2]], bodies.Replace(columns[3]))
			c.Assert(strconv.Itoa(w.Code), qt.Equals, columns[4], qt.Commentf("%s", w.Body))
			got := detail(c, w)
			c.Assert(string(got.Code), qt.Equals, columns[5])
			c.Assert(got.Ran, qt.Equals, counter.NotRun)
			c.Assert(got.Request, qt.Equals, w.Header().Get(counter.HeaderRequestID))
			c.Assert([]int{s.generated, s.called, len(s.drafts)}, qt.DeepEquals, []int{0, 0, 1})
		})
	}
}

func TestCompletionWholeAndStreamed(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	w := s.do("POST", "/v1/completions", studioKey, `{"model":"draft-7b","prompt":"a","max_tokens":3}`)
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.Body.String(), qt.Contains, `"text":"lead came fits"`)
	c.Assert(w.Body.String(), qt.Contains, `"finish_reason":"stop"`)

	w = s.do("POST", "/v1/chat/completions", studioKey, `{"model":"draft-7b","messages":[{"role":"user","content":"a"}],"stream":true,"stream_options":{"include_usage":true}}`)
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.Header().Get("Content-Type"), qt.Equals, "text/event-stream")
	events := strings.Split(strings.TrimSpace(w.Body.String()), "\n\n")
	c.Assert(events, qt.HasLen, 6)
	c.Assert(events[0], qt.Contains, `"delta":{"role":"assistant","content":"lead "}`)
	c.Assert(events[3], qt.Contains, `"finish_reason":"stop"`)
	c.Assert(events[4], qt.Contains, `"completion_tokens":3`)
	c.Assert(events[5], qt.Equals, "data: [DONE]")
}

func TestCutStreamIsNeverHandedAsWhole(t *testing.T) {
	c := qt.New(t)
	s := newSite()
	s.outcome = receipt.Cut{
		Delivered: 3,
		Reason: receipt.Reason{
			Code: receipt.CodeServerFailed,
			Step: receipt.StepDecode,
			Peer: "127.0.0.1:9",
			Err:  errors.New("gone"),
		},
	}
	w := s.do("POST", "/v1/completions", studioKey, `{"model":"draft-7b","prompt":"a","stream":true}`)
	c.Assert(w.Body.String(), qt.Contains, `"code":"stream_cut"`)
	c.Assert(w.Body.String(), qt.Contains, `"delivered":3`)
	c.Assert(w.Body.String(), qt.Not(qt.Contains), "[DONE]")
	c.Assert(w.Body.String(), qt.Not(qt.Contains), "127.0.0.1:9")

	w = s.do("POST", "/v1/completions", studioKey, `{"model":"draft-7b","prompt":"a"}`)
	c.Assert(w.Code, qt.Equals, http.StatusBadGateway)
	c.Assert(detail(c, w).Ran, qt.Equals, counter.RunUnknown)
}

func TestShutdownWaitsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite()
		s.pause = 300 * time.Millisecond
		body := `{"model":"draft-7b","prompt":"a"}`
		running := make(chan *httptest.ResponseRecorder)
		go func() { running <- s.do("POST", "/v1/completions", studioKey, body) }()
		synctest.Wait()
		begin := time.Now()
		left := make(chan int64)
		go func() { left <- s.gate.Drain(t.Context()) }()
		synctest.Wait()
		refused := s.do("POST", "/v1/completions", studioKey, body)
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(detail(c, refused).Ran, qt.Equals, counter.NotRun)
		c.Assert((<-running).Code, qt.Equals, http.StatusOK)
		c.Assert(<-left, qt.Equals, int64(0))
		c.Assert(time.Since(begin), qt.Equals, s.pause)
		c.Assert(s.generated, qt.Equals, 1)
	})
}

func TestShutdownIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gate := counter.NewRequestTracker()
		c.Assert(gate.Begin(), qt.IsTrue)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(gate.Drain(ctx), qt.Equals, int64(1))
		c.Assert(gate.Begin(), qt.IsFalse)
		gate.End()
		c.Assert(gate.Active(), qt.Equals, int64(0))
	})
}
