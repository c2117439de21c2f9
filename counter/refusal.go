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

// RunStatus states in an error response whether the work was run.
type RunStatus string

// The values of RunStatus.
const (
	// NotRun means that the work was not run and will not be run.
	NotRun RunStatus = "not_run"
	// RunUnknown means that the work may have run.
	RunUnknown RunStatus = "unknown"
)

// statusClientClosed is nginx's non-standard status for a request whose client
// closed the connection.
const statusClientClosed = 499

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Message, Type and Code are placed where common
// clients of the completions API expect them.
type ErrorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    receipt.Code `json:"code"`
	Ran     RunStatus    `json:"ran"`
	Step    receipt.Step `json:"step"`
	// RetryAfterMS is the time in milliseconds after which a retry may succeed, or 0 if
	// unknown.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Delivered is the number of tokens sent before a stream was cut.
	Delivered int `json:"delivered,omitempty"`
	// Request is the request ID.
	Request string `json:"request"`
}

// statusByCode maps error codes to HTTP statuses.
var statusByCode = map[receipt.Code]int{
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
	receipt.CodeStaleKeys:      http.StatusServiceUnavailable,
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

// StatusOf returns the HTTP status of an error code. It returns 500 for an unknown
// code.
func StatusOf(code receipt.Code) int {
	status, ok := statusByCode[code]
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
			Message:      errorMessage(reason),
			Type:         errorType(StatusOf(reason.Code)),
			Code:         reason.Code,
			Ran:          ran,
			Step:         reason.Step,
			RetryAfterMS: reason.RetryAfter.Milliseconds(),
			Request:      x.ID,
		},
	}
}

// errorMessage returns the message for the caller. Errors with a 5xx status may
// contain addresses of backend servers, so only their step and code are returned.
func errorMessage(reason receipt.Reason) string {
	if reason.Err != nil && StatusOf(reason.Code) < http.StatusInternalServerError {
		return reason.Err.Error()
	}
	return string(reason.Step) + ": " + string(reason.Code)
}

// writeError writes an error response, logs it and updates the metrics.
func (h *Handler) writeError(w http.ResponseWriter, x Exchange, reason receipt.Reason, ran RunStatus) {
	h.recordError(x, reason, ran)
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

// retryAfterSeconds formats d for the Retry-After header, rounded up to seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// recordError logs a request that ended with an error and counts it.
func (h *Handler) recordError(x Exchange, reason receipt.Reason, ran RunStatus) {
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
		Int64("took_ms", time.Since(x.ReceivedAt).Milliseconds()).
		Str("outcome", string(outcome)).
		EmbedObject(reason).
		Msg("request ended")
}
