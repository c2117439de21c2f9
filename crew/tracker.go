package crew

import "time"

const (
	// downAfter is how long polls must fail before a server is marked as down.
	downAfter = 2 * time.Second
	// upAfter is how long polls must succeed before a server is marked as up again. It
	// is doubled for each recent flap after the first, up to maxUpAfter.
	upAfter    = time.Second
	maxUpAfter = time.Minute
	// flapWindow is how long a flap is remembered.
	flapWindow = 5 * time.Minute
	// restartWindow is the time between two restarts below which the second one counts
	// as a flap.
	restartWindow = time.Minute
)

// healthTracker tracks the health of one backend server by this instance's polls. It
// applies hysteresis: after each flap the server must stay up for longer.
type healthTracker struct {
	isDown          bool
	flaps           int
	lastFlap        time.Time
	failingSince    time.Time
	succeedingSince time.Time
	incarnation     uint64
	restartedAt     time.Time
}

// healthChange is the effect of a poll on the health of a server.
type healthChange int

// The possible changes of a server's health.
const (
	healthUnchanged healthChange = iota
	healthDown
	healthUp
)

// recordFailure records a failed poll.
func (t *healthTracker) recordFailure(now time.Time) healthChange {
	t.succeedingSince = time.Time{}
	if t.failingSince.IsZero() {
		t.failingSince = now
	}
	if t.isDown || now.Sub(t.failingSince) < downAfter {
		return healthUnchanged
	}
	t.markDown(now)
	return healthDown
}

// recordSuccess records a successful poll.
func (t *healthTracker) recordSuccess(now time.Time, incarnation uint64) healthChange {
	t.failingSince = time.Time{}
	if t.succeedingSince.IsZero() {
		t.succeedingSince = now
	}
	if t.noteRestart(now, incarnation) && !t.isDown {
		t.markDown(now)
		t.succeedingSince = now
		return healthDown
	}
	if !t.isDown || now.Sub(t.succeedingSince) < t.recoveryDelay() {
		return healthUnchanged
	}
	t.isDown = false
	return healthUp
}

// noteRestart records a new incarnation and reports whether it is the second restart
// within restartWindow.
func (t *healthTracker) noteRestart(now time.Time, incarnation uint64) bool {
	if incarnation <= t.incarnation {
		return false
	}
	first := t.incarnation == 0
	t.incarnation = incarnation
	if first {
		return false
	}
	isFlap := !t.restartedAt.IsZero() && now.Sub(t.restartedAt) < restartWindow
	t.restartedAt = now
	if isFlap {
		t.succeedingSince = now
	}
	return isFlap
}

func (t *healthTracker) markDown(now time.Time) {
	if now.Sub(t.lastFlap) > flapWindow {
		t.flaps = 0
	}
	t.flaps++
	t.lastFlap = now
	t.isDown = true
}

// recoveryDelay returns how long polls must succeed before the server is marked as up.
func (t *healthTracker) recoveryDelay() time.Duration {
	delay := upAfter
	for range t.flaps - 1 {
		delay = min(2*delay, maxUpAfter)
	}
	return delay
}
