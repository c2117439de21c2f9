package crew

import (
	"fmt"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// Config holds the settings of the membership protocol.
type Config struct {
	// Peers are the IP:port addresses of a few other instances. A starting instance
	// asks them for the members before it reads the platform's list.
	Peers []string `json:"peers"`
	// PlatformRegion is the region that hosts the platform. Data centres in other
	// regions read its list only when those in this region do not. If it is empty, all
	// data centres count as near the platform.
	PlatformRegion string `json:"platform_region"`
	// WavePeriodMS is the time between two waves, in milliseconds. All instances must
	// use the same value because waves are aligned to the clock.
	WavePeriodMS int `json:"wave_period_ms"`
	// FanOut is the maximum number of children of an instance in the tree of a wave.
	FanOut int `json:"fan_out"`
	// ListPeriodMS is the time between two reads of the platform's list by all
	// instances together, in milliseconds.
	ListPeriodMS int `json:"list_period_ms"`
	// BridgeWaves is the number of waves between two exchanges of a pair of data
	// centres.
	BridgeWaves int `json:"bridge_waves"`
	// NearLoadWaves and FarLoadWaves are the numbers of waves between two exchanges
	// that carry load reports, within a region and between regions.
	NearLoadWaves int `json:"near_load_waves"`
	FarLoadWaves  int `json:"far_load_waves"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		WavePeriodMS:  400,
		FanOut:        4,
		ListPeriodMS:  800,
		BridgeWaves:   2,
		NearLoadWaves: 4,
		FarLoadWaves:  24,
	}
}

// Check reports the settings whose values are out of range.
func (c *Config) Check(p *settings.Problems) {
	for i, peer := range c.Peers {
		p.IPPort(fmt.Sprintf("peers[%d]", i), peer)
	}
	p.Add(c.WavePeriodMS >= 200 && c.WavePeriodMS <= 1000, "wave_period_ms", c.WavePeriodMS, "200 to 1000")
	p.Add(c.FanOut >= 1 && c.FanOut <= 16, "fan_out", c.FanOut, "1 to 16")
	p.Add(c.ListPeriodMS >= 200 && c.ListPeriodMS <= 2000, "list_period_ms", c.ListPeriodMS, "200 to 2000")
	p.Add(c.BridgeWaves >= 1 && c.BridgeWaves <= 3, "bridge_waves", c.BridgeWaves, "1 to 3")
	p.Positive("near_load_waves", c.NearLoadWaves)
	p.Positive("far_load_waves", c.FarLoadWaves)
}

func (c *Config) wavePeriod() time.Duration { return time.Duration(c.WavePeriodMS) * time.Millisecond }

func (c *Config) listPeriod() time.Duration { return time.Duration(c.ListPeriodMS) * time.Millisecond }

var _ settings.Checker = (*Config)(nil)
