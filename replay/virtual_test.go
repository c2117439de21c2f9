package replay_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/replay"
)

func TestRunVirtualMeetsTargetsBelowCapacity(t *testing.T) {
	for _, profile := range replay.Profiles() {
		t.Run(profile.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				events := replay.GenerateTrace(profile, replay.TraceConfig{
					Seed:    1,
					Load:    0.5,
					Seconds: 8,
				})
				outcome := replay.RunVirtual(replay.VirtualConfig{
					Profile: profile,
					Policy:  replay.Policy{Name: replay.PolicyFull},
					Seed:    1,
					WarmUp:  3 * time.Second,
				}, events)
				t.Logf("%+v", outcome)
				c.Assert(outcome.Goodput() > 0.95, qt.IsTrue)
				c.Assert(outcome.Waste() < 0.01, qt.IsTrue)
			})
		})
	}
}
