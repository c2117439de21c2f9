package order

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/ledger"
)

// windowModel is the reference model of window: a claim owns a key that is free, and only
// the claim that owns the key can end.
type windowModel struct {
	owner uint64
	state keyState
}

func (m *windowModel) claim(id uint64) {
	free := m.state == stateNone || m.state == stateReleased
	if free && m.owner != id {
		m.owner = id
		m.state = stateClaimed
	}
}

func (m *windowModel) end(id uint64, to keyState) {
	if m.owner != id {
		return
	}
	if m.state == stateClaimed || (m.state == stateUnknown && to == stateDone) {
		m.state = to
	}
}

// TestWindowFollowsModel applies records of several claims of one key in random order,
// with repeats, to a window and to the model.
func TestWindowFollowsModel(t *testing.T) {
	issued := time.UnixMilli(1765000000000)
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow()
		m := &windowModel{}
		var s keyHash
		offset := ledger.Offset(0)
		claims := rapid.Uint64Range(1, 4)
		end := func(to keyState) func(t *rapid.T) {
			return func(t *rapid.T) {
				id := claims.Draw(t, "claim")
				w.applyOutcome(s, issued, id, to, offset)
				m.end(id, to)
				offset++
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				id := claims.Draw(t, "claim")
				w.applyClaim(s, issued, keyEntry{claim: id})
				m.claim(id)
				offset++
			},
			"done":    end(stateDone),
			"unknown": end(stateUnknown),
			"release": end(stateReleased),
			"": func(t *rapid.T) {
				got := w.get(s, issued)
				if got.claim != m.owner || got.state != m.state {
					t.Fatalf("window has claim %d in state %d, want claim %d in state %d", got.claim, got.state, m.owner, m.state)
				}
			},
		})
	})
}

func TestWindowIsIncompleteAfterEviction(t *testing.T) {
	c := qt.New(t)
	w := newWindow()
	now := time.Now()
	old := now.Add(-time.Hour)
	c.Assert(w.complete(old), qt.IsTrue)
	w.evict(now.Add(-time.Minute))
	c.Assert(w.complete(old), qt.IsTrue)
	w.applyClaim(keyHash{1}, old, keyEntry{claim: 1})
	w.applyClaim(keyHash{2}, now, keyEntry{claim: 2})
	w.evict(now.Add(-time.Minute))
	c.Assert(w.size(), qt.Equals, 1)
	c.Assert(w.complete(old), qt.IsFalse)
	c.Assert(w.complete(now), qt.IsTrue)
}
