package crew

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

const (
	settleTimeout = 10 * time.Second
	checkInterval = 50 * time.Millisecond
)

var threeDataCentres = map[string]string{
	"randstad-a": "randstad",
	"randstad-b": "randstad",
	"oost-a":     "oost",
}

// consistently fails the test if a live node violates a condition within the duration.
func (cl *cluster) consistently(d time.Duration, what string, ok func(n *node) bool) {
	cl.c.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(checkInterval) {
		for _, n := range cl.live() {
			if !ok(n) {
				cl.c.Fatalf("%s: node %s violates the condition", what, n.self.ID)
			}
		}
	}
}

// announceLeaving makes the fact that a server is leaving known to one source only, and
// returns the name of that source.
func (cl *cluster) announceLeaving(source int, name string) string {
	switch source {
	case 0:
		cl.list.set(ledger.ListedInstance{
			ID:          name + "#1",
			Kind:        "engine",
			Name:        name,
			State:       ledger.InstanceLeaving,
			Incarnation: 1,
		})
		return "list"
	case 1:
		cl.servers[name].set(func(r *kiln.LoadReport) { r.Leaving = true })
		return "report"
	default:
		nodes := cl.live()
		nodes[cl.rand.IntN(len(nodes))].m.ReportLeaving(name, 0)
		return "peer"
	}
}

func TestProofLeavingServerGetsNoWork(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "no work to leaving",
		Failures: "news at the list, the server or one peer only; heartbeats lost",
	}, 30, func(c *qt.C, seed uint64) {
		withCluster(c, seed, threeDataCentres, 3, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			cl.mu.Lock()
			cl.lossPercent = []int{0, 10}[seed/3%2]
			cl.mu.Unlock()
			time.Sleep(time.Duration(cl.rand.IntN(2000)) * time.Millisecond)
			name := cl.routing.Servers[cl.rand.IntN(len(cl.routing.Servers))].Name
			source := cl.announceLeaving(int(seed%3), name)
			time.Sleep(LeavingDeadline)
			cl.consistently(10*time.Second, "leaving announced by "+source, func(n *node) bool { return !n.m.View().MayPlace(name) })
		})
	})
}

func TestProofLeavingServerReturnsWithNewIncarnation(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "membership",
		Failures: "server leaves and restarts while the list lags behind",
	}, 10, func(c *qt.C, seed uint64) {
		withCluster(c, seed, threeDataCentres, 2, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			name := cl.routing.Servers[cl.rand.IntN(len(cl.routing.Servers))].Name
			cl.announceLeaving(int(seed%3), name)
			leaving := func(n *node) bool { return !n.m.View().MayPlace(name) }
			cl.eventually(LeavingDeadline, "leaving", leaving)
			cl.servers[name].set(func(r *kiln.LoadReport) {
				r.Leaving = false
				r.Incarnation = 2
			})
			cl.eventually(5*time.Second, "server live again", seesAllLive)
			cl.consistently(5*time.Second, "all stay live", seesAllLive)
		})
	})
}

func TestProofFlappingServerDoesNotComeAndGo(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "membership",
		Failures: "server fails and answers, restarts, or leaves and restarts, every few seconds",
	}, 6, func(c *qt.C, seed uint64) {
		withCluster(c, seed, twoDataCentres, 2, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			name := cl.routing.Servers[cl.rand.IntN(len(cl.routing.Servers))].Name
			changes, couldPlace := 0, true
			n := cl.live()[cl.rand.IntN(4)]
			for i := range 20 {
				cl.flap(name, i, seed%3)
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					if mayPlace := n.m.View().MayPlace(name); mayPlace != couldPlace {
						couldPlace = mayPlace
						changes++
					}
				}
			}
			cl.c.Assert(changes <= 7, qt.IsTrue, qt.Commentf("%d changes in 20 flaps", changes))
			cl.servers[name].setDown(false)
			cl.servers[name].set(func(r *kiln.LoadReport) {
				r.Leaving = false
				r.Incarnation++
			})
			cl.eventually(2*time.Minute, "server live again", seesAllLive)
		})
	})
}

// flap performs step i of a flapping server. Depending on kind, the server goes down or
// up, restarts, or starts to leave or restarts.
func (cl *cluster) flap(name string, i int, kind uint64) {
	server := cl.servers[name]
	switch kind {
	case 0:
		server.setDown(i%2 == 0)
	case 1:
		server.set(func(r *kiln.LoadReport) { r.Incarnation++ })
	default:
		server.set(func(r *kiln.LoadReport) {
			r.Leaving = i%2 == 0
			if !r.Leaving {
				r.Incarnation++
			}
		})
	}
}

func TestProofInstanceKilledAndReplacedAtSameAddress(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "membership",
		Failures: "instance killed and replaced at its address; list late",
	}, 10, func(c *qt.C, seed uint64) {
		withCluster(c, seed, threeDataCentres, 3, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			nodes := cl.live()
			killed := nodes[cl.rand.IntN(len(nodes))]
			cl.kill(killed)
			time.Sleep(time.Duration(cl.rand.IntN(3000)) * time.Millisecond)
			cl.startNode(killed.dataCentre, killed.host)
			cl.eventually(5*time.Second, "replacement known", seesAllLive)
			cl.eventually(5*time.Second, "killed instance gone", func(n *node) bool {
				i, ok := n.m.View().Instance(killed.self.ID)
				return ok && i.State == StateGone
			})
			cl.list.remove(killed.self.ID)
			cl.consistently(5*time.Second, "all stay live", seesAllLive)
		})
	})
}

func TestProofListDownOrLate(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "membership",
		Failures: "platform's list down or late; instances leave, die and start",
	}, 10, func(c *qt.C, seed uint64) {
		withCluster(c, seed, threeDataCentres, 3, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			cl.list.setDown(true)
			cl.cfg.Peers = []string{cl.live()[0].self.Address, cl.live()[4].self.Address}
			cl.consistently(10*time.Second, "list down", seesAllLive)
			added := cl.startNode("oost-a", "oost-a-entry-9")
			cl.eventually(5*time.Second, "new instance known", seesAllLive)
			cl.c.Assert(added.m.Leave(cl.ctx), qt.IsNil)
			cl.eventually(LeavingDeadline, "leaving known", func(n *node) bool {
				i, ok := n.m.View().Instance(added.self.ID)
				return ok && i.State == StateLeaving
			})
			cl.kill(added)
			cl.list.setDown(false)
			cl.eventually(6*time.Second, "killed instance gone", func(n *node) bool {
				i, ok := n.m.View().Instance(added.self.ID)
				return ok && i.State == StateGone
			})
			cl.consistently(5*time.Second, "others stay live", seesAllLive)
		})
	})
}

func TestProofFrozenInstanceWakesLate(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "no work to leaving",
		Failures: "instance frozen while a server leaves; wakes late",
	}, 10, func(c *qt.C, seed uint64) {
		withCluster(c, seed, threeDataCentres, 3, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			frozen := cl.live()[cl.rand.IntN(9)]
			cl.freeze(frozen)
			time.Sleep(time.Second)
			name := cl.routing.Servers[cl.rand.IntN(len(cl.routing.Servers))].Name
			cl.announceLeaving(int(seed%2), name)
			time.Sleep(time.Duration(3+cl.rand.IntN(100)) * time.Second)
			noWork := func(n *node) bool { return !n.m.View().MayPlace(name) }
			cl.consistently(time.Second, "before the resume", noWork)
			cl.resume(frozen)
			cl.consistently(10*time.Second, "after the resume", noWork)
			cl.eventually(time.Second, "resumed instance is live and up to date", func(n *node) bool {
				return isLive(n, frozen) && n.m.View().MayPlace(otherServer(cl, name))
			})
		})
	})
}

func isLive(n, other *node) bool {
	i, ok := n.m.View().Instance(other.self.ID)
	return ok && i.State == StateLive
}

func otherServer(cl *cluster, name string) string {
	for _, entry := range cl.routing.Servers {
		if entry.Name != name {
			return entry.Name
		}
	}
	panic(fmt.Sprintf("no server other than %s", name))
}
