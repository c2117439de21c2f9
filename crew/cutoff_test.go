package crew

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/kiln"
)

// cutOff is a cut between two places and what it takes away.
type partitionCase struct {
	a, b string
	// centres are those of the world.
	centres map[string]string
	// loses tells whether work from one data centre can't go to another one.
	loses func(from, to string) bool
}

// cutTime is an hour for the first seed, and some minutes for the others.
func cutTime(seed uint64) time.Duration {
	if seed == 1 {
		return time.Hour
	}
	return time.Minute
}

// placesAsFarAsCut tells whether a node places work on all servers that it can
// reach and on no other.
func (o partitionCase) placesAsFarAsCut(n *node) bool {
	for name, server := range n.world.servers {
		if n.m.View().MayPlace(name) == o.loses(n.dataCentre, server.dataCentre) {
			return false
		}
	}
	return true
}

func (w *world) lastOf(dataCentre string) *node {
	var last *node
	for _, n := range w.live() {
		if n.dataCentre == dataCentre {
			last = n
		}
	}
	return last
}

// runCutOff cuts two places from each other, checks that each side goes on with
// what it has, changes members on one side, and joins the places up again.
func runCutOff(c *qt.C, seed uint64, o partitionCase) {
	inWorld(c, seed, o.centres, 2, 2, func(w *world) {
		w.eventually(settle, "all known", knowsAll)
		w.watch(2*time.Second, "before", knowsAll)
		w.cut(o.a, o.b)
		w.eventually(contactLease+2*time.Second, "cut noticed", o.placesAsFarAsCut)
		w.watch(5*time.Second, "cut", o.placesAsFarAsCut)
		old := w.lastOf("randstad-a")
		w.kill(old)
		w.list.remove(old.self.ID)
		w.cfg.Peers = []string{w.lastOf("randstad-a").self.Address}
		w.start("randstad-a", "randstad-a-entry-8")
		w.servers["randstad-a-engine-0"].set(func(r *kiln.LoadReport) { r.Leaving = true })
		time.Sleep(cutTime(seed))
		left := func(n *node) bool { return !n.m.View().MayPlace("randstad-a-engine-0") }
		w.watch(time.Second, "server left during the cut", left)
		w.heal(o.a, o.b)
		w.watch(5*time.Second, "server left, joining up", left)
		w.eventually(time.Second, "joined up", func(n *node) bool {
			return left(n) && knowsAllBut(n, "randstad-a-engine-0")
		})
		w.watch(5*time.Second, "after", func(n *node) bool { return left(n) && knowsAllBut(n, "randstad-a-engine-0") })
	})
}

// knowsAllBut is knowsAll but for one server.
func knowsAllBut(n *node, server string) bool {
	for _, other := range n.world.live() {
		if !isLive(n, other) {
			return false
		}
	}
	for name := range n.world.servers {
		if name != server && !n.m.View().MayPlace(name) {
			return false
		}
	}
	return true
}

func TestProofCutBetweenDataCentres(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "data centre cut from data centre for an hour; member dies, starts, leaves",
	}, 3, func(c *qt.C, seed uint64) {
		runCutOff(c, seed, partitionCase{
			a: "randstad-a",
			b: "randstad-b",
			centres: map[string]string{
				"randstad-a": "randstad",
				"randstad-b": "randstad",
			},
			loses: func(from, to string) bool { return from != to },
		})
	})
}

func TestProofCutBetweenDataCentresWithAThird(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "two of three data centres cut from each other; member dies, starts, leaves",
	}, 3, func(c *qt.C, seed uint64) {
		runCutOff(c, seed+1, partitionCase{
			a:       "randstad-a",
			b:       "randstad-b",
			centres: threeCentres,
			loses: func(from, to string) bool {
				return from != to && from != "oost-a" && to != "oost-a"
			},
		})
	})
}

func TestProofCutBetweenRegions(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "region cut from region for an hour; member dies, starts, leaves",
	}, 3, func(c *qt.C, seed uint64) {
		runCutOff(c, seed, partitionCase{
			a:       "randstad",
			b:       "oost",
			centres: twoCentres,
			loses:   func(from, to string) bool { return from != to },
		})
	})
}

func TestProofCutFromPlatform(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "one data centre cut from the platform for an hour; member dies, starts, leaves",
	}, 3, func(c *qt.C, seed uint64) {
		inWorldCutFromPlatform(c, seed)
	})
}

// inWorldCutFromPlatform cuts one data centre or both from the platform.
func inWorldCutFromPlatform(c *qt.C, seed uint64) {
	runCutOff(c, seed, partitionCase{
		a:       "randstad-a",
		b:       platformSite,
		centres: twoCentres,
		loses:   func(string, string) bool { return false },
	})
}

// An instance that reaches none of its data centre serves what it polls, and the
// others go on without it; on contact all is as before.
func TestProofInstanceCutFromItsDataCentre(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "instance cut from all peers for half a minute; a server leaves meanwhile",
	}, 6, func(c *qt.C, seed uint64) {
		inWorld(c, seed, twoCentres, 3, 2, func(w *world) {
			w.eventually(settle, "all known", knowsAll)
			w.watch(2*time.Second, "before", knowsAll)
			nodes := w.live()
			alone := nodes[w.rand.IntN(len(nodes))]
			for _, other := range nodes {
				if other != alone {
					w.cut(alone.host, other.host)
				}
			}
			w.eventually(instanceLease+2*time.Second, "cut noticed", func(n *node) bool {
				return n == alone || !isLive(n, alone)
			})
			own := alone.dataCentre + "-engine-0"
			w.watch(5*time.Second, "cut", func(n *node) bool { return n.m.View().MayPlace(own) })
			left := otherServer(w, own)
			w.servers[left].set(func(r *kiln.LoadReport) { r.Leaving = true })
			time.Sleep(30 * time.Second)
			for _, other := range nodes {
				w.heal(alone.host, other.host)
			}
			w.eventually(10*time.Second, "joined up", func(n *node) bool { return knowsAllBut(n, left) && !n.m.View().MayPlace(left) })
			w.watch(5*time.Second, "after", func(n *node) bool { return knowsAllBut(n, left) })
		})
	})
}

// A data centre that can't call another one is still heard of by the other's
// calls.
func TestProofCallsInOneDirectionOnly(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "one data centre can't call the other; a server leaves",
	}, 4, func(c *qt.C, seed uint64) {
		inWorld(c, seed, twoCentres, 2, 2, func(w *world) {
			w.eventually(settle, "all known", knowsAll)
			from, to := "randstad-a", "oost-a"
			if seed%2 == 0 {
				from, to = to, from
			}
			w.mu.Lock()
			w.noDial[[2]string{from, to}] = true
			w.mu.Unlock()
			w.watch(time.Minute, "one direction", knowsAll)
			left := w.routing.Servers[w.rand.IntN(len(w.routing.Servers))].Name
			w.servers[left].set(func(r *kiln.LoadReport) { r.Leaving = true })
			w.eventually(LeavingDeadline, "leaving known", func(n *node) bool { return !n.m.View().MayPlace(left) })
		})
	})
}
