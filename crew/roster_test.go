package crew

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
)

func listed(r *Roster) []string {
	names := []string{}
	for _, server := range r.Servers() {
		names = append(names, server.Name)
	}
	return names
}

func live(name, address string, incarnation uint64) Server {
	return Server{
		Name:        name,
		Address:     address,
		Service:     "models",
		State:       StateLive,
		Incarnation: incarnation,
	}
}

func TestRosterEarliestBadNewsWins(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	c.Assert(r.Put(live("a", "10.0.0.1:1", 1)), qt.IsTrue)
	c.Assert(r.Put(live("a", "10.0.0.1:1", 1)), qt.IsFalse, qt.Commentf("a beat is no change"))
	c.Assert(r.MarkLeaving("a", 1), qt.IsTrue)
	c.Assert(listed(r), qt.HasLen, 0)
	r.Put(live("a", "10.0.0.1:1", 1))
	c.Assert(listed(r), qt.HasLen, 0, qt.Commentf("an older entry doesn't bring it back"))
	c.Assert(r.MarkLeaving("a", 0), qt.IsFalse)
	r.Put(live("a", "10.0.0.1:1", 2))
	c.Assert(listed(r), qt.DeepEquals, []string{"a"}, qt.Commentf("another start does"))
}

func TestRosterLapse(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	now := time.Now()
	for _, name := range []string{"a", "b"} {
		r.Put(live(name, "10.0.0.1:1", 1))
		r.ExpireAt(name, now.Add(time.Second))
	}
	c.Assert(listed(r), qt.DeepEquals, []string{"a", "b"})
	c.Assert(r.Put(live("a", "10.0.0.1:1", 1)), qt.IsTrue)
	c.Assert(r.RemoveExpired(now), qt.HasLen, 0)
	c.Assert(r.RemoveExpired(now.Add(time.Second)), qt.DeepEquals, []string{"b"})
	c.Assert(listed(r), qt.DeepEquals, []string{"a"})
	c.Assert(r.Remove("b"), qt.IsFalse)
	c.Assert(r.Remove("a"), qt.IsTrue)
}

// An address is used again by a server of another service, and by a new start.
func TestRosterAtAddress(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.Put(live("old", "10.0.0.1:1", 1))
	r.Put(live("new", "10.0.0.1:1", 2))
	other := live("desk", "10.0.0.1:1", 3)
	other.Service = "desk"
	r.Put(other)
	found, ok := r.FindByAddress("10.0.0.1:1", "models")
	c.Assert(ok, qt.IsTrue)
	c.Assert(found.Name, qt.Equals, "new")
	_, ok = r.FindByAddress("10.0.0.1:1", "none")
	c.Assert(ok, qt.IsFalse)
}

func TestRosterKeepsLoadOfTheSameStart(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.Put(live("a", "10.0.0.1:1", 1))
	r.SetLoad("a", kiln.LoadReport{SlotsUsed: 4})
	server := live("a", "10.0.0.1:1", 1)
	server.Slots = 3
	r.Put(server)
	c.Assert(r.Servers()[0].Load.SlotsUsed, qt.Equals, 4)
	r.Put(live("a", "10.0.0.1:1", 2))
	c.Assert(r.Servers()[0].Load.SlotsUsed, qt.Equals, 0)
	r.SetLoad("none", kiln.LoadReport{})
	c.Assert(r.Size(), qt.Equals, 1)
}
