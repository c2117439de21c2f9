package foreman_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/standin"
)

const (
	seeds         = 5
	documentCount = 4
	// settleTime is the time after the last fault for a takeover and the remaining orders.
	settleTime = 4 * time.Minute
)

// faultInjector injects faults while documents are published.
type faultInjector func(cl *cluster)

func noFaults(*cluster) {}

// pauseNodes pauses random nodes, mostly for longer than a claim lasts.
func pauseNodes(cl *cluster) {
	for range 3 {
		cl.sleepRandom(20 * time.Second)
		n := cl.nodes[cl.intN(len(cl.nodes))]
		n.pause()
		cl.sleepRandom(90 * time.Second)
		n.resume()
	}
}

// isolateNodes makes nodes see no other live instance for some time.
func isolateNodes(cl *cluster) {
	for range 6 {
		n := cl.nodes[cl.intN(len(cl.nodes))]
		n.setIsolated(true)
		cl.sleepRandom(30 * time.Second)
		n.setIsolated(false)
	}
}

// delayOrders delays the effect of each order by a random time.
func delayOrders(cl *cluster) {
	for _, engine := range cl.engines {
		engine.Faults().Set(standin.Rule{
			Kind: standin.FaultSlow,
			Call: "order",
			MS:   int64(cl.intN(15000)),
		})
	}
}

// loseResponses drops responses of the log and the engines, and makes the platform
// unavailable for some time.
func loseResponses(cl *cluster) {
	for range 4 {
		cl.sleepRandom(20 * time.Second)
		cl.platform.Faults().Set(standin.Rule{
			Kind:  standin.FaultDropAnswer,
			Call:  "append",
			Count: 1 + cl.intN(3),
		})
		cl.engines[cl.intN(engineCount)].Faults().Add(standin.Rule{
			Kind:  standin.FaultDropAnswer,
			Call:  "order",
			Count: 1,
		})
		cl.sleepRandom(20 * time.Second)
		cl.platform.Faults().Set(standin.Rule{Kind: standin.FaultOutage})
		cl.sleepRandom(10 * time.Second)
		cl.platform.Faults().Set()
	}
}

// run publishes documents while inject runs, and then waits until the engines have settled.
func (cl *cluster) run(inject faultInjector) {
	delayOrders(cl)
	var running []chan struct{}
	for _, action := range []faultInjector{inject, isolateNodes, (*cluster).publishDocuments} {
		done := make(chan struct{})
		running = append(running, done)
		cl.wg.Go(func() {
			defer close(done)
			action(cl)
		})
	}
	for _, done := range running {
		<-done
	}
	time.Sleep(settleTime)
}

func (cl *cluster) publishDocuments() {
	for range documentCount {
		cl.sleepRandom(40 * time.Second)
		cl.publish()
	}
}

// checkDesiredStates fails unless every engine is in the desired state of the latest
// document.
func (cl *cluster) checkDesiredStates() {
	d := cl.latestDocument()
	for i, engine := range cl.engines {
		state, err := engine.State(context.Background())
		cl.c.Assert(err, qt.IsNil)
		order, differs := foreman.NextOrder(d.desired[i], state)
		cl.c.Check(differs, qt.IsFalse, qt.Commentf("engine %d needs order %+v in state %+v", i, order, state))
	}
}

// checkFencingOrder fails if an order took effect after one with a higher fencing token.
func (cl *cluster) checkFencingOrder() {
	for i, engine := range cl.engines {
		last := uint64(0)
		for at, applied := range engine.Applied() {
			cl.c.Check(applied.Request.Fence > last || at == 0, qt.IsTrue,
				qt.Commentf("engine %d: order %d has fencing token %d after %d", i, at, applied.Request.Fence, last))
			last = max(last, applied.Request.Fence)
		}
	}
}

// checkLoadRate fails if the claims for loads exceeded the rate limit over any interval.
func (cl *cluster) checkLoadRate() {
	records := cl.controlRecords()
	var claimed []time.Time
	for _, engine := range cl.engines {
		for _, applied := range engine.Applied() {
			if applied.Request.Kind == kiln.OrderLoadModel || applied.Request.Kind == kiln.OrderLoadAdapter {
				claimed = append(claimed, records[applied.Request.Fence].At)
			}
		}
	}
	slices.SortFunc(claimed, time.Time.Compare)
	cl.c.Check(claimed, qt.Not(qt.HasLen), 0)
	for i, from := range claimed {
		for j, to := range claimed[i:] {
			limit := testConfig().LoadBurst + testConfig().LoadsPerMinute*to.Sub(from).Minutes()
			cl.c.Check(float64(j+1) <= limit+1e-6, qt.IsTrue, qt.Commentf("%d loads in %v", j+1, to.Sub(from)))
		}
	}
}

// checkNoRequestInterrupted fails if a change of role interrupted a request.
func (cl *cluster) checkNoRequestInterrupted() {
	for i, engine := range cl.engines {
		for _, applied := range engine.Applied() {
			cl.c.Check(applied.DroppedRequests, qt.Equals, 0, qt.Commentf("engine %d: %+v", i, applied))
		}
	}
}

func runProof(t *testing.T, failures string, checksFencing bool, prepare func(cl *cluster), inject faultInjector) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "orders to engines",
		Failures: failures,
	}, seeds, func(c *qt.C, seed uint64) {
		synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
			cl := newCluster(qt.New(t), seed, checksFencing)
			defer cl.stop()
			prepare(cl)
			cl.run(inject)
			cl.checkDesiredStates()
			cl.checkFencingOrder()
			cl.checkDocumentOrder()
			cl.checkNoRequestInterrupted()
			cl.checkLoadRate()
		})
	})
}

func pauseOnOrder(cl *cluster) { cl.interruptions = 4 }

func crashOnOrder(cl *cluster) {
	cl.interruptions = controllerCount - 1
	cl.crashOnInterrupt = true
}

func TestProofOrdersChecked(t *testing.T) {
	runProof(t, "views differ; engines check fencing numbers", true, noFaults, noFaults)
}

func TestProofOrdersUnchecked(t *testing.T) {
	runProof(t, "views differ; engines ignore fencing numbers", false, noFaults, noFaults)
}

func TestProofOrdersCheckedPaused(t *testing.T) {
	runProof(t, "views differ, controllers paused and waking late; engines check", true, pauseOnOrder, pauseNodes)
}

func TestProofOrdersUncheckedPaused(t *testing.T) {
	runProof(t, "views differ, controllers paused and waking late, but not inside a send; engines ignore", false, pauseOnOrder, pauseNodes)
}

func TestProofOrdersCheckedLost(t *testing.T) {
	runProof(t, "views differ, platform away, answers lost; engines check", true, noFaults, loseResponses)
}

func TestProofOrdersUncheckedLost(t *testing.T) {
	runProof(t, "views differ, platform away, answers lost; engines ignore", false, noFaults, loseResponses)
}

func TestProofOrdersCheckedKilled(t *testing.T) {
	runProof(t, "views differ, controllers killed during an order; engines check", true, crashOnOrder, noFaults)
}

func TestProofOrdersUncheckedKilled(t *testing.T) {
	runProof(t, "views differ, controllers killed during an order; engines ignore", false, crashOnOrder, noFaults)
}

// TestProofOrdersPausedInSend pauses controllers between their last check and the call of
// the engine, so that orders arrive late. Engines that check fencing tokens refuse them.
// Other engines carry them out and must be brought back to their desired state.
func TestProofOrdersPausedInSend(t *testing.T) {
	lateCount, maxRepair := 0, time.Duration(0)
	for _, checksFencing := range []bool{true, false} {
		name := map[bool]string{true: "check", false: "ignore"}[checksFencing]
		t.Run(name, func(t *testing.T) {
			prooftest.Run(t, prooftest.Row{
				Promise:  "orders to engines",
				Failures: "controllers paused inside a send; engines " + name + " (wanted state in the end)",
			}, seeds, func(c *qt.C, seed uint64) {
				synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
					cl := newCluster(qt.New(t), seed, checksFencing)
					defer cl.stop()
					cl.interruptions = 4
					cl.interruptBeforeOrder = true
					cl.run(noFaults)
					cl.c.Check(cl.interruptions < 4, qt.IsTrue)
					cl.checkDesiredStates()
					if checksFencing {
						cl.checkFencingOrder()
						return
					}
					lateCount += cl.lateOrders()
					maxRepair = max(maxRepair, cl.longestRepair())
				})
			})
		})
	}
	t.Logf("engines that ignore fencing tokens: %d late orders, longest repair %v", lateCount, maxRepair)
}

// controlRecords returns the records of the control stream, indexed by offset.
func (cl *cluster) controlRecords() []ledger.Record {
	page, err := cl.platform.Read(context.Background(), ledger.StreamControl, 0, 5000)
	cl.c.Assert(err, qt.IsNil)
	return page.Records
}

// checkDocumentOrder fails if an order is based on an older document than an earlier order.
func (cl *cluster) checkDocumentOrder() {
	records := cl.controlRecords()
	for i, engine := range cl.engines {
		last := ledger.Offset(0)
		for _, applied := range engine.Applied() {
			record, err := foreman.DecodeRecord(records[applied.Request.Fence].Payload)
			cl.c.Assert(err, qt.IsNil)
			cl.c.Check(record.Document >= last, qt.IsTrue, qt.Commentf("engine %d: document %d after %d", i, record.Document, last))
			last = max(last, record.Document)
		}
	}
}

// lateOrders counts the orders that took effect after one with a higher fencing token.
func (cl *cluster) lateOrders() (late int) {
	for _, engine := range cl.engines {
		last := uint64(0)
		for _, applied := range engine.Applied() {
			if applied.Request.Fence < last {
				late++
			}
			last = max(last, applied.Request.Fence)
		}
	}
	return late
}

// longestRepair returns the longest time from a late order, after the last document, to
// the last order of its engine, which restored the desired state.
func (cl *cluster) longestRepair() (longest time.Duration) {
	publishedAt := cl.latestDocument().at
	for _, engine := range cl.engines {
		applied := engine.Applied()
		last := uint64(0)
		for _, order := range applied {
			if order.Request.Fence < last && order.At.After(publishedAt) {
				longest = max(longest, applied[len(applied)-1].At.Sub(order.At))
			}
			last = max(last, order.Request.Fence)
		}
	}
	return longest
}
