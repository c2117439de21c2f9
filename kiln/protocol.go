package kiln

import "net/http"

// The HTTP paths of the engine protocol.
const (
	PathReserve   = "/v1/reserve"
	PathPrefill   = "/v1/prefill"
	PathImport    = "/v1/import"
	PathDecode    = "/v1/decode"
	PathCancel    = "/v1/cancel"
	PathKeepAlive = "/v1/keep-alive"
	PathHoldings  = "/v1/holdings"
	PathLoad      = "/v1/load"
	PathEvents    = "/v1/events"
	PathOrders    = "/v1/orders"
	PathState     = "/v1/state"
)

// CancelRequest is the body of a cancel call.
type CancelRequest struct {
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
}

// KeepAliveRequest is the body of a keep-alive call.
type KeepAliveRequest struct {
	Instance string `json:"instance"`
}

// HoldingsResponse is the response to a holdings call.
type HoldingsResponse struct {
	Holdings []Holding `json:"holdings"`
}

// EventsResponse is the response to an events call.
type EventsResponse struct {
	Events []CacheEvent `json:"events"`
}

// ErrorResponse is the body of a response that refuses a call.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}

// StatusOf returns the HTTP status for an error code.
func StatusOf(code ErrorCode) int {
	switch code {
	case ErrFull, ErrBusy:
		return http.StatusTooManyRequests
	case ErrGone, ErrNoExport:
		return http.StatusGone
	case ErrNoModel:
		return http.StatusNotFound
	case ErrFenced, ErrWrongRole:
		return http.StatusConflict
	case ErrBadRequest:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
