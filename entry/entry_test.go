package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/orderkey"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/workshop"
)

func roleOf(role string) kiln.Role { return kiln.Role(role) }

func newKey() string { return orderkey.New(time.Now()) }

func TestCompletionAndLookupOnEveryInstance(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		for _, name := range s.entryNames() {
			text, resp := s.complete(c.Context(), name, callerKey("vecht"), "Survey of the north window", 24)
			c.Assert(text, qt.Equals, expectedText("Survey of the north window", 24), qt.Commentf("%d %s %v", resp.status, resp.body, resp.err))
		}
		lookup := s.send(c.Context(), http.MethodGet, s.url("e1", "/services/workshop-desk/panels/7"), callerKey("vecht"), nil, "")
		c.Assert(lookup.status, qt.Equals, http.StatusOK, qt.Commentf("%s", lookup.body))
	})
}

func TestLeavingServiceGetsNoCalls(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		lookup := func() int {
			return s.send(c.Context(), http.MethodGet, s.url("e1", "/services/workshop-desk/panels/7"), callerKey("vecht"), nil, "").status
		}
		c.Assert(lookup(), qt.Equals, http.StatusOK)
		s.services["desk-a"].SetLeaving()
		leavingAt := time.Now()
		for time.Since(leavingAt) < 10*time.Second {
			c.Check(lookup(), qt.Equals, http.StatusOK)
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(s.services["desk-a"].LastNewWork().Sub(leavingAt) <= leavingNoticeTimeout, qt.IsTrue)
		c.Check(s.services["desk-b"].KeylessRuns() > 0, qt.IsTrue)
	})
}

// TestOperatorDrain checks that a drain command is answered before the shutdown is
// complete, and that it requires the operator key.
func TestOperatorDrain(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		n := s.entries["e1"]
		status, err := operator.NewClient(n.cfg.OperatorKey, s.client).Drain(c.Context(), n.cfg.OperatorListen)
		c.Assert(err, qt.IsNil)
		c.Check(status.State, qt.Equals, operator.StateDraining)
		<-n.ended
		c.Check(n.err, qt.IsNil)
		unauthorized := operator.NewClient("another-key-0123456789", s.client)
		_, err = unauthorized.Drain(c.Context(), s.entries["e2"].cfg.OperatorListen)
		c.Check(err, qt.ErrorMatches, ".*status 401.*")
		c.Check(s.healthy("e2"), qt.IsTrue)
	})
}

func TestOrderRunsOnceAcrossInstances(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		key := newKey()
		header := map[string]string{workshop.HeaderIdempotencyKey: key}
		sendOrder := func(name string) response {
			return s.send(c.Context(), http.MethodPost, s.url(name, "/services/workshop-desk/orders"), callerKey("vecht"), header, `{"cames":40}`)
		}
		s.await(30*time.Second, "readiness for orders", func() bool { return sendOrder("e1").status == http.StatusOK })
		first, second := sendOrder("e1"), sendOrder("e2")
		c.Assert(first.status, qt.Equals, http.StatusOK, qt.Commentf("%s", first.body))
		c.Assert(string(second.body), qt.Equals, string(first.body))
		c.Assert(s.services["desk-a"].Runs()[key]+s.services["desk-b"].Runs()[key], qt.Equals, 1)
	})
}
