package intake

import (
	"fmt"
	"time"

	"github.com/phuslu/log"
)

// OverloadError explains why a Backlog refused a request. It holds the state of the
// backlog at that moment.
type OverloadError struct {
	// Waited is the time that the request had waited for a start.
	Waited time.Duration
	// Waiting is the number of other waiting requests that could still meet their
	// objective, Late the number of those that could not.
	Waiting int
	Late    int
	// StartsPerSecond is the recent rate of starts.
	StartsPerSecond float64
}

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("no free capacity within %v: %d on-time and %d late requests waiting, %.1f starts per second",
		e.Waited.Round(time.Millisecond), e.Waiting, e.Late, e.StartsPerSecond)
}

// MarshalObject adds the state of the backlog to a log entry.
func (e *OverloadError) MarshalObject(entry *log.Entry) {
	entry.Int64("waited_ms", e.Waited.Milliseconds()).Int("waiting", e.Waiting).Int("late", e.Late).
		Float64("starts_per_s", e.StartsPerSecond)
}

var (
	_ error               = (*OverloadError)(nil)
	_ log.ObjectMarshaler = (*OverloadError)(nil)
)
