package plan_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

// FuzzDecode checks that a decoded document is unchanged after it is encoded
// and decoded again, that its digest is stable, and that a document without
// findings can be indexed.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/*.json")
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
	f.Add(document(1).Encode())
	f.Add([]byte(`{"format_version":1,"base":"","regions":[],"links":[],"models":[],"services":[],"pools":[],"servers":[],"callers":[]}`))
	f.Add([]byte(`{"format_version":1,"format_version":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := qt.New(t)
		decoded, err := plan.Decode(raw)
		if err != nil {
			c.Assert(plan.FindingsOf(err), qt.Not(qt.HasLen), 0)
			return
		}
		again, err := plan.Decode(decoded.Encode())
		c.Assert(err, qt.IsNil)
		c.Assert(again.Digest(), qt.Equals, decoded.Digest())
		c.Assert(plan.Diff(decoded, again), qt.HasLen, 0)
		if len(decoded.Check()) == 0 {
			plan.NewIndex(decoded)
		}
	})
}

// FuzzAccept checks that no payload makes a reader fail and that only valid
// documents are accepted.
func FuzzAccept(f *testing.F) {
	valid, err := plan.EncodeProposal("id", document(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, payload []byte) {
		c := qt.New(t)
		state, result := plan.ApplyRecord(plan.NewState().WithStart(0), ledger.Record{Payload: payload})
		c.Assert(state.Next(), qt.Equals, ledger.Offset(1))
		if _, ok := result.(plan.ProposalAccepted); ok {
			c.Assert(state.Snapshot().Document.Validate(), qt.HasLen, 0)
		}
	})
}
