package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/phuslu/log"
)

// maxRequestBytes is the maximum size of a request body.
const maxRequestBytes = 16 << 20

// faultsBody is the body of POST /faults requests and GET /faults responses.
type faultsBody struct {
	Rules []Rule `json:"rules"`
}

// handleEndpoints registers the endpoints that set and return the fault rules.
func (f *Faults) handleEndpoints(mux *http.ServeMux) {
	mux.HandleFunc("POST /faults", f.serveSet)
	mux.HandleFunc("GET /faults", f.serveGet)
}

func (f *Faults) serveSet(w http.ResponseWriter, r *http.Request) {
	var body faultsBody
	if !readJSON(w, r, &body) {
		return
	}
	if err := checkRules(body.Rules); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(body.Rules...)
	w.WriteHeader(http.StatusNoContent)
}

func (f *Faults) serveGet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, faultsBody{Rules: f.Rules()})
}

// recordCallerHost stores the client's host in the request context for the fault
// rules.
func recordCallerHost(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, err := net.SplitHostPort(r.RemoteAddr)
		if err != nil {
			host = r.RemoteAddr
		}
		next.ServeHTTP(w, r.WithContext(WithCallerHost(r.Context(), host)))
	})
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("decode: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("read: %v", err), http.StatusRequestEntityTooLarge)
		return nil, false
	}
	return raw, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(raw); err != nil {
		log.Debug().Err(err).Msg("writing response failed")
	}
}

// abortIfLost aborts the connection if err means that the answer is lost.
func abortIfLost(err error) {
	if errors.Is(err, ErrAnswerLost) || errors.Is(err, ErrConnectionLost) {
		panic(http.ErrAbortHandler)
	}
}
