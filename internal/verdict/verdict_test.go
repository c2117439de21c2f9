package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const module = "example.test/m"

// evaluateEvents calls evaluate with a list of known failures and returns its result and
// output.
func evaluateEvents(c *qt.C, knownFailures, events string) (bool, string) {
	file := filepath.Join(c.TempDir(), "KNOWN-RED.txt")
	c.Assert(os.WriteFile(file, []byte(knownFailures), 0o600), qt.IsNil)
	var out strings.Builder
	ok, err := evaluate(options{KnownFailures: file}, strings.NewReader(events), &out)
	c.Assert(err, qt.IsNil)
	return ok, out.String()
}

func TestEvaluate(t *testing.T) {
	failing := `{"Action":"output","Package":"example.test/m/order","Test":"TestA/seed=3","Output":"boom\n"}
{"Action":"fail","Package":"example.test/m/order","Test":"TestA/seed=3"}
{"Action":"fail","Package":"example.test/m/order","Test":"TestA"}
{"Action":"fail","Package":"example.test/m/order"}
`
	passing := `{"Action":"pass","Package":"example.test/m/plan","Test":"TestB"}
{"Action":"pass","Package":"example.test/m/plan"}
`
	knownFailure := "order.TestA | go test ./order, seed 3 | boom | 4\n"
	buildFailure := `{"Action":"build-fail","ImportPath":"example.test/m/order"}
{"Action":"fail","Package":"example.test/m/order"}
`
	knownCrash := "order | go test ./order | CHECK failed | 4\n"
	crash := `{"Action":"run","Package":"example.test/m/order","Test":"TestA"}
{"Action":"output","Package":"example.test/m/order","Test":"TestA","Output":"runtime: CHECK failed: x.cpp:1\n"}
{"Action":"output","Package":"example.test/m/order","Output":"FAIL\n"}
{"Action":"fail","Package":"example.test/m/order"}
`
	for _, test := range []struct {
		name   string
		known  string
		events string
		want   bool
		output string
	}{
		{
			name:   "pass",
			events: passing,
			want:   true,
			output: "1 passed, 0 failed, 0 skipped",
		},
		{
			name:   "fail",
			events: failing + passing,
			want:   false,
			output: "boom",
		},
		{
			name:   "known failure",
			known:  knownFailure,
			events: failing + passing,
			want:   true,
			output: "known red: 1",
		},
		{
			name:   "known failure does not hide a build failure",
			known:  knownFailure,
			events: buildFailure,
			want:   false,
			output: "FAILED",
		},
		{
			name:   "known failure of another test",
			known:  "order.TestAB | c | s | 4\n",
			events: failing,
			want:   false,
			output: "FAILED",
		},
		{
			name:   "known crash of a package",
			known:  knownCrash,
			events: crash,
			want:   true,
			output: "known red: 1",
		},
		{
			name:   "crash is printed with the output of the test that it ended",
			events: crash,
			want:   false,
			output: "CHECK failed: x.cpp:1",
		},
		{
			name:   "known crash does not hide another crash",
			known:  knownCrash,
			events: strings.ReplaceAll(crash, "CHECK failed", "panic"),
			want:   false,
			output: "FAILED",
		},
		{
			name:   "two known crashes of a package",
			known:  knownCrash + "order | go test ./order | SIGSEGV | 4\n",
			events: crash,
			want:   true,
			output: "known red: 1",
		},
		{
			name:   "known crash does not hide a build failure",
			known:  knownCrash,
			events: buildFailure,
			want:   false,
			output: "FAILED",
		},
		{
			name:   "known crash does not hide a failed test",
			known:  knownCrash,
			events: failing + crash,
			want:   false,
			output: "boom",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ok, out := evaluateEvents(c, test.known, test.events)
			c.Assert(ok, qt.Equals, test.want, qt.Commentf("%s", out))
			c.Assert(out, qt.Contains, test.output)
		})
	}
}

func TestReadRunEmpty(t *testing.T) {
	c := qt.New(t)
	_, err := readRun(strings.NewReader(""))
	c.Assert(err, qt.ErrorMatches, ".*no package finished")
}

func TestPrintProofs(t *testing.T) {
	c := qt.New(t)
	events := `{"Action":"output","Package":"` + module + `","Test":"TestProofX","Output":"    x.go:1: proof: {\"promise\":\"p\",\"test\":\"TestProofX\",\"runs\":2,\"violations\":0}\n"}
{"Action":"pass","Package":"` + module + `","Test":"TestProofX"}
`
	run, err := readRun(strings.NewReader(events))
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	c.Assert(printProofs(&out, run, "| `TestProofX` |\n## Not proved\n- one\n- two\n"), qt.IsTrue)
	c.Assert(out.String(), qt.Contains, "proofs: 1 held, 0 red, 2 not proved")
	c.Assert(printProofs(&out, run, "nothing"), qt.IsFalse)
	c.Assert(printProofs(&out, run, "`TestProofX` `TestProofGone`"), qt.IsFalse)
}
