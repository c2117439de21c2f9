package lot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/common/uptime"
)

// testDeparture is the part of testLifetime for which servers may serve that were replaced.
const testLifetime, testDeparture = 30 * time.Second, 10 * time.Second

func testDeps() Deps {
	return Deps{Lifetime: func() time.Duration { return testLifetime }}
}

func TestOnlyVersionIsKnownOnceNoOtherStreamCanBeLeft(t *testing.T) {
	c := qt.New(t)
	start := uptime.Now()
	at := start.Add
	v := NewOrigins(testDeps()).Versions
	v.missed(start)
	only := func(now uptime.Instant) string {
		version, ok := v.Only("models", now)
		c.Check(ok, qt.Equals, version != "")
		return version
	}
	v.saw("models", "v1", start)
	c.Check(only(at(0)), qt.Equals, "", qt.Commentf("what was before is unknown"))
	v.saw("models", "v1", at(testLifetime))
	c.Check(only(at(testLifetime)), qt.Equals, "v1")
	v.saw("models", "v2", at(testLifetime))
	c.Check(only(at(testLifetime)), qt.Equals, "")
	v.saw("models", "v2", at(3*testLifetime/2))
	c.Check(only(at(3*testLifetime/2)), qt.Equals, "", qt.Commentf("streams of v1 may be left"))
	v.saw("models", "v2", at(2*testLifetime))
	c.Check(only(at(2*testLifetime)), qt.Equals, "v2")
	v.missed(at(2 * testLifetime))
	c.Check(only(at(2*testLifetime)), qt.Equals, "")
	c.Check(only(at(9*testLifetime)), qt.Equals, "", qt.Commentf("no server is known any more"))
}

func TestCheckpointProvesOnlyWhatWasSeenSince(t *testing.T) {
	c := qt.New(t)
	now := uptime.Now()
	later := now.Add(time.Second)
	for _, test := range []struct {
		checkpoint map[string]string
		later      []Registration
		missedAt   uptime.Instant
		want       string
	}{
		{checkpoint: map[string]string{"models": "v1"}, missedAt: now, want: "v1"},
		{checkpoint: map[string]string{"models": "v2"}, missedAt: now, want: ""},
		{checkpoint: map[string]string{"other": "v1"}, missedAt: now, want: ""},
		{checkpoint: map[string]string{"models": "v1"}, later: []Registration{{Service: "models", Version: "v2"}}, missedAt: now, want: ""},
		{checkpoint: map[string]string{"models": "v1"}, later: []Registration{{Service: "models", Version: "v1"}}, missedAt: now, want: "v1"},
		{checkpoint: map[string]string{"models": "v1"}, missedAt: later.Add(time.Second), want: ""},
		{later: []Registration{{Service: "models", Version: "v1"}}, missedAt: now, want: "v1"},
		{later: []Registration{{Service: "models", Version: "v0"}}, missedAt: now, want: ""},
	} {
		v := NewOrigins(testDeps()).Versions
		v.missed(test.missedAt)
		v.saw("models", "v1", later)
		v.Prove(test.checkpoint, test.later, later, later)
		version, _ := v.Only("models", later)
		c.Check(version, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestRegisterRecordsWhatOthersMustKnow(t *testing.T) {
	c := qt.New(t)
	now := uptime.Now()
	o := NewOrigins(testDeps())
	o.Missed(now.Add(-testLifetime), false)
	o.Saw("models", "v1", now)
	streams := []Stream{}
	for _, attempt := range []string{"a", "b", "c"} {
		streams = append(streams, Stream{
			Key:     NewKey("models", attempt),
			Service: "models",
			Version: "v1",
		})
		o.Register.Begin(streams[len(streams)-1], now)
	}
	c.Check(o.Unrecorded(10, now), qt.HasLen, 0, qt.Commentf("one version"))
	o.Saw("models", "v2", now)
	c.Check(o.Unrecorded(2, now)[0], qt.HasLen, 2)
	o.Register.End(streams[0].Key)
	due := o.Unrecorded(10, now)
	c.Assert(due, qt.HasLen, 1)
	c.Check(due[0], qt.HasLen, 2, qt.Commentf("a stream that is complete is not taken up"))
	o.Register.Recorded(due[0])
	c.Check(o.Unrecorded(10, now), qt.HasLen, 0)
	o.Missed(now, true)
	c.Check(o.Unrecorded(10, now)[0], qt.HasLen, 2, qt.Commentf("the records may be lost"))
	c.Check(o.Unrecorded(10, now.Add(2*testLifetime)), qt.HasLen, 0)
}

// Guards against streams that stay unrecorded because more are in progress than one record holds.
func TestRegisterIsDueUntilAllStreamsAreRecorded(t *testing.T) {
	c := qt.New(t)
	now := uptime.Now()
	o := NewOrigins(testDeps())
	const streams, batch = 10, 4
	for n := range streams {
		o.Register.Begin(Stream{Key: Key{byte(n)}}, now)
	}
	recorded := 0
	for isDue := true; isDue; {
		select {
		case <-o.Register.Due():
		default:
			isDue = false
			continue
		}
		for _, due := range o.Unrecorded(batch, now) {
			o.Register.Recorded(due)
			recorded += len(due)
		}
	}
	c.Check(recorded, qt.Equals, streams)
}

func TestRegisterIsBounded(t *testing.T) {
	c := qt.New(t)
	r := NewOrigins(testDeps()).Register
	now := uptime.Now()
	var key Key
	for n := range 2*maxStreams + 10 {
		key = Key{byte(n), byte(n >> 8), byte(n >> 16)}
		r.Begin(Stream{Key: key}, now)
		r.Found([]Key{key}, "v1", now.Add(time.Duration(n)))
	}
	c.Check(len(r.own), qt.Equals, maxStreams)
	c.Check(len(r.others) <= maxStreams, qt.IsTrue)
	version, ok := r.Version(key)
	c.Check(ok, qt.IsTrue, qt.Commentf("the newest ones are kept"))
	c.Check(version, qt.Equals, "v1")
}

// site is a log of registrations with instances that follow it, and the records of streams.
type site struct {
	now uptime.Instant
	log []Registration
	// leftAt is when the servers of a version were replaced.
	leftAt  map[string]uptime.Instant
	records []Stream
	// checkpoint is the newest one, and checkpointAt its offset in the log.
	checkpoint   map[string]string
	checkpointAt int
}

type siteInstance struct {
	*Origins
	// next is the position in the log.
	next int
}

// read reads the log up to its end.
func (i *siteInstance) read(s *site) {
	if i.next > 0 {
		// Its server was registered until now.
		i.Saw("models", s.log[i.next-1].Version, s.now)
	}
	for _, r := range s.log[i.next:] {
		i.Saw(r.Service, r.Version, s.now)
	}
	i.next = len(s.log)
	if len(s.log) > 0 {
		// The last version stays registered.
		i.Saw("models", s.log[len(s.log)-1].Version, s.now)
	}
}

// start returns an instance that starts at the end of the log.
func (s *site) start() *siteInstance {
	i := &siteInstance{
		Origins: NewOrigins(testDeps()),
		next:    max(0, len(s.log)-1),
	}
	i.Missed(s.now, false)
	i.read(s)
	if s.checkpoint != nil {
		i.Versions.Prove(s.checkpoint, s.log[s.checkpointAt:], s.now, s.now)
	}
	return i
}

// A stream that is taken up at any instance is never said to have begun at another version than it did, whatever the
// instances have missed: they follow the log with a delay, are all replaced, and records are lost.
func TestOriginIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{
			now: uptime.Now(),
			log: []Registration{{
				Service: "models",
				Version: "v1",
			}},
			leftAt: map[string]uptime.Instant{},
		}
		instances := []*siteInstance{s.start(), s.start()}
		type stream struct {
			Stream
			began uptime.Instant
		}
		var streams []stream
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "pause")) * time.Millisecond)
			i := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "instance")]
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0:
				s.leftAt[s.log[len(s.log)-1].Version] = s.now
				s.log = append(s.log, Registration{
					Service: "models",
					Version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
				})
			case 1, 2:
				i.read(s)
			case 3:
				// The instance knows of the last server that it has read of. One that was replaced long ago is gone.
				version := s.log[i.next-1].Version
				if left, ok := s.leftAt[version]; ok && version != s.log[len(s.log)-1].Version && s.now.Sub(left) > testDeparture {
					continue
				}
				began := stream{
					Stream: Stream{
						Key:     NewKey("models", string(rune('a'+n))),
						Service: "models",
						Version: version,
					},
					began: s.now,
				}
				i.Register.Begin(began.Stream, s.now)
				streams = append(streams, began)
			case 4:
				for _, due := range i.Unrecorded(100, s.now) {
					s.records = append(s.records, due...)
					i.Register.Recorded(due)
				}
			case 5:
				s.checkpointAt = i.next
				s.checkpoint = i.Versions.Checkpoint(s.now)
			case 6:
				for n := range instances {
					instances[n] = s.start()
				}
			default:
				i.read(s)
				for _, record := range s.records {
					i.Register.Found([]Key{record.Key}, record.Version, s.now)
				}
				for _, taken := range streams {
					if s.now.Sub(taken.began) > testLifetime-testDeparture {
						continue
					}
					if origin, ok := i.Of("models", taken.Key, s.now).(Begun); ok && origin.Version != taken.Version {
						t.Fatalf("began at %s, said to have begun at %s", taken.Version, origin.Version)
					}
				}
			}
		}
	})
}
