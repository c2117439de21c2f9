package crew

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
)

var twoDataCentres = map[string]string{
	"randstad-a": "randstad",
	"oost-a":     "oost",
}

// withCluster runs a test in a synctest bubble, on a cluster with the given number of
// instances and engines in each data centre.
func withCluster(c *qt.C, seed uint64, regions map[string]string, nodes, servers int, run func(cl *cluster)) {
	synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cl := newCluster(ctx, qt.New(t), seed, regions)
		defer cl.stopAll(cancel)
		names := slices.Sorted(maps.Keys(regions))
		for _, dataCentre := range names {
			for i := range servers {
				role := kiln.RoleDecode
				if i%2 == 1 {
					role = kiln.RolePrefill
				}
				cl.addServer(dataCentre, fmt.Sprintf("%s-engine-%d", dataCentre, i), role)
			}
		}
		for _, dataCentre := range names {
			for i := range nodes {
				cl.startNode(dataCentre, fmt.Sprintf("%s-entry-%d", dataCentre, i))
			}
		}
		run(cl)
	})
}

// seesAllLive reports whether a node sees all running nodes and all servers as live.
func seesAllLive(n *node) bool {
	cl := n.cluster
	for _, other := range cl.live() {
		i, ok := n.m.View().Instance(other.self.ID)
		if !ok || i.State != StateLive {
			return false
		}
	}
	for name := range cl.servers {
		if !n.m.View().MayPlace(name) {
			return false
		}
	}
	return true
}

func hasRecentLoads(n *node) bool {
	for _, s := range n.m.View().Servers() {
		if time.Since(s.Load.At) > 10*time.Second {
			return false
		}
	}
	return true
}

func TestMembersDiscoverEachOther(t *testing.T) {
	c := qt.New(t)
	withCluster(c, 1, twoDataCentres, 3, 2, func(cl *cluster) {
		took := cl.eventually(10*time.Second, "all members live", seesAllLive)
		cl.c.Logf("all members live after %s", took)
		took = cl.eventually(10*time.Second, "all loads recent", hasRecentLoads)
		cl.c.Logf("all loads recent after %s", took)
		n := cl.live()[0]
		cl.c.Assert(n.m.View().Engines("draft-7b", kiln.RoleDecode), qt.HasLen, 2)
		cl.c.Assert(n.m.View().Live(n.dataCentre), qt.HasLen, 3)
	})
}

// A restarted instance must not answer a Holds request for the earlier instance at its
// address, because it does not know that instance's attempts.
func TestHoldsIsAnsweredByAskedInstanceOnly(t *testing.T) {
	c := qt.New(t)
	withCluster(c, 1, twoDataCentres, 2, 2, func(cl *cluster) {
		cl.eventually(10*time.Second, "all members live", seesAllLive)
		asker, owner := cl.live()[0], cl.live()[3]
		held, err := asker.m.HeldAttempts(cl.ctx, owner.self.ID, "engine:80", []string{"a", "b"})
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(held, qt.DeepEquals, []string{"a"})
		cl.kill(owner)
		cl.startNode(owner.dataCentre, owner.host)
		_, err = asker.m.HeldAttempts(cl.ctx, owner.self.ID, "engine:80", []string{"a", "b"})
		cl.c.Assert(err, qt.ErrorMatches, "holds: peer .*another instance is at this address")
		_, err = asker.m.HeldAttempts(cl.ctx, "nobody", "engine:80", nil)
		cl.c.Assert(err, qt.ErrorMatches, "holds: peer nobody: instance unknown")
		cl.c.Assert(asker.m.State(owner.self.ID), qt.Equals, StateLive)
		cl.c.Assert(asker.m.LiveInstances(), qt.HasLen, 2)
	})
}
