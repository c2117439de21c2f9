package crew

import (
	"maps"
	"time"
)

const (
	// pauseGrace is how long after a pause began a server may still get work that was
	// prepared for it before. Servers count what arrives later than 500 ms after their
	// answer.
	pauseGrace = 300 * time.Millisecond
	// maxPausedCalls is the number of calls with prepared work that a paused server may
	// get after pauseGrace. Servers tolerate two; the other one is left to calls that
	// were on their way when the pause began.
	maxPausedCalls = 1
	// maxPreparedAge is how long work that was prepared for a server may still be sent
	// after the server has said that it is leaving. Reservations last no longer.
	maxPreparedAge = 2 * time.Second
	// maxNotices limits the notices of servers that are leaving.
	maxNotices = 4096
)

// Work is the kind of a call to a backend server, as far as notices distinguish them.
type Work int

// The kinds of calls.
const (
	// NewWork starts work on the server.
	NewWork Work = iota
	// PreparedWork continues work for which the server has reserved capacity.
	PreparedWork
	// ReleaseWork frees capacity, which otherwise becomes free after its lifetime.
	ReleaseWork
)

// Admission is the decision whether a call may be sent to a server, a sealed interface:
// Admitted, RefusedLeaving or RefusedPaused.
type Admission interface{ isAdmission() }

// Admitted means that the call may be sent.
type Admitted struct {
	// Counted is set if the call counts against maxPausedCalls.
	Counted bool
}

// RefusedLeaving means that the server is leaving.
type RefusedLeaving struct{}

// RefusedPaused means that the server has asked for no calls until a later time.
type RefusedPaused struct{ Until time.Time }

func (Admitted) isAdmission()       {}
func (RefusedLeaving) isAdmission() {}
func (RefusedPaused) isAdmission()  {}

// Notice is what one incarnation of a server has said of the work that it accepts. The
// zero value means that it has said nothing. A Notice is an immutable value.
type Notice struct {
	// LeavingSince is when this instance learned that the server is leaving, or zero.
	LeavingSince time.Time
	// PausedSince and PausedUntil are the pause that the server has asked for, or zero.
	PausedSince time.Time
	PausedUntil time.Time
	// PausedCalls is the number of calls that were counted in the pause.
	PausedCalls int
}

// WithLeaving returns the notice of a server that is leaving. The first time counts.
func (n Notice) WithLeaving(now time.Time) Notice {
	if n.LeavingSince.IsZero() {
		n.LeavingSince = now
	}
	return n
}

// WithPause returns the notice of a server that has asked for no calls until a time. A
// pause that is asked for during another one extends it.
func (n Notice) WithPause(now, until time.Time) Notice {
	if !now.Before(n.PausedUntil) {
		n.PausedSince = now
		n.PausedUntil = time.Time{}
		n.PausedCalls = 0
	}
	if until.After(n.PausedUntil) {
		n.PausedUntil = until
	}
	return n
}

// WithPausedCall returns the notice with one more counted call.
func (n Notice) WithPausedCall() Notice {
	n.PausedCalls++
	return n
}

// IsLeaving reports whether the server is leaving.
func (n Notice) IsLeaving() bool { return !n.LeavingSince.IsZero() }

// Admit decides whether a call may be sent. It answers the load of many callers before a
// few servers that leave or are overloaded: a server that says so gets no new work, and
// what was prepared for it ends.
func (n Notice) Admit(work Work, now time.Time) Admission {
	if n.IsLeaving() && (work == NewWork || work == PreparedWork && now.Sub(n.LeavingSince) > maxPreparedAge) {
		return RefusedLeaving{}
	}
	if !now.Before(n.PausedUntil) {
		return Admitted{}
	}
	switch {
	case work == NewWork:
	case now.Sub(n.PausedSince) < pauseGrace:
		return Admitted{}
	case work == PreparedWork && n.PausedCalls < maxPausedCalls:
		return Admitted{Counted: true}
	}
	return RefusedPaused{Until: n.PausedUntil}
}

// serverIncarnation identifies one incarnation of a server.
type serverIncarnation struct {
	name        string
	incarnation uint64
}

func incarnationOf(s Server) serverIncarnation {
	return serverIncarnation{
		name:        s.Name,
		incarnation: s.Incarnation,
	}
}

// notices holds the notices of servers, registered or not. It is an immutable value.
type notices struct{ byServer map[serverIncarnation]Notice }

func (n notices) of(id serverIncarnation) Notice { return n.byServer[id] }

// with returns the notices with one replaced. It drops pauses that have ended and, beyond
// maxNotices, the oldest notices of servers that are leaving.
func (n notices) with(id serverIncarnation, notice Notice, now time.Time) notices {
	next := maps.Clone(n.byServer)
	if next == nil {
		next = map[serverIncarnation]Notice{}
	}
	maps.DeleteFunc(next, func(_ serverIncarnation, old Notice) bool {
		return !old.IsLeaving() && !now.Before(old.PausedUntil)
	})
	next[id] = notice
	for len(next) > maxNotices {
		var oldest serverIncarnation
		var since time.Time
		for known, old := range next {
			if known != id && (oldest == serverIncarnation{} || old.LeavingSince.Before(since)) {
				oldest, since = known, old.LeavingSince
			}
		}
		delete(next, oldest)
	}
	return notices{byServer: next}
}

var (
	_ Admission = Admitted{}
	_ Admission = RefusedLeaving{}
	_ Admission = RefusedPaused{}
)
