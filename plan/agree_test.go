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

// drawRecords draws the records of a stream: proposals on the current or an old
// base, correct snapshots of one of the last eight states, and malformed records.
func drawRecords(t *rapid.T) []ledger.Record {
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

// TestReadersConverge checks that readers that start at any offset, with or
// without a document, reach the state of a reader of the full stream or report
// that they are incomplete. No reader may go back to an older version.
func TestReadersConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		full := replay(records)
		known := rapid.IntRange(0, len(records)).Draw(t, "known")
		start := rapid.IntRange(0, len(records)).Draw(t, "start")
		for _, state := range []plan.State{plan.NewState(), replay(records[:known])} {
			state = state.WithStart(ledger.Offset(start))
			for _, record := range records[start:] {
				before := state.Newest().Version
				state, _ = plan.ApplyRecord(state, record)
				if state.Newest().Version < before {
					t.Fatalf("version %d after %d", state.Newest().Version, before)
				}
			}
			if state.IsComplete() && state.Newest() != full.Newest() {
				t.Fatalf("from %d: %+v, full stream: %+v", start, state.Newest(), full.Newest())
			}
			if !state.IsComplete() && state.Newest().Version > full.Newest().Version {
				t.Fatalf("from %d: %+v is newer than the full stream's", start, state.Newest())
			}
		}
	})
}

// TestFollowerStartsFromTail checks that a new follower that starts near the
// end of a truncated stream reaches the state of a reader of the full stream.
// It may be incomplete only if no usable snapshot is retained, and then it must
// have no active document.
func TestFollowerStartsFromTail(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		log := newFakeLog(1)
		log.latency = 0
		for _, record := range records {
			log.appendRecord(record.Payload)
		}
		log.oldest = ledger.Offset(rapid.IntRange(0, len(records)).Draw(t, "oldest"))
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
		state, want := follower.State(), replay(records).Newest()
		if state.IsComplete() && state.Newest() != want {
			t.Fatalf("tail: %+v, full stream: %+v", state.Newest(), want)
		}
		if !state.IsComplete() && (follower.Current() != nil || hasUsableSnapshot(records, log.oldest)) {
			t.Fatalf("follower is incomplete, holds %+v", state.Newest())
		}
	})
}

// hasUsableSnapshot reports whether the retained records include a snapshot
// after which no record has been dropped.
func hasUsableSnapshot(records []ledger.Record, oldest ledger.Offset) bool {
	for _, record := range records[oldest:] {
		state := plan.NewState().WithStart(oldest)
		_, result := plan.ApplyRecord(state, record)
		if _, ok := result.(plan.SnapshotAdopted); ok {
			return true
		}
	}
	return false
}

// TestConfigurationPageNamesEveryField checks that docs/CONFIGURATION.md
// mentions every field of the schema.
func TestConfigurationPageNamesEveryField(t *testing.T) {
	c := qt.New(t)
	page := readFile(c, "../docs/CONFIGURATION.md")
	for _, field := range schemaFields(c) {
		c.Check(page, qt.Matches, `(?s).*[.\x60]`+field+`[\x60\[.].*`, qt.Commentf("field %s", field))
	}
}
