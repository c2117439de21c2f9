package standin

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
)

// Handler returns an HTTP handler for the platform and its fault rules.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.serveRead)
	mux.HandleFunc("GET /v1/instances", p.serveList)
	mux.HandleFunc("POST /v1/instances", p.serveRegister)
	mux.HandleFunc("POST /v1/instances/{id}/leaving", func(w http.ResponseWriter, r *http.Request) {
		writePlatformResponse(w, struct{}{}, p.MarkLeaving(r.Context(), r.PathValue("id")))
	})
	mux.HandleFunc("DELETE /v1/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		writePlatformResponse(w, struct{}{}, p.Deregister(r.Context(), r.PathValue("id")))
	})
	mux.HandleFunc("GET /v1/weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		writePlatformResponse(w, struct{}{}, p.FetchWeights(r.Context(), r.PathValue("model"), r.PathValue("version")))
	})
	p.faults.handleEndpoints(mux)
	return recordCallerHost(mux)
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	payload, ok := readBody(w, r)
	if !ok {
		return
	}
	offset, err := p.Append(r.Context(), ledger.Stream(r.PathValue("stream")), payload)
	writePlatformResponse(w, ledger.AppendResponse{Offset: offset}, err)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: want a whole number", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		http.Error(w, "limit: want a whole number", http.StatusBadRequest)
		return
	}
	page, err := p.Read(r.Context(), ledger.Stream(r.PathValue("stream")), ledger.Offset(from), limit)
	writePlatformResponse(w, page, err)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	instances, err := p.List(r.Context())
	writePlatformResponse(w, ledger.ListResponse{Instances: instances}, err)
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var body ledger.RegisterRequest
	if !readJSON(w, r, &body) {
		return
	}
	err := p.Register(r.Context(), body.Instance, time.Duration(body.TTLMS)*time.Millisecond)
	writePlatformResponse(w, struct{}{}, err)
}

func writePlatformResponse(w http.ResponseWriter, answer any, err error) {
	abortIfLost(err)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, answer)
	case errors.Is(err, ledger.ErrRefused):
		writeJSON(w, http.StatusTooManyRequests, ledger.ErrorResponse{
			Code:    "refused",
			Message: err.Error(),
		})
	case errors.Is(err, ledger.ErrUnavailable):
		writeJSON(w, http.StatusServiceUnavailable, ledger.ErrorResponse{
			Code:    "unavailable",
			Message: err.Error(),
		})
	default:
		panic(http.ErrAbortHandler)
	}
}
