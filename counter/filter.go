package counter

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/receipt"
)

// HeaderRequestID is the response header that carries the request ID.
const HeaderRequestID = "X-Request-Id"

// shutdownRetryAfter is the retry delay sent during a shutdown. A retry is
// expected to reach another instance.
const shutdownRetryAfter = 100 * time.Millisecond

// handlerFunc serves a request with the Exchange built by the preceding filters.
type handlerFunc func(w http.ResponseWriter, r *http.Request, x Exchange)

// startExchange is the first filter. It assigns the request ID and takes the
// snapshot of the routing document that is used for the whole request.
func (h *Handler) startExchange(next handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := Exchange{
			ID:         uuid.Must(uuid.NewV7()).String(),
			ReceivedAt: time.Now(),
		}
		w.Header().Set(HeaderRequestID, x.ID)
		next(w, r, x.WithIndex(h.deps.Index()))
	})
}

// trackRequest refuses requests during a shutdown and tracks all others as in
// progress.
func (h *Handler) trackRequest(next handlerFunc) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request, x Exchange) {
		if !h.deps.Tracker.Begin() {
			h.writeError(w, x, receipt.Reason{
				Code:       receipt.CodeShuttingDown,
				Step:       receipt.StepIdentify,
				RetryAfter: shutdownRetryAfter,
			}, NotRun)
			return
		}
		defer h.deps.Tracker.End()
		next(w, r, x)
	}
}

// authenticate identifies the caller by the bearer key.
func (h *Handler) authenticate(next handlerFunc) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request, x Exchange) {
		if x.Index == nil {
			h.writeError(w, x, receipt.Reason{
				Code:       receipt.CodeNotReady,
				Step:       receipt.StepIdentify,
				RetryAfter: time.Second,
			}, NotRun)
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		caller, known := x.Index.CallerByKey(key)
		if !ok || !known {
			h.writeError(w, x, receipt.Reason{
				Code: receipt.CodeUnauthorized,
				Step: receipt.StepIdentify,
				Err:  errors.New("no caller has this bearer key"),
			}, NotRun)
			return
		}
		next(w, r, x.WithCaller(caller))
	}
}

// readBody reads the whole request body. On failure it writes an error response
// and returns false.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, x Exchange) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.deps.Config.MaxBodyBytes))
	if err == nil {
		return raw, true
	}
	reason := receipt.Reason{
		Code: receipt.CodeInvalidRequest,
		Step: receipt.StepMatch,
		Err:  fmt.Errorf("body: %w", err),
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		reason.Code = receipt.CodeTooLarge
		reason.Err = fmt.Errorf("body: longer than %d bytes", tooLarge.Limit)
	}
	h.writeError(w, x, reason, NotRun)
	return nil, false
}

// reject writes the error response for an invalid request, which was not run.
func (h *Handler) reject(w http.ResponseWriter, x Exchange, code receipt.Code, err error) {
	h.writeError(w, x, receipt.Reason{
		Code: code,
		Step: receipt.StepMatch,
		Err:  err,
	}, NotRun)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request, x Exchange) {
	h.reject(w, x, receipt.CodeNotFound, fmt.Errorf("no such page: %s %s", r.Method, r.URL.Path))
}
