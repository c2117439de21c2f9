package order

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/ledger"
)

// Config configures an Executor. Times are in milliseconds.
type Config struct {
	Ledger ledger.BatcherConfig `json:"ledger"`
	// DedupeWindowMS is the maximum age of an accepted key. It must be shorter than the
	// retention of the log.
	DedupeWindowMS int `json:"dedupe_window_ms"`
	// MaxFutureMS is the maximum time that a key's issue time may be in the future. It
	// allows for clock skew between callers, instances and the log.
	MaxFutureMS int `json:"max_future_ms"`
	// MaxStaleMS is the maximum time since the end of the stream was last reached. Orders
	// are refused if it is exceeded.
	MaxStaleMS int `json:"max_stale_ms"`
	// DispatchDeadlineMS is the maximum time between the start of a claim and the sending
	// of the work.
	DispatchDeadlineMS int `json:"dispatch_deadline_ms"`
	// LeaseMarginMS is added to the dispatch deadline and the call timeout to get the
	// lease of a claim. Other instances report the outcome as unknown after the lease has
	// expired.
	LeaseMarginMS int `json:"lease_margin_ms"`
	// CallTimeoutMS is the timeout of dispatched calls that don't specify one.
	CallTimeoutMS int `json:"call_timeout_ms"`
	// InProgressWaitMS is the maximum time that a repeat waits for the outcome of the
	// first run.
	InProgressWaitMS int `json:"in_progress_wait_ms"`
	// RecordTimeoutMS is how long an instance retries to append an outcome or a release
	// to the log.
	RecordTimeoutMS int `json:"record_timeout_ms"`
	// MaxResultBytes is the maximum size of a response body that is stored for repeats,
	// in bytes.
	MaxResultBytes int `json:"max_result_bytes"`
	// MaxPending is the maximum number of orders of this instance whose outcomes are not
	// recorded yet.
	MaxPending int `json:"max_pending"`
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Ledger:             ledger.DefaultBatcherConfig(),
		DedupeWindowMS:     10 * 60 * 1000,
		MaxFutureMS:        30 * 1000,
		MaxStaleMS:         2000,
		DispatchDeadlineMS: 5000,
		LeaseMarginMS:      2000,
		CallTimeoutMS:      30 * 1000,
		InProgressWaitMS:   10 * 1000,
		RecordTimeoutMS:    60 * 1000,
		MaxResultBytes:     4 << 10,
		MaxPending:         20000,
	}
}

// Check reports invalid values to p.
func (cfg Config) Check(p *settings.Problems) {
	cfg.Ledger.Check(p)
	p.Positive("max_future_ms", cfg.MaxFutureMS)
	p.Positive("max_stale_ms", cfg.MaxStaleMS)
	p.Positive("dispatch_deadline_ms", cfg.DispatchDeadlineMS)
	p.Positive("lease_margin_ms", cfg.LeaseMarginMS)
	p.Positive("call_timeout_ms", cfg.CallTimeoutMS)
	p.Positive("in_progress_wait_ms", cfg.InProgressWaitMS)
	p.Positive("record_timeout_ms", cfg.RecordTimeoutMS)
	p.Positive("max_result_bytes", cfg.MaxResultBytes)
	p.Positive("max_pending", cfg.MaxPending)
	p.Add(cfg.DedupeWindowMS > cfg.MaxFutureMS, "dedupe_window_ms", cfg.DedupeWindowMS, "a time greater than max_future_ms")
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
