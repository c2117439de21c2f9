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

// bench is a platform on loopback and a directory for files.
type bench struct {
	c        *qt.C
	platform *standin.Platform
	address  string
	dir      string
}

func newBench(c *qt.C) *bench {
	platform := standin.NewPlatform(standin.DefaultPlatformConfig())
	server := httptest.NewServer(platform.Handler())
	c.Cleanup(server.Close)
	return &bench{
		c:        c,
		platform: platform,
		address:  strings.TrimPrefix(server.URL, "http://"),
		dir:      c.TempDir(),
	}
}

// answer is what a run printed with --json.
type answer struct {
	ExitCode int             `json:"exit_code"`
	Error    string          `json:"error"`
	Result   json.RawMessage `json:"result"`
}

func (b *bench) run(args ...string) answer {
	b.c.Helper()
	var stdout, stderr bytes.Buffer
	code := ctl.Run(ctl.Deps{
		Args:   append([]string{"--json", "--platform", b.address}, args...),
		Getenv: func(string) string { return operatorKey },
		Stdout: &stdout,
		Stderr: &stderr,
	})
	var out answer
	b.c.Assert(json.Unmarshal(stdout.Bytes(), &out), qt.IsNil, qt.Commentf("%s%s", stdout.String(), stderr.String()))
	b.c.Assert(out.ExitCode, qt.Equals, code)
	return out
}

func (b *bench) write(name string, document plan.Document) string {
	file := filepath.Join(b.dir, name)
	b.c.Assert(os.WriteFile(file, document.Encode(), 0o600), qt.IsNil)
	return file
}

// shown returns the document that show --edit prints.
func (b *bench) shown() plan.Document {
	b.c.Helper()
	out := b.run("show", "--edit")
	b.c.Assert(out.ExitCode, qt.Equals, ctl.ExitOK, qt.Commentf("%s", out.Error))
	var result struct{ Document plan.Document }
	b.c.Assert(json.Unmarshal(out.Result, &result), qt.IsNil)
	return result.Document
}

func example(c *qt.C) plan.Document {
	raw, err := os.ReadFile("../plan/testdata/glasnet.json")
	c.Assert(err, qt.IsNil)
	document, err := plan.Decode(raw)
	c.Assert(err, qt.IsNil)
	return document
}

func TestPublishEditAndRace(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	c.Assert(b.run("show").ExitCode, qt.Equals, ctl.ExitFailed)
	c.Assert(b.run("publish", b.write("first.json", example(c))).ExitCode, qt.Equals, ctl.ExitOK)

	mine, yours := b.shown(), b.shown()
	mine.Callers[0].Weight = 7
	yours.Callers[1].Weight = 9
	c.Assert(b.run("diff", b.write("mine.json", mine)).ExitCode, qt.Equals, ctl.ExitDiffers)
	c.Assert(b.run("publish", b.write("mine.json", mine)).ExitCode, qt.Equals, ctl.ExitOK)
	late := b.run("publish", b.write("yours.json", yours))
	c.Assert(late.ExitCode, qt.Equals, ctl.ExitBaseMoved)
	c.Assert(string(late.Result), qt.Contains, "callers/atelier-vecht")
	c.Assert(b.shown().Callers[0].Weight, qt.Equals, 7)
	c.Assert(b.shown().Callers[1].Weight, qt.Equals, 100)

	conflicting := yours
	conflicting.Callers = slices.Clone(yours.Callers)
	conflicting.Callers[0].Weight = 8
	out := b.run("publish", "--merge", b.write("conflicting.json", conflicting))
	c.Assert(out.ExitCode, qt.Equals, ctl.ExitBaseMoved)
	c.Assert(out.Error, qt.Contains, "both sides changed callers/atelier-vecht")
	c.Assert(b.run("publish", "--merge", b.write("yours.json", yours)).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(b.shown().Callers[0].Weight, qt.Equals, 7)
	c.Assert(b.shown().Callers[1].Weight, qt.Equals, 9)
}

func TestPublishRefusesFindings(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	wrong := example(c)
	wrong.Callers[0].Models = []string{"unknown"}
	file := b.write("wrong.json", wrong)
	for _, command := range []string{"check", "publish", "digest"} {
		out := b.run(command, file)
		c.Assert(out.ExitCode, qt.Equals, ctl.ExitFindings)
		c.Assert(string(out.Result), qt.Contains, "callers[0].models[0]")
	}
	c.Assert(b.run("show").ExitCode, qt.Equals, ctl.ExitFailed)
}

func TestPublishReadsLostAnswerBack(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.platform.Faults().Set(standin.Rule{
		Kind:  standin.FaultDropAnswer,
		Call:  "append",
		Count: 1,
	})
	c.Assert(b.run("publish", b.write("first.json", example(c))).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(b.shown().Callers, qt.HasLen, 3)
}

func TestUnknownOutcomeIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	b.platform.Faults().Set(standin.Rule{
		Kind: standin.FaultStall,
		Call: "append",
	})
	file := b.write("first.json", example(c))
	out := b.run("--timeout", "300ms", "publish", file)
	c.Assert(out.ExitCode, qt.Equals, ctl.ExitUnknown, qt.Commentf("%s", out.Error))
	var result struct {
		RecordID string `json:"record_id"`
	}
	c.Assert(json.Unmarshal(out.Result, &result), qt.IsNil)
	b.platform.Faults().Set()
	for range 2 {
		c.Assert(b.run("publish", "--record-id", result.RecordID, file).ExitCode, qt.Equals, ctl.ExitOK)
	}
	c.Assert(b.run("publish", file).ExitCode, qt.Equals, ctl.ExitBaseMoved)
}

func TestStatusAndDrain(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
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
	c.Assert(b.run("--instance", newer, "status").ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(b.run("--instance", newer, "--instance", older, "status").ExitCode, qt.Equals, ctl.ExitNotEverywhere)
	c.Assert(b.run("--instance", newer, "--instance", "127.0.0.1:1", "status").ExitCode, qt.Equals, ctl.ExitNotEverywhere)
	c.Assert(b.run("status").ExitCode, qt.Equals, ctl.ExitUsage)
	c.Assert(b.run("drain", newer).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(drains.Load(), qt.Equals, int32(1))
	c.Assert(b.run("drain", "newer").ExitCode, qt.Equals, ctl.ExitUsage)

	resp, err := http.Post("http://"+newer+operator.PathDrain, "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
	c.Assert(drains.Load(), qt.Equals, int32(1))
}

func TestRestoreNeedsATotalLoss(t *testing.T) {
	c := qt.New(t)
	b := newBench(c)
	held := plan.NoVersion
	server := httptest.NewServer(operator.NewHandler(operator.HandlerDeps{
		Key: operatorKey,
		Status: func() operator.Status {
			return operator.Status{Document: operator.DocumentStatus{Version: held}}
		},
	}))
	c.Cleanup(server.Close)
	instance := strings.TrimPrefix(server.URL, "http://")
	file := b.write("first.json", example(c))
	restore := func() int { return b.run("--instance", instance, "restore", file).ExitCode }

	c.Assert(b.run("restore", file).ExitCode, qt.Equals, ctl.ExitUsage)
	c.Assert(restore(), qt.Equals, ctl.ExitBaseMoved)
	c.Assert(b.run("publish", file).ExitCode, qt.Equals, ctl.ExitOK)
	c.Assert(restore(), qt.Equals, ctl.ExitBaseMoved)
	b.platform.Trim(ledger.StreamDocuments, 1)
	c.Assert(b.run("show").ExitCode, qt.Equals, ctl.ExitFailed)
	held = 0
	c.Assert(restore(), qt.Equals, ctl.ExitNotEverywhere)
	held = plan.NoVersion
	c.Assert(restore(), qt.Equals, ctl.ExitOK)
	c.Assert(b.shown().Callers, qt.HasLen, 3)
}

// explain reads logs from files or standard input; no line of the request is an
// exit code of its own.
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
		"no file": {
			args: []string{"a1", file + ".gone"},
			code: ctl.ExitFailed,
			want: "read log: ",
		},
		"no id": {
			code: ctl.ExitUsage,
			want: "ID",
		},
	} {
		code, text := run(test.stdin, test.args...)
		c.Check(code, qt.Equals, test.code, qt.Commentf("%s: %s", name, text))
		c.Check(strings.Contains(text, test.want), qt.IsTrue, qt.Commentf("%s: %s", name, text))
	}
}
