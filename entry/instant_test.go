package entry_test

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/receipt"
)

// instant is an engine that answers at once, so that only the router's own
// time is left.
type instant struct{ kiln.Engine }

func (instant) Reserve(context.Context, kiln.ReserveRequest) error { return nil }

func (instant) Prefill(_ context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	return kiln.PrefillResult{
		Source:   "127.0.0.1:1",
		Handle:   req.Attempt,
		Computed: req.Prompt.Tokens,
		KeptMS:   900,
	}, nil
}

func (instant) Import(context.Context, kiln.ImportRequest) error { return nil }

func (instant) Cancel(context.Context, string, kiln.Owner) error { return nil }

func (instant) Decode(_ context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
	return &instantStream{req: req}, nil
}

type instantStream struct {
	req  kiln.DecodeRequest
	next int
}

func (s *instantStream) Next(context.Context) (kiln.Frame, error) {
	if s.next == s.req.MaxTokens {
		return kiln.Frame{}, io.EOF
	}
	frame := kiln.Frame{
		Attempt: s.req.Attempt,
		Index:   s.next,
		Text:    " lead",
	}
	s.next++
	if s.next == s.req.MaxTokens {
		frame.Last = true
		frame.Finish = "length"
	}
	return frame, nil
}

func (s *instantStream) Close() error { return nil }

type instantEngines struct{}

func (instantEngines) Engine(string) kiln.Engine { return instant{} }

// fixedServers is one prefill and one decode engine.
type fixedServers []crew.Server

func (s fixedServers) Servers() []crew.Server { return s }

func newFixedServers() fixedServers {
	server := func(name string, role kiln.Role) crew.Server {
		return crew.Server{
			Name:       name,
			Address:    name + ":1",
			DataCentre: "randstad-a",
			Region:     "randstad",
			Model:      model,
			Role:       role,
			Slots:      10_000,
			State:      crew.StateLive,
			Load: kiln.LoadReport{
				At:     time.Now(),
				Role:   role,
				Slots:  1000,
				Pieces: 10000,
				Models: []string{model + "@1"},
			},
		}
	}
	return fixedServers{server("prefill", kiln.RolePrefill), server("decode", kiln.RoleDecode)}
}

type free struct{}

func (free) Admit(context.Context, counter.AdmissionRequest) (counter.Permit, receipt.Reason) {
	return free{}, receipt.Reason{}
}

func (free) Done() {}

// recorder counts what a handler writes.
type recorder struct {
	header http.Header
	bytes  int
	status int
}

func (w *recorder) Header() http.Header { return w.header }

func (w *recorder) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

func (w *recorder) WriteHeader(status int) { w.status = status }

func (w *recorder) Flush() {}
