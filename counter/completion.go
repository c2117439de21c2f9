package counter

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/receipt"
)

func (h *Handler) completions(w http.ResponseWriter, r *http.Request, x Exchange) {
	h.serveCompletion(w, r, x, false)
}

func (h *Handler) chatCompletions(w http.ResponseWriter, r *http.Request, x Exchange) {
	h.serveCompletion(w, r, x, true)
}

func (h *Handler) serveCompletion(w http.ResponseWriter, r *http.Request, x Exchange, chat bool) {
	gen, req, ok := h.readGenerationRequest(w, r, x, chat, ClassCompletion)
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
	if gen.Stream {
		h.respondStreaming(ctx, w, x, gen, req)
		return
	}
	h.respondBuffered(ctx, w, x, gen, req)
}

func (h *Handler) admit(ctx context.Context, x Exchange, req firing.Request) (Permit, receipt.Reason) {
	permit, reason := h.deps.Admission.Admit(ctx, AdmissionRequest{
		Request:      x.ID,
		Caller:       x.Caller,
		Class:        req.Class,
		PromptTokens: req.Prompt.Tokens,
		OutputTokens: req.MaxTokens,
		FirstToken:   req.FirstToken,
	})
	h.deps.Metrics.Observe(metrics.QueueTime, x.callerName(), req.Class, time.Since(x.ReceivedAt))
	return permit, reason
}

// readGenerationRequest decodes and validates a request. On failure it writes an
// error response and returns false.
func (h *Handler) readGenerationRequest(
	w http.ResponseWriter, r *http.Request, x Exchange, chat bool, class string,
) (generationRequest, firing.Request, bool) {
	raw, ok := h.readBody(w, r, x)
	if !ok {
		return generationRequest{}, firing.Request{}, false
	}
	gen, err := decodeGenerationRequest(raw, chat)
	if err != nil {
		h.reject(w, x, receipt.CodeInvalidRequest, err)
		return generationRequest{}, firing.Request{}, false
	}
	target, ok := x.Index.Model(gen.Model)
	if !ok {
		h.reject(w, x, receipt.CodeNotFound, fmt.Errorf("field model: no model %q", gen.Model))
		return generationRequest{}, firing.Request{}, false
	}
	if !x.Caller.AllowsModel(gen.Model) {
		h.reject(w, x, receipt.CodeForbidden, fmt.Errorf("caller may not use model %q", gen.Model))
		return generationRequest{}, firing.Request{}, false
	}
	req := h.firingRequest(x, gen, target.Model, class)
	if err := checkLengths(req, target.Model); err != nil {
		h.reject(w, x, receipt.CodeTooLarge, err)
		return generationRequest{}, firing.Request{}, false
	}
	return gen, req, true
}

func checkLengths(req firing.Request, model *plan.Model) error {
	if req.Prompt.Tokens > model.MaxPromptTokens {
		return fmt.Errorf("prompt of about %d tokens: model %s takes %d", req.Prompt.Tokens, model.Name, model.MaxPromptTokens)
	}
	if req.MaxTokens > model.MaxOutputTokens {
		return fmt.Errorf("max_tokens %d: model %s gives at most %d", req.MaxTokens, model.Name, model.MaxOutputTokens)
	}
	return nil
}

func (h *Handler) firingRequest(x Exchange, gen generationRequest, model *plan.Model, class string) firing.Request {
	maxTokens := gen.MaxTokens
	if maxTokens == 0 {
		maxTokens = min(defaultMaxTokens, model.MaxOutputTokens)
	}
	return firing.Request{
		ID:         x.ID,
		Caller:     x.callerName(),
		Class:      class,
		Model:      gen.Model,
		Prompt:     kiln.NewPrompt(gen.Prompt),
		MaxTokens:  maxTokens,
		Priority:   x.Caller.Priority(),
		Sampling:   gen.Sampling,
		FirstToken: time.Duration(model.FirstTokenMS) * time.Millisecond,
		PerToken:   time.Duration(model.PerTokenMS) * time.Millisecond,
		DataCentre: h.deps.DataCentre,
		Pools:      x.Caller.Caller().Pools,
		Servers:    x.Caller.Caller().Servers,
	}
}

func newCompletionBody(x Exchange, gen generationRequest) completionBody {
	object := "text_completion"
	if gen.Chat {
		object = "chat.completion"
	}
	if gen.Chat && gen.Stream {
		object = "chat.completion.chunk"
	}
	return completionBody{
		ID:      x.ID,
		Object:  object,
		Created: x.ReceivedAt.Unix(),
		Model:   gen.Model,
	}
}

func (h *Handler) newTokenTimer(x Exchange, class string) *tokenTimer {
	return &tokenTimer{
		metrics:    h.deps.Metrics,
		caller:     x.callerName(),
		class:      class,
		receivedAt: x.ReceivedAt,
	}
}

func (h *Handler) respondBuffered(
	ctx context.Context, w http.ResponseWriter, x Exchange, gen generationRequest, req firing.Request,
) {
	timer := h.newTokenTimer(x, req.Class)
	sink := &bufferedSink{timer: timer}
	result := h.deps.Generator.Run(ctx, req, sink)
	if _, ok := result.Outcome.(receipt.Answered); !ok {
		h.writeOutcomeError(w, x, result.Outcome)
		return
	}
	timer.recordMeanInterval()
	body := newCompletionBody(x, gen)
	text := sink.text.String()
	choice := completionChoice{FinishReason: &result.Finish}
	if gen.Chat {
		choice.Message = &replyMessage{
			Role:    "assistant",
			Content: text,
		}
	} else {
		choice.Text = &text
	}
	body.Choices = []completionChoice{choice}
	body.Usage = newUsage(req.Prompt.Tokens, timer.tokens)
	h.recordAnswered(x, req.Class)
	writeJSON(w, http.StatusOK, body)
}

func (h *Handler) respondStreaming(
	ctx context.Context, w http.ResponseWriter, x Exchange, gen generationRequest, req firing.Request,
) {
	timer := h.newTokenTimer(x, req.Class)
	sink := newStreamSink(w, newCompletionBody(x, gen), gen.Chat, timer)
	result := h.deps.Generator.Run(ctx, req, sink)
	if _, ok := result.Outcome.(receipt.Answered); !ok {
		h.endFailedStream(w, x, sink, result.Outcome)
		return
	}
	timer.recordMeanInterval()
	var total *usage
	if gen.IncludeUsage {
		total = newUsage(req.Prompt.Tokens, timer.tokens)
	}
	if err := sink.finishStream(result.Finish, total); err != nil {
		h.recordError(x, receipt.Reason{
			Code: receipt.CodeCancelled,
			Step: receipt.StepDeliver,
			Err:  err,
		}, RunUnknown)
		return
	}
	h.recordAnswered(x, req.Class)
}

// endFailedStream ends a stream that is incomplete. If nothing was sent yet, it
// writes a normal error response. Otherwise it sends an error event and leaves out
// the [DONE] marker, so that the caller doesn't take the stream for complete.
func (h *Handler) endFailedStream(w http.ResponseWriter, x Exchange, sink *streamSink, outcome receipt.Outcome) {
	if !sink.headerWritten {
		h.writeOutcomeError(w, x, outcome)
		return
	}
	reason, ran, delivered := errorFromOutcome(outcome)
	h.recordError(x, reason, ran)
	body := newErrorBody(x, reason, ran)
	body.Error.Delivered = delivered
	if err := sink.writeEvent(body); err != nil {
		h.deps.Metrics.Count("dropped", "cut_notice")
	}
}

// recordAnswered logs a completed request and updates the metrics.
func (h *Handler) recordAnswered(x Exchange, class string) {
	log.Debug().Str(event.Key, string(event.Request)).Str(event.ID, x.ID).
		Str("caller", x.callerName()).
		Str("route", class).
		Int64("took_ms", time.Since(x.ReceivedAt).Milliseconds()).
		Str("outcome", string(event.Answered)).
		Msg("request ended")
	h.deps.Metrics.Count("answered", class)
	h.deps.Metrics.Observe(metrics.CallTime, x.callerName(), class, time.Since(x.ReceivedAt))
}

// writeOutcomeError writes the error response for an outcome other than
// receipt.Answered.
func (h *Handler) writeOutcomeError(w http.ResponseWriter, x Exchange, outcome receipt.Outcome) {
	reason, ran, _ := errorFromOutcome(outcome)
	h.writeError(w, x, reason, ran)
}

// errorFromOutcome returns the contents of the error response for an outcome.
// delivered is the number of tokens sent before a stream was cut.
func errorFromOutcome(outcome receipt.Outcome) (reason receipt.Reason, ran RunStatus, delivered int) {
	switch o := outcome.(type) {
	case receipt.NotRun:
		return o.Reason(), NotRun, 0
	case receipt.Unknown:
		return o.Reason(), RunUnknown, 0
	case receipt.Cut:
		reason = o.Reason
		reason.Code = receipt.CodeStreamCut
		return reason, RunUnknown, o.Delivered
	default:
		return receipt.Reason{
			Code: receipt.CodeInternal,
			Step: receipt.StepDeliver,
			Err:  fmt.Errorf("outcome %T has no error response", outcome),
		}, RunUnknown, 0
	}
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, _ *http.Request, x Exchange) {
	list := modelList{
		Object: "list",
		Data:   []modelEntry{},
	}
	for _, name := range x.Index.ModelsOf(x.Caller) {
		list.Data = append(list.Data, modelEntry{
			ID:      name,
			Object:  "model",
			OwnedBy: "balsamlock",
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}
