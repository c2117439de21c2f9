package foreman

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// Config holds the settings of the package. Times are in milliseconds. The settings of
// claims and loads must be the same on all instances, because each instance replays the
// log with them.
type Config struct {
	// PeriodMS is the interval at which engines are compared with the document.
	PeriodMS int64 `json:"period_ms"`
	// SendWindowMS is the time after a claim within which its issuer may send the order.
	SendWindowMS int64 `json:"send_ms"`
	// OrderTimeoutMS limits the time that an engine takes to carry out an order.
	OrderTimeoutMS int64 `json:"work_ms"`
	// TakeoverMarginMS is added to SendWindowMS and OrderTimeoutMS before another issuer
	// may take over.
	TakeoverMarginMS int64 `json:"margin_ms"`
	// LoadsPerMinute and LoadBurst limit the rate of loads from the weight store.
	LoadsPerMinute float64 `json:"loads_per_minute"`
	LoadBurst      float64 `json:"load_burst"`
	// DrainPropagationMS is the time until every instance has read a drain record.
	// DrainTimeoutMS limits the wait for the requests in flight.
	DrainPropagationMS int64 `json:"seen_ms"`
	DrainTimeoutMS     int64 `json:"drain_ms"`
	// CallTimeoutMS is the timeout of an append and of the reads of an engine's state.
	CallTimeoutMS int64 `json:"call_ms"`
	// MaxStalenessMS is the maximum age of the replayed log when a claim is appended or
	// an order is sent.
	MaxStalenessMS int64 `json:"stale_ms"`
	// FallbackDelayMS is the time that an engine must be out of sync before the instance
	// of the next rank acts too.
	FallbackDelayMS int64 `json:"fallback_ms"`
	// MaxTasks limits the number of servers that are reconciled concurrently.
	MaxTasks int `json:"max_tasks"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		PeriodMS:           1000,
		SendWindowMS:       5000,
		OrderTimeoutMS:     30000,
		TakeoverMarginMS:   2000,
		LoadsPerMinute:     30,
		LoadBurst:          8,
		DrainPropagationMS: 3000,
		DrainTimeoutMS:     30000,
		CallTimeoutMS:      1000,
		MaxStalenessMS:     2000,
		FallbackDelayMS:    10000,
		MaxTasks:           16,
	}
}

// Check reports invalid values to p.
func (c *Config) Check(p *settings.Problems) {
	p.Positive("period_ms", int(c.PeriodMS))
	p.Positive("send_ms", int(c.SendWindowMS))
	p.Positive("work_ms", int(c.OrderTimeoutMS))
	p.Positive("margin_ms", int(c.TakeoverMarginMS))
	p.Positive("call_ms", int(c.CallTimeoutMS))
	p.Positive("stale_ms", int(c.MaxStalenessMS))
	p.Positive("max_tasks", c.MaxTasks)
	p.Add(c.LoadsPerMinute > 0, "loads_per_minute", c.LoadsPerMinute, "a number greater than 0")
	p.Add(c.LoadBurst >= 1, "load_burst", c.LoadBurst, "a number of at least 1")
	p.Add(c.DrainPropagationMS >= 0, "seen_ms", c.DrainPropagationMS, "a whole number of at least 0")
	p.Add(c.DrainTimeoutMS >= c.DrainPropagationMS, "drain_ms", c.DrainTimeoutMS, "at least seen_ms")
}

// claimDuration returns the time for which a claim excludes other issuers.
func (c *Config) claimDuration() time.Duration {
	return milliseconds(c.SendWindowMS + c.OrderTimeoutMS + c.TakeoverMarginMS)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

var _ settings.Checker = (*Config)(nil)
