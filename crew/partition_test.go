package crew

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/kiln"
)

// partitionCase describes a partition between two locations and its effect.
type partitionCase struct {
	a, b string
	// regions maps the data centres of the cluster to their regions.
	regions map[string]string
	// blocked reports whether work from one data centre cannot be placed in another
	// one.
	blocked func(from, to string) bool
}

// partitionDuration returns an hour for the first seed and a minute for the others.
func partitionDuration(seed uint64) time.Duration {
	if seed == 1 {
		return time.Hour
	}
	return time.Minute
}

// placesOnReachableOnly reports whether a node places work on all servers that it can
// reach and on no others.
func (pc partitionCase) placesOnReachableOnly(n *node) bool {
	for name, server := range n.cluster.servers {
		if n.m.View().MayPlace(name) == pc.blocked(n.dataCentre, server.dataCentre) {
			return false
		}
	}
	return true
}

func (cl *cluster) newestNode(dataCentre string) *node {
	var last *node
	for _, n := range cl.live() {
		if n.dataCentre == dataCentre {
			last = n
		}
	}
	return last
}

// runPartition partitions two locations, checks that each side continues with the
// members that it can reach, changes members on one side, and heals the partition.
func runPartition(c *qt.C, seed uint64, pc partitionCase) {
	withCluster(c, seed, pc.regions, 2, 2, func(cl *cluster) {
		cl.eventually(settleTimeout, "all members live", seesAllLive)
		cl.consistently(2*time.Second, "before the partition", seesAllLive)
		cl.partition(pc.a, pc.b)
		cl.eventually(contactLease+2*time.Second, "partition detected", pc.placesOnReachableOnly)
		cl.consistently(5*time.Second, "during the partition", pc.placesOnReachableOnly)
		killed := cl.newestNode("randstad-a")
		cl.kill(killed)
		cl.list.remove(killed.self.ID)
		cl.cfg.Peers = []string{cl.newestNode("randstad-a").self.Address}
		cl.startNode("randstad-a", "randstad-a-entry-8")
		cl.servers["randstad-a-engine-0"].set(func(r *kiln.LoadReport) { r.Leaving = true })
		time.Sleep(partitionDuration(seed))
		isLeaving := func(n *node) bool { return !n.m.View().MayPlace("randstad-a-engine-0") }
		cl.consistently(time.Second, "server leaving, during the partition", isLeaving)
		cl.heal(pc.a, pc.b)
		cl.consistently(5*time.Second, "server leaving, after healing", isLeaving)
		cl.eventually(time.Second, "partition healed", func(n *node) bool {
			return isLeaving(n) && seesAllLiveExcept(n, "randstad-a-engine-0")
		})
		cl.consistently(5*time.Second, "after the partition", func(n *node) bool { return isLeaving(n) && seesAllLiveExcept(n, "randstad-a-engine-0") })
	})
}

// seesAllLiveExcept is like seesAllLive but ignores one server.
func seesAllLiveExcept(n *node, server string) bool {
	for _, other := range n.cluster.live() {
		if !isLive(n, other) {
			return false
		}
	}
	for name := range n.cluster.servers {
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
		runPartition(c, seed, partitionCase{
			a: "randstad-a",
			b: "randstad-b",
			regions: map[string]string{
				"randstad-a": "randstad",
				"randstad-b": "randstad",
			},
			blocked: func(from, to string) bool { return from != to },
		})
	})
}

func TestProofCutBetweenDataCentresWithAThird(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "two of three data centres cut from each other; member dies, starts, leaves",
	}, 3, func(c *qt.C, seed uint64) {
		runPartition(c, seed+1, partitionCase{
			a:       "randstad-a",
			b:       "randstad-b",
			regions: threeDataCentres,
			blocked: func(from, to string) bool {
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
		runPartition(c, seed, partitionCase{
			a:       "randstad",
			b:       "oost",
			regions: twoDataCentres,
			blocked: func(from, to string) bool { return from != to },
		})
	})
}

func TestProofCutFromPlatform(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "one data centre cut from the platform for an hour; member dies, starts, leaves",
	}, 3, func(c *qt.C, seed uint64) {
		runPlatformPartition(c, seed)
	})
}

// runPlatformPartition partitions one data centre from the platform.
func runPlatformPartition(c *qt.C, seed uint64) {
	runPartition(c, seed, partitionCase{
		a:       "randstad-a",
		b:       platformHost,
		regions: twoDataCentres,
		blocked: func(string, string) bool { return false },
	})
}

// An instance that reaches no other instance continues to place work on the servers that
// it polls, and the others continue without it. After the partition is healed, all see
// each other again.
func TestProofInstanceCutFromItsDataCentre(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "instance cut from all peers for half a minute; a server leaves meanwhile",
	}, 6, func(c *qt.C, seed uint64) {
		withCluster(c, seed, twoDataCentres, 3, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			cl.consistently(2*time.Second, "before the partition", seesAllLive)
			nodes := cl.live()
			isolated := nodes[cl.rand.IntN(len(nodes))]
			for _, other := range nodes {
				if other != isolated {
					cl.partition(isolated.host, other.host)
				}
			}
			cl.eventually(instanceLease+2*time.Second, "partition detected", func(n *node) bool {
				return n == isolated || !isLive(n, isolated)
			})
			own := isolated.dataCentre + "-engine-0"
			cl.consistently(5*time.Second, "during the partition", func(n *node) bool { return n.m.View().MayPlace(own) })
			leaving := otherServer(cl, own)
			cl.servers[leaving].set(func(r *kiln.LoadReport) { r.Leaving = true })
			time.Sleep(30 * time.Second)
			for _, other := range nodes {
				cl.heal(isolated.host, other.host)
			}
			cl.eventually(10*time.Second, "partition healed", func(n *node) bool { return seesAllLiveExcept(n, leaving) && !n.m.View().MayPlace(leaving) })
			cl.consistently(5*time.Second, "after the partition", func(n *node) bool { return seesAllLiveExcept(n, leaving) })
		})
	})
}

// A data centre that cannot call another one still receives that one's state through
// the calls of the other side.
func TestProofCallsInOneDirectionOnly(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "cut-offs",
		Failures: "one data centre can't call the other; a server leaves",
	}, 4, func(c *qt.C, seed uint64) {
		withCluster(c, seed, twoDataCentres, 2, 2, func(cl *cluster) {
			cl.eventually(settleTimeout, "all members live", seesAllLive)
			from, to := "randstad-a", "oost-a"
			if seed%2 == 0 {
				from, to = to, from
			}
			cl.mu.Lock()
			cl.blockedDials[[2]string{from, to}] = true
			cl.mu.Unlock()
			cl.consistently(time.Minute, "calls in one direction", seesAllLive)
			leaving := cl.routing.Servers[cl.rand.IntN(len(cl.routing.Servers))].Name
			cl.servers[leaving].set(func(r *kiln.LoadReport) { r.Leaving = true })
			cl.eventually(LeavingDeadline, "leaving known", func(n *node) bool { return !n.m.View().MayPlace(leaving) })
		})
	})
}
