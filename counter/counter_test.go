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

// testAPI is the callers' API on top of fake dependencies, which testAPI implements
// itself and which count their calls.
type testAPI struct {
	handler *counter.Handler
	tracker *counter.RequestTracker
	// outcome and tokens are the result of every generation, which takes runTime.
	outcome receipt.Outcome
	tokens  []string
	runTime time.Duration
	mu      sync.Mutex
	// generations and serviceCalls are the numbers of calls.
	generations  int
	serviceCalls int
	// draftCallers maps the ID of each draft to its caller.
	draftCallers map[string]string
}

func newTestAPI() *testAPI {
	api := &testAPI{
		tracker:      counter.NewRequestTracker(),
		outcome:      receipt.Answered{Status: http.StatusOK},
		tokens:       []string{"lead ", "came ", "fits"},
		draftCallers: map[string]string{"d1": "studio"},
	}
	index := plan.NewIndex(document())
	api.handler = counter.New(counter.Deps{
		Index:      func() *plan.Index { return index },
		DataCentre: "randstad-a",
		Admission:  api,
		Generator:  api,
		Services:   api,
		Drafts:     api,
		Tracker:    api.tracker,
		Metrics:    metrics.New(""),
		Config: counter.Config{
			MaxBodyBytes:     2000,
			RequestTimeoutMS: 1000,
		},
	})
	return api
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

func (a *testAPI) Admit(context.Context, counter.AdmissionRequest) (counter.Permit, receipt.Reason) {
	return permit{}, receipt.Reason{}
}

func (a *testAPI) Run(ctx context.Context, req firing.Request, sink firing.Sink) firing.Result {
	a.mu.Lock()
	a.generations++
	a.mu.Unlock()
	if a.runTime > 0 {
		select {
		case <-time.After(a.runTime):
		case <-ctx.Done():
		}
	}
	for i, text := range a.tokens {
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
		Outcome: a.outcome,
		Finish:  "stop",
	}
}

func (a *testAPI) Call(context.Context, counter.ServiceCall) receipt.Outcome {
	a.serviceCalls++
	return receipt.Answered{
		Status:      http.StatusOK,
		ContentType: "application/json",
		Body:        []byte(`{"panel":7}`),
	}
}

func (a *testAPI) Accept(context.Context, firing.Request) (string, receipt.Outcome) { return "d1", nil }

func (a *testAPI) State(caller, id string) (counter.DraftState, bool) {
	return counter.DraftReady, a.draftCallers[id] == caller
}

func (a *testAPI) Collect(_ context.Context, caller, id, _ string) receipt.Outcome {
	if a.draftCallers[id] != caller {
		return receipt.NewAttempt(id).Refuse(receipt.Reason{
			Code: receipt.CodeNotFound,
			Step: receipt.StepDeliver,
		})
	}
	delete(a.draftCallers, id)
	return receipt.Answered{Status: http.StatusOK}
}

func (a *testAPI) do(method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Header.Set(counter.HeaderCollectKey, "k")
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w
}

// decodeError returns the error in a JSON response.
func decodeError(c *qt.C, w *httptest.ResponseRecorder) counter.ErrorDetail {
	var body counter.ErrorBody
	c.Assert(json.Unmarshal(w.Body.Bytes(), &body), qt.IsNil, qt.Commentf("%s", w.Body))
	return body.Error
}

// errorCases lists requests that are answered with an error:
// name | request | key | body | status | code.
const errorCases = `
no key                      | POST /v1/completions                         |        | {}                                      | 401 | unauthorized
unknown key                 | POST /v1/completions                         | nobody | {}                                      | 401 | unauthorized
unknown key, unknown path   | GET /nothing                                 | nobody |                                         | 401 | unauthorized
unknown path                | GET /nothing                                 | studio |                                         | 404 | not_found
body too long               | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"LONG"}    | 413 | too_large
prompt too long             | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"WIDE"}    | 413 | too_large
output too long             | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","max_tokens":65} | 413 | too_large
not JSON                    | POST /v1/completions                         | studio | {"model                                 | 400 | invalid_request
max_tokens of zero          | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","max_tokens":0} | 400 | invalid_request
unsupported field           | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","n":2} | 400 | invalid_request
temperature too high        | POST /v1/completions                         | studio | {"model":"draft-7b","prompt":"a","temperature":3} | 400 | invalid_request
no prompt                   | POST /v1/completions                         | studio | {"model":"draft-7b"}                    | 400 | invalid_request
unknown role                | POST /v1/chat/completions                    | studio | {"model":"draft-7b","messages":[{"role":"x","content":"a"}]} | 400 | invalid_request
unknown model               | POST /v1/completions                         | studio | {"model":"other","prompt":"a"}          | 404 | not_found
model not allowed           | POST /v1/completions                         | rival  | {"model":"draft-7b","prompt":"a"}       | 403 | forbidden
service not allowed         | GET /services/workshop-desk/panels/7         | rival  |                                         | 403 | forbidden
unknown call                | POST /services/workshop-desk/panels/7        | studio |                                         | 404 | not_found
path traversal              | GET /services/workshop-desk/panels/%2e%2e/x  | studio |                                         | 404 | not_found
draft of another caller     | GET /v1/drafts/d1                            | rival  |                                         | 404 | not_found
collect of another's draft  | POST /v1/drafts/d1/collect                   | rival  |                                         | 404 | not_found
`

// A request that ends with an error must not reach the engines, the services or the
// drafts.
func TestErrorResponsesRunNothing(t *testing.T) {
	keys := map[string]string{
		"studio": studioKey,
		"rival":  rivalKey,
		"nobody": "nobody",
	}
	bodies := strings.NewReplacer("LONG", strings.Repeat("x", 3000), "WIDE", strings.Repeat("y", 1700))
	for line := range strings.Lines(strings.TrimSpace(errorCases)) {
		columns := strings.Split(line, "|")
		for i := range columns {
			columns[i] = strings.TrimSpace(columns[i])
		}
		t.Run(columns[0], func(t *testing.T) {
			c := qt.New(t)
			api := newTestAPI()
			method, path, _ := strings.Cut(columns[1], " ")
			w := api.do(method, path, keys[columns[2]], bodies.Replace(columns[3]))
			c.Assert(strconv.Itoa(w.Code), qt.Equals, columns[4], qt.Commentf("%s", w.Body))
			got := decodeError(c, w)
			c.Assert(string(got.Code), qt.Equals, columns[5])
			c.Assert(got.Ran, qt.Equals, counter.NotRun)
			c.Assert(got.Request, qt.Equals, w.Header().Get(counter.HeaderRequestID))
			c.Assert([]int{api.generations, api.serviceCalls, len(api.draftCallers)}, qt.DeepEquals, []int{0, 0, 1})
		})
	}
}

func TestCompletionBufferedAndStreamed(t *testing.T) {
	c := qt.New(t)
	api := newTestAPI()
	w := api.do("POST", "/v1/completions", studioKey, `{"model":"draft-7b","prompt":"a","max_tokens":3}`)
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.Body.String(), qt.Contains, `"text":"lead came fits"`)
	c.Assert(w.Body.String(), qt.Contains, `"finish_reason":"stop"`)

	w = api.do("POST", "/v1/chat/completions", studioKey, `{"model":"draft-7b","messages":[{"role":"user","content":"a"}],"stream":true,"stream_options":{"include_usage":true}}`)
	c.Assert(w.Code, qt.Equals, http.StatusOK)
	c.Assert(w.Header().Get("Content-Type"), qt.Equals, "text/event-stream")
	events := strings.Split(strings.TrimSpace(w.Body.String()), "\n\n")
	c.Assert(events, qt.HasLen, 6)
	c.Assert(events[0], qt.Contains, `"delta":{"role":"assistant","content":"lead "}`)
	c.Assert(events[3], qt.Contains, `"finish_reason":"stop"`)
	c.Assert(events[4], qt.Contains, `"completion_tokens":3`)
	c.Assert(events[5], qt.Equals, "data: [DONE]")
}

// A stream that was cut must not look like a complete answer, and its error must not
// contain the address of the backend server.
func TestCutStreamIsReportedAsError(t *testing.T) {
	c := qt.New(t)
	api := newTestAPI()
	api.outcome = receipt.Cut{
		Delivered: 3,
		Reason: receipt.Reason{
			Code: receipt.CodeServerFailed,
			Step: receipt.StepDecode,
			Peer: "127.0.0.1:9",
			Err:  errors.New("gone"),
		},
	}
	w := api.do("POST", "/v1/completions", studioKey, `{"model":"draft-7b","prompt":"a","stream":true}`)
	c.Assert(w.Body.String(), qt.Contains, `"code":"stream_cut"`)
	c.Assert(w.Body.String(), qt.Contains, `"delivered":3`)
	c.Assert(w.Body.String(), qt.Not(qt.Contains), "[DONE]")
	c.Assert(w.Body.String(), qt.Not(qt.Contains), "127.0.0.1:9")

	w = api.do("POST", "/v1/completions", studioKey, `{"model":"draft-7b","prompt":"a"}`)
	c.Assert(w.Code, qt.Equals, http.StatusBadGateway)
	c.Assert(decodeError(c, w).Ran, qt.Equals, counter.RunUnknown)
}

// A shutdown refuses new requests as not run and waits for those in progress.
func TestShutdownDrainsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		api := newTestAPI()
		api.runTime = 300 * time.Millisecond
		body := `{"model":"draft-7b","prompt":"a"}`
		response := make(chan *httptest.ResponseRecorder)
		go func() { response <- api.do("POST", "/v1/completions", studioKey, body) }()
		synctest.Wait()
		begin := time.Now()
		remaining := make(chan int64)
		go func() { remaining <- api.tracker.Drain(t.Context()) }()
		synctest.Wait()
		refused := api.do("POST", "/v1/completions", studioKey, body)
		c.Assert(refused.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(decodeError(c, refused).Ran, qt.Equals, counter.NotRun)
		c.Assert((<-response).Code, qt.Equals, http.StatusOK)
		c.Assert(<-remaining, qt.Equals, int64(0))
		c.Assert(time.Since(begin), qt.Equals, api.runTime)
		c.Assert(api.generations, qt.Equals, 1)
	})
}

// Drain returns when its context is done, even if a request is still in progress.
func TestDrainStopsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tracker := counter.NewRequestTracker()
		c.Assert(tracker.Begin(), qt.IsTrue)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		c.Assert(tracker.Drain(ctx), qt.Equals, int64(1))
		c.Assert(tracker.Begin(), qt.IsFalse)
		tracker.End()
		c.Assert(tracker.Active(), qt.Equals, int64(0))
	})
}
