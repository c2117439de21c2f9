package replay_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/replay"
)

const stewardFailsAt = 5 * time.Second

// runWithStewardFault returns the outcome of the requests that arrive later than
// two seconds after the stewards' failure.
func runWithStewardFault(t *testing.T, profile replay.Profile, seed uint64, fault replay.StewardFault) replay.Outcome {
	t.Helper()
	var outcome replay.Outcome
	synctest.Test(t, func(*testing.T) {
		events := replay.GenerateTrace(profile, replay.TraceConfig{
			Seed:    seed,
			Load:    0.9,
			Seconds: 12,
		})
		outcome = replay.RunVirtual(replay.VirtualConfig{
			Profile: profile,
			Policy:  replay.Policy{Name: replay.PolicyFull},
			Faults: replay.Faults{
				Steward:   fault,
				StewardAt: stewardFailsAt,
			},
			Seed:   seed,
			WarmUp: stewardFailsAt + 2*time.Second,
		}, events)
	})
	return outcome
}

func TestProofGoodputRecoversFromTheStewardsFailure(t *testing.T) {
	for name, fault := range map[string]replay.StewardFault{
		"steward lost":                    replay.StewardLost,
		"two stewards, views that differ": replay.StewardSplit,
	} {
		t.Run(name, func(t *testing.T) {
			prooftest.Run(t, prooftest.Row{
				Promise:  "goodput recovers in 2 s",
				Failures: name,
			}, 1, func(c *qt.C, seed uint64) {
				without := runWithStewardFault(c.TB.(*testing.T), replay.Glasnet(), seed, "")
				with := runWithStewardFault(c.TB.(*testing.T), replay.Glasnet(), seed, fault)
				c.Logf("goodput %.3f, without failure %.3f", with.Goodput(), without.Goodput())
				c.Check(with.Goodput() >= 0.95*without.Goodput(), qt.IsTrue)
				c.Check(with.Broken, qt.Equals, 0)
				c.Check(with.Arrived, qt.Equals, with.Drafts)
			})
		})
	}
}
