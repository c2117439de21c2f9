package reclaim

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// ReservationTTL is the time after which a reservation should expire without a keep-alive.
const ReservationTTL = 3 * time.Second

// FreeWithin is the time within which memory is freed after its caller or owner is gone,
// with the default settings.
const FreeWithin = 12 * time.Second

// Config holds the settings of the package. Times are in milliseconds.
type Config struct {
	// KeepAlivePeriodMS is the period of keep-alives.
	KeepAlivePeriodMS int64 `json:"keep_alive_ms"`
	// SweepPeriodMS is the period of an engine's first sweeper. The second and the third
	// sweeper have three and five times this period.
	SweepPeriodMS int64 `json:"sweep_ms"`
	// OwnerQueryPeriodMS is the period at which owners are asked which attempts they hold.
	OwnerQueryPeriodMS int64 `json:"ask_ms"`
	// IdleTimeoutMS is the time without use or renewal after which memory of an owner that
	// is gone is cancelled. It is longer than a lease, so that an instance that adopts a
	// request can still resume its stream.
	IdleTimeoutMS int64 `json:"idle_ms"`
	// AbandonTimeoutMS is the same for an owner that isn't known to be gone but doesn't
	// respond.
	AbandonTimeoutMS int64 `json:"abandon_ms"`
	// CallTimeoutMS is the timeout of a call to an engine or an owner.
	CallTimeoutMS int64 `json:"call_ms"`
	// MaxCancels limits the pending cancels, and MaxCalls the calls in flight.
	MaxCancels int `json:"max_cancels"`
	MaxCalls   int `json:"max_calls"`
}

// DefaultConfig returns the default settings. FreeWithin holds for these.
func DefaultConfig() Config {
	return Config{
		KeepAlivePeriodMS:  1000,
		SweepPeriodMS:      1000,
		OwnerQueryPeriodMS: 3000,
		IdleTimeoutMS:      5000,
		AbandonTimeoutMS:   7000,
		CallTimeoutMS:      500,
		MaxCancels:         10000,
		MaxCalls:           64,
	}
}

// Check reports invalid values to p.
func (c *Config) Check(p *settings.Problems) {
	p.Positive("keep_alive_ms", int(c.KeepAlivePeriodMS))
	p.Positive("sweep_ms", int(c.SweepPeriodMS))
	p.Positive("ask_ms", int(c.OwnerQueryPeriodMS))
	p.Positive("call_ms", int(c.CallTimeoutMS))
	p.Positive("max_cancels", c.MaxCancels)
	p.Positive("max_calls", c.MaxCalls)
	p.Add(c.IdleTimeoutMS >= 2*c.KeepAlivePeriodMS, "idle_ms", c.IdleTimeoutMS, "at least twice keep_alive_ms")
	p.Add(c.AbandonTimeoutMS >= c.IdleTimeoutMS, "abandon_ms", c.AbandonTimeoutMS, "at least idle_ms")
}

func (c *Config) keepAlivePeriod() time.Duration  { return milliseconds(c.KeepAlivePeriodMS) }
func (c *Config) sweepPeriod() time.Duration      { return milliseconds(c.SweepPeriodMS) }
func (c *Config) ownerQueryPeriod() time.Duration { return milliseconds(c.OwnerQueryPeriodMS) }
func (c *Config) idleTimeout() time.Duration      { return milliseconds(c.IdleTimeoutMS) }
func (c *Config) abandonTimeout() time.Duration   { return milliseconds(c.AbandonTimeoutMS) }
func (c *Config) callTimeout() time.Duration      { return milliseconds(c.CallTimeoutMS) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

var _ settings.Checker = (*Config)(nil)
