package crew

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/crew/crewpb"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

var mergeStart = time.UnixMilli(1_800_000_000_000)

func newMergeView() *View {
	return Apply(NewView(Self{
		ID:         "self",
		Address:    "10.0.0.1:80",
		DataCentre: "randstad-a",
		Region:     "randstad",
	}, mergeStart), RoutingAccepted{
		Routing: Routing{
			Servers: []plan.Server{
				{
					Name:       "server-0",
					DataCentre: "randstad-a",
				},
				{
					Name:       "server-1",
					DataCentre: "randstad-a",
				},
			},
		},
	})
}

// drawEvent draws an event about one of two servers.
func drawEvent(t *rapid.T) Event {
	name := fmt.Sprintf("server-%d", rapid.IntRange(0, 1).Draw(t, "server"))
	incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
	leaving := rapid.Bool().Draw(t, "leaving")
	at := mergeStart.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "at")) * time.Millisecond)
	switch rapid.IntRange(0, 3).Draw(t, "source") {
	case 0:
		state := ledger.InstanceLive
		if leaving {
			state = ledger.InstanceLeaving
		}
		return ListRead{
			At: at,
			Instances: []ledger.ListedInstance{
				{
					Kind:        "engine",
					Name:        name,
					Incarnation: incarnation,
					State:       state,
				},
			},
		}
	case 1:
		return LoadReported{
			At:     at,
			Server: name,
			Load: kiln.LoadReport{
				At:          at,
				Incarnation: incarnation,
				Leaving:     leaving,
				Role:        kiln.RoleDecode,
			},
		}
	case 2:
		return HealthChanged{
			At:     at,
			Server: name,
			Up:     leaving,
		}
	default:
		return RecordsReceived{
			At: at,
			servers: []serverRecord{
				{
					name:               name,
					incarnation:        incarnation,
					leaving:            leaving,
					leavingIncarnation: incarnation,
				},
			},
		}
	}
}

func states(v *View) map[string]string {
	states := map[string]string{}
	for _, s := range v.Servers() {
		states[s.Name] = fmt.Sprint(s.State, s.Incarnation)
	}
	return states
}

// The resulting view must depend neither on the order nor on the repetition of events.
func TestMergeCommutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawEvent), 1, 12).Draw(t, "events")
		shuffled := rapid.Permutation(events).Draw(t, "order")
		repeated := slices.Concat(shuffled, shuffled[:len(shuffled)/2])
		one, other := ApplyAll(newMergeView(), events...), newMergeView()
		for _, e := range repeated {
			other = Apply(other, e)
		}
		mustEqual(t, states(other), states(one))
	})
}

// A report of leaving must stay valid until a newer incarnation appears.
func TestLeavingNotUndoneByOlderIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newMergeView()
		var leaving, newest uint64
		for _, e := range rapid.SliceOfN(rapid.Custom(drawEvent), 1, 20).Draw(t, "events") {
			if incarnation, isLeaving, ok := statementOf(e, "server-0"); ok {
				newest = max(newest, incarnation)
				if isLeaving {
					leaving = max(leaving, incarnation)
				}
			}
			before := states(v)
			next := Apply(v, e)
			mustEqual(t, states(v), before)
			v = next
			s, _ := v.Server("server-0")
			if leaving > 0 && leaving >= newest {
				mustEqual(t, s.State == StateLive, false)
			}
		}
	})
}

// A server that reports no incarnation can report that it is leaving, but cannot revoke
// that.
func TestReportWithoutIncarnation(t *testing.T) {
	c := qt.New(t)
	report := func(leaving bool, after time.Duration) LoadReported {
		return LoadReported{
			At:     mergeStart,
			Server: "server-0",
			Load: kiln.LoadReport{
				At:      mergeStart.Add(after),
				Leaving: leaving,
			},
		}
	}
	listed := ListRead{
		At: mergeStart,
		Instances: []ledger.ListedInstance{
			{
				Kind:        "service",
				Name:        "server-0",
				Incarnation: 7,
				State:       ledger.InstanceLive,
			},
		},
	}
	v := ApplyAll(newMergeView(), listed, report(false, 0))
	c.Assert(v.MayPlace("server-0"), qt.IsTrue)
	v = ApplyAll(v, report(true, time.Second), report(false, 2*time.Second), listed)
	c.Assert(v.MayPlace("server-0"), qt.IsFalse)
	listed.Instances[0].Incarnation = 8
	c.Assert(Apply(v, listed).MayPlace("server-0"), qt.IsTrue)
}

func statementOf(event Event, server string) (incarnation uint64, leaving, ok bool) {
	switch e := event.(type) {
	case ListRead:
		entry := e.Instances[0]
		return entry.Incarnation, entry.State == ledger.InstanceLeaving, entry.Name == server
	case LoadReported:
		return e.Load.Incarnation, e.Load.Leaving, e.Server == server
	case RecordsReceived:
		r := e.servers[0]
		return r.incarnation, r.leaving, r.name == server
	}
	return 0, false, false
}

func TestLoadsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []serverLoad
		for i := range rapid.IntRange(0, 6).Draw(t, "n") {
			loads = append(loads, serverLoad{
				key: uint32(i),
				load: kiln.LoadReport{
					At:              mergeStart.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * ageUnit),
					SlotsUsed:       rapid.IntRange(0, 40).Draw(t, "slots"),
					PiecesUsed:      rapid.IntRange(0, 900).Draw(t, "pieces"),
					QueuedTokens:    rapid.IntRange(0, 900).Draw(t, "queued") * queuedUnit,
					StepMS:          float64(rapid.IntRange(0, 400).Draw(t, "step")) * stepUnitMS,
					TokensPerSecond: float64(rapid.IntRange(0, 100).Draw(t, "rate")) * rateUnit,
				},
			})
		}
		o := pendingMessage{
			gossip: gossipAt(mergeStart),
			loads:  loads,
		}
		got := map[uint32]kiln.LoadReport{}
		for _, l := range loadsFromProto(o.message()) {
			got[l.key] = l.load
		}
		mustEqual(t, len(got), len(loads))
		for _, l := range loads {
			mustEqual(t, got[l.key], l.load)
		}
	})
}

func gossipAt(at time.Time) *crewpb.Gossip {
	return &crewpb.Gossip{
		AtMs: uint64(at.UnixMilli()),
	}
}

func mustEqual(t *rapid.T, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}
