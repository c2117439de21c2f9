package replay_test

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/replay"
)

func TestGenerateTraceIsDeterministicAndRoundTrips(t *testing.T) {
	c := qt.New(t)
	cfg := replay.TraceConfig{
		Seed:             7,
		Load:             0.9,
		Seconds:          20,
		LookupsPerSecond: 5,
	}
	for _, profile := range replay.Profiles() {
		first := replay.GenerateTrace(profile, cfg)
		c.Assert(replay.GenerateTrace(profile, cfg), qt.DeepEquals, first)
		var buffer bytes.Buffer
		c.Assert(replay.Write(&buffer, first), qt.IsNil)
		read, err := replay.Read(&buffer)
		c.Assert(err, qt.IsNil)
		c.Assert(read, qt.DeepEquals, first)
		cfg.Seed++
		c.Assert(len(first) > 100, qt.IsTrue)
		c.Assert(replay.GenerateTrace(profile, cfg), qt.Not(qt.DeepEquals), first)
	}
}

func TestGenerateTraceOffersConfiguredLoad(t *testing.T) {
	c := qt.New(t)
	for _, profile := range replay.Profiles() {
		events := replay.GenerateTrace(profile, replay.TraceConfig{
			Seed:    3,
			Load:    1,
			Seconds: 400,
		})
		tokens := 0.0
		for _, e := range events {
			tokens += float64(e.OutputTokens)
		}
		capacity := 400 * float64(profile.Slots()) / profile.Engine.StepFull.Seconds()
		c.Check(math.Abs(tokens/capacity-1) < 0.05, qt.IsTrue, qt.Commentf("%s: %g", profile.Name, tokens/capacity))
	}
}

func TestReadErrorNamesLineAndField(t *testing.T) {
	c := qt.New(t)
	good := `{"at_ms":1,"id":"a","caller":"b","class":"completion","data_centre":"x","priority":1,"prompt_tokens":10,"output_tokens":5,"max_tokens":5}`
	for text, want := range map[string]string{
		`{"flavor":1}`: `read trace: line 2: json: unknown field "flavor"`,
		`{"id":"a"}`:   `read trace: line 2: event "a": id, caller and class are required`,
		strings.Replace(good, `"prompt_tokens":10`, `"prompt_tokens":0`, 1): `read trace: line 2: event a: prompt_tokens 0: want a number from 1 to 1048576`,
		strings.Replace(good, `"at_ms":1`, `"at_ms":-1`, 1):                 `read trace: line 2: event a: at_ms -1: want a number from 0 to 86400000`,
	} {
		_, err := replay.Read(strings.NewReader(good + "\n" + text))
		c.Check(err, qt.ErrorMatches, want)
	}
}

func FuzzRead(f *testing.F) {
	var buffer bytes.Buffer
	_ = replay.Write(&buffer, replay.GenerateTrace(replay.Glasnet(), replay.TraceConfig{
		Seed:             1,
		Load:             0.1,
		Seconds:          2,
		LookupsPerSecond: 2,
	}))
	f.Add(buffer.Bytes())
	f.Add([]byte(`{"id":1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		events, err := replay.Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := replay.Write(&again, events); err != nil {
			t.Fatal(err)
		}
		if _, err := replay.Read(&again); err != nil {
			t.Fatal(err)
		}
	})
}

// runInBubbles returns a function that runs jobs sequentially, each in virtual
// time.
func runInBubbles(t *testing.T) func(jobs []func()) error {
	t.Helper()
	return func(jobs []func()) error {
		for _, job := range jobs {
			synctest.Test(t, func(*testing.T) { job() })
		}
		return nil
	}
}

func TestCompareWritesTableAndPlot(t *testing.T) {
	c := qt.New(t)
	done := 0
	cells, err := replay.Compare(replay.CompareConfig{
		Profiles: replay.Profiles(),
		Policies: replay.Baselines(),
		Loads:    []float64{0.3},
		Seeds:    []uint64{1},
		Seconds:  3,
		WarmUp:   time.Second,
		Run:      runInBubbles(t),
		Progress: func(n, _ int) { done = n },
	})
	c.Assert(err, qt.IsNil)
	c.Assert(cells, qt.HasLen, 6)
	c.Assert(done, qt.Equals, 6)
	for _, cell := range cells {
		c.Check(cell.Goodput.Mean > 0.5, qt.IsTrue, qt.Commentf("%s %s", cell.Profile, cell.Policy))
	}
	var table bytes.Buffer
	c.Assert(replay.WriteTable(&table, cells), qt.IsNil)
	c.Assert(strings.Count(table.String(), "\n"), qt.Equals, 7)
	for _, name := range []string{"plot.svg", "plot.png"} {
		file := filepath.Join(t.TempDir(), name)
		c.Assert(replay.WritePlot(file, cells), qt.IsNil)
		info, err := os.Stat(file)
		c.Assert(err, qt.IsNil)
		c.Assert(info.Size() > 1000, qt.IsTrue)
	}
}
