package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/balsamlock/balsamlock/kiln"
)

// Handler returns an HTTP handler for the engine protocol and the test endpoints.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	handlePost(mux, "POST "+kiln.PathReserve, func(ctx context.Context, req kiln.ReserveRequest) (struct{}, error) {
		return struct{}{}, e.Reserve(ctx, req)
	})
	handlePost(mux, "POST "+kiln.PathPrefill, e.Prefill)
	handlePost(mux, "POST "+kiln.PathImport, func(ctx context.Context, req kiln.ImportRequest) (struct{}, error) {
		return struct{}{}, e.Import(ctx, req)
	})
	handlePost(mux, "POST "+kiln.PathCancel, func(ctx context.Context, req kiln.CancelRequest) (struct{}, error) {
		return struct{}{}, e.Cancel(ctx, req.Attempt, req.Owner)
	})
	handlePost(mux, "POST "+kiln.PathKeepAlive, func(ctx context.Context, req kiln.KeepAliveRequest) (struct{}, error) {
		return struct{}{}, e.KeepAlive(ctx, req.Instance)
	})
	handlePost(mux, "POST "+kiln.PathOrders, e.Order)
	handleGet(mux, "GET "+kiln.PathHoldings, func(r *http.Request) (kiln.HoldingsResponse, error) {
		holdings, err := e.Holdings(r.Context())
		return kiln.HoldingsResponse{Holdings: holdings}, err
	})
	handleGet(mux, "GET "+kiln.PathLoad, func(r *http.Request) (kiln.LoadReport, error) { return e.Load(r.Context()) })
	handleGet(mux, "GET "+kiln.PathState, func(r *http.Request) (kiln.EngineState, error) { return e.State(r.Context()) })
	handleGet(mux, "GET "+kiln.PathEvents, e.serveEvents)
	handleGet(mux, "GET /v1/exports/{handle}", func(r *http.Request) (ExportInfo, error) {
		return e.Export(r.Context(), r.PathValue("handle"))
	})
	mux.HandleFunc("POST "+kiln.PathDecode, e.serveDecode)
	e.handleTestEndpoints(mux)
	return recordCallerHost(mux)
}

// handleTestEndpoints registers the endpoints by which tests inspect and control
// the engine.
func (e *Engine) handleTestEndpoints(mux *http.ServeMux) {
	e.faults.handleEndpoints(mux)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Counters())
	})
	mux.HandleFunc("GET /applied", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Applied())
	})
	mux.HandleFunc("POST /die", func(w http.ResponseWriter, _ *http.Request) {
		e.Crash()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.SetLeaving()
		w.WriteHeader(http.StatusNoContent)
	})
}

func handlePost[Q, A any](mux *http.ServeMux, pattern string, call func(context.Context, Q) (A, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var req Q
		if !readJSON(w, r, &req) {
			return
		}
		answer, err := call(r.Context(), req)
		writeEngineResponse(w, answer, err)
	})
}

func handleGet[A any](mux *http.ServeMux, pattern string, call func(*http.Request) (A, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		answer, err := call(r)
		writeEngineResponse(w, answer, err)
	})
}

func (e *Engine) serveEvents(r *http.Request) (kiln.EventsResponse, error) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return kiln.EventsResponse{}, e.refusal("events", kiln.ErrBadRequest, "after: want a whole number")
	}
	events, err := e.Events(r.Context(), after)
	return kiln.EventsResponse{Events: events}, err
}

// writeEngineResponse writes an answer or a refusal. It aborts the connection on
// any other error.
func writeEngineResponse(w http.ResponseWriter, answer any, err error) {
	if err == nil {
		writeJSON(w, http.StatusOK, answer)
		return
	}
	var refusal *kiln.EngineError
	var notSent *kiln.NotSentError
	switch {
	case errors.As(err, &refusal):
		writeRefusal(w, refusal.Code, refusal.Message)
	case errors.Is(err, errNoExport):
		writeRefusal(w, kiln.ErrNoExport, err.Error())
	case errors.As(err, &notSent):
		writeRefusal(w, kiln.ErrUnavailable, notSent.Error())
	default:
		panic(http.ErrAbortHandler)
	}
}

func writeRefusal(w http.ResponseWriter, code kiln.ErrorCode, message string) {
	writeJSON(w, kiln.StatusOf(code), kiln.ErrorResponse{
		Code:    code,
		Message: message,
	})
}

func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request) {
	var req kiln.DecodeRequest
	if !readJSON(w, r, &req) {
		return
	}
	s, err := e.Decode(r.Context(), req)
	if err != nil {
		writeEngineResponse(w, nil, err)
		return
	}
	defer func() { _ = s.Close() }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return
	}
	for {
		frame, err := s.Next(r.Context())
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if writeFrame(w, frame) != nil || flusher.Flush() != nil {
			return
		}
	}
}

func writeFrame(w io.Writer, frame kiln.Frame) error {
	raw, err := json.Marshal(frame)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", raw)
	return err
}
