package demo_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/standin"
)

// newKey returns a new idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestProcessKilledAndSuspended checks that an order runs once although the entry instance
// that sent it is suspended, and that a killed instance holds no engine memory.
func TestProcessKilledAndSuspended(t *testing.T) {
	cl := newCluster(t)
	c := cl.c
	cl.waitFor("readiness for orders", func() bool { return cl.order(context.Background(), 102, newKey()).status == http.StatusOK })

	// Suspend e1 while the service runs its order.
	key := newKey()
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan reply, 1)
	go func() { first <- cl.order(ctx, 101, key) }()
	cl.waitFor("the run of the order", func() bool { return cl.countRuns(key) == 1 })
	cl.signal("e1", syscall.SIGSTOP)
	repeat := cl.order(context.Background(), 102, key)
	c.Check(repeat.body, qt.Not(qt.Contains), `"ran":"not_run"`)
	c.Check(cl.complete(102, "Survey of the rose window", 10).body, qt.Contains, wantText("Survey of the rose window", 10))
	cl.signal("e1", syscall.SIGCONT)
	cl.waitFor("the outcome of the order", func() bool {
		response := cl.order(context.Background(), 101, key)
		return response.err == nil && response.status != http.StatusConflict
	})
	c.Check(cl.countRuns(key), qt.Equals, 1)
	cancel()
	<-first

	// Kill e1 while it streams a completion. e2 must keep serving, and the engine memory of
	// e1 must be freed.
	stream := make(chan reply, 1)
	go func() { stream <- cl.complete(101, "Survey of the west door", 400) }()
	cl.waitFor("a stream in progress", func() bool { return cl.countHoldings() > 0 })
	cl.kill("e1")
	c.Check((<-stream).body, qt.Not(qt.Contains), wantText("Survey of the west door", 400))
	c.Check(cl.complete(102, "Survey of the west door", 20).body, qt.Contains, wantText("Survey of the west door", 20))
	cl.waitFor("the release of the engine memory", func() bool { return cl.countHoldings() == 0 })
}

// TestProcessPlatformOutage checks that completions and lookups are served during an outage
// of the platform, that orders are refused, and that each order runs at most once.
func TestProcessPlatformOutage(t *testing.T) {
	cl := newCluster(t)
	c := cl.c
	keyBefore := newKey()
	cl.waitFor("readiness for orders", func() bool { return cl.order(context.Background(), 101, keyBefore).status == http.StatusOK })
	cl.setFaults(1, standin.Rule{Kind: standin.FaultOutage})
	c.Check(cl.complete(101, "Survey in an outage", 10).body, qt.Contains, wantText("Survey in an outage", 10))
	c.Check(cl.get(cl.addr(101), "/services/workshop-desk/panels/7").status, qt.Equals, http.StatusOK)
	keyDuring := newKey()
	cl.waitFor("a refusal of orders", func() bool {
		response := cl.order(context.Background(), 101, keyDuring)
		return response.status == http.StatusServiceUnavailable
	})
	runsInOutage := cl.countRuns(keyDuring)
	cl.kill("e2")
	cl.startEntry("e2", 102)
	cl.waitFor("e2 serving with the document of its peer", func() bool { return cl.complete(102, "Survey", 5).status == http.StatusOK })
	cl.setFaults(1)
	keyAfter := newKey()
	cl.waitFor("orders after the outage", func() bool { return cl.order(context.Background(), 102, keyAfter).status == http.StatusOK })
	c.Check(cl.countRuns(keyAfter), qt.Equals, 1)
	c.Check(cl.countRuns(keyBefore), qt.Equals, 1)
	c.Check(runsInOutage <= 1, qt.IsTrue)
	c.Check(cl.countRuns(keyDuring) <= 1, qt.IsTrue)
}

// TestProcessCutFromAnEngine checks that completions are served by the other decode engine
// if an entry instance can't reach the first, and that the instance shuts down cleanly.
func TestProcessCutFromAnEngine(t *testing.T) {
	cl := newCluster(t)
	c := cl.c
	cl.setFaults(12, standin.Rule{
		Kind: standin.FaultCut,
		From: cl.netPrefix + ".101",
	})
	for range 5 {
		c.Check(cl.complete(101, "Survey past a cut", 10).body, qt.Contains, wantText("Survey past a cut", 10))
	}
	cl.signal("e1", syscall.SIGTERM)
	err := cl.processes["e1"].Wait()
	delete(cl.processes, "e1")
	c.Check(err, qt.IsNil)
}
