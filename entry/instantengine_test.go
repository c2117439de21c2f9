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

// instantEngine is an engine that responds immediately, so that only the time of the
// router itself is measured.
type instantEngine struct{ kiln.Engine }

func (instantEngine) Reserve(context.Context, kiln.ReserveRequest) error { return nil }

func (instantEngine) Prefill(_ context.Context, req kiln.PrefillRequest) (kiln.PrefillResult, error) {
	return kiln.PrefillResult{
		Source:   "127.0.0.1:1",
		Handle:   req.Attempt,
		Computed: req.Prompt.Tokens,
		KeptMS:   900,
	}, nil
}

func (instantEngine) Import(context.Context, kiln.ImportRequest) error { return nil }

func (instantEngine) Cancel(context.Context, string, kiln.Owner) error { return nil }

func (instantEngine) Decode(_ context.Context, req kiln.DecodeRequest) (kiln.Stream, error) {
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

func (instantEngines) Engine(string) kiln.Engine { return instantEngine{} }

// fixedServers is a fixed list of backend servers. newFixedServers returns one with a
// prefill and a decode engine.
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

type unlimitedAdmission struct{}

func (unlimitedAdmission) Admit(context.Context, counter.AdmissionRequest) (counter.Permit, receipt.Reason) {
	return unlimitedAdmission{}, receipt.Reason{}
}

func (unlimitedAdmission) Done() {}

// countingWriter is a response writer that counts the bytes and discards them.
type countingWriter struct {
	header http.Header
	bytes  int
	status int
}

func (w *countingWriter) Header() http.Header { return w.header }

func (w *countingWriter) Write(b []byte) (int, error) {
	w.bytes += len(b)
	return len(b), nil
}

func (w *countingWriter) WriteHeader(status int) { w.status = status }

func (w *countingWriter) Flush() {}
