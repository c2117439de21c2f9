package replay

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// CompareConfig selects the policies and the traces on which they are compared.
type CompareConfig struct {
	Profiles []Profile
	Policies []Policy
	// Loads are the offered loads as fractions of each profile's capacity.
	Loads  []float64
	Seeds  []uint64
	Faults Faults
	// Seconds is the length of a trace. WarmUp is the duration at its start that is
	// excluded from the results.
	Seconds float64
	WarmUp  time.Duration
	// HogFactor is passed to TraceConfig.
	HogFactor float64
	// Run runs the jobs, each in a synctest bubble of its own.
	Run func(jobs []func()) error
	// Progress is called after each run. It may be nil.
	Progress func(done, all int)
}

// Cell holds the results of one policy at one load of one profile, over all
// seeds.
type Cell struct {
	Profile string  `json:"profile"`
	Policy  string  `json:"policy"`
	Load    float64 `json:"load"`
	// Bound is the upper bound on the requests per second that can meet their
	// targets.
	Bound float64 `json:"bound_per_second"`
	// Goodput is the fraction of offered requests that met both targets. BoundShare
	// is the rate of requests that met them, divided by Bound.
	Goodput    Stats `json:"goodput"`
	BoundShare Stats `json:"of_bound"`
	Waste      Stats `json:"waste"`
	// FirstTokenP95MS and PerTokenP95MS are statistics of the 95th percentiles of
	// the runs.
	FirstTokenP95MS Stats `json:"first_token_p95_ms"`
	PerTokenP95MS   Stats `json:"per_token_p95_ms"`
	// OthersP95MS is the 95th percentile of the time to first token over all
	// callers except HogCaller.
	OthersP95MS Stats `json:"others_p95_ms"`
	CachedShare Stats `json:"cached"`
	// CrossRegionKBPerSecond is the mean rate of traffic between regions.
	CrossRegionKBPerSecond Stats `json:"cross_region_kb_per_second"`
	// DraftsLost is the number of drafts without a complete answer and Broken the
	// number of other requests whose answer was truncated, over all seeds.
	DraftsLost int       `json:"drafts_lost"`
	Broken     int       `json:"broken"`
	Outcomes   []Outcome `json:"outcomes"`
}

// Stats are statistics of a metric over the seeds.
type Stats struct {
	Mean      float64 `json:"mean"`
	Deviation float64 `json:"deviation"`
	Min       float64 `json:"least"`
	Max       float64 `json:"most"`
}

// Compare runs every policy on the same traces and returns one cell for each
// combination of profile, policy and load, in this order.
func Compare(cfg CompareConfig) ([]Cell, error) {
	var cells []Cell
	for _, profile := range cfg.Profiles {
		for _, policy := range cfg.Policies {
			for _, load := range cfg.Loads {
				cells = append(cells, Cell{
					Profile:  profile.Name,
					Policy:   policy.Name,
					Load:     load,
					Bound:    profile.Bound(load),
					Outcomes: make([]Outcome, len(cfg.Seeds)),
				})
			}
		}
	}
	if err := cfg.Run(cfg.jobs(cells)); err != nil {
		return nil, fmt.Errorf("compare: %w", err)
	}
	for i := range cells {
		cells[i].summarize(cfg)
	}
	return cells, nil
}

// jobs returns one job for each cell and seed, which stores its outcome in the
// cell.
func (cfg CompareConfig) jobs(cells []Cell) []func() {
	var mu sync.Mutex
	var jobs []func()
	done := 0
	total := len(cells) * len(cfg.Seeds)
	i := 0
	for _, profile := range cfg.Profiles {
		for _, policy := range cfg.Policies {
			for _, load := range cfg.Loads {
				outcomes := cells[i].Outcomes
				i++
				for n, seed := range cfg.Seeds {
					jobs = append(jobs, func() {
						outcomes[n] = cfg.runOne(profile, policy, load, seed)
						mu.Lock()
						defer mu.Unlock()
						done++
						if cfg.Progress != nil {
							cfg.Progress(done, total)
						}
					})
				}
			}
		}
	}
	return jobs
}

func (cfg CompareConfig) runOne(profile Profile, policy Policy, load float64, seed uint64) Outcome {
	events := GenerateTrace(profile, TraceConfig{
		Seed:      seed,
		Load:      load,
		Seconds:   cfg.Seconds,
		HogFactor: cfg.HogFactor,
	})
	return RunVirtual(VirtualConfig{
		Profile: profile,
		Policy:  policy,
		Faults:  cfg.Faults,
		Seed:    seed,
		WarmUp:  cfg.WarmUp,
	}, events)
}

func (c *Cell) summarize(cfg CompareConfig) {
	c.Goodput = c.stats(Outcome.Goodput)
	c.BoundShare = c.stats(func(o Outcome) float64 { return ratio(o.MetPerSecond, c.Bound) })
	c.Waste = c.stats(Outcome.Waste)
	c.FirstTokenP95MS = c.stats(func(o Outcome) float64 { return o.FirstTokenP95MS })
	c.PerTokenP95MS = c.stats(func(o Outcome) float64 { return o.PerTokenP95MS })
	c.OthersP95MS = c.stats(func(o Outcome) float64 { return o.OthersP95MS })
	c.CachedShare = c.stats(func(o Outcome) float64 {
		return ratio(float64(o.CachedTokens), float64(o.CachedTokens+o.PrefillTokens))
	})
	c.CrossRegionKBPerSecond = c.stats(func(o Outcome) float64 {
		return float64(o.CrossRegionBytes) / 1000 / cfg.Seconds
	})
	for _, o := range c.Outcomes {
		c.DraftsLost += o.Drafts - o.Arrived
		c.Broken += o.Broken
	}
}

func (c *Cell) stats(metric func(Outcome) float64) Stats {
	n := float64(len(c.Outcomes))
	s := Stats{
		Min: math.Inf(1),
		Max: math.Inf(-1),
	}
	for _, o := range c.Outcomes {
		value := metric(o)
		s.Mean += value / n
		s.Min = min(s.Min, value)
		s.Max = max(s.Max, value)
	}
	for _, o := range c.Outcomes {
		deviation := metric(o) - s.Mean
		s.Deviation += deviation * deviation / n
	}
	s.Deviation = math.Sqrt(s.Deviation)
	return s
}
