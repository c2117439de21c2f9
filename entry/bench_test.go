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

// benchSystem is a system over TCP on loopback. Its engines take almost no time, so
// that the measured time is mostly that of the router.
type benchSystem struct {
	system  *system
	prefill string
	decode  string
	client  *http.Client
}

func newBenchSystem(b *testing.B) *benchSystem {
	c := qt.New(b)
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	cfg := entryConfig(subnet+".9", "randstad-a")
	cfg.Platform = subnet + ".1:7000"
	cfg.Crew.Peers = nil
	s := &system{
		c:         c,
		engines:   map[string]*standin.Engine{},
		services:  map[string]*standin.Service{},
		directory: standin.NewDirectory(),
		document:  baseDocument(),
		platform:  standin.NewPlatform(standin.DefaultPlatformConfig()),
		client:    transport.NewClient(),
		entries: map[string]*entryNode{"e1": {
			host: subnet + ".9",
			cfg:  cfg,
		}},
	}
	bs := &benchSystem{
		system:  s,
		prefill: subnet + ".11:9000",
		decode:  subnet + ".12:9000",
		client:  s.client,
	}
	bs.serve(cfg.Platform, s.platform.Handler())
	bs.addEngine("prefill-a", bs.prefill, kiln.RolePrefill)
	bs.addEngine("decode-a", bs.decode, kiln.RoleDecode)
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
		text, _ := s.complete(context.Background(), "e1", callerKey("vecht"), benchPrompt, benchTokens)
		return text != ""
	})
	return bs
}

func (bs *benchSystem) serve(address string, handler http.Handler) {
	listener, err := entry.TCP{}.Listen(address)
	bs.system.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	bs.system.closers = append(bs.system.closers, func() { _ = server.Close() })
}

func (bs *benchSystem) addEngine(name, address string, role kiln.Role) {
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
		Peers:   bs.system.directory,
	})
	bs.system.directory.Add(address, engine)
	bs.serve(address, engine.Handler())
	bs.system.register("engine", name, address, "randstad-a")
	pool := string(role) + "-a"
	bs.system.document.Pools = append(bs.system.document.Pools, plan.Pool{
		Name:       pool,
		Model:      model,
		DataCentre: "randstad-a",
		Role:       string(role),
	})
	bs.system.document.Servers = append(bs.system.document.Servers, plan.Server{
		Name:       name,
		Address:    address,
		DataCentre: "randstad-a",
		Kind:       plan.KindEngine,
		Pool:       pool,
		Slots:      10_000,
	})
}

// direct runs one generation by the same engine calls that the router makes. It returns
// the time to the first frame.
func (bs *benchSystem) direct(ctx context.Context, id string) (firstByte time.Duration, err error) {
	begin := time.Now()
	prefill := kiln.NewClient(kiln.ClientDeps{
		Address: bs.prefill,
		HTTP:    bs.client,
	})
	decode := kiln.NewClient(kiln.ClientDeps{
		Address: bs.decode,
		HTTP:    bs.client,
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
				return firstByte, nil
			}
			return 0, err
		}
		if i == 0 {
			firstByte = time.Since(begin)
		}
	}
}

// routed runs one generation through the entry instance. It returns the time to the
// first line of the response.
func (bs *benchSystem) routed(ctx context.Context, _ string) (firstByte time.Duration, err error) {
	begin := time.Now()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, model, benchPrompt, benchTokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, bs.system.url("e1", "/v1/completions"), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey("vecht"))
	resp, err := bs.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadBytes('\n'); err != nil {
		return 0, err
	}
	firstByte = time.Since(begin)
	rest, err := io.ReadAll(reader)
	if err != nil {
		return 0, err
	}
	if !bytes.Contains(rest, []byte("[DONE]")) {
		return 0, fmt.Errorf("incomplete stream: %.200s", rest)
	}
	return firstByte, nil
}

func measure(b *testing.B, run func(ctx context.Context, id string) (time.Duration, error)) {
	b.ReportAllocs()
	var firstByteTimes, remainingTimes []time.Duration
	n := 0
	for b.Loop() {
		n++
		begin := time.Now()
		firstByte, err := run(context.Background(), fmt.Sprintf("%s-%d", b.Name(), n))
		if err != nil {
			b.Fatal(err)
		}
		firstByteTimes = append(firstByteTimes, firstByte)
		remainingTimes = append(remainingTimes, time.Since(begin)-firstByte)
	}
	slices.Sort(firstByteTimes)
	slices.Sort(remainingTimes)
	b.ReportMetric(float64(firstByteTimes[len(firstByteTimes)/2].Microseconds()), "p50-first-byte-µs")
	b.ReportMetric(float64(remainingTimes[len(remainingTimes)/2].Nanoseconds())/1000/(benchTokens-1), "p50-token-µs")
}

// BenchmarkGeneration compares one streamed generation through an entry instance with
// the same calls made directly to the engines. The difference is the overhead of the
// router.
func BenchmarkGeneration(b *testing.B) {
	bs := newBenchSystem(b)
	b.Run("direct", func(b *testing.B) { measure(b, bs.direct) })
	b.Run("routed", func(b *testing.B) { measure(b, bs.routed) })
}

// BenchmarkGenerationsParallel reports the generations per second through one entry
// instance and directly.
func BenchmarkGenerationsParallel(b *testing.B) {
	bs := newBenchSystem(b)
	for name, run := range map[string]func(context.Context, string) (time.Duration, error){
		"direct": bs.direct,
		"routed": bs.routed,
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

// BenchmarkOwnTime measures the time that the router itself takes for a streamed
// request. The result for one token is the time to the first byte. The difference to
// the result for many tokens is the time of the further tokens.
func BenchmarkOwnTime(b *testing.B) {
	index := plan.NewIndex(baseDocument())
	for _, tokens := range []int{1, 1001} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			set := metrics.New("")
			handler := counter.New(counter.Deps{
				Index:      func() *plan.Index { return index },
				DataCentre: "randstad-a",
				Admission:  unlimitedAdmission{},
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
				r.Header.Set("Authorization", "Bearer "+callerKey("vecht"))
				w := &countingWriter{header: http.Header{}}
				handler.ServeHTTP(w, r)
				if w.status != http.StatusOK || w.bytes < tokens {
					b.Fatalf("status %d after %d bytes", w.status, w.bytes)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(tokens), "ns/token")
		})
	}
}
