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

// HeaderRequestID carries the request's id in every answer.
const HeaderRequestID = "X-Request-Id"

// retryElsewhere is the time after which a refused request may find another
// instance.
const retryElsewhere = 100 * time.Millisecond

// serveFunc serves a request with what earlier filters found out.
type serveFunc func(w http.ResponseWriter, r *http.Request, x Exchange)

// begin starts the chain: it names the request and takes the snapshot that
// holds for all of it.
func (h *Handler) begin(next serveFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := Exchange{
			ID:    uuid.Must(uuid.NewV7()).String(),
			Begin: time.Now(),
		}
		w.Header().Set(HeaderRequestID, x.ID)
		next(w, r, x.WithIndex(h.deps.Index()))
	})
}

// gated refuses requests during a shutdown and counts the others in.
func (h *Handler) gated(next serveFunc) serveFunc {
	return func(w http.ResponseWriter, r *http.Request, x Exchange) {
		if !h.deps.Tracker.Begin() {
			h.refuse(w, x, receipt.Reason{
				Code:       receipt.CodeShuttingDown,
				Step:       receipt.StepIdentify,
				RetryAfter: retryElsewhere,
			}, NotRun)
			return
		}
		defer h.deps.Tracker.End()
		next(w, r, x)
	}
}

// identified finds the caller by the bearer key.
func (h *Handler) identified(next serveFunc) serveFunc {
	return func(w http.ResponseWriter, r *http.Request, x Exchange) {
		if x.Index == nil {
			h.refuse(w, x, receipt.Reason{
				Code:       receipt.CodeNotReady,
				Step:       receipt.StepIdentify,
				RetryAfter: time.Second,
			}, NotRun)
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		caller, known := x.Index.CallerByKey(key)
		if !ok || !known {
			h.refuse(w, x, receipt.Reason{
				Code: receipt.CodeUnauthorized,
				Step: receipt.StepIdentify,
				Err:  errors.New("no caller has this bearer key"),
			}, NotRun)
			return
		}
		next(w, r, x.WithCaller(caller))
	}
}

// body reads the whole body, or refuses and returns false.
func (h *Handler) body(w http.ResponseWriter, r *http.Request, x Exchange) ([]byte, bool) {
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
	h.refuse(w, x, reason, NotRun)
	return nil, false
}

func (h *Handler) invalid(w http.ResponseWriter, x Exchange, code receipt.Code, err error) {
	h.refuse(w, x, receipt.Reason{
		Code: code,
		Step: receipt.StepMatch,
		Err:  err,
	}, NotRun)
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request, x Exchange) {
	h.invalid(w, x, receipt.CodeNotFound, fmt.Errorf("no such page: %s %s", r.Method, r.URL.Path))
}
