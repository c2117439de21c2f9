// Package replay implements workload traces: it generates, reads, writes and
// replays traces of callers' requests, and compares placement policies on the
// same traces in virtual time.
//
// # Usage
//
//	profile, _ := replay.ProfileByName("glasnet")
//	trace := replay.GenerateTrace(profile, replay.TraceConfig{Seed: 1, Load: 0.9, Seconds: 20})
//	outcome := replay.RunVirtual(replay.VirtualConfig{Profile: profile, Policy: policy, Seed: 1}, trace)
//
// RunVirtual must be called inside a synctest bubble. It drives the router's own
// runner, queue and placement against stand-in engines, without HTTP and with
// simulated network latency between the sites.
package replay

import (
	"fmt"
	"time"
)

// Site is one data centre of a profile.
type Site struct {
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Entries, Prefill, Decode and Services are the numbers of instances of each
	// kind.
	Entries  int `json:"entries"`
	Prefill  int `json:"prefill"`
	Decode   int `json:"decode"`
	Services int `json:"services"`
}

// EngineProfile holds the parameters of the stand-in engines. They are the same
// for every policy.
type EngineProfile struct {
	Slots int `json:"slots"`
	// StepEmpty is the fixed part of the duration of a decode step. StepFull is the
	// duration with every slot in use.
	StepEmpty time.Duration `json:"step_empty_ns"`
	StepFull  time.Duration `json:"step_full_ns"`
	// PrefillTokensPerSecond is the prefill rate. PrefillBase is the fixed cost of
	// each prefill.
	PrefillTokensPerSecond float64       `json:"prefill_tokens_per_second"`
	PrefillBase            time.Duration `json:"prefill_base_ns"`
	KVBytesPerToken        int64         `json:"kv_bytes_per_token"`
	LinkBytesPerSecond     float64       `json:"link_bytes_per_second"`
	ExportTTL              time.Duration `json:"export_kept_ns"`
	CacheBlocks            int           `json:"cache_blocks"`
	LoadLag                time.Duration `json:"load_lag_ns"`
	EventDelay             time.Duration `json:"event_delay_ns"`
}

// Class describes the requests of one class of generations.
type Class struct {
	Name string `json:"name"`
	// Share is the fraction of all generations that are of this class.
	Share    float64 `json:"share"`
	Priority int     `json:"priority"`
	// PromptMedian and PromptSigma are the parameters of the lognormal distribution
	// of prompt lengths, in tokens.
	PromptMedian float64 `json:"prompt_median"`
	PromptSigma  float64 `json:"prompt_sigma"`
	PromptMax    int     `json:"prompt_max"`
	// OutputMean is the mean output length in tokens. Lengths follow a gamma
	// distribution with shape 2.
	OutputMean float64 `json:"output_mean"`
	OutputMax  int     `json:"output_max"`
}

// Profile describes the platform and the workload of one user of the router.
type Profile struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Service string `json:"service"`
	Sites   []Site `json:"places"`
	// LatencyLocal, LatencyRegion and LatencyCrossRegion are the one-way latencies
	// inside a data centre, between data centres of a region, and between regions.
	// LatencyClient is the one-way latency between a caller and its entry instance.
	LatencyLocal       time.Duration `json:"latency_local_ns"`
	LatencyRegion      time.Duration `json:"latency_region_ns"`
	LatencyCrossRegion time.Duration `json:"latency_abroad_ns"`
	LatencyClient      time.Duration `json:"latency_client_ns"`
	// LinkMbit is the bandwidth of the link between regions in each direction, in
	// Mbit/s.
	LinkMbit float64       `json:"link_mbit"`
	Engine   EngineProfile `json:"engine"`
	Classes  []Class       `json:"classes"`
	Callers  int           `json:"callers"`
	// PrefixShare is the fraction of prompts that start with one of the Templates
	// shared prefixes of their caller. PrefixTokens is the mean length of these
	// prefixes.
	PrefixShare  float64 `json:"prefix_share"`
	Templates    int     `json:"templates"`
	PrefixTokens int     `json:"prefix_tokens"`
	// BurstShare is the fraction of arrivals that are bursts of BurstSize requests
	// of one caller.
	BurstShare float64 `json:"burst_share"`
	BurstSize  int     `json:"burst_size"`
	// CancelShare is the fraction of requests that the caller cancels, at a random
	// time within CancelWithin.
	CancelShare  float64       `json:"cancel_share"`
	CancelWithin time.Duration `json:"cancel_within_ns"`
	// FirstToken and PerToken are the targets for the time to first token and the
	// time per output token.
	FirstToken time.Duration `json:"first_token_ns"`
	PerToken   time.Duration `json:"per_token_ns"`
}

func defaultEngine() EngineProfile {
	return EngineProfile{
		Slots:                  20,
		StepEmpty:              12 * time.Millisecond,
		StepFull:               24 * time.Millisecond,
		PrefillTokensPerSecond: 20_000,
		PrefillBase:            5 * time.Millisecond,
		KVBytesPerToken:        128 << 10,
		LinkBytesPerSecond:     10e9,
		ExportTTL:              800 * time.Millisecond,
		CacheBlocks:            512,
		LoadLag:                250 * time.Millisecond,
		EventDelay:             200 * time.Millisecond,
	}
}

// Glasnet returns the profile of the stained-glass studios' platform.
func Glasnet() Profile {
	return Profile{
		Name:    "glasnet",
		Model:   "drafting-models",
		Service: "workshop-desk",
		Sites: []Site{
			{
				DataCentre: "randstad-a",
				Region:     "randstad",
				Entries:    3,
				Prefill:    2,
				Decode:     5,
				Services:   1,
			},
			{
				DataCentre: "randstad-b",
				Region:     "randstad",
				Entries:    3,
				Prefill:    2,
				Decode:     4,
				Services:   1,
			},
			{
				DataCentre: "oost-a",
				Region:     "oost",
				Entries:    2,
				Prefill:    2,
				Decode:     3,
				Services:   1,
			},
		},
		LatencyLocal:       100 * time.Microsecond,
		LatencyRegion:      1500 * time.Microsecond,
		LatencyCrossRegion: 12 * time.Millisecond,
		LatencyClient:      3 * time.Millisecond,
		LinkMbit:           30,
		Engine:             defaultEngine(),
		Classes: []Class{
			{
				Name:         "completion",
				Share:        0.9,
				Priority:     5,
				PromptMedian: 700,
				PromptSigma:  0.9,
				PromptMax:    24_000,
				OutputMean:   200,
				OutputMax:    1000,
			},
			{
				Name:         "draft",
				Share:        0.1,
				Priority:     2,
				PromptMedian: 1500,
				PromptSigma:  1,
				PromptMax:    32_000,
				OutputMean:   400,
				OutputMax:    2000,
			},
		},
		Callers:      40,
		PrefixShare:  0.6,
		Templates:    3,
		PrefixTokens: 600,
		BurstShare:   0.05,
		BurstSize:    6,
		CancelShare:  0.02,
		CancelWithin: 4 * time.Second,
		FirstToken:   460 * time.Millisecond,
		PerToken:     27 * time.Millisecond,
	}
}

// Skinshell returns the profile of the drum-head reclaim society's platform.
func Skinshell() Profile {
	p := Glasnet()
	p.Name = "skinshell"
	p.Model = "sorter-lm"
	p.Service = "reclaim-app"
	p.Sites = []Site{
		{
			DataCentre: "nelson-a",
			Region:     "interior",
			Entries:    2,
			Prefill:    2,
			Decode:     2,
			Services:   1,
		},
		{
			DataCentre: "castlegar-a",
			Region:     "interior",
			Entries:    2,
			Prefill:    2,
			Decode:     1,
			Services:   1,
		},
		{
			DataCentre: "burnaby-a",
			Region:     "coast",
			Entries:    2,
			Prefill:    2,
			Decode:     2,
			Services:   1,
		},
	}
	p.LatencyClient = time.Millisecond
	p.Classes = []Class{
		{
			Name:         "completion",
			Share:        0.9,
			Priority:     5,
			PromptMedian: 1300,
			PromptSigma:  0.7,
			PromptMax:    24_000,
			OutputMean:   100,
			OutputMax:    600,
		},
		{
			Name:         "draft",
			Share:        0.1,
			Priority:     2,
			PromptMedian: 2000,
			PromptSigma:  0.9,
			PromptMax:    32_000,
			OutputMean:   200,
			OutputMax:    1000,
		},
	}
	p.Callers = 12
	p.Templates = 2
	p.PrefixTokens = 800
	return p
}

// ProfileByName returns the profile with the given name.
func ProfileByName(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, fmt.Errorf("profile %q: want glasnet or skinshell", name)
}

// Profiles returns all profiles.
func Profiles() []Profile { return []Profile{Glasnet(), Skinshell()} }

// Slots returns the number of decode slots of all sites.
func (p Profile) Slots() int {
	n := 0
	for _, site := range p.Sites {
		n += site.Decode * p.Engine.Slots
	}
	return n
}

// OutputMean returns the mean output length of a generation, in tokens.
func (p Profile) OutputMean() float64 {
	mean := 0.0
	for _, class := range p.Classes {
		mean += class.Share * class.OutputMean
	}
	return mean
}

// Capacity returns the number of generations per second that the decode slots
// can sustain: the number of slots divided by the time that an output of mean
// length takes in a full batch.
func (p Profile) Capacity() float64 {
	return float64(p.Slots()) / (p.OutputMean() * p.Engine.StepFull.Seconds())
}

// Bound returns the upper bound on the generations per second that can meet
// their targets at the given load: the offered rate, but at most Capacity.
func (p Profile) Bound(load float64) float64 {
	return min(load, 1) * p.Capacity()
}
