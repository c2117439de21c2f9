package draft

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/ledger"
)

// Config holds the settings of a Manager. Times are in milliseconds.
type Config struct {
	Ledger ledger.BatcherConfig `json:"ledger"`
	// LeaseMS is the shortest time without a renewal after which a peer adopts the
	// drafts of an instance. RenewMS is the shortest time between two renewals. Both
	// grow with the number of instances.
	LeaseMS int `json:"lease_ms"`
	RenewMS int `json:"renew_ms"`
	// RenewalsPerSecond bounds the renewals of all instances together.
	RenewalsPerSecond int `json:"renewals_per_second"`
	// MaxStaleMS is the maximum age of the last read to the end of the stream for an
	// instance to be up to date with the log. Only then does it adopt drafts and append
	// held ones.
	MaxStaleMS int `json:"max_stale_ms"`
	// RetentionMS is the retention of the log. The state of a draft is appended again
	// after half of it.
	RetentionMS int `json:"retention_ms"`
	// LifetimeMS is how long a draft is kept for its caller after it was accepted.
	LifetimeMS int `json:"lifetime_ms"`
	// AcceptTimeoutMS bounds each attempt to append a draft, each lookup and each
	// collection.
	AcceptTimeoutMS int `json:"accept_timeout_ms"`
	// HoldTimeoutMS bounds one call to a peer that is asked to hold a draft.
	HoldTimeoutMS int `json:"hold_timeout_ms"`
	// HoldGraceMS is how long a holder waits for the accepting instance to append the
	// draft once the log is available again.
	HoldGraceMS int `json:"hold_grace_ms"`
	// RunTimeoutMS bounds one run of a draft.
	RunTimeoutMS int `json:"run_timeout_ms"`
	// RetryMS is the delay before a failed draft runs again.
	RetryMS int `json:"retry_ms"`
	// MaxRunning bounds the drafts that one instance runs concurrently.
	MaxRunning int `json:"max_running"`
	// MaxHeld bounds the drafts held in memory while the log is unavailable.
	MaxHeld int `json:"max_held"`
	// MaxMemoryBytes bounds the total size of the requests that are held while the log
	// is unavailable, and separately that of the requests of running drafts.
	MaxMemoryBytes int `json:"max_memory_bytes"`
	// MaxRequestBytes bounds the size of one request and MaxPartBytes the payload of
	// one record. Payloads of up to MaxInlineBytes are kept in the memory of every
	// instance.
	MaxRequestBytes int `json:"max_request_bytes"`
	MaxPartBytes    int `json:"max_part_bytes"`
	MaxInlineBytes  int `json:"max_inline_bytes"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	cfg := Config{
		Ledger:            ledger.DefaultBatcherConfig(),
		LeaseMS:           10 * 1000,
		RenewMS:           2500,
		RenewalsPerSecond: 10,
		MaxStaleMS:        2000,
		RetentionMS:       60 * 60 * 1000,
		LifetimeMS:        24 * 60 * 60 * 1000,
		AcceptTimeoutMS:   3000,
		HoldTimeoutMS:     2000,
		HoldGraceMS:       5000,
		RunTimeoutMS:      10 * 60 * 1000,
		RetryMS:           1000,
		MaxRunning:        200,
		MaxHeld:           1000,
		MaxMemoryBytes:    32 << 20,
		MaxRequestBytes:   1 << 20,
		MaxPartBytes:      128 << 10,
		MaxInlineBytes:    1 << 10,
	}
	cfg.Ledger.AppendsPerSecond = 100
	return cfg
}

// Check reports invalid settings.
func (cfg Config) Check(p *settings.Problems) {
	cfg.Ledger.Check(p)
	p.Positive("renew_ms", cfg.RenewMS)
	p.Positive("renewals_per_second", cfg.RenewalsPerSecond)
	p.Positive("max_stale_ms", cfg.MaxStaleMS)
	p.Positive("accept_timeout_ms", cfg.AcceptTimeoutMS)
	p.Positive("hold_timeout_ms", cfg.HoldTimeoutMS)
	p.Positive("hold_grace_ms", cfg.HoldGraceMS)
	p.Positive("run_timeout_ms", cfg.RunTimeoutMS)
	p.Positive("retry_ms", cfg.RetryMS)
	p.Positive("max_running", cfg.MaxRunning)
	p.Positive("max_held", cfg.MaxHeld)
	p.Positive("max_memory_bytes", cfg.MaxMemoryBytes)
	p.Positive("max_request_bytes", cfg.MaxRequestBytes)
	p.Positive("max_part_bytes", cfg.MaxPartBytes)
	p.Positive("max_inline_bytes", cfg.MaxInlineBytes)
	p.Add(cfg.LeaseMS >= 2*cfg.RenewMS, "lease_ms", cfg.LeaseMS, "at least twice renew_ms")
	p.Add(cfg.RetentionMS >= 4*cfg.LeaseMS, "retention_ms", cfg.RetentionMS, "at least four times lease_ms")
	p.Add(cfg.LifetimeMS > 0, "lifetime_ms", cfg.LifetimeMS, "a whole number greater than 0")
}

// renewInterval returns the time between two lease renewals of one instance if there
// are n instances.
func (cfg Config) renewInterval(n int) time.Duration {
	return max(millis(cfg.RenewMS), time.Duration(n)*time.Second/time.Duration(cfg.RenewalsPerSecond))
}

// leaseDuration returns the duration of a lease that is renewed at the given interval.
func (cfg Config) leaseDuration(interval time.Duration) time.Duration {
	return interval * time.Duration(cfg.LeaseMS) / time.Duration(cfg.RenewMS)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
