package plan

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/ledger"
)

// Config holds the settings of a Follower.
type Config struct {
	// Log configures how the documents stream is read.
	Log ledger.FollowerConfig `json:"log"`
	// PeerWaitMS is how long the follower waits on average for the log to
	// deliver a version that a peer has advertised before it asks the peer, in
	// milliseconds. Each wait is random, from half to one and a half times this
	// value.
	PeerWaitMS int `json:"peer_wait_ms"`
	// PeerTimeoutMS is the timeout of a request to a peer, in milliseconds.
	PeerTimeoutMS int `json:"peer_timeout_ms"`
	// SnapshotAgeS is the age at which a new snapshot is appended, in seconds.
	// It must be well below the log's retention.
	SnapshotAgeS int `json:"snapshot_age_s"`
	// SnapshotRecords is the number of records after which a new snapshot is
	// appended. It limits how many records a new instance reads.
	SnapshotRecords int `json:"snapshot_records"`
	// SnapshotSpreadS is the maximum random delay before an instance appends a
	// snapshot that is due, in seconds. It spreads the attempts of all
	// instances.
	SnapshotSpreadS int `json:"snapshot_spread_s"`
}

// DefaultConfig returns the defaults, for a log with a retention of at least
// one hour.
func DefaultConfig() Config {
	log := ledger.DefaultFollowerConfig()
	log.PollMS = 1500
	log.ReadLimit = 8
	return Config{
		Log:             log,
		PeerWaitMS:      500,
		PeerTimeoutMS:   2000,
		SnapshotAgeS:    600,
		SnapshotRecords: 8,
		SnapshotSpreadS: 120,
	}
}

// Check adds invalid values to the problems.
func (cfg Config) Check(p *settings.Problems) {
	cfg.Log.Check(p.In("log"))
	p.Positive("peer_wait_ms", cfg.PeerWaitMS)
	p.Positive("peer_timeout_ms", cfg.PeerTimeoutMS)
	p.Positive("snapshot_age_s", cfg.SnapshotAgeS)
	p.Positive("snapshot_records", cfg.SnapshotRecords)
	p.Positive("snapshot_spread_s", cfg.SnapshotSpreadS)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
