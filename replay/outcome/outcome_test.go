package outcome_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/replay/outcome"
	"github.com/balsamlock/balsamlock/standin"
)

func TestReadRejectsInvalidTraces(t *testing.T) {
	draft := `{"id": "d", "at_ms": 0, "caller": "a", "entry": "e1", "draft": {"prompt": "x", "max_tokens": 1}}` + "\n"
	for _, test := range []struct{ name, trace, want string }{
		{"empty", "", "no events"},
		{"unknown field", `{"id": "x", "wants": {}}`, `line 1: .*unknown field "wants"`},
		{"no action", `{"id": "x"}`, `event x: want exactly one action, got 0`},
		{"two actions", `{"id": "x", "fault": {"standin": "s"}, "runs": {"key": "k", "standins": ["s"], "times": 1}}`, `event x: want exactly one action, got 2`},
		{"duplicate id", draft + draft, `line 2: event "d": id: .*`},
		{"unknown event", `{"id": "x", "after": ["y"], "fault": {"standin": "s"}}`, `event x: no earlier event "y" .*`},
		{"after an end check", `{"id": "y", "caller": "a", "runs": {"key": "k", "standins": ["s"], "times": 1}}` + "\n" + `{"id": "x", "after": ["y"], "fault": {"standin": "s"}}`, `line 2: event x: no earlier event "y" .*`},
		{"no caller", `{"id": "x", "lookup": {"path": "/p"}}`, `event x: want caller, entry and a path .*`},
		{"not a draft", `{"id": "f", "fault": {"standin": "s"}}` + "\n" + `{"id": "x", "caller": "a", "entry": "e1", "collect": {"draft": "f", "key": "k"}}`, `.*event x: want caller, entry, key and a draft`},
		{"invalid want.ran", `{"id": "x", "caller": "a", "entry": "e1", "lookup": {"path": "/p"}, "want": {"ran": "maybe"}}`, `.*want.ran "maybe".*`},
		{"invalid state", `{"id": "x", "instance": {"name": "e1", "state": "asleep"}}`, `.*want state killed or started`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := outcome.Read(strings.NewReader(test.trace))
			c.Assert(err, qt.ErrorMatches, "read trace: .*"+test.want)
		})
	}
}

func TestReadAcceptsUserTraces(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.jsonl")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 4)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		_, err = outcome.Read(bytes.NewReader(raw))
		c.Check(err, qt.IsNil, qt.Commentf("%s", file))
	}
}

// replayAgainst replays a trace against a stand-in service directly, without a
// router in between.
func replayAgainst(c *qt.C, handler http.Handler, trace string) (outcome.Report, error) {
	server := httptest.NewServer(http.StripPrefix("/services/desk", handler))
	defer server.Close()
	events, err := outcome.Read(strings.NewReader(trace))
	c.Assert(err, qt.IsNil)
	address := strings.TrimPrefix(server.URL, "http://")
	return outcome.Replay(c.Context(), outcome.Config{
		Entries:  map[string]string{"e1": address},
		Standins: map[string]string{"desk": address + "/services/desk"},
		Keys:     map[string]string{"a": "key"},
		Service:  "desk",
		Timeout:  10 * time.Second,
	}, events)
}

func TestReportListsFailedChecks(t *testing.T) {
	c := qt.New(t)
	service := standin.NewService("desk", standin.DefaultServiceConfig())
	report, err := replayAgainst(c, service.Handler(), `
{"id": "first", "at_ms": 0, "caller": "a", "entry": "e1", "order": {"key": "k", "body": "x"}, "want": {"whole": true}}
{"id": "second", "at_ms": 0, "after": ["first"], "caller": "a", "entry": "e1", "order": {"key": "k", "body": "x"}, "want": {"same_as": "first"}}
{"id": "third", "at_ms": 0, "caller": "a", "entry": "e1", "lookup": {"path": "/p"}, "want": {"whole": true, "status": 404, "differs_from": "first", "within_ms": 0.001, "at_least_ms": 9000, "ran": "not_run"}}
{"id": "fourth", "at_ms": 0, "after": ["third"], "caller": "a", "entry": "e1", "lookup": {"path": "/p"}, "want": {"same_as": "third", "differs_from": "third"}}
{"id": "refused", "at_ms": 0, "fault": {"standin": "desk", "rules": [{"kind": "no_such"}]}}
{"id": "once", "at_ms": 0, "runs": {"key": "k", "standins": ["desk"], "times": 1}}
{"id": "twice", "at_ms": 0, "runs": {"key": "k", "standins": ["desk"], "times": 2}}
`)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Met(), qt.IsFalse)
	var missed []string
	for _, line := range report.Failed() {
		missed = append(missed, line.Event+": "+line.Expected)
	}
	c.Assert(missed, qt.DeepEquals, []string{
		"second: same as first",
		"third: status 404",
		"third: within 0.001 ms",
		"third: after at least 9000 ms",
		"third: ran not_run",
		"fourth: differs from third",
		"refused: done",
		"once: 1 runs of k",
	})
}

func TestReplayWithoutInstancesReturnsError(t *testing.T) {
	c := qt.New(t)
	_, err := replayAgainst(c, http.NotFoundHandler(), `{"id": "x", "instance": {"name": "e1", "state": "killed"}}`)
	c.Assert(err, qt.ErrorIs, outcome.ErrNoInstances)
}

func FuzzRead(f *testing.F) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := qt.New(t)
		events, err := outcome.Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		for _, e := range events {
			c.Check(e.Action(), qt.IsNotNil)
		}
	})
}
