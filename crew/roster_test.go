package crew

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
)

func serverNames(r *Roster) []string {
	names := []string{}
	for _, server := range r.Servers() {
		names = append(names, server.Name)
	}
	return names
}

func liveServer(name, address string, incarnation uint64) Server {
	return Server{
		Name:        name,
		Address:     address,
		Service:     "models",
		State:       StateLive,
		Incarnation: incarnation,
	}
}

func TestRosterLeavingUntilNewIncarnation(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	c.Assert(r.Put(liveServer("a", "10.0.0.1:1", 1)), qt.IsTrue)
	c.Assert(r.Put(liveServer("a", "10.0.0.1:1", 1)), qt.IsFalse, qt.Commentf("a heartbeat does not change the entry"))
	c.Assert(r.MarkLeaving("a", 1), qt.IsTrue)
	c.Assert(serverNames(r), qt.HasLen, 0)
	r.Put(liveServer("a", "10.0.0.1:1", 1))
	c.Assert(serverNames(r), qt.HasLen, 0, qt.Commentf("an entry of the same incarnation does not undo leaving"))
	c.Assert(r.MarkLeaving("a", 0), qt.IsFalse)
	r.Put(liveServer("a", "10.0.0.1:1", 2))
	c.Assert(serverNames(r), qt.DeepEquals, []string{"a"}, qt.Commentf("a new incarnation does"))
}

// Guards against a late write of a server's earlier life that makes it live again while it drains, or after it
// has left.
func TestRosterIgnoresEarlierIncarnations(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.Put(liveServer("a", "10.0.0.1:1", 1))
	leaving := liveServer("a", "10.0.0.1:1", 2)
	leaving.State = StateLeaving
	r.Put(leaving)
	c.Assert(r.Put(liveServer("a", "10.0.0.1:1", 1)), qt.IsFalse)
	c.Assert(serverNames(r), qt.HasLen, 0, qt.Commentf("while it drains"))
	found, _ := r.FindByAddress("10.0.0.1:1", "models")
	c.Assert(found.Incarnation, qt.Equals, uint64(2))
	r.Remove("a")
	c.Assert(r.Put(liveServer("a", "10.0.0.1:1", 1)), qt.IsFalse)
	c.Assert(serverNames(r), qt.HasLen, 0, qt.Commentf("after it has left"))
	c.Assert(r.Put(liveServer("a", "10.0.0.1:1", 3)), qt.IsTrue)
	c.Assert(serverNames(r), qt.DeepEquals, []string{"a"})
}

// The incarnations that a roster remembers are limited.
func TestRosterForgetsOldestIncarnations(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	for n := range maxNotices + 10 {
		name := fmt.Sprintf("s%d", n)
		r.Put(liveServer(name, "10.0.0.1:1", 1))
		r.Remove(name)
	}
	c.Assert(r.newest, qt.HasLen, maxNotices)
}

func TestRosterExpiry(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	now := time.Now()
	for _, name := range []string{"a", "b"} {
		r.Put(liveServer(name, "10.0.0.1:1", 1))
		r.ExpireAt(name, now.Add(time.Second))
	}
	c.Assert(serverNames(r), qt.DeepEquals, []string{"a", "b"})
	c.Assert(r.Put(liveServer("a", "10.0.0.1:1", 1)), qt.IsTrue)
	c.Assert(r.RemoveExpired(now), qt.HasLen, 0)
	c.Assert(r.RemoveExpired(now.Add(time.Second)), qt.DeepEquals, []string{"b"})
	c.Assert(serverNames(r), qt.DeepEquals, []string{"a"})
	c.Assert(r.Remove("b"), qt.IsFalse)
	c.Assert(r.Remove("a"), qt.IsTrue)
}

// An address can be reused by a server of another service or by a new incarnation.
func TestRosterFindByAddress(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.Put(liveServer("old", "10.0.0.1:1", 1))
	r.Put(liveServer("new", "10.0.0.1:1", 2))
	other := liveServer("desk", "10.0.0.1:1", 3)
	other.Service = "desk"
	r.Put(other)
	found, ok := r.FindByAddress("10.0.0.1:1", "models")
	c.Assert(ok, qt.IsTrue)
	c.Assert(found.Name, qt.Equals, "new")
	_, ok = r.FindByAddress("10.0.0.1:1", "none")
	c.Assert(ok, qt.IsFalse)
}

func TestRosterKeepsLoadOfSameIncarnation(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	r.Put(liveServer("a", "10.0.0.1:1", 1))
	r.SetLoad("a", kiln.LoadReport{SlotsUsed: 4})
	server := liveServer("a", "10.0.0.1:1", 1)
	server.Slots = 3
	r.Put(server)
	c.Assert(r.Servers()[0].Load.SlotsUsed, qt.Equals, 4)
	r.Put(liveServer("a", "10.0.0.1:1", 2))
	c.Assert(r.Servers()[0].Load.SlotsUsed, qt.Equals, 0)
	r.SetLoad("none", kiln.LoadReport{})
	c.Assert(r.Size(), qt.Equals, 1)
}
