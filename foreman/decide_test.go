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

// grantedSnapshot returns a snapshot in which the issuer's own claim was granted at now.
func grantedSnapshot(now time.Time) foreman.Snapshot {
	return foreman.Snapshot{
		Config:   foreman.DefaultConfig(),
		Issuer:   "node-0",
		Fresh:    true,
		Document: 7,
		Desired: foreman.DesiredState{
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
		LoadAllowed: true,
		Replayed: foreman.ServerState{
			Document: 7,
			Claim: foreman.Claim{
				ID:        "c1",
				Issuer:    "node-0",
				Offset:    40,
				Order:     loadOrder,
				ExpiresAt: now.Add(time.Minute),
			},
		},
		OwnClaim: foreman.OwnClaim{
			ID:        "c1",
			ClaimedAt: now,
		},
	}
}

func TestDecide(t *testing.T) {
	now := time.Date(2026, 3, 12, 9, 0, 0, 0, time.UTC)
	fencedOrder := loadOrder
	fencedOrder.Fence = 40
	closeClaim := foreman.CloseClaim{Claim: 40}
	for _, test := range []struct {
		name   string
		change func(s *foreman.Snapshot)
		after  time.Duration
		want   foreman.Action
	}{
		{
			name:   "claim granted",
			change: func(*foreman.Snapshot) {},
			want: foreman.SendOrder{
				Order:    fencedOrder,
				Deadline: now.Add(5 * time.Second),
			},
		},
		{
			name:   "past the deadline for sending",
			change: func(*foreman.Snapshot) {},
			after:  5 * time.Second,
			want:   closeClaim,
		},
		{
			name:   "stale view",
			change: func(s *foreman.Snapshot) { s.Fresh = false },
			want:   closeClaim,
		},
		{
			name:   "order no longer needed",
			change: func(s *foreman.Snapshot) { s.Actual.Models = []string{"draft@2"} },
			want:   closeClaim,
		},
		{
			name: "engine responded",
			change: func(s *foreman.Snapshot) {
				s.OwnClaim.SentAt = now
				s.OwnClaim.Answered = true
			},
			want: closeClaim,
		},
		{
			name:   "no response yet",
			change: func(s *foreman.Snapshot) { s.OwnClaim.SentAt = now },
			after:  29 * time.Second,
			want:   foreman.Wait{Reason: "the order has no answer yet"},
		},
		{
			name:   "no response until the order timeout",
			change: func(s *foreman.Snapshot) { s.OwnClaim.SentAt = now },
			after:  30 * time.Second,
			want:   closeClaim,
		},
		{
			name:   "claimed by another issuer that is not live, fencing ignored",
			change: func(s *foreman.Snapshot) { s.OwnClaim = foreman.OwnClaim{} },
			want:   foreman.Defer{Reason: "claimed by node-0"},
		},
		{
			name: "claimed by another issuer that is not live, fencing checked",
			change: func(s *foreman.Snapshot) {
				s.OwnClaim = foreman.OwnClaim{}
				s.ChecksFencing = true
			},
			want: foreman.AppendClaim{Order: loadOrder},
		},
		{
			name: "claimed by another live issuer, fencing checked",
			change: func(s *foreman.Snapshot) {
				s.OwnClaim = foreman.OwnClaim{}
				s.ChecksFencing = true
				s.IssuerLive = true
			},
			want: foreman.Defer{Reason: "claimed by node-0"},
		},
		{
			name: "older document",
			change: func(s *foreman.Snapshot) {
				s.OwnClaim = foreman.OwnClaim{}
				s.Replayed.Claim = foreman.Claim{}
				s.Document = 6
			},
			want: foreman.Defer{Reason: "a newer document was acted on"},
		},
		{
			name: "load rate limit reached",
			change: func(s *foreman.Snapshot) {
				s.OwnClaim = foreman.OwnClaim{}
				s.Replayed.Claim = foreman.Claim{}
				s.LoadAllowed = false
			},
			want: foreman.Defer{Reason: "weight store's rate"},
		},
		{
			name: "claim refused",
			change: func(s *foreman.Snapshot) {
				s.Replayed.Claim = foreman.Claim{}
				s.Replayed.RefusedIDs = []string{"c1"}
			},
			want: foreman.Defer{Reason: "the claim was refused"},
		},
		{
			name:   "claim not in the log yet",
			change: func(s *foreman.Snapshot) { s.Replayed.Claim = foreman.Claim{} },
			want:   foreman.Wait{Reason: "the claim is not in the log yet"},
		},
		{
			name:   "claim never appeared in the log",
			change: func(s *foreman.Snapshot) { s.Replayed.Claim = foreman.Claim{} },
			after:  5 * time.Second,
			want:   foreman.Defer{Reason: "the claim was lost"},
		},
		{
			name: "change of role",
			change: func(s *foreman.Snapshot) {
				s.OwnClaim = foreman.OwnClaim{}
				s.Replayed.Claim = foreman.Claim{}
				s.Actual.Models = []string{"draft@2"}
				s.Desired.Role = kiln.RoleDecode
			},
			want: foreman.StartDrain{},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			snapshot := grantedSnapshot(now)
			test.change(&snapshot)
			qt.Assert(t, foreman.Decide(snapshot, now.Add(test.after)), qt.DeepEquals, test.want)
		})
	}
}

func TestClaimTableRefusesOlderDocuments(t *testing.T) {
	c := qt.New(t)
	claims := foreman.NewClaimTable(foreman.DefaultConfig())
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
		claims.Apply([]ledger.Record{{
			Offset:  offset,
			At:      at,
			Payload: raw,
		}})
	}
	claim(0, 4, true)
	claim(1, 3, true)
	c.Assert(claims.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(0))
	c.Assert(claims.Server("e1").RefusedIDs, qt.DeepEquals, []string{"b"})
	claim(2, 4, true)
	c.Assert(claims.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(2))
	claim(3, 5, false)
	c.Assert(claims.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(2))
	at = at.Add(37 * time.Second)
	claim(4, 5, false)
	c.Assert(claims.Server("e1").Claim.Offset, qt.Equals, ledger.Offset(4))
}

func TestNextOrder(t *testing.T) {
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
	desired, ok := foreman.DesiredStateOf(index, server)
	c.Assert(ok, qt.IsTrue)
	state := kiln.EngineState{
		Role:   kiln.RoleBoth,
		Models: []string{"draft@1", "old@1"},
	}
	var kinds []kiln.OrderKind
	for _, actual := range []kiln.EngineState{
		state,
		{Models: []string{"draft@2", "old@1"}},
		{Models: []string{"draft@2", "old@1", "survey@5"}},
		{Models: []string{"draft@2", "survey@5"}},
	} {
		order, ok := foreman.NextOrder(desired, actual)
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
		roundTripped, err := foreman.DecodeRecord(raw)
		if err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		first, _ := json.Marshal(record)
		second, _ := json.Marshal(roundTripped)
		if string(first) != string(second) {
			t.Fatalf("%s decodes to %s", first, second)
		}
		claims := foreman.NewClaimTable(foreman.DefaultConfig())
		claims.Apply([]ledger.Record{{Payload: payload}})
	})
}
