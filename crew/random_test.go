package crew

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/kiln"
)

const (
	randomFaults = 25
	// convergenceTimeout bounds the time until all nodes see the actual state after the
	// last failure. A server that flapped must first stay up for its recovery delay.
	convergenceTimeout = 3 * time.Minute
)

// faultInjector injects random failures and records the actual state.
type faultInjector struct {
	cl         *cluster
	frozen     []*node
	partitions [][2]string
	leaving    map[string]bool
	down       map[string]bool
}

// injectRandom injects one random failure or change.
func (f *faultInjector) injectRandom() {
	cl := f.cl
	server := cl.routing.Servers[cl.rand.IntN(len(cl.routing.Servers))].Name
	switch cl.rand.IntN(10) {
	case 0:
		f.replaceNode()
	case 1:
		f.freezeNode()
	case 2:
		f.resume()
	case 3:
		f.partition()
	case 4:
		f.heal()
	case 5:
		cl.list.setDown(cl.rand.IntN(2) == 0)
	case 6:
		f.leaveServer(server)
	case 7:
		f.restartServer(server)
	case 8:
		f.down[server] = !f.down[server]
		cl.servers[server].setDown(f.down[server])
	case 9:
		cl.mu.Lock()
		cl.lossPercent = cl.rand.IntN(3) * 5
		cl.mu.Unlock()
	}
}

// running returns the nodes that are neither killed nor frozen.
func (f *faultInjector) running() []*node {
	return slices.DeleteFunc(f.cl.live(), func(n *node) bool { return n.frozen.Load() })
}

func (f *faultInjector) randomNode() *node {
	running := f.running()
	return running[f.cl.rand.IntN(len(running))]
}

func (f *faultInjector) replaceNode() {
	cl := f.cl
	n := f.randomNode()
	cl.kill(n)
	cl.list.remove(n.self.ID)
	cl.cfg.Peers = nil
	for _, other := range f.running() {
		cl.cfg.Peers = append(cl.cfg.Peers, other.self.Address)
	}
	cl.startNode(n.dataCentre, n.host)
}

func (f *faultInjector) freezeNode() {
	if len(f.frozen) > 0 {
		return
	}
	n := f.randomNode()
	f.cl.freeze(n)
	f.frozen = append(f.frozen, n)
}

func (f *faultInjector) resume() {
	for _, n := range f.frozen {
		f.cl.resume(n)
	}
	f.frozen = nil
}

func (f *faultInjector) partition() {
	names := []string{"randstad-a", "randstad-b", "oost-a", platformHost}
	i := f.cl.rand.IntN(len(names))
	j := (i + 1 + f.cl.rand.IntN(len(names)-1)) % len(names)
	f.cl.partition(names[i], names[j])
	f.partitions = append(f.partitions, [2]string{names[i], names[j]})
}

func (f *faultInjector) heal() {
	for _, p := range f.partitions {
		f.cl.heal(p[0], p[1])
	}
	f.partitions = nil
}

func (f *faultInjector) leaveServer(server string) {
	f.leaving[server] = true
	f.cl.servers[server].set(func(r *kiln.LoadReport) { r.Leaving = true })
}

func (f *faultInjector) restartServer(server string) {
	f.leaving[server] = false
	f.cl.servers[server].set(func(r *kiln.LoadReport) {
		r.Leaving = false
		r.Incarnation++
	})
}

// stopAllFaults ends all failures.
func (f *faultInjector) stopAllFaults() {
	f.resume()
	f.heal()
	f.cl.list.setDown(false)
	f.cl.mu.Lock()
	f.cl.lossPercent = 0
	f.cl.mu.Unlock()
	for name := range f.down {
		f.cl.servers[name].setDown(false)
	}
}

// seesActualState reports whether the node's view agrees with the actual state.
func (f *faultInjector) seesActualState(n *node) bool {
	v := n.m.View()
	for _, other := range f.cl.startOrder {
		i, ok := v.Instance(other.self.ID)
		if other.killed.Load() {
			if ok && i.State != StateGone {
				return false
			}
			continue
		}
		if !ok || i.State != StateLive {
			return false
		}
	}
	for name := range f.cl.servers {
		if v.MayPlace(name) == f.leaving[name] {
			return false
		}
	}
	return true
}

// mayPlaceOnLeaving reports whether a node places work on a leaving server.
func (f *faultInjector) mayPlaceOnLeaving(n *node) bool {
	for name := range f.cl.servers {
		if f.leaving[name] && n.m.View().MayPlace(name) {
			return true
		}
	}
	return false
}

func TestProofMembershipUnderRandomFailures(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "no work to leaving",
		Failures: "instances killed, frozen, cut off; heartbeats lost; list down; servers leave, restart, fail, at random and together",
	}, 8, func(c *qt.C, seed uint64) {
		withCluster(c, seed, threeDataCentres, 2, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			f := &faultInjector{
				cl:      cl,
				leaving: map[string]bool{},
				down:    map[string]bool{},
			}
			for range randomFaults {
				f.injectRandom()
				// MayPlace checks the invariant against what each node knows.
				for _, n := range f.running() {
					for name := range cl.servers {
						n.m.View().MayPlace(name)
					}
				}
				time.Sleep(time.Duration(200+cl.rand.IntN(6000)) * time.Millisecond)
			}
			f.stopAllFaults()
			time.Sleep(contactLease + 2*LeavingDeadline)
			cl.consistently(5*time.Second, "no work to leaving", func(n *node) bool { return !f.mayPlaceOnLeaving(n) })
			cl.eventually(convergenceTimeout, "actual state known", f.seesActualState)
		})
	})
}
