package outcome

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/receipt"
	"github.com/balsamlock/balsamlock/workshop"
)

// Answer is the result of an event's action.
type Answer struct {
	// Status is the HTTP status, 0 if there was no response.
	Status int
	// Text is the response body. For a stream it is the joined tokens, or empty if
	// the stream was truncated.
	Text string
	// Refusal is the error body of the response, if it had one.
	Refusal counter.ErrorDetail
	Err     error
	// Took is the duration of the event including retries.
	Took time.Duration
}

// retryInterval is the time between two attempts.
const retryInterval = 200 * time.Millisecond

// ordersPath is the path of the service to which orders are posted.
const ordersPath = "/orders"

// perform performs the event's action.
func (r *replayer) perform(ctx context.Context, e Event) Answer {
	if e.CancelAfterMS > 0 {
		requestCtx, cancel := context.WithTimeout(ctx, time.Duration(e.CancelAfterMS*float64(time.Millisecond)))
		defer cancel()
		ctx = requestCtx
	}
	switch action := e.Action().(type) {
	case *Completion:
		answer := r.generate(ctx, e, "/v1/completions", action.Prompt, action.MaxTokens, true)
		if answer.Status == http.StatusOK {
			answer.Text = streamText([]byte(answer.Text))
		}
		return answer
	case *Lookup:
		return r.send(r.request(ctx, e), http.MethodGet, r.entryURL(e.Entry)+"/services/"+r.cfg.Service+action.Path)
	case *Order:
		return r.sendOrder(ctx, e, action)
	case *Draft:
		return r.generate(ctx, e, "/v1/drafts", action.Prompt, action.MaxTokens, false)
	case *Collect:
		return r.collect(ctx, e, action)
	case *Fault:
		return r.applyFault(ctx, action)
	case *Instance:
		return Answer{Err: r.changeInstance(action)}
	case *Runs:
		return r.countRuns(ctx, action)
	case *CollectedOnce:
		return r.collectAgain(ctx, e, action)
	}
	return Answer{Err: fmt.Errorf("unknown action %T", e.Action())}
}

func (r *replayer) entryURL(name string) string { return "http://" + r.cfg.Entries[name] }

func (r *replayer) request(ctx context.Context, e Event) *resty.Request {
	return r.client.R().SetContext(ctx).SetAuthToken(r.cfg.Keys[e.Caller])
}

func (r *replayer) send(request *resty.Request, method, url string) Answer {
	response, err := request.Execute(method, url)
	if err != nil {
		return Answer{Err: err}
	}
	answer := Answer{
		Status: response.StatusCode(),
		Text:   string(response.Body()),
	}
	var refusal counter.ErrorBody
	if response.IsError() && json.Unmarshal(response.Body(), &refusal) == nil {
		answer.Refusal = refusal.Error
	}
	return answer
}

type generationRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
}

func (r *replayer) generate(ctx context.Context, e Event, path, prompt string, maxTokens int, stream bool) Answer {
	request := r.request(ctx, e).SetBody(generationRequest{
		Model:     r.cfg.Model,
		Prompt:    prompt,
		MaxTokens: maxTokens,
		Stream:    stream,
	})
	return r.send(request, http.MethodPost, r.entryURL(e.Entry)+path)
}

// sendOrder sends an order and, if the event asks for it, retries until the
// order succeeds.
func (r *replayer) sendOrder(ctx context.Context, e Event, action *Order) Answer {
	attempt := func(entry string) Answer {
		request := r.request(ctx, e).SetBody(action.Body)
		// The header is written in lower case and set verbatim because the HTTP client
		// would otherwise recognize it and retry the request by itself.
		request.SetHeaderVerbatim(strings.ToLower(workshop.HeaderIdempotencyKey), r.keys[action.Key])
		return r.send(request, http.MethodPost, r.entryURL(entry)+"/services/"+r.cfg.Service+ordersPath)
	}
	if !action.Retry {
		return attempt(e.Entry)
	}
	return r.repeat(ctx, e.Entry, attempt, func(answer Answer) bool { return answer.Status == http.StatusOK })
}

// collect requests a draft until the answer is final.
func (r *replayer) collect(ctx context.Context, e Event, action *Collect) Answer {
	id, err := r.draftID(action.Draft)
	if err != nil {
		return Answer{Err: err}
	}
	return r.repeat(ctx, e.Entry, func(entry string) Answer { return r.collectOnce(ctx, e.Caller, entry, id, action.Key) }, isFinal)
}

func (r *replayer) collectOnce(ctx context.Context, caller, entry, id, key string) Answer {
	request := r.client.R().SetContext(ctx).SetAuthToken(r.cfg.Keys[caller]).SetHeader(counter.HeaderCollectKey, key)
	return r.send(request, http.MethodPost, r.entryURL(entry)+"/v1/drafts/"+id+"/collect")
}

// isFinal reports whether the answer to a collection is final, so that a retry
// would not change it.
func isFinal(answer Answer) bool {
	switch answer.Refusal.Code {
	case receipt.CodeInProgress, receipt.CodeLogUnavailable, receipt.CodeNotReady, receipt.CodeShuttingDown:
		return false
	}
	return answer.Status != 0
}

// repeat sends a request to each entry instance in turn until done reports true
// or ctx is done.
func (r *replayer) repeat(ctx context.Context, first string, attempt func(entry string) Answer, done func(Answer) bool) Answer {
	names := r.entryNamesFrom(first)
	for n := 0; ; n++ {
		answer := attempt(names[n%len(names)])
		if done(answer) || sleep(ctx, retryInterval) != nil {
			return answer
		}
	}
}

func (r *replayer) draftID(event string) (string, error) {
	var accepted struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(r.loadAnswer(event).Text), &accepted); err != nil || accepted.ID == "" {
		return "", fmt.Errorf("draft %s was not accepted", event)
	}
	return accepted.ID, nil
}

// applyFault sets the fault rules of a stand-in or kills it.
func (r *replayer) applyFault(ctx context.Context, action *Fault) Answer {
	base := "http://" + r.cfg.Standins[action.Standin]
	if action.Die {
		return r.sendControl(r.client.R().SetContext(ctx), base+"/die")
	}
	body := map[string]any{"rules": action.Rules}
	return r.sendControl(r.client.R().SetContext(ctx).SetBody(body), base+"/faults")
}

// sendControl sends a control request to a stand-in. An error status is returned
// as an error.
func (r *replayer) sendControl(request *resty.Request, url string) Answer {
	answer := r.send(request, http.MethodPost, url)
	if answer.Err == nil && answer.Status >= http.StatusBadRequest {
		answer.Err = fmt.Errorf("stand-in returned status %d: %s", answer.Status, answer.Text)
	}
	return answer
}

func (r *replayer) changeInstance(action *Instance) error {
	if action.State == InstanceKilled {
		return r.cfg.Instances.Kill(action.Name)
	}
	return r.cfg.Instances.Start(action.Name)
}

// countRuns returns the number of runs of a key, summed over the services.
func (r *replayer) countRuns(ctx context.Context, action *Runs) Answer {
	total := 0
	for _, name := range action.Standins {
		answer := r.send(r.client.R().SetContext(ctx), http.MethodGet, "http://"+r.cfg.Standins[name]+"/runs")
		runs := map[string]int{}
		if answer.Err == nil {
			answer.Err = json.Unmarshal([]byte(answer.Text), &runs)
		}
		if answer.Err != nil {
			return Answer{Err: fmt.Errorf("runs of %s: %w", name, answer.Err)}
		}
		total += runs[r.keys[action.Key]]
	}
	return Answer{Text: fmt.Sprint(total)}
}

// collectAgain requests a draft from every entry instance with a new collection
// key. It returns the answer that contains the draft if there is one, else a key
// conflict. Instances that don't respond are skipped.
func (r *replayer) collectAgain(ctx context.Context, e Event, action *CollectedOnce) Answer {
	id, err := r.draftID(action.Draft)
	if err != nil {
		return Answer{Err: err}
	}
	result := Answer{Err: fmt.Errorf("no entry instance reported a key conflict for draft %s", action.Draft)}
	for _, name := range r.entryNamesFrom("") {
		attempt := func(string) Answer { return r.collectOnce(ctx, e.Caller, name, id, "again-over-"+name) }
		answer := r.repeat(ctx, name, attempt, func(a Answer) bool { return a.Err != nil || isFinal(a) })
		if answer.Status == http.StatusOK {
			return answer
		}
		if answer.Refusal.Code == receipt.CodeKeyConflict {
			result = answer
		}
	}
	return result
}

// streamText returns the joined tokens of a stream, or "" if the stream did not
// end with [DONE].
func streamText(raw []byte) string {
	var text strings.Builder
	for event := range bytes.SplitSeq(raw, []byte("\n\n")) {
		data, _ := bytes.CutPrefix(event, []byte("data: "))
		if string(data) == "[DONE]" {
			return text.String()
		}
		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Text)
		}
	}
	return ""
}
