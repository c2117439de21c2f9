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
		period := cfg.renewPeriod(n)
		perSecond := float64(n) / period.Seconds()
		t.Logf("%d instances: a renewal each %v, lease %v, %.1f renewals/s in all", n, period, cfg.lease(period), perSecond)
		c.Check(perSecond <= float64(cfg.RenewalsPerSecond), qt.IsTrue)
		c.Check(cfg.lease(period) >= 2*period, qt.IsTrue)
	}
}

func TestTableFollowsLogOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	key := newID()
	table := newTable()
	table.accept(key, &draftpb.Accepted{Owner: "a"}, now, 0)
	table.accept(key, &draftpb.Accepted{Owner: "b"}, now, 1)
	c.Assert(table.drafts[key].owner, qt.Equals, "a")
	table.adopt(key, &draftpb.Adopted{Epoch: 2, Owner: "b"})
	table.adopt(key, &draftpb.Adopted{Epoch: 2, Owner: "c"})
	c.Assert(table.drafts[key].owner, qt.Equals, "b")
	c.Assert(table.end(key, &draftpb.Result{Epoch: 1}), qt.IsFalse)
	table.deliver(key, &draftpb.Delivered{Key: []byte("k0")})
	c.Assert(table.end(key, &draftpb.Result{Epoch: 2}), qt.IsTrue)
	table.adopt(key, &draftpb.Adopted{Epoch: 3, Owner: "c"})
	table.deliver(key, &draftpb.Delivered{Key: []byte("k1")})
	table.deliver(key, &draftpb.Delivered{Key: []byte("k2")})
	table.withdraw(key, now)
	c.Assert(table.drafts[key].owner, qt.Equals, "b")
	c.Assert(string(table.drafts[key].delivered), qt.Equals, "k1")
}

func TestWithdrawnDraftStaysAway(t *testing.T) {
	c := qt.New(t)
	key := newID()
	table := newTable()
	table.withdraw(key, time.Now())
	table.accept(key, &draftpb.Accepted{Owner: "a"}, time.Now(), 0)
	table.keep(key, &draftpb.Kept{Owner: "a"}, time.Now(), 1)
	c.Assert(table.drafts[key], qt.IsNil)
}
