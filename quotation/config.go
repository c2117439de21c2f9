package quotation

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// Config holds the settings of placement.
type Config struct {
	// TokensPerSecond is the default prefill rate of engines that report none.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// KVBytesPerToken is the size of the KV cache of one token.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
	// LinkBytesPerSecond is the bandwidth of an engine's network link.
	LinkBytesPerSecond float64 `json:"link_bytes_per_second"`
	// CrossRegionBytesPerSecond limits the traffic of this instance to other regions.
	CrossRegionBytesPerSecond float64 `json:"cross_region_bytes_per_second"`
	// RetryMS is the time after which placement is retried when no engine had
	// free capacity, in milliseconds.
	RetryMS int `json:"retry_ms"`
	// FullMS is how long an engine that refused a request as full isn't chosen for
	// decode, in milliseconds, unless one of this instance's requests frees a slot there
	// earlier.
	FullMS int `json:"full_ms"`
	// FailedMS is how long an engine that didn't respond gets no new requests, in
	// milliseconds.
	FailedMS int `json:"failed_ms"`
	// OtherRegionAfterMS is how long a request waits for an engine in its own region
	// before it may be placed in another one, in milliseconds. It doesn't wait if no
	// engines of the region respond.
	OtherRegionAfterMS int `json:"abroad_ms"`
	// BestEffortMS is how long a best-effort request waits before it may take the
	// spare slots too, in milliseconds.
	BestEffortMS int `json:"patient_ms"`
	// SnapshotMS is the minimum age at which the snapshot of the engines is
	// rebuilt, in milliseconds.
	SnapshotMS int `json:"snapshot_ms"`
	// CacheBlocks limits the number of prefix blocks in the index, over all engines.
	CacheBlocks int `json:"cache_blocks"`
	// PrefillInOtherRegions allows a prefill engine in another region than the decode
	// engine. It requires links between regions that can carry KV caches.
	PrefillInOtherRegions bool `json:"prefill_abroad"`
	// DecodePrefillSpeed is the speed of prefills on decode engines as a fraction of that on prefill
	// engines. If it is positive, a decode engine computes the prompt itself if there are no prefill
	// engines of its version.
	DecodePrefillSpeed float64 `json:"decode_prefill_speed"`
	// Policy changes how engines are chosen.
	Policy Policy `json:"policy"`
}

// Policy replaces or disables mechanisms of placement, to compare policies.
type Policy struct {
	// RoundRobin chooses the engines in turn, regardless of their load.
	RoundRobin bool `json:"round_robin,omitempty"`
	// PrefillFirst chooses a decode engine whether or not it has free capacity.
	PrefillFirst bool `json:"prefill_first,omitempty"`
	// NoSpareSlots lets best-effort requests take the last free slots.
	NoSpareSlots bool `json:"no_spare,omitempty"`
	// NoPrefix ignores the prefix caches.
	NoPrefix bool `json:"no_prefix,omitempty"`
	// NoTransfer ignores the load of the network links.
	NoTransfer bool `json:"no_transfer,omitempty"`
}

// DefaultConfig returns the default settings.
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
		BestEffortMS:              30_000,
		SnapshotMS:                10,
		CacheBlocks:               1 << 18,
	}
}

// Check reports invalid values to p.
func (c Config) Check(p *settings.Problems) {
	p.Add(c.TokensPerSecond > 0, "tokens_per_second", c.TokensPerSecond, "a number greater than 0")
	p.Add(c.KVBytesPerToken > 0, "kv_bytes_per_token", c.KVBytesPerToken, "a number greater than 0")
	p.Add(c.LinkBytesPerSecond > 0, "link_bytes_per_second", c.LinkBytesPerSecond, "a number greater than 0")
	p.Add(c.CrossRegionBytesPerSecond >= 0, "cross_region_bytes_per_second", c.CrossRegionBytesPerSecond, "a number of at least 0")
	p.Add(c.DecodePrefillSpeed >= 0 && c.DecodePrefillSpeed <= 1, "decode_prefill_speed", c.DecodePrefillSpeed, "a number from 0 to 1")
	p.Positive("retry_ms", c.RetryMS)
	p.Positive("full_ms", c.FullMS)
	p.Positive("failed_ms", c.FailedMS)
	p.Positive("abroad_ms", c.OtherRegionAfterMS)
	p.Positive("patient_ms", c.BestEffortMS)
	p.Positive("snapshot_ms", c.SnapshotMS)
	p.Positive("cache_blocks", c.CacheBlocks)
}

func (c Config) retry() time.Duration { return time.Duration(c.RetryMS) * time.Millisecond }
