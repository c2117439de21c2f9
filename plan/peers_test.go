package plan_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

// publishedRecords returns the records of n documents, each based on the
// previous one.
func publishedRecords(c *qt.C, n int) []ledger.Record {
	var records []ledger.Record
	base := ""
	for i := range n {
		d := document(i).WithBase(base)
		base = d.Digest()
		payload, err := plan.EncodeProposal("id", d)
		c.Assert(err, qt.IsNil)
		records = append(records, ledger.Record{
			Offset:  ledger.Offset(i),
			Payload: payload,
		})
	}
	return records
}

func replay(records []ledger.Record) plan.State {
	state := plan.NewState().WithStart(0)
	for _, record := range records {
		state, _ = plan.ApplyRecord(state, record)
	}
	return state
}

func TestPeersServeNewestDocument(t *testing.T) {
	c := qt.New(t)
	log := newFakeLog(1)
	for _, record := range publishedRecords(c, 3) {
		log.appendRecord(record.Payload)
	}
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
	defer func() {
		cancel()
		<-done
	}()
	c.Assert(follower.Wait(ctx, 2), qt.IsNil)
	server := httptest.NewServer(plan.NewService(follower))
	defer server.Close()
	client := plan.NewPeerClient(server.Client())
	address := strings.TrimPrefix(server.URL, "http://")

	snapshot, ok, err := client.Newest(ctx, address, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsTrue)
	c.Assert(snapshot.Newest(), qt.Equals, follower.Current().Accepted)
	c.Assert(snapshot.Document.Digest(), qt.Equals, snapshot.Newest().Digest)
	_, ok, err = client.Newest(ctx, address, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
}

// TestUnrelatedSnapshotsAreSkipped checks that a snapshot that does not descend
// from the known document is skipped.
func TestUnrelatedSnapshotsAreSkipped(t *testing.T) {
	c := qt.New(t)
	records := publishedRecords(c, 3)
	state := replay(records)
	older := replay(records[:2]).Snapshot()

	_, result := plan.ApplySnapshot(state, older)
	c.Assert(result, qt.Equals, plan.NoChange{})

	foreign := older
	foreign.AsOf = 9
	foreign.History = []plan.Accepted{{
		Version: 8,
		Digest:  older.Newest().Digest,
	}}
	after, result := plan.ApplySnapshot(state, foreign)
	c.Assert(result, qt.DeepEquals, plan.Skipped{Reason: plan.ReasonForeignSnapshot})
	c.Assert(after.Newest(), qt.Equals, state.Newest())

	reverted := older
	reverted.AsOf = 9
	after, result = plan.ApplySnapshot(state, reverted)
	c.Assert(result, qt.DeepEquals, plan.Skipped{Reason: plan.ReasonForeignSnapshot})
	c.Assert(after.Newest(), qt.Equals, state.Newest())
}

func TestReaderAfterGapWaitsForSnapshot(t *testing.T) {
	c := qt.New(t)
	records := publishedRecords(c, 4)
	state := plan.NewState().WithStart(2)
	state, result := plan.ApplyRecord(state, records[2])
	c.Assert(result, qt.Equals, plan.Deferred{})
	c.Assert(state.IsComplete(), qt.IsFalse)
	c.Assert(state.Newest().Version, qt.Equals, plan.NoVersion)

	// A snapshot from before the gap is skipped.
	payload, err := plan.EncodeSnapshot("late", replay(records[:1]).Snapshot())
	c.Assert(err, qt.IsNil)
	_, result = plan.ApplyRecord(state, ledger.Record{
		Offset:  3,
		Payload: payload,
	})
	c.Assert(result, qt.DeepEquals, plan.Skipped{Reason: plan.ReasonOldSnapshot})

	// A peer's snapshot from before the gap is adopted, but only one that
	// reaches the gap completes the reader.
	state, result = plan.ApplySnapshot(state, replay(records[:1]).Snapshot())
	c.Assert(result, qt.DeepEquals, plan.SnapshotAdopted{Accepted: replay(records[:1]).Newest()})
	c.Assert(state.IsComplete(), qt.IsFalse)
	state, _ = plan.ApplySnapshot(state, replay(records[:2]).Snapshot())
	c.Assert(state.IsComplete(), qt.IsTrue)
	c.Assert(state.Newest(), qt.Equals, replay(records[:3]).Newest())
	state, _ = plan.ApplyRecord(state, records[3])
	c.Assert(state.Newest(), qt.Equals, replay(records).Newest())
}

func TestUnresponsivePeerDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := newFakeLog(1)
		f := newFleet(c, log, 1)
		defer f.stop()
		first := mustPublish(c, f.list()[0].follower, log, 0)
		log.update(func(l *fakeLog) { l.down = true })
		follower := plan.NewFollower(plan.Deps{
			Log:    log,
			Peers:  stallingPeers{next: memberPeers{fleet: f, member: &member{}}},
			Config: plan.DefaultConfig(),
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follower.Run(ctx)
		}()
		follower.Advertised("silent", first.Version)
		time.Sleep(5 * time.Second)
		follower.Advertised(f.list()[0].name, first.Version)
		c.Assert(follower.Wait(ctx, first.Version), qt.IsNil)
		cancel()
		<-done
	})
}

// stallingPeers blocks requests to the peer named silent until the context is
// done.
type stallingPeers struct{ next plan.Peers }

func (p stallingPeers) Newest(ctx context.Context, address string, have plan.Version) (plan.Snapshot, bool, error) {
	if address != "silent" {
		return p.next.Newest(ctx, address, have)
	}
	<-ctx.Done()
	return plan.Snapshot{}, false, ctx.Err()
}
