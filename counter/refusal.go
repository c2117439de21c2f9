package counter

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/receipt"
)

// RunStatus tells a caller whether refused work was run.
type RunStatus string

// What a refusal says about the work.
const (
	// NotRun means that the work was not run and never will be.
	NotRun RunStatus = "not_run"
	// RunUnknown means that the work may have run.
	RunUnknown RunStatus = "unknown"
)

// statusClientClosed is the customary status of a request whose caller left.
const statusClientClosed = 499

// ErrorBody is the JSON body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a refusal. Message, Type and Code are where ordinary
// clients of the completions API look for them.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    receipt.Code `json:"code"`
	Ran     RunStatus    `json:"ran"`
	Step    receipt.Step `json:"step"`
	// RetryAfterMS is the time after which a retry may succeed, 0 if unspecified.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Delivered is the number of tokens delivered before a stream was cut.
	Delivered int    `json:"delivered,omitempty"`
	Request   string `json:"request"`
}

// statusOf maps each code to its HTTP status.
var statusOf = map[receipt.Code]int{
	receipt.CodeUnauthorized:   http.StatusUnauthorized,
	receipt.CodeForbidden:      http.StatusForbidden,
	receipt.CodeNotFound:       http.StatusNotFound,
	receipt.CodeInvalidRequest: http.StatusBadRequest,
	receipt.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	receipt.CodeLimited:        http.StatusTooManyRequests,
	receipt.CodeOverloaded:     http.StatusServiceUnavailable,
	receipt.CodeNoServer:       http.StatusServiceUnavailable,
	receipt.CodeShuttingDown:   http.StatusServiceUnavailable,
	receipt.CodeNotReady:       http.StatusServiceUnavailable,
	receipt.CodeLogUnavailable: http.StatusServiceUnavailable,
	receipt.CodeKeyRequired:    http.StatusBadRequest,
	receipt.CodeKeyExpired:     http.StatusConflict,
	receipt.CodeKeyConflict:    http.StatusConflict,
	receipt.CodeInProgress:     http.StatusConflict,
	receipt.CodeAnswerLost:     http.StatusBadGateway,
	receipt.CodeOutcomeUnknown: http.StatusBadGateway,
	receipt.CodeServerFailed:   http.StatusBadGateway,
	receipt.CodeStreamCut:      http.StatusBadGateway,
	receipt.CodeDeadline:       http.StatusGatewayTimeout,
	receipt.CodeCancelled:      statusClientClosed,
	receipt.CodeInternal:       http.StatusInternalServerError,
}

// StatusOf returns the HTTP status of a code.
func StatusOf(code receipt.Code) int {
	status, ok := statusOf[code]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func newErrorBody(x Exchange, reason receipt.Reason, ran RunStatus) ErrorBody {
	return ErrorBody{
		Error: ErrorDetail{
			Message:      message(reason),
			Type:         errorType(StatusOf(reason.Code)),
			Code:         reason.Code,
			Ran:          ran,
			Step:         reason.Step,
			RetryAfterMS: reason.RetryAfter.Milliseconds(),
			Request:      x.ID,
		},
	}
}

// message tells callers what went wrong without addresses of backend servers.
func message(reason receipt.Reason) string {
	if reason.Err != nil && StatusOf(reason.Code) < http.StatusInternalServerError {
		return reason.Err.Error()
	}
	return string(reason.Step) + ": " + string(reason.Code)
}

// refuse writes a refusal, logs it and counts it.
func (h *Handler) refuse(w http.ResponseWriter, x Exchange, reason receipt.Reason, ran RunStatus) {
	h.account(x, reason, ran)
	status := StatusOf(reason.Code)
	w.Header().Set("Content-Type", "application/json")
	if reason.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(reason.RetryAfter))
	}
	if reason.Code == receipt.CodeShuttingDown {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newErrorBody(x, reason, ran))
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func (h *Handler) account(x Exchange, reason receipt.Reason, ran RunStatus) {
	h.deps.Metrics.Count("refused", string(reason.Code))
	outcome := event.Unknown
	switch {
	case ran == NotRun:
		outcome = event.NotRun
	case reason.Code == receipt.CodeStreamCut:
		outcome = event.Cut
	}
	log.Warn().Str(event.Key, string(event.Request)).Str(event.ID, x.ID).
		Str("caller", x.callerName()).
		Int64("took_ms", time.Since(x.Begin).Milliseconds()).
		Str("outcome", string(outcome)).
		EmbedObject(reason).
		Msg("request ended")
}
