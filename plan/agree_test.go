package plan_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

// stream draws records: proposals on the current or an old base, true claims
// as of any earlier offset, however late, and what is no record at all.
func stream(t *rapid.T) []ledger.Record {
	var records []ledger.Record
	states := []plan.State{plan.NewState().WithStart(0)}
	for i := range rapid.IntRange(1, 30).Draw(t, "records") {
		payload := drawPayload(t, i, states)
		records = append(records, ledger.Record{
			Offset:  ledger.Offset(i),
			Payload: payload,
		})
		next, _ := plan.ApplyRecord(states[i], records[i])
		states = append(states, next)
	}
	return records
}

func drawPayload(t *rapid.T, i int, states []plan.State) []byte {
	earlier := states[rapid.IntRange(max(0, len(states)-8), len(states)-1).Draw(t, "as of")]
	var payload []byte
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		payload, err = plan.EncodeProposal(fmt.Sprint(i), document(i).WithBase(states[i].Newest().Digest))
	case 1:
		payload, err = plan.EncodeProposal(fmt.Sprint(i), document(i).WithBase(earlier.Newest().Digest))
	case 2:
		payload = []byte("no record")
	default:
		if earlier.Snapshot().AsOf < 0 {
			return nil
		}
		payload, err = plan.EncodeSnapshot(fmt.Sprint(i), earlier.Snapshot())
	}
	if err != nil {
		t.Fatal(err)
	}
	return payload
}

// TestEveryReaderAgrees checks that readers that start at any offset, with or
// without knowledge, hold what a reader of the whole stream holds, or know that
// they don't know.
func TestEveryReaderAgrees(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		records := stream(t)
		whole := read(records)
		known := rapid.IntRange(0, len(records)).Draw(t, "known")
		start := rapid.IntRange(0, len(records)).Draw(t, "start")
		for _, state := range []plan.State{plan.NewState(), read(records[:known])} {
			state = state.WithStart(ledger.Offset(start))
			for _, record := range records[start:] {
				before := state.Newest().Version
				state, _ = plan.ApplyRecord(state, record)
				if state.Newest().Version < before {
					t.Fatalf("version %d after %d", state.Newest().Version, before)
				}
			}
			if state.IsComplete() && state.Newest() != whole.Newest() {
				t.Fatalf("from %d: %+v, whole stream: %+v", start, state.Newest(), whole.Newest())
			}
			if !state.IsComplete() && state.Newest().Version > whole.Newest().Version {
				t.Fatalf("from %d: %+v is newer than the whole stream's", start, state.Newest())
			}
		}
	})
}

// TestTailIsEnough checks that a fresh follower that begins near the end of a
// stream, of which the oldest records are gone, holds what a reader of the whole
// stream holds, or nothing.
func TestTailIsEnough(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		records := stream(t)
		log := newFakeLog(1)
		log.latency = 0
		for _, record := range records {
			log.push(record.Payload)
		}
		log.from = ledger.Offset(rapid.IntRange(0, len(records)).Draw(t, "oldest"))
		follower := plan.NewFollower(plan.Deps{
			Log:    log,
			Config: plan.DefaultConfig(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follower.Run(ctx)
		}()
		err := follower.Sync(ctx)
		cancel()
		<-done
		if err != nil {
			t.Fatal(err)
		}
		state, want := follower.State(), read(records).Newest()
		if state.IsComplete() && state.Newest() != want {
			t.Fatalf("tail: %+v, whole stream: %+v", state.Newest(), want)
		}
		if !state.IsComplete() && (follower.Current() != nil || claimIsKept(records, log.from)) {
			t.Fatalf("tail is not complete, holds %+v", state.Newest())
		}
	})
}

// claimIsKept tells whether a snapshot is kept after whose snapshot no record is
// gone.
func claimIsKept(records []ledger.Record, oldest ledger.Offset) bool {
	for _, record := range records[oldest:] {
		state := plan.NewState().WithStart(oldest)
		_, result := plan.ApplyRecord(state, record)
		if _, ok := result.(plan.SnapshotAdopted); ok {
			return true
		}
	}
	return false
}

// TestConfigurationPageNamesEveryField checks docs/CONFIGURATION.md against the
// schema.
func TestConfigurationPageNamesEveryField(t *testing.T) {
	c := qt.New(t)
	page := readFile(c, "../docs/CONFIGURATION.md")
	for _, field := range schemaFields(c) {
		c.Check(page, qt.Matches, `(?s).*[.\x60]`+field+`[\x60\[.].*`, qt.Commentf("field %s", field))
	}
}
