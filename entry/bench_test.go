package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/entry"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/standin"
)

const (
	benchTokens = 64
	benchPrompt = "Survey of the north window"
)

// bench is a site over TCP on loopback with engines that take hardly any time,
// so that the router's own share shows.
type bench struct {
	site    *site
	prefill string
	decode  string
	client  *http.Client
}

func newBench(b *testing.B) *bench {
	c := qt.New(b)
	net := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	cfg := entryConfig(net+".9", "randstad-a")
	cfg.Platform = net + ".1:7000"
	cfg.Crew.Peers = nil
	s := &site{
		c:         c,
		engines:   map[string]*standin.Engine{},
		services:  map[string]*standin.Service{},
		directory: standin.NewDirectory(),
		document:  baseDocument(),
		platform:  standin.NewPlatform(standin.DefaultPlatformConfig()),
		client:    transport.NewClient(),
		entries: map[string]*node{"e1": {
			host: net + ".9",
			cfg:  cfg,
		}},
	}
	x := &bench{
		site:    s,
		prefill: net + ".11:9000",
		decode:  net + ".12:9000",
		client:  s.client,
	}
	x.serve(cfg.Platform, s.platform.Handler())
	x.engine("prefill-a", x.prefill, kiln.RolePrefill)
	x.engine("decode-a", x.decode, kiln.RoleDecode)
	instance, err := entry.New(entry.Deps{
		Config:  cfg,
		Network: entry.TCP{},
		Metrics: metrics.New(""),
	})
	c.Assert(err, qt.IsNil)
	ended := make(chan error, 1)
	go func() { ended <- instance.Run() }()
	b.Cleanup(func() {
		instance.Stop(nil)
		<-ended
		for _, closer := range s.closers {
			closer()
		}
	})
	s.publish()
	s.await(20*time.Second, "readiness", func() bool {
		text, _ := s.complete(context.Background(), "e1", keyOf("vecht"), benchPrompt, benchTokens)
		return text != ""
	})
	return x
}

func (x *bench) serve(address string, handler http.Handler) {
	listener, err := entry.TCP{}.Listen(address)
	x.site.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	x.site.closers = append(x.site.closers, func() { _ = server.Close() })
}

func (x *bench) engine(name, address string, role kiln.Role) {
	cfg := standin.DefaultEngineConfig()
	cfg.Role = role
	cfg.Models = []string{model + "@1"}
	cfg.Slots = 10_000
	cfg.Pieces = 1_000_000
	cfg.StepBaseUS = 100
	cfg.StepPerStreamUS = 0
	cfg.PrefillTokensPerSecond = 1e9
	cfg.PrefillBaseUS = 0
	cfg.ImportBytesPerSecond = 1e15
	engine := standin.NewEngine(cfg, standin.EngineDeps{
		Address: address,
		Peers:   x.site.directory,
	})
	x.site.directory.Add(address, engine)
	x.serve(address, engine.Handler())
	x.site.list("engine", name, address, "randstad-a")
	pool := string(role) + "-a"
	x.site.document.Pools = append(x.site.document.Pools, plan.Pool{
		Name:       pool,
		Model:      model,
		DataCentre: "randstad-a",
		Role:       string(role),
	})
	x.site.document.Servers = append(x.site.document.Servers, plan.Server{
		Name:       name,
		Address:    address,
		DataCentre: "randstad-a",
		Kind:       plan.KindEngine,
		Pool:       pool,
		Slots:      10_000,
	})
}

// direct runs one generation against the engines, as the router does.
func (x *bench) direct(ctx context.Context, id string) (first time.Duration, err error) {
	begin := time.Now()
	prefill := kiln.NewClient(kiln.ClientDeps{
		Address: x.prefill,
		HTTP:    x.client,
	})
	decode := kiln.NewClient(kiln.ClientDeps{
		Address: x.decode,
		HTTP:    x.client,
	})
	owner := kiln.Owner{Instance: "bench"}
	prompt := kiln.NewPrompt(benchPrompt)
	if err := decode.Reserve(ctx, kiln.ReserveRequest{
		Attempt: id,
		Owner:   owner,
		Model:   model,
		Tokens:  prompt.Tokens + benchTokens,
		HoldMS:  5000,
	}); err != nil {
		return 0, err
	}
	export, err := prefill.Prefill(ctx, kiln.PrefillRequest{
		Attempt: id,
		Owner:   owner,
		Model:   model,
		Prompt:  prompt,
	})
	if err != nil {
		return 0, err
	}
	if err := decode.Import(ctx, kiln.ImportRequest{
		Attempt: id,
		Owner:   owner,
		Source:  export.Source,
		Handle:  export.Handle,
	}); err != nil {
		return 0, err
	}
	stream, err := decode.Decode(ctx, kiln.DecodeRequest{
		Attempt:   id,
		Owner:     owner,
		Model:     model,
		MaxTokens: benchTokens,
	})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for i := 0; ; i++ {
		if _, err := stream.Next(ctx); err != nil {
			if errors.Is(err, io.EOF) {
				return first, nil
			}
			return 0, err
		}
		if i == 0 {
			first = time.Since(begin)
		}
	}
}

// routed runs one generation through the entry instance.
func (x *bench) routed(ctx context.Context, _ string) (first time.Duration, err error) {
	begin := time.Now()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, benchPrompt, benchTokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, x.site.url("e1", "/v1/completions"), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+keyOf("vecht"))
	resp, err := x.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadBytes('\n'); err != nil {
		return 0, err
	}
	first = time.Since(begin)
	rest, err := io.ReadAll(reader)
	if err != nil {
		return 0, err
	}
	if !bytes.Contains(rest, []byte("[DONE]")) {
		return 0, fmt.Errorf("stream not whole: %.200s", rest)
	}
	return first, nil
}

func measure(b *testing.B, run func(ctx context.Context, id string) (time.Duration, error)) {
	b.ReportAllocs()
	var firsts, totals []time.Duration
	n := 0
	for b.Loop() {
		n++
		begin := time.Now()
		first, err := run(context.Background(), fmt.Sprintf("%s-%d", b.Name(), n))
		if err != nil {
			b.Fatal(err)
		}
		firsts = append(firsts, first)
		totals = append(totals, time.Since(begin)-first)
	}
	slices.Sort(firsts)
	slices.Sort(totals)
	b.ReportMetric(float64(firsts[len(firsts)/2].Microseconds()), "p50-first-byte-µs")
	b.ReportMetric(float64(totals[len(totals)/2].Nanoseconds())/1000/(benchTokens-1), "p50-token-µs")
}

// BenchmarkGeneration compares one streamed generation through an entry
// instance with the same calls made directly to the engines; the difference is
// the router's own time.
func BenchmarkGeneration(b *testing.B) {
	x := newBench(b)
	b.Run("direct", func(b *testing.B) { measure(b, x.direct) })
	b.Run("routed", func(b *testing.B) { measure(b, x.routed) })
}

// BenchmarkGenerationsParallel reports generations a second through one entry
// instance and directly.
func BenchmarkGenerationsParallel(b *testing.B) {
	x := newBench(b)
	for name, run := range map[string]func(context.Context, string) (time.Duration, error){
		"direct": x.direct,
		"routed": x.routed,
	} {
		b.Run(name, func(b *testing.B) {
			var n atomic.Int64
			begin := time.Now()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := run(context.Background(), fmt.Sprintf("%s-p-%d", b.Name(), n.Add(1))); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(n.Load())/time.Since(begin).Seconds(), "generations/s")
		})
	}
}

// BenchmarkOwnTime is the time that the router itself takes for a streamed
// request: with one token it is the time to the first byte, and the difference
// to many tokens that of each token.
func BenchmarkOwnTime(b *testing.B) {
	index := plan.NewIndex(baseDocument())
	for _, tokens := range []int{1, 1001} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			set := metrics.New("")
			handler := counter.New(counter.Deps{
				Index:      func() *plan.Index { return index },
				DataCentre: "randstad-a",
				Admission:  free{},
				Generator: firing.NewRunner(firing.Deps{
					Engines:  instantEngines{},
					Placer:   quotation.NewPlacer(quotation.Deps{Servers: newFixedServers()}),
					Metrics:  set,
					Instance: "bench",
				}),
				Tracker: counter.NewRequestTracker(),
				Metrics: set,
				Config:  counter.DefaultConfig(),
			})
			body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, benchPrompt, tokens)
			b.ReportAllocs()
			for b.Loop() {
				r, _ := http.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
				r.Header.Set("Authorization", "Bearer "+keyOf("vecht"))
				w := &recorder{header: http.Header{}}
				handler.ServeHTTP(w, r)
				if w.status != http.StatusOK || w.bytes < tokens {
					b.Fatalf("status %d after %d bytes", w.status, w.bytes)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
		})
	}
}
