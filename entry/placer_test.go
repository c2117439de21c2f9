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

// steadyReporter reports a live engine.
type steadyReporter struct{ role kiln.Role }

func (r steadyReporter) Load(context.Context) (kiln.LoadReport, error) {
	return kiln.LoadReport{
		At:          time.Now(),
		Incarnation: 1,
		Role:        r.role,
		Slots:       20,
		Models:      []string{"drafting-models@1"},
	}, nil
}

func engineLine(name, address, pool string) plan.Server {
	return plan.Server{
		Name:       name,
		Address:    address,
		DataCentre: "randstad-a",
		Kind:       plan.KindEngine,
		Pool:       pool,
		Slots:      20,
	}
}

func poolLine(name, role string) plan.Pool {
	return plan.Pool{
		Name:       name,
		Model:      "drafting-models",
		DataCentre: "randstad-a",
		Role:       role,
	}
}

// An instance that has just woken knows nothing against its engines: requests
// wait for its news, and the engines are used as soon as these have come.
func TestPlacerAfterAFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		members := crew.New(crew.DefaultConfig(), crew.Deps{
			Self: crew.Self{
				ID:         "e1",
				Address:    "10.0.1.9:7000",
				DataCentre: "randstad-a",
				Region:     "randstad",
			},
			Reporter: func(server *crew.Server) crew.Reporter { return steadyReporter{role: server.Role} },
		})
		members.UseRouting(crew.Routing{
			Regions: []plan.Region{{
				Name:        "randstad",
				DataCentres: []string{"randstad-a"},
			}},
			Pools: []plan.Pool{poolLine("prefill", plan.RolePrefill), poolLine("decode", plan.RoleDecode)},
			Servers: []plan.Server{
				engineLine("p", "10.0.1.1:9000", "prefill"),
				engineLine("d", "10.0.1.2:9000", "decode"),
			},
		})
		p := &placer{
			Placer:  quotation.NewPlacer(quotation.Deps{Servers: &fleet{members: members}}),
			members: members,
			foremen: &foremen{board: foreman.NewClaimTable(foreman.DefaultConfig())},
			region:  "randstad",
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
		// Nothing of the process runs.
		time.Sleep(5 * time.Second)
		wait, ok := place().(quotation.Wait)
		c.Assert(ok, qt.IsTrue)
		c.Assert(wait.Stale, qt.IsTrue)
		runFor(500 * time.Millisecond)
		c.Assert(isRun(), qt.IsTrue, qt.Commentf("engines stay marked as failed"))
	})
}
