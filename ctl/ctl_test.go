package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/ctl"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/standin"
)

const operatorKey = "an-operators-key-of-tests"

// testEnv holds a platform stand-in on the loopback interface and a directory for documents.
type testEnv struct {
	c        *qt.C
	platform *standin.Platform
	address  string
	dir      string
}

func newTestEnv(c *qt.C) *testEnv {
	platform := standin.NewPlatform(standin.DefaultPlatformConfig())
	server := httptest.NewServer(platform.Handler())
	c.Cleanup(server.Close)
	return &testEnv{
		c:        c,
		platform: platform,
		address:  strings.TrimPrefix(server.URL, "http://"),
		dir:      c.TempDir(),
	}
}

// commandOutput is the output of a command with --json.
type commandOutput struct {
	ExitCode int             `json:"exit_code"`
	Error    string          `json:"error"`
	Result   json.RawMessage `json:"result"`
}

func (e *testEnv) run(args ...string) commandOutput {
	e.c.Helper()
	var stdout, stderr bytes.Buffer
	code := ctl.Run(ctl.Deps{
		Args:   append([]string{"--json", "--platform", e.address}, args...),
		Getenv: func(string) string { return operatorKey },
		Stdout: &stdout,
		Stderr: &stderr,
	})
	var out commandOutput
	e.c.Assert(json.Unmarshal(stdout.Bytes(), &out), qt.IsNil, qt.Commentf("%s%s", stdout.String(), stderr.String()))
	e.c.Assert(out.ExitCode, qt.Equals, code)
	return out
}

func (e *testEnv) writeDocument(name string, document plan.Document) string {
	file := filepath.Join(e.dir, name)
	e.c.Assert(os.WriteFile(file, document.Encode(), 0o600), qt.IsNil)
	return file
}

// showForEdit returns the document printed by show --edit.
func (e *testEnv) showForEdit() plan.Document {
	e.c.Helper()
	out := e.run("show", "--edit")
	e.c.Assert(out.ExitCode, qt.Equals, ctl.ExitOK, qt.Commentf("%s", out.Error))
	var result struct{ Document plan.Document }
	e.c.Assert(json.Unmarshal(out.Result, &result), qt.IsNil)
	return result.Document
}

func exampleDocument(c *qt.C) plan.Document {
	raw, err := os.ReadFile("../plan/testdata/glasnet.json")
	c.Assert(err, qt.IsNil)
	document, err := plan.Decode(raw)
	c.Assert(err, qt.IsNil)
	return document
}

// Of two concurrent edits, the second is refused unless it is merged. Edits of the same entry aren't merged.
func TestPublishConcurrentEdits(t *testing.T) {
	c := qt.New(t)
	e := newTestEnv(c)
	c.Assert(e.run("show").ExitCode, qt.Equals, ctl.ExitFailed)
	c.Assert(e.run("publish", e.writeDocument("first.json", exampleDocument(c))).ExitCode, qt.Equals, ctl.ExitOK)

	ours, theirs := e.showForEdit(), e.showForEdit()
	ours.Callers[0].Weight = 7
	theirs.Callers[1].Weight = 9
	c.Assert(e.run("diff", e.writeDocument("ours.json", ours)).ExitCode, qt.Equals, ctl.ExitDiffers)
	c.Assert(e.run("publish", e.writeDocument("ours.json", ours)).ExitCode, qt.Equals, ctl.ExitOK)
	refused := e.run("publish", e.writeDocument("theirs.json", theirs))
	c.Assert(refused.ExitCode, qt.Equals, ctl.ExitBaseMoved)
	c.Assert(string(refused.Result), qt.Contains, "callers/atelier-vecht")
	c.Assert(e.showForEdit().Callers[0].Weight, qt.Equals, 7)
	c.Assert(e.showForEdit().Callers[1].Weight, qt.Equals, 100)

	conflicting := theirs
	conflicting.Callers = slices.Clone(theirs.Callers)
	conflicting.Callers[0].Weight = 8
	out := e.run("publish", "--merge", e.writeDocument("conflicting.json", conflicting))
	c.Assert(out.ExitCode, qt.Equals, ctl.ExitBaseMoved)
	c.Assert(out.Error, qt.Contains, "both sides changed callers/atelier-vecht")
	c.Assert(e.run("publish", "--merge", e.writeDocument("theirs.json", theirs)).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(e.showForEdit().Callers[0].Weight, qt.Equals, 7)
	c.Assert(e.showForEdit().Callers[1].Weight, qt.Equals, 9)
}

func TestPublishInvalidDocument(t *testing.T) {
	c := qt.New(t)
	e := newTestEnv(c)
	invalid := exampleDocument(c)
	invalid.Callers[0].Models = []string{"unknown"}
	file := e.writeDocument("invalid.json", invalid)
	for _, command := range []string{"check", "publish", "digest"} {
		out := e.run(command, file)
		c.Assert(out.ExitCode, qt.Equals, ctl.ExitFindings)
		c.Assert(string(out.Result), qt.Contains, "callers[0].models[0]")
	}
	c.Assert(e.run("show").ExitCode, qt.Equals, ctl.ExitFailed)
}

// The response to the append is lost, so that publish reads the outcome from the log.
func TestPublishLostResponse(t *testing.T) {
	c := qt.New(t)
	e := newTestEnv(c)
	e.platform.Faults().Set(standin.Rule{
		Kind:  standin.FaultDropAnswer,
		Call:  "append",
		Count: 1,
	})
	c.Assert(e.run("publish", e.writeDocument("first.json", exampleDocument(c))).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(e.showForEdit().Callers, qt.HasLen, 3)
}

// A publication with an unknown outcome can be repeated with its record id any number of times. It is accepted only once.
func TestPublishUnknownOutcome(t *testing.T) {
	c := qt.New(t)
	e := newTestEnv(c)
	e.platform.Faults().Set(standin.Rule{
		Kind: standin.FaultStall,
		Call: "append",
	})
	file := e.writeDocument("first.json", exampleDocument(c))
	out := e.run("--timeout", "300ms", "publish", file)
	c.Assert(out.ExitCode, qt.Equals, ctl.ExitOutcomeUnknown, qt.Commentf("%s", out.Error))
	var result struct {
		RecordID string `json:"record_id"`
	}
	c.Assert(json.Unmarshal(out.Result, &result), qt.IsNil)
	e.platform.Faults().Set()
	for range 2 {
		c.Assert(e.run("publish", "--record-id", result.RecordID, file).ExitCode, qt.Equals, ctl.ExitOK)
	}
	c.Assert(e.run("publish", file).ExitCode, qt.Equals, ctl.ExitBaseMoved)
}

func TestStatusAndDrain(t *testing.T) {
	c := qt.New(t)
	e := newTestEnv(c)
	var drains atomic.Int32
	instance := func(version plan.Version) string {
		server := httptest.NewServer(operator.NewHandler(operator.HandlerDeps{
			Key: operatorKey,
			Status: func() operator.Status {
				return operator.Status{
					State:    operator.StateServing,
					Document: operator.DocumentStatus{Version: version},
				}
			},
			Drain: func() { drains.Add(1) },
		}))
		c.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	newer, older := instance(4), instance(3)
	c.Assert(e.run("--instance", newer, "status").ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(e.run("--instance", newer, "--instance", older, "status").ExitCode, qt.Equals, ctl.ExitNotInForce)
	c.Assert(e.run("--instance", newer, "--instance", "127.0.0.1:1", "status").ExitCode, qt.Equals, ctl.ExitNotInForce)
	c.Assert(e.run("status").ExitCode, qt.Equals, ctl.ExitUsage)
	c.Assert(e.run("drain", newer).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(drains.Load(), qt.Equals, int32(1))
	c.Assert(e.run("drain", "newer").ExitCode, qt.Equals, ctl.ExitUsage)

	resp, err := http.Post("http://"+newer+operator.PathDrain, "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	c.Assert(drains.Load(), qt.Equals, int32(1))
}

// restore is refused unless the log has lost the accepted document and no instance holds one.
func TestRestoreRequiresTotalLoss(t *testing.T) {
	c := qt.New(t)
	e := newTestEnv(c)
	version := plan.NoVersion
	server := httptest.NewServer(operator.NewHandler(operator.HandlerDeps{
		Key: operatorKey,
		Status: func() operator.Status {
			return operator.Status{Document: operator.DocumentStatus{Version: version}}
		},
	}))
	c.Cleanup(server.Close)
	instance := strings.TrimPrefix(server.URL, "http://")
	file := e.writeDocument("first.json", exampleDocument(c))
	restore := func() int { return e.run("--instance", instance, "restore", file).ExitCode }

	c.Assert(e.run("restore", file).ExitCode, qt.Equals, ctl.ExitUsage)
	c.Assert(restore(), qt.Equals, ctl.ExitBaseMoved)
	c.Assert(e.run("publish", file).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(restore(), qt.Equals, ctl.ExitBaseMoved)
	e.platform.Trim(ledger.StreamDocuments, 1)
	c.Assert(e.run("show").ExitCode, qt.Equals, ctl.ExitFailed)
	version = 0
	c.Assert(restore(), qt.Equals, ctl.ExitNotInForce)
	version = plan.NoVersion
	c.Assert(restore(), qt.Equals, ctl.ExitOK)
	c.Assert(e.showForEdit().Callers, qt.HasLen, 3)
}

// explain reads logs from files or standard input, and has a separate exit code for a request
// without lines.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	log := `{"time":"2026-12-04T10:00:08.010Z","instance":"entry-1","event":"request","id":"a1","outcome":"no_route"}` + "\n"
	file := filepath.Join(c.TempDir(), "entry-1.log")
	c.Assert(os.WriteFile(file, []byte(log), 0o600), qt.IsNil)
	run := func(stdin string, args ...string) (int, string) {
		var stdout, stderr bytes.Buffer
		code := ctl.Run(ctl.Deps{
			Args:   append([]string{"explain"}, args...),
			Getenv: func(string) string { return "" },
			Stdin:  strings.NewReader(stdin),
			Stdout: &stdout,
			Stderr: &stderr,
		})
		return code, stdout.String() + stderr.String()
	}
	for name, test := range map[string]struct {
		stdin string
		args  []string
		code  int
		want  string
	}{
		"file": {
			args: []string{"a1", file},
			code: ctl.ExitOK,
			want: "No route of the configuration in force matches it; it was answered with 404.",
		},
		"standard input": {
			stdin: log,
			args:  []string{"a1"},
			code:  ctl.ExitOK,
			want:  "No route of the configuration",
		},
		"unknown": {
			args: []string{"a2", file},
			code: ctl.ExitNotFound,
			want: `no line names request "a2"`,
		},
		"missing file": {
			args: []string{"a1", file + ".missing"},
			code: ctl.ExitFailed,
			want: "read log: ",
		},
		"missing id": {
			code: ctl.ExitUsage,
			want: "ID",
		},
	} {
		code, text := run(test.stdin, test.args...)
		c.Check(code, qt.Equals, test.code, qt.Commentf("%s: %s", name, text))
		c.Check(strings.Contains(text, test.want), qt.IsTrue, qt.Commentf("%s: %s", name, text))
	}
}
