package operator

import (
	"encoding/json"
	"net/http"

	"github.com/balsamlock/balsamlock/common/peerkey"
)

// HandlerDeps are the dependencies of the handler.
type HandlerDeps struct {
	// Key is the operator key.
	Key string
	// Status returns the current status of the instance.
	Status func() Status
	// Drain starts a graceful shutdown and returns immediately. Further calls must
	// have no effect.
	Drain func()
}

// NewHandler returns the handler of the endpoint. It responds to requests without
// the key with 401 Unauthorized.
func NewHandler(deps HandlerDeps) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		writeStatus(w, http.StatusOK, deps.Status())
	})
	mux.HandleFunc("POST "+PathDrain, func(w http.ResponseWriter, _ *http.Request) {
		deps.Drain()
		writeStatus(w, http.StatusAccepted, deps.Status())
	})
	return peerkey.RequireIn(Header, deps.Key, mux)
}

func writeStatus(w http.ResponseWriter, code int, status Status) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// The error can be ignored, because the client notices that the response is incomplete.
	_ = json.NewEncoder(w).Encode(status)
}
