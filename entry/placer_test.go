package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/quotation"
)

// liveEngineReporter returns the load report of a live engine.
type liveEngineReporter struct{ role kiln.Role }

func (r liveEngineReporter) Load(context.Context) (kiln.LoadReport, error) {
	return kiln.LoadReport{
		At:          time.Now(),
		Incarnation: 1,
		Role:        r.role,
		Slots:       20,
		Models:      []string{"drafting-models@1"},
	}, nil
}

func engineServer(name, address, pool string) plan.Server {
	return plan.Server{
		Name:       name,
		Address:    address,
		DataCentre: "randstad-a",
		Kind:       plan.KindEngine,
		Pool:       pool,
		Slots:      20,
	}
}

func newPool(name, role string) plan.Pool {
	return plan.Pool{
		Name:       name,
		Model:      "drafting-models",
		DataCentre: "randstad-a",
		Role:       role,
	}
}

// TestPlacerAfterFreeze checks placement after the process was frozen. The view is
// stale then, so requests wait for a new one, but the engines must not be marked as
// failed: they are used as soon as the view is current again.
func TestPlacerAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		members := crew.New(crew.DefaultConfig(), crew.Deps{
			Self: crew.Self{
				ID:         "e1",
				Address:    "10.0.1.9:7000",
				DataCentre: "randstad-a",
				Region:     "randstad",
			},
			Reporter: func(server *crew.Server) crew.Reporter { return liveEngineReporter{role: server.Role} },
		})
		members.UseRouting(crew.Routing{
			Regions: []plan.Region{{
				Name:        "randstad",
				DataCentres: []string{"randstad-a"},
			}},
			Pools: []plan.Pool{newPool("prefill", plan.RolePrefill), newPool("decode", plan.RoleDecode)},
			Servers: []plan.Server{
				engineServer("p", "10.0.1.1:9000", "prefill"),
				engineServer("d", "10.0.1.2:9000", "decode"),
			},
		})
		p := &checkedPlacer{
			Placer:     quotation.NewPlacer(quotation.Deps{Servers: &placementServers{members: members}}),
			members:    members,
			reconciler: &engineReconciler{claims: foreman.NewClaimTable(foreman.DefaultConfig())},
			region:     "randstad",
		}
		place := func() quotation.Decision {
			return p.Place(quotation.Request{
				ID:           "r1",
				Model:        "drafting-models",
				PromptTokens: 100,
				DataCentre:   "randstad-a",
			}, time.Now())
		}
		runFor := func(d time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), d)
			defer cancel()
			c.Assert(members.Run(ctx), qt.IsNil)
		}
		isRun := func() bool {
			_, ok := place().(quotation.Run)
			return ok
		}
		runFor(3 * time.Second)
		c.Assert(isRun(), qt.IsTrue)
		// The process is frozen: membership does not run.
		time.Sleep(5 * time.Second)
		wait, ok := place().(quotation.Wait)
		c.Assert(ok, qt.IsTrue)
		c.Assert(wait.Stale, qt.IsTrue)
		runFor(500 * time.Millisecond)
		c.Assert(isRun(), qt.IsTrue, qt.Commentf("engines are still marked as failed"))
	})
}
