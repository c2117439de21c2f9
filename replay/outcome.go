package replay

import (
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/firing"
)

// Outcome is the aggregated result of one run. Counts and percentiles of
// requests exclude those that arrive during the warm-up.
type Outcome struct {
	Profile string `json:"profile"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	// Offered is the number of completions that their callers did not cancel. Met
	// is the number of those with a complete answer that met both targets. Refused
	// is the number of those that got no token.
	Offered int `json:"offered"`
	Met     int `json:"met"`
	Refused int `json:"refused"`
	// Broken is the number of completions whose answer was truncated after its
	// first token.
	Broken int `json:"broken"`
	// Drafts is the number of offered drafts. Arrived is the number of those with a
	// complete answer.
	Drafts  int `json:"drafts"`
	Arrived int `json:"arrived"`
	// PrefillTokens is the number of prompt tokens that the engines computed, in
	// the warm-up too. WastedTokens is the number of those that were computed twice
	// or never used. CachedTokens is the number of tokens found in prefix caches.
	PrefillTokens int64 `json:"prefill_tokens"`
	WastedTokens  int64 `json:"wasted_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	// FirstTokenP50MS, FirstTokenP95MS and PerTokenP95MS are percentiles over the
	// completions with a complete answer, in milliseconds.
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	PerTokenP95MS   float64 `json:"per_token_p95_ms"`
	// OthersP95MS is the 95th percentile of the time to first token over all
	// callers except HogCaller.
	OthersP95MS float64 `json:"others_p95_ms"`
	// CallersP95MS is the 95th percentile of the time to first token by caller.
	CallersP95MS map[string]float64 `json:"-"`
	// MetPerSecond is the rate of generations that ended after the warm-up and
	// before the end of the trace and met their targets. It includes drafts.
	MetPerSecond float64 `json:"met_per_second"`
	// CrossRegionBytes is the expected traffic of all placements on the link between
	// regions.
	CrossRegionBytes int64 `json:"cross_region_bytes"`
}

// Goodput returns the fraction of the offered requests that met both targets.
func (o Outcome) Goodput() float64 { return ratio(float64(o.Met), float64(o.Offered)) }

// Waste returns the fraction of the computed prefill tokens that was wasted.
func (o Outcome) Waste() float64 { return ratio(float64(o.WastedTokens), float64(o.PrefillTokens)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (s *simulation) outcome(cfg VirtualConfig, answers []Answer) Outcome {
	o := Outcome{
		Profile:      cfg.Profile.Name,
		Policy:       cfg.Policy.Name,
		Seed:         cfg.Seed,
		CallersP95MS: map[string]float64{},
	}
	var firstToken, others, perToken []time.Duration
	callers := map[string][]time.Duration{}
	var end time.Duration
	for _, answer := range answers {
		end = max(end, answer.Event.At())
		if answer.Event.At() < cfg.WarmUp || answer.Cancelled {
			continue
		}
		if answer.Event.Class == firing.ClassDraft {
			o.addDraft(answer)
			continue
		}
		o.addCompletion(cfg.Profile, answer)
		if answer.Complete {
			firstToken = append(firstToken, answer.FirstToken)
			perToken = append(perToken, answer.PerToken)
			if answer.Event.Caller != HogCaller {
				others = append(others, answer.FirstToken)
			}
			callers[answer.Event.Caller] = append(callers[answer.Event.Caller], answer.FirstToken)
		}
	}
	o.FirstTokenP50MS = quantile(firstToken, 0.5)
	o.FirstTokenP95MS = quantile(firstToken, 0.95)
	o.OthersP95MS = quantile(others, 0.95)
	o.PerTokenP95MS = quantile(perToken, 0.95)
	for caller, times := range callers {
		o.CallersP95MS[caller] = quantile(times, 0.95)
	}
	for _, answer := range answers {
		inWindow := answer.Ended >= cfg.WarmUp && answer.Ended < end
		if inWindow && !answer.Cancelled && answer.meetsTargets(cfg.Profile) {
			o.MetPerSecond++
		}
	}
	o.MetPerSecond = ratio(o.MetPerSecond, (end - cfg.WarmUp).Seconds())
	s.addEngineCounters(&o)
	return o
}

func (o *Outcome) addDraft(answer Answer) {
	o.Drafts++
	if answer.Complete {
		o.Arrived++
	}
}

// meetsTargets reports whether the answer is complete and met its targets.
// Drafts have no target for the time to first token.
func (a Answer) meetsTargets(profile Profile) bool {
	onTime := a.FirstToken <= profile.FirstToken || a.Event.Class == firing.ClassDraft
	return a.Complete && onTime && a.PerToken <= profile.PerToken
}

func (o *Outcome) addCompletion(profile Profile, answer Answer) {
	o.Offered++
	switch {
	case answer.meetsTargets(profile):
		o.Met++
	case answer.Complete:
	case answer.Tokens == 0:
		o.Refused++
	default:
		o.Broken++
	}
}

func (s *simulation) addEngineCounters(o *Outcome) {
	for _, engine := range s.engines {
		c := engine.Counters()
		o.PrefillTokens += c.PrefillTokens
		o.WastedTokens += c.WastedTokens
		o.CachedTokens += c.CachedTokens
	}
	for _, e := range s.entries {
		o.CrossRegionBytes += e.placer.CrossRegionBytes()
	}
}

// quantile returns a quantile in milliseconds, or 0 if there are no values. It
// sorts the values.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := min(int(q*float64(len(values))), len(values)-1)
	return float64(values[index]) / float64(time.Millisecond)
}
