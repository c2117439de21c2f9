package intake

import (
	"fmt"
	"time"

	"github.com/phuslu/log"
)

// CrowdError tells why a backlog refused a request: what it knew of the requests
// that waited at that moment.
type CrowdError struct {
	// Waited is how long the request had waited for a start.
	Waited time.Duration
	// Waiting is the number of other requests that could still meet their objective,
	// Late that of those which could not.
	Waiting int
	Late    int
	// StartsPerSecond is the recent rate of starts.
	StartsPerSecond float64
}

// Error describes the crowd.
func (e *CrowdError) Error() string {
	return fmt.Sprintf("no room within %v: %d waiting in time, %d late, %.1f starts a second",
		e.Waited.Round(time.Millisecond), e.Waiting, e.Late, e.StartsPerSecond)
}

// MarshalObject adds the crowd to a log line.
func (e *CrowdError) MarshalObject(line *log.Entry) {
	line.Int64("waited_ms", e.Waited.Milliseconds()).Int("waiting", e.Waiting).Int("late", e.Late).
		Float64("starts_per_s", e.StartsPerSecond)
}

var (
	_ error               = (*CrowdError)(nil)
	_ log.ObjectMarshaler = (*CrowdError)(nil)
)
