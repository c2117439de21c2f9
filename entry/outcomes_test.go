package entry_test

import (
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/replay/outcome"
)

// maxJitterMS is the maximum random delay of an event, in milliseconds.
const maxJitterMS = 30

// systemInstances kills and starts the entry instances of a system for a trace.
type systemInstances struct{ s *system }

func (i systemInstances) Kill(name string) error {
	i.s.kill(name)
	return nil
}

func (i systemInstances) Start(name string) error {
	i.s.start(name)
	return nil
}

// replayTrace replays a trace that states expected outcomes. The seed determines the
// delays of the events.
func (s *system) replayTrace(c *qt.C, name string, seed uint64) outcome.Report {
	file, err := os.Open("../replay/outcome/testdata/" + name)
	c.Assert(err, qt.IsNil)
	defer file.Close()
	events, err := outcome.Read(file)
	c.Assert(err, qt.IsNil)
	rng := rand.New(rand.NewPCG(seed, 5))
	for i := range events {
		events[i].AtMS += maxJitterMS * rng.Float64()
	}
	cfg := outcome.Config{
		Entries:  map[string]string{},
		Standins: map[string]string{},
		Keys: map[string]string{
			"vecht":  callerKey("vecht"),
			"dommel": callerKey("dommel"),
			"crew":   callerKey("vecht"),
			"school": callerKey("dommel"),
		},
		Model:     model,
		Service:   "workshop-desk",
		Timeout:   2 * time.Minute,
		Client:    s.client,
		Instances: systemInstances{s: s},
	}
	for name, n := range s.entries {
		cfg.Entries[name] = n.cfg.Listen
	}
	for line := range strings.Lines(strings.TrimSpace(twoInstanceSystem)) {
		if fields := strings.Fields(line); fields[0] != "entry" {
			cfg.Standins[fields[1]] = fields[2]
		}
	}
	report, err := outcome.Replay(c.Context(), cfg, events)
	c.Assert(err, qt.IsNil)
	return report
}

func checkExpectations(c *qt.C, report outcome.Report) {
	c.Helper()
	c.Check(report.Lines, qt.Not(qt.HasLen), 0)
	for _, line := range report.Failed() {
		c.Errorf("%s: want %s, got %s after %.0f ms", line.Event, line.Expected, line.Got, line.TookMS)
	}
}

func runTraceProof(t *testing.T, promise, failures, file string) {
	prooftest.Run(t, prooftest.Row{
		Promise:  promise,
		Failures: failures,
	}, 3, func(c *qt.C, seed uint64) {
		withSystemForSeed(c, twoInstanceSystem, func(c *qt.C, s *system) {
			checkExpectations(c, s.replayTrace(c, file, seed))
		})
	})
}

func TestProofTraceGlasnet12March(t *testing.T) {
	runTraceProof(t, "own whole answer", "trace: the owner of two studios' drafts killed", "glasnet-12-march.jsonl")
}

func TestProofTraceGlasnet19March(t *testing.T) {
	runTraceProof(t, "at most once", "trace: lost answers, repeats over another instance, a rival with the same key", "glasnet-19-march.jsonl")
}

func TestProofTraceGlasnet2April(t *testing.T) {
	runTraceProof(t, "lookups answered", "trace: repeated lookups while a desk hangs", "glasnet-2-april.jsonl")
}

func TestProofTraceSkinshellDay(t *testing.T) {
	runTraceProof(t, "all", "trace: broken streams, spoilt frames, an engine's death, a platform outage", "skinshell-day.jsonl")
}

// TestTraceFailsWithoutHedging checks that the trace detects a router that sends no
// hedges.
func TestTraceFailsWithoutHedging(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		for _, name := range s.entryNames() {
			s.stop(name)
			s.entries[name].cfg.Workshop.MaxTries = 1
			s.start(name)
			s.await(10*time.Second, "routing document at "+name, func() bool { return s.healthy(name) })
		}
		failed := s.replayTrace(c, "glasnet-2-april.jsonl", 1).Failed()
		c.Assert(failed, qt.Not(qt.HasLen), 0)
		c.Check(failed[0].Event, qt.Equals, "counter-1")
	})
}
