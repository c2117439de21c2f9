package quotation_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
)

func splitLoad(prefillQueue, decodeQueue time.Duration) quotation.SplitLoad {
	return quotation.SplitLoad{
		PrefillQueue: prefillQueue,
		DecodeQueue:  decodeQueue,
		MinPrefill:   1,
		MinDecode:    2,
		Engines: []quotation.SplitEngine{
			{
				Name: "p1",
				Role: kiln.RolePrefill,
			},
			{
				Name: "d1",
				Role: kiln.RoleDecode,
				Load: 9,
			},
			{
				Name: "d2",
				Role: kiln.RoleDecode,
				Load: 3,
			},
			{
				Name: "d3",
				Role: kiln.RoleDecode,
				Load: 5,
			},
		},
	}
}

func TestSplitMovesLeastLoadedAfterHold(t *testing.T) {
	c := qt.New(t)
	cfg := quotation.DefaultSplitConfig()
	load := splitLoad(300*time.Millisecond, 0)
	state, decision := quotation.Split(cfg, quotation.SplitState{}, load, now)
	c.Assert(decision, qt.Equals, quotation.SplitDecision(quotation.KeepRoles{}))
	state, decision = quotation.Split(cfg, state, load, now.Add(29*time.Second))
	c.Assert(decision, qt.Equals, quotation.SplitDecision(quotation.KeepRoles{}))
	state, decision = quotation.Split(cfg, state, load, now.Add(30*time.Second))
	c.Assert(decision, qt.Equals, quotation.SplitDecision(quotation.ChangeRole{
		Name: "d2",
		Role: kiln.RolePrefill,
	}))
	state, decision = quotation.Split(cfg, state, load, now.Add(31*time.Second))
	c.Assert(decision, qt.Equals, quotation.SplitDecision(quotation.KeepRoles{}))
	_, decision = quotation.Split(cfg, state, load, now.Add(100*time.Second))
	c.Assert(decision, qt.Equals, quotation.SplitDecision(quotation.KeepRoles{}))
}

func TestSplitKeepsMinimum(t *testing.T) {
	c := qt.New(t)
	cfg := quotation.DefaultSplitConfig()
	load := splitLoad(0, 300*time.Millisecond)
	state, _ := quotation.Split(cfg, quotation.SplitState{}, load, now)
	_, decision := quotation.Split(cfg, state, load, now.Add(time.Hour))
	c.Assert(decision, qt.Equals, quotation.SplitDecision(quotation.KeepRoles{}))
}

func TestSplitRespectsCooldown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := quotation.DefaultSplitConfig()
		var state quotation.SplitState
		var last time.Time
		at := now
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			queue := func(name string) time.Duration {
				return time.Duration(rapid.SampledFrom([]int{0, 20, 100, 500}).Draw(t, name)) * time.Millisecond
			}
			var decision quotation.SplitDecision
			state, decision = quotation.Split(cfg, state, splitLoad(queue("prefill"), queue("decode")), at)
			if _, changed := decision.(quotation.ChangeRole); !changed {
				continue
			}
			if !last.IsZero() && at.Sub(last) < 2*time.Minute {
				t.Fatalf("two changes within %s", at.Sub(last))
			}
			last = at
		}
	})
}
