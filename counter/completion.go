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
	h.generate(w, r, x, false)
}

func (h *Handler) chatCompletions(w http.ResponseWriter, r *http.Request, x Exchange) {
	h.generate(w, r, x, true)
}

func (h *Handler) generate(w http.ResponseWriter, r *http.Request, x Exchange, chat bool) {
	gen, req, ok := h.readGeneration(w, r, x, chat, ClassCompletion)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.deps.Config.requestTimeout())
	defer cancel()
	permit, reason := h.admit(ctx, x, req)
	if permit == nil {
		h.refuse(w, x, reason, NotRun)
		return
	}
	defer permit.Done()
	if gen.Stream {
		h.stream(ctx, w, x, gen, req)
		return
	}
	h.whole(ctx, w, x, gen, req)
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
	h.deps.Metrics.Observe(metrics.QueueTime, x.callerName(), req.Class, time.Since(x.Begin))
	return permit, reason
}

// readGeneration decodes and checks a generation, or refuses and returns false.
func (h *Handler) readGeneration(w http.ResponseWriter, r *http.Request, x Exchange, chat bool, class string) (generation, firing.Request, bool) {
	raw, ok := h.body(w, r, x)
	if !ok {
		return generation{}, firing.Request{}, false
	}
	gen, err := decodeGeneration(raw, chat)
	if err != nil {
		h.invalid(w, x, receipt.CodeInvalidRequest, err)
		return generation{}, firing.Request{}, false
	}
	target, ok := x.Index.Model(gen.Model)
	if !ok {
		h.invalid(w, x, receipt.CodeNotFound, fmt.Errorf("field model: no model %q", gen.Model))
		return generation{}, firing.Request{}, false
	}
	if !x.Caller.AllowsModel(gen.Model) {
		h.invalid(w, x, receipt.CodeForbidden, fmt.Errorf("caller may not use model %q", gen.Model))
		return generation{}, firing.Request{}, false
	}
	req := h.firingRequest(x, gen, target.Model, class)
	if err := checkLengths(req, target.Model); err != nil {
		h.invalid(w, x, receipt.CodeTooLarge, err)
		return generation{}, firing.Request{}, false
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

func (h *Handler) firingRequest(x Exchange, gen generation, model *plan.Model, class string) firing.Request {
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

func newCompletionBody(x Exchange, gen generation) completionBody {
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
		Created: x.Begin.Unix(),
		Model:   gen.Model,
	}
}

func (h *Handler) newPace(x Exchange, class string) *pace {
	return &pace{
		metrics: h.deps.Metrics,
		caller:  x.callerName(),
		class:   class,
		begin:   x.Begin,
	}
}

func (h *Handler) whole(ctx context.Context, w http.ResponseWriter, x Exchange, gen generation, req firing.Request) {
	p := h.newPace(x, req.Class)
	sink := &wholeSink{pace: p}
	result := h.deps.Generator.Run(ctx, req, sink)
	if _, ok := result.Outcome.(receipt.Answered); !ok {
		h.refuseOutcome(w, x, result.Outcome)
		return
	}
	p.done()
	body := newCompletionBody(x, gen)
	text := sink.text.String()
	choice := completionChoice{FinishReason: &result.Finish}
	if gen.Chat {
		choice.Message = &chatReply{
			Role:    "assistant",
			Content: text,
		}
	} else {
		choice.Text = &text
	}
	body.Choices = []completionChoice{choice}
	body.Usage = newUsage(req.Prompt.Tokens, p.tokens)
	h.answered(x, req.Class)
	writeJSON(w, http.StatusOK, body)
}

func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, x Exchange, gen generation, req firing.Request) {
	p := h.newPace(x, req.Class)
	sink := newStreamSink(w, newCompletionBody(x, gen), gen.Chat, p)
	result := h.deps.Generator.Run(ctx, req, sink)
	if _, ok := result.Outcome.(receipt.Answered); !ok {
		h.endStream(w, x, sink, result.Outcome)
		return
	}
	p.done()
	var total *usage
	if gen.IncludeUsage {
		total = newUsage(req.Prompt.Tokens, p.tokens)
	}
	if err := sink.finish(result.Finish, total); err != nil {
		h.account(x, receipt.Reason{
			Code: receipt.CodeCancelled,
			Step: receipt.StepDeliver,
			Err:  err,
		}, RunUnknown)
		return
	}
	h.answered(x, req.Class)
}

// endStream ends a stream that is not whole. Once tokens were delivered the
// caller is told by an error event and gets no end mark.
func (h *Handler) endStream(w http.ResponseWriter, x Exchange, sink *streamSink, outcome receipt.Outcome) {
	if !sink.begun {
		h.refuseOutcome(w, x, outcome)
		return
	}
	reason, ran, delivered := explain(outcome)
	h.account(x, reason, ran)
	body := newErrorBody(x, reason, ran)
	body.Error.Delivered = delivered
	if err := sink.event(body); err != nil {
		h.deps.Metrics.Count("dropped", "cut_notice")
	}
}

func (h *Handler) answered(x Exchange, class string) {
	log.Debug().Str(event.Key, string(event.Request)).Str(event.ID, x.ID).
		Str("caller", x.callerName()).
		Str("route", class).
		Int64("took_ms", time.Since(x.Begin).Milliseconds()).
		Str("outcome", string(event.Answered)).
		Msg("request ended")
	h.deps.Metrics.Count("answered", class)
	h.deps.Metrics.Observe(metrics.CallTime, x.callerName(), class, time.Since(x.Begin))
}

// refuseOutcome answers an outcome that is not an answer.
func (h *Handler) refuseOutcome(w http.ResponseWriter, x Exchange, outcome receipt.Outcome) {
	reason, ran, _ := explain(outcome)
	h.refuse(w, x, reason, ran)
}

func explain(outcome receipt.Outcome) (reason receipt.Reason, ran RunStatus, delivered int) {
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
			Err:  fmt.Errorf("outcome %T has no refusal", outcome),
		}, RunUnknown, 0
	}
}

// modelList is the answer of the model list.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (h *Handler) models(w http.ResponseWriter, _ *http.Request, x Exchange) {
	list := modelList{
		Object: "list",
		Data:   []modelLine{},
	}
	for _, name := range x.Index.ModelsOf(x.Caller) {
		list.Data = append(list.Data, modelLine{
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
