// Package uptime measures ages that count the time for which the machine was suspended and do not
// depend on the wall clock.
//
// # Usage
//
//	asOf := uptime.Now()
//	reply, err := client.Read(ctx)
//	...
//	age := uptime.Now().Sub(asOf)
package uptime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the monotonic clock and of CLOCK_BOOTTIME. The monotonic clock does not count
// a suspension. Instants of different processes can't be compared. The zero value is no instant.
type Instant struct {
	mono time.Time
	boot time.Duration
}

// Now returns the current instant. In a synctest bubble, the monotonic part is virtual.
func Now() Instant {
	// The boot clock is read first: a suspension between the two readings then counts as time after
	// the instant, so that an age is never too low.
	boot := readBoot()
	return Instant{
		mono: time.Now(),
		boot: boot,
	}
}

// readBoot returns CLOCK_BOOTTIME. The package's tests replace it.
var readBoot = bootTime

// bootTime returns CLOCK_BOOTTIME. If the kernel doesn't have it, only the monotonic clock counts.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// At returns the instant with the given readings of both clocks.
func At(mono time.Time, boot time.Duration) Instant {
	return Instant{
		mono: mono,
		boot: boot,
	}
}

// IsZero reports whether t is no instant.
func (t Instant) IsZero() bool { return t == Instant{} }

// Sub returns the time from earlier to t, the larger one of the differences of both clocks.
func (t Instant) Sub(earlier Instant) time.Duration {
	return max(t.mono.Sub(earlier.mono), t.boot-earlier.boot)
}

// Add returns the instant that is d later by both clocks.
func (t Instant) Add(d time.Duration) Instant {
	return Instant{
		mono: t.mono.Add(d),
		boot: t.boot + d,
	}
}

// AtomicInstant is an instant that several goroutines may read and write.
type AtomicInstant struct{ current atomic.Pointer[Instant] }

// Load returns the instant, or the zero value if none was stored.
func (a *AtomicInstant) Load() Instant {
	if t := a.current.Load(); t != nil {
		return *t
	}
	return Instant{}
}

// Store stores t.
func (a *AtomicInstant) Store(t Instant) { a.current.Store(&t) }
