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

var twoCentres = map[string]string{
	"randstad-a": "randstad",
	"oost-a":     "oost",
}

// inWorld runs a test in a bubble with a world of so many instances and engines
// in each data centre.
func inWorld(c *qt.C, seed uint64, centres map[string]string, nodes, servers int, run func(w *world)) {
	synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, qt.New(t), seed, centres)
		defer w.stop(cancel)
		names := slices.Sorted(maps.Keys(centres))
		for _, dataCentre := range names {
			for i := range servers {
				role := kiln.RoleDecode
				if i%2 == 1 {
					role = kiln.RolePrefill
				}
				w.addServer(dataCentre, fmt.Sprintf("%s-engine-%d", dataCentre, i), role)
			}
		}
		for _, dataCentre := range names {
			for i := range nodes {
				w.start(dataCentre, fmt.Sprintf("%s-entry-%d", dataCentre, i))
			}
		}
		run(w)
	})
}

// knowsAll tells whether a node sees all running nodes and all servers as live.
func knowsAll(n *node) bool {
	w := n.world
	for _, other := range w.live() {
		i, ok := n.m.View().Instance(other.self.ID)
		if !ok || i.State != StateLive {
			return false
		}
	}
	for name := range w.servers {
		if !n.m.View().MayPlace(name) {
			return false
		}
	}
	return true
}

func hasLoads(n *node) bool {
	for _, s := range n.m.View().Servers() {
		if time.Since(s.Load.At) > 10*time.Second {
			return false
		}
	}
	return true
}

func TestMembersFindEachOther(t *testing.T) {
	c := qt.New(t)
	inWorld(c, 1, twoCentres, 3, 2, func(w *world) {
		took := w.eventually(10*time.Second, "all known", knowsAll)
		w.c.Logf("known after %s", took)
		took = w.eventually(10*time.Second, "loads known", hasLoads)
		w.c.Logf("loads after %s", took)
		n := w.live()[0]
		w.c.Assert(n.m.View().Engines("draft-7b", kiln.RoleDecode), qt.HasLen, 2)
		w.c.Assert(n.m.View().Live(n.dataCentre), qt.HasLen, 3)
	})
}

// Only the start that is asked about answers what it holds.
func TestOwnersAnswerForThemselvesOnly(t *testing.T) {
	c := qt.New(t)
	inWorld(c, 1, twoCentres, 2, 2, func(w *world) {
		w.eventually(10*time.Second, "all known", knowsAll)
		asker, owner := w.live()[0], w.live()[3]
		held, err := asker.m.HeldAttempts(w.ctx, owner.self.ID, "engine:80", []string{"a", "b"})
		w.c.Assert(err, qt.IsNil)
		w.c.Assert(held, qt.DeepEquals, []string{"a"})
		w.kill(owner)
		w.start(owner.dataCentre, owner.host)
		_, err = asker.m.HeldAttempts(w.ctx, owner.self.ID, "engine:80", []string{"a", "b"})
		w.c.Assert(err, qt.ErrorMatches, "holds: peer .*another instance is at this address")
		_, err = asker.m.HeldAttempts(w.ctx, "nobody", "engine:80", nil)
		w.c.Assert(err, qt.ErrorMatches, "holds: peer nobody: instance unknown")
		w.c.Assert(asker.m.State(owner.self.ID), qt.Equals, StateLive)
		w.c.Assert(asker.m.LiveInstances(), qt.HasLen, 2)
	})
}
