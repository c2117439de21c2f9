package draft

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/draft/draftpb"
)

func TestRenewalsStayBoundedAsInstancesGrow(t *testing.T) {
	c := qt.New(t)
	cfg := DefaultConfig()
	for _, n := range []int{1, 9, 36, 380} {
		interval := cfg.renewInterval(n)
		perSecond := float64(n) / interval.Seconds()
		t.Logf("%d instances: renewal interval %v, lease %v, %.1f renewals/s in all", n, interval, cfg.leaseDuration(interval), perSecond)
		c.Check(perSecond <= float64(cfg.RenewalsPerSecond), qt.IsTrue)
		c.Check(cfg.leaseDuration(interval) >= 2*interval, qt.IsTrue)
	}
}

func TestTableFollowsLogOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	draftID := newID()
	table := newTable()
	table.accept(draftID, &draftpb.Accepted{Owner: "a"}, now, 0)
	table.accept(draftID, &draftpb.Accepted{Owner: "b"}, now, 1)
	c.Assert(table.drafts[draftID].owner, qt.Equals, "a")
	table.adopt(draftID, &draftpb.Adopted{Epoch: 2, Owner: "b"})
	table.adopt(draftID, &draftpb.Adopted{Epoch: 2, Owner: "c"})
	c.Assert(table.drafts[draftID].owner, qt.Equals, "b")
	c.Assert(table.setResult(draftID, &draftpb.Result{Epoch: 1}), qt.IsFalse)
	table.setDelivered(draftID, &draftpb.Delivered{Key: []byte("k0")})
	c.Assert(table.setResult(draftID, &draftpb.Result{Epoch: 2}), qt.IsTrue)
	table.adopt(draftID, &draftpb.Adopted{Epoch: 3, Owner: "c"})
	table.setDelivered(draftID, &draftpb.Delivered{Key: []byte("k1")})
	table.setDelivered(draftID, &draftpb.Delivered{Key: []byte("k2")})
	table.withdraw(draftID, now)
	c.Assert(table.drafts[draftID].owner, qt.Equals, "b")
	c.Assert(string(table.drafts[draftID].delivered), qt.Equals, "k1")
}

func TestWithdrawnDraftIsNotAcceptedLater(t *testing.T) {
	c := qt.New(t)
	draftID := newID()
	table := newTable()
	table.withdraw(draftID, time.Now())
	table.accept(draftID, &draftpb.Accepted{Owner: "a"}, time.Now(), 0)
	table.applySnapshot(draftID, &draftpb.Kept{Owner: "a"}, time.Now(), 1)
	c.Assert(table.drafts[draftID], qt.IsNil)
}
