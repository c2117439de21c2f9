package foreman_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

var loadOrder = kiln.OrderRequest{
	Kind:    kiln.OrderLoadModel,
	Model:   "draft",
	Version: "2",
}

// claimedState is a state whose own claim was granted just now.
func claimedState(now time.Time) foreman.State {
	return foreman.State{
		Config:   foreman.DefaultConfig(),
		Issuer:   "node-0",
		Fresh:    true,
		Document: 7,
		Wanted: foreman.DesiredState{
			Role: kiln.RoleBoth,
			Artifacts: []foreman.Artifact{{
				Name:    "draft",
				Version: "2",
			}},
		},
		Actual: kiln.EngineState{
			Role:   kiln.RoleBoth,
			Models: []string{"draft@1"},
		},
		LoadReady: true,
		Log: foreman.ServerState{
			Document: 7,
			Claim: foreman.Claim{
				ID:     "c1",
				Issuer: "node-0",
				Offset: 40,
				Order:  loadOrder,
				Until:  now.Add(time.Minute),
			},
		},
		Own: foreman.Own{
			ID:        "c1",
			ClaimedAt: now,
		},
	}
}

func TestDecide(t *testing.T) {
	now := time.Date(2026, 3, 12, 9, 0, 0, 0, time.UTC)
	fenced := loadOrder
	fenced.Fence = 40
	closing := foreman.Close{Claim: 40}
	for _, test := range []struct {
		name   string
		change func(s *foreman.State)
		after  time.Duration
		want   foreman.Action
	}{
		{
			name:   "granted",
			change: func(*foreman.State) {},
			want: foreman.Send{
				Order:  fenced,
				Before: now.Add(5 * time.Second),
			},
		},
		{
			name:   "woken after the time to send",
			change: func(*foreman.State) {},
			after:  5 * time.Second,
			want:   closing,
		},
		{
			name:   "stale view",
			change: func(s *foreman.State) { s.Fresh = false },
			want:   closing,
		},
		{
			name:   "no longer wanted",
			change: func(s *foreman.State) { s.Actual.Models = []string{"draft@2"} },
			want:   closing,
		},
		{
			name: "answered",
			change: func(s *foreman.State) {
				s.Own.SentAt = now
				s.Own.Answered = true
			},
			want: closing,
		},
		{
			name:   "no answer yet",
			change: func(s *foreman.State) { s.Own.SentAt = now },
			after:  29 * time.Second,
			want:   foreman.Wait{Reason: "the order has no answer yet"},
		},
		{
			name:   "no answer for the longest order",
			change: func(s *foreman.State) { s.Own.SentAt = now },
			after:  30 * time.Second,
			want:   closing,
		},
		{
			name:   "claimed by another issuer that is gone, fencing ignored",
			change: func(s *foreman.State) { s.Own = foreman.Own{} },
			want:   foreman.Later{Reason: "claimed by node-0"},
		},
		{
			name: "claimed by another issuer that is gone, fencing checked",
			change: func(s *foreman.State) {
				s.Own = foreman.Own{}
				s.ChecksFencing = true
			},
			want: foreman.Append{Order: loadOrder},
		},
		{
			name: "claimed by another live issuer, fencing checked",
			change: func(s *foreman.State) {
				s.Own = foreman.Own{}
				s.ChecksFencing = true
				s.IssuerLive = true
			},
			want: foreman.Later{Reason: "claimed by node-0"},
		},
		{
			name: "older document",
			change: func(s *foreman.State) {
				s.Own = foreman.Own{}
				s.Log.Claim = foreman.Claim{}
				s.Document = 6
			},
			want: foreman.Later{Reason: "a newer document was acted on"},
		},
		{
			name: "weight store is busy",
			change: func(s *foreman.State) {
				s.Own = foreman.Own{}
				s.Log.Claim = foreman.Claim{}
				s.LoadReady = false
			},
			want: foreman.Later{Reason: "weight store's rate"},
		},
		{
			name: "refused",
			change: func(s *foreman.State) {
				s.Log.Claim = foreman.Claim{}
				s.Log.Refused = []string{"c1"}
			},
			want: foreman.Later{Reason: "the claim was refused"},
		},
		{
			name:   "not in the log yet",
			change: func(s *foreman.State) { s.Log.Claim = foreman.Claim{} },
			want:   foreman.Wait{Reason: "the claim is not in the log yet"},
		},
		{
			name:   "never came into the log",
			change: func(s *foreman.State) { s.Log.Claim = foreman.Claim{} },
			after:  5 * time.Second,
			want:   foreman.Later{Reason: "the claim was lost"},
		},
		{
			name: "change of role",
			change: func(s *foreman.State) {
				s.Own = foreman.Own{}
				s.Log.Claim = foreman.Claim{}
				s.Actual.Models = []string{"draft@2"}
				s.Wanted.Role = kiln.RoleDecode
			},
			want: foreman.Drain{},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := claimedState(now)
			test.change(&state)
			qt.Assert(t, foreman.Decide(state, now.Add(test.after)), qt.DeepEquals, test.want)
		})
	}
}

func TestBoardRefusesOlderDocuments(t *testing.T) {
	c := qt.New(t)
	board := foreman.NewClaimTable(foreman.DefaultConfig())
	at := time.Date(2026, 3, 12, 9, 0, 0, 0, time.UTC)
	claim := func(offset, document ledger.Offset, shared bool) {
		raw, err := foreman.Record{
			Kind:     foreman.KindClaim,
			ID:       string(rune('a' + offset)),
			Server:   "e1",
			Issuer:   "node-0",
			Document: document,
			Order:    &loadOrder,
			Shared:   shared,
		}.Encode()
		c.Assert(err, qt.IsNil)
		board.Apply([]ledger.Record{{
			Offset:  offset,
			At:      at,
			Payload: raw,
		}})
	}
	claim(0, 4, true)
	claim(1, 3, true)
	c.Assert(board.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(0))
	c.Assert(board.Server("e1").Refused, qt.DeepEquals, []string{"b"})
	claim(2, 4, true)
	c.Assert(board.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(2))
	claim(3, 5, false)
	c.Assert(board.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(2))
	at = at.Add(37 * time.Second)
	claim(4, 5, false)
	c.Assert(board.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(4))
}

func TestWantedOf(t *testing.T) {
	c := qt.New(t)
	document := plan.Document{
		Models: []plan.Model{{
			Name:    "draft",
			Version: "2",
			Adapters: []plan.Adapter{{
				Name:    "survey",
				Version: "5",
			}},
		}},
		Pools: []plan.Pool{{
			Name:  "p",
			Model: "draft",
			Role:  "decode",
		}},
		Servers: []plan.Server{{
			Name: "e1",
			Kind: plan.KindEngine,
			Pool: "p",
		}},
	}
	index := plan.NewIndex(document)
	server, _ := index.Server("e1")
	wanted, ok := foreman.DesiredStateOf(index, server)
	c.Assert(ok, qt.IsTrue)
	state := kiln.EngineState{
		Role:   kiln.RoleBoth,
		Models: []string{"draft@1", "old@1"},
	}
	var kinds []kiln.OrderKind
	for _, next := range []kiln.EngineState{
		state,
		{Models: []string{"draft@2", "old@1"}},
		{Models: []string{"draft@2", "old@1", "survey@5"}},
		{Models: []string{"draft@2", "survey@5"}},
	} {
		order, ok := foreman.NextOrder(wanted, next)
		c.Assert(ok, qt.IsTrue)
		kinds = append(kinds, order.Kind)
	}
	c.Assert(kinds, qt.DeepEquals, []kiln.OrderKind{
		kiln.OrderLoadModel, kiln.OrderLoadAdapter, kiln.OrderUnload, kiln.OrderChangeRole,
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"kind":"engine_claim","id":"a","server":"e1","issuer":"n","document":3,"order":{"kind":"change_role","role":"decode","fence":0}}`))
	f.Add([]byte(`{"kind":"engine_close","id":"a","server":"e1","issuer":"n","claim":3}`))
	f.Add([]byte(`{"kind":"engine_drain","id":"a","server":"e1","issuer":"n"}`))
	f.Add([]byte(`{"kind":"heartbeat"}`))
	f.Add([]byte(`{"kind":"engine_claim","id":"a","server":"e1","issuer":"n"}`))
	f.Fuzz(func(t *testing.T, payload []byte) {
		record, err := foreman.DecodeRecord(payload)
		if err != nil {
			return
		}
		raw, err := record.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := foreman.DecodeRecord(raw)
		if err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		first, _ := json.Marshal(record)
		second, _ := json.Marshal(again)
		if string(first) != string(second) {
			t.Fatalf("%s decodes to %s", first, second)
		}
		board := foreman.NewClaimTable(foreman.DefaultConfig())
		board.Apply([]ledger.Record{{Payload: payload}})
	})
}
