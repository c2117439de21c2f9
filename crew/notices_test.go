package crew

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Load: calls of all kinds at all moments around the notices of one server. After 500 ms of a pause, at
// most two calls may reach the server, and one of them is left to calls that are on their way.
func TestNoticeAdmitsByKindOfWork(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	paused := Notice{}.WithPause(start, start.Add(4*time.Second))
	leaving := Notice{}.WithLeaving(start)
	for _, test := range []struct {
		name   string
		notice Notice
		work   Work
		after  time.Duration
		want   Admission
	}{
		{name: "no notice", work: NewWork, want: Admitted{}},
		{name: "new work for a leaving server", notice: leaving, work: NewWork, want: RefusedLeaving{}},
		{name: "prepared work for a leaving server", notice: leaving, work: PreparedWork, after: time.Second, want: Admitted{}},
		{name: "old prepared work for a leaving server", notice: leaving, work: PreparedWork, after: 2100 * time.Millisecond, want: RefusedLeaving{}},
		{name: "release at a leaving server", notice: leaving, work: ReleaseWork, after: time.Minute, want: Admitted{}},
		{name: "leaving does not end", notice: leaving, work: NewWork, after: 24 * time.Hour, want: RefusedLeaving{}},
		{name: "new work at once", notice: paused, work: NewWork, want: RefusedPaused{Until: start.Add(4 * time.Second)}},
		{name: "prepared work at once", notice: paused, work: PreparedWork, after: 200 * time.Millisecond, want: Admitted{}},
		{name: "release at once", notice: paused, work: ReleaseWork, after: 200 * time.Millisecond, want: Admitted{}},
		{name: "prepared work later", notice: paused, work: PreparedWork, after: 400 * time.Millisecond, want: Admitted{Counted: true}},
		{name: "release later", notice: paused, work: ReleaseWork, after: 400 * time.Millisecond, want: RefusedPaused{Until: start.Add(4 * time.Second)}},
		{name: "second prepared work", notice: paused.WithPausedCall(), work: PreparedWork, after: time.Second, want: RefusedPaused{Until: start.Add(4 * time.Second)}},
		{name: "end of the pause", notice: paused.WithPausedCall(), work: NewWork, after: 4 * time.Second, want: Admitted{}},
	} {
		c.Check(test.notice.Admit(test.work, start.Add(test.after)), qt.DeepEquals, test.want, qt.Commentf("%s", test.name))
	}
}

// A pause that is asked for during another one extends it, but neither shortens it nor renews what is
// allowed in it.
func TestNoticeExtendsPause(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	n := Notice{}.WithPause(start, start.Add(2*time.Second)).WithPausedCall()
	n = n.WithPause(start.Add(time.Second), start.Add(1500*time.Millisecond))
	c.Assert(n.PausedUntil.Sub(start), qt.Equals, 2*time.Second)
	n = n.WithPause(start.Add(1900*time.Millisecond), start.Add(5*time.Second))
	c.Assert(n.Admit(PreparedWork, start.Add(2*time.Second)), qt.DeepEquals, Admission(RefusedPaused{Until: start.Add(5 * time.Second)}))
	n = n.WithPause(start.Add(6*time.Second), start.Add(8*time.Second))
	c.Assert(n.Admit(PreparedWork, start.Add(6100*time.Millisecond)), qt.DeepEquals, Admission(Admitted{}))
	c.Assert(n.Admit(PreparedWork, start.Add(7*time.Second)), qt.DeepEquals, Admission(Admitted{Counted: true}))
}

// What a server says holds for its incarnation, whatever happens to its entry.
func TestRosterNoticeOutlivesEntry(t *testing.T) {
	c := qt.New(t)
	r := NewRoster()
	server := liveServer("a", "10.0.0.1:1", 1)
	r.Put(server)
	c.Assert(r.MarkLeaving("a", 1), qt.IsTrue)
	r.Remove("a")
	r.Put(server)
	c.Assert(serverNames(r), qt.HasLen, 0)
	c.Assert(r.Admits(server, NewWork), qt.IsFalse)
	other := liveServer("a", "10.0.0.1:1", 2)
	r.Put(other)
	c.Assert(r.Admits(other, NewWork), qt.IsTrue)
	r.Put(server)
	c.Assert(r.Admits(server, NewWork), qt.IsFalse, qt.Commentf("an entry of an earlier incarnation"))

	unknown := liveServer("b", "10.0.0.2:1", 1)
	c.Assert(r.MarkLeaving("b", 1), qt.IsTrue)
	r.Put(unknown)
	c.Assert(serverNames(r), qt.DeepEquals, []string{"a"}, qt.Commentf("b said so before its entry was read"))
	c.Assert(r.Servers()[0].Incarnation, qt.Equals, uint64(2))
}

// Load: 195 instances that a server turned away at the same moment.
func TestRosterPausesEndAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const instances = 195
		const pause = 4 * time.Second
		ends := map[time.Duration]int{}
		start := time.Now()
		for range instances {
			r := NewRoster()
			server := liveServer("a", "10.0.0.1:1", 1)
			r.Put(server)
			until, began := r.Pause(server, pause)
			c.Assert(began, qt.IsTrue)
			c.Assert(r.Servers()[0].PausedUntil, qt.Equals, until)
			c.Assert(until.Before(start.Add(pause)), qt.IsFalse)
			c.Assert(until.After(start.Add(5*time.Second)), qt.IsFalse)
			ends[until.Sub(start).Truncate(100*time.Millisecond)]++
		}
		for end, n := range ends {
			c.Assert(n < instances/4, qt.IsTrue, qt.Commentf("%d of %d return within 100 ms after %v", n, instances, end))
		}
	})
}

// Only one of many concurrent calls takes what a pause allows.
func TestRosterAdmitsOnePreparedCallInPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := NewRoster()
		server := liveServer("a", "10.0.0.1:1", 1)
		r.Put(server)
		r.Pause(server, 10*time.Second)
		time.Sleep(time.Second)
		admitted := make(chan bool, 50)
		for range cap(admitted) {
			go func() {
				_, ok := r.Admit(server, PreparedWork).(Admitted)
				admitted <- ok
			}()
		}
		n := 0
		for range cap(admitted) {
			if <-admitted {
				n++
			}
		}
		c.Assert(n, qt.Equals, maxPausedCalls)
		time.Sleep(20 * time.Second)
		c.Assert(r.Admits(server, NewWork), qt.IsTrue)
	})
}

func TestNoticesAreBounded(t *testing.T) {
	c := qt.New(t)
	var n notices
	start := time.Now()
	for i := range maxNotices + 10 {
		id := serverIncarnation{name: fmt.Sprint(i)}
		n = notices{byServer: n.byServer}
		if i < maxNotices-1 {
			// Building the map directly keeps the test fast.
			if n.byServer == nil {
				n.byServer = map[serverIncarnation]Notice{}
			}
			n.byServer[id] = Notice{}.WithLeaving(start.Add(time.Duration(i)))
			continue
		}
		n = n.with(id, Notice{}.WithLeaving(start.Add(time.Duration(i))), start)
	}
	c.Assert(n.byServer, qt.HasLen, maxNotices)
	c.Assert(n.of(serverIncarnation{name: "0"}).IsLeaving(), qt.IsFalse)
	c.Assert(n.of(serverIncarnation{name: fmt.Sprint(maxNotices + 9)}).IsLeaving(), qt.IsTrue)
}
