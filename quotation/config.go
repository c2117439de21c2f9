package quotation

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// Config holds the settings of placement.
type Config struct {
	// TokensPerSecond is the prefill rate assumed of an engine that reports none.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// LinkBytesPerSecond is the rate of an engine's link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	// CrossRegionBytesPerSecond bounds the traffic of this instance to other regions.
	CrossRegionBytesPerSecond float64 `json:"cross_region_bytes_per_second"`
	// RetryMS is the time after which a request without room is placed again,
	// in milliseconds.
	RetryMS int `json:"retry_ms"`
	// FullMS is how long an engine that refused as full gets no request, in
	// milliseconds, unless it reports room before.
	FullMS int `json:"full_ms"`
	// FailedMS is how long an engine that gave no answer gets no request, in
	// milliseconds.
	FailedMS int `json:"failed_ms"`
	// OtherRegionAfterMS is how long a request waits for its own region before it may move
	// to another one, in milliseconds.
	OtherRegionAfterMS int `json:"abroad_ms"`
	// DeferrableMS is how long requests that can wait leave some slots free, in
	// milliseconds.
	DeferrableMS int `json:"patient_ms"`
	// SnapshotMS is the least age at which the snapshot is built anew, in
	// milliseconds.
	SnapshotMS int `json:"snapshot_ms"`
	// CacheBlocks bounds the prefix blocks known of, over all engines.
	CacheBlocks int `json:"cache_blocks"`
	// PrefillInOtherRegions lets a prompt be computed in another region than the one that
	// decodes, where the links between engines carry KV cache at that distance.
	PrefillInOtherRegions bool `json:"prefill_abroad"`
	// Policy chooses among the engines.
	Policy Policy `json:"policy"`
}

// Policy switches the mechanisms of placement, for comparison.
type Policy struct {
	// RoundRobin takes the engines in turn, whatever their load.
	RoundRobin bool `json:"round_robin,omitempty"`
	// PrefillFirst chooses a decode engine whether or not it has room.
	PrefillFirst bool `json:"prefill_first,omitempty"`
	// NoSpareSlots lets requests that can wait take the last slots.
	NoSpareSlots bool `json:"no_spare,omitempty"`
	// NoPrefix ignores the prefix caches.
	NoPrefix bool `json:"no_prefix,omitempty"`
	// NoTransfer ignores the load of the links.
	NoTransfer bool `json:"no_transfer,omitempty"`
}

// DefaultConfig returns the settings in use when none are given.
func DefaultConfig() Config {
	return Config{
		TokensPerSecond:           20_000,
		KVBytesPerToken:           128 << 10,
		LinkBytesPerSecond:        5e9,
		CrossRegionBytesPerSecond: 400e3,
		RetryMS:                   10,
		FullMS:                    60,
		FailedMS:                  1000,
		OtherRegionAfterMS:        150,
		DeferrableMS:              30_000,
		SnapshotMS:                10,
		CacheBlocks:               1 << 18,
	}
}

// Check records the values that are not allowed.
func (c Config) Check(p *settings.Problems) {
	p.Add(c.TokensPerSecond > 0, "tokens_per_second", c.TokensPerSecond, "a number greater than 0")
	p.Add(c.KVBytesPerToken > 0, "kv_bytes_per_token", c.KVBytesPerToken, "a number greater than 0")
	p.Add(c.LinkBytesPerSecond > 0, "link_bytes_per_second", c.LinkBytesPerSecond, "a number greater than 0")
	p.Add(c.CrossRegionBytesPerSecond >= 0, "cross_region_bytes_per_second", c.CrossRegionBytesPerSecond, "a number of at least 0")
	p.Positive("retry_ms", c.RetryMS)
	p.Positive("full_ms", c.FullMS)
	p.Positive("failed_ms", c.FailedMS)
	p.Positive("abroad_ms", c.OtherRegionAfterMS)
	p.Positive("patient_ms", c.DeferrableMS)
	p.Positive("snapshot_ms", c.SnapshotMS)
	p.Positive("cache_blocks", c.CacheBlocks)
}

func (c Config) retry() time.Duration { return time.Duration(c.RetryMS) * time.Millisecond }
