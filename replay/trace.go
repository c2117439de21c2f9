package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/kiln"
)

// ClassLookup is the class of repeatable calls to the plain service.
const ClassLookup = "lookup"

// Event is one request of a trace. A trace has one event in JSON on each line.
type Event struct {
	// AtMS is the time since the start of the trace, in milliseconds.
	AtMS       float64 `json:"at_ms"`
	ID         string  `json:"id"`
	Caller     string  `json:"caller"`
	Class      string  `json:"class"`
	DataCentre string  `json:"data_centre"`
	Priority   int     `json:"priority"`
	// Model, the lengths in tokens and Prefix are set for generations. The first
	// PrefixTokens tokens of prompts with the same Prefix are identical.
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	// CancelAfterMS is the time after which the caller cancels the request, 0 for
	// never.
	CancelAfterMS float64 `json:"cancel_after_ms,omitempty"`
	// Service and Path are set for lookups.
	Service string `json:"service,omitempty"`
	Path    string `json:"path,omitempty"`
}

// At returns the time since the start of the trace.
func (e Event) At() time.Duration { return milliseconds(e.AtMS) }

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// blockTokens is the number of tokens of a prefix cache block, at four bytes for
// each token.
const blockTokens = kiln.BlockBytes / 4

// Blocks returns the hashes of the prompt's prefix cache blocks.
func (e Event) Blocks() []uint64 {
	blocks := make([]uint64, 0, e.PromptTokens/blockTokens)
	for i := range e.PromptTokens / blockTokens {
		source := e.ID
		if (i+1)*blockTokens <= e.PrefixTokens {
			source = e.Prefix
		}
		blocks = append(blocks, xxhash.Sum64String(source+"/"+strconv.Itoa(i)))
	}
	return blocks
}

// TraceConfig configures the generation of a trace.
type TraceConfig struct {
	Seed uint64 `json:"seed"`
	// Load is the offered load as a fraction of the profile's capacity.
	Load float64 `json:"load"`
	// Seconds is the length of the trace.
	Seconds float64 `json:"seconds"`
	// LookupsPerSecond is the rate of calls to the plain service.
	LookupsPerSecond float64 `json:"lookups_per_second"`
	// HogFactor makes HogCaller send this many times its normal load in addition, 0
	// for none.
	HogFactor float64 `json:"hog"`
}

// HogCaller is the caller whose load HogFactor raises.
const HogCaller = "caller-1"

// traceGenerator generates the events of one trace.
type traceGenerator struct {
	profile     Profile
	cfg         TraceConfig
	random      *rand.Rand
	weights     []float64
	totalWeight float64
	events      []Event
}

// GenerateTrace generates a trace. The same profile and config always give the
// same trace.
func GenerateTrace(profile Profile, cfg TraceConfig) []Event {
	g := &traceGenerator{
		profile: profile,
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(profile.Name))),
	}
	g.setCallerWeights()
	g.addGenerations()
	g.addLookups()
	if cfg.HogFactor > 0 {
		g.addHogLoad()
	}
	slices.SortStableFunc(g.events, func(a, b Event) int {
		return int(math.Copysign(1, a.AtMS-b.AtMS))
	})
	return g.events
}

// setCallerWeights sets the callers' shares of the load. Caller number i has the
// weight 1/sqrt(i).
func (g *traceGenerator) setCallerWeights() {
	for i := range g.profile.Callers {
		weight := 1 / math.Sqrt(float64(i+1))
		g.weights = append(g.weights, weight)
		g.totalWeight += weight
	}
}

func (g *traceGenerator) pickCaller() int {
	x := g.random.Float64() * g.totalWeight
	for i, weight := range g.weights {
		x -= weight
		if x < 0 {
			return i
		}
	}
	return len(g.weights) - 1
}

func (g *traceGenerator) addGenerations() {
	p := g.profile
	requestsPerArrival := 1 + p.BurstShare*float64(p.BurstSize-1)
	rate := g.cfg.Load * p.Capacity() / requestsPerArrival
	for at := g.interarrival(rate); at < g.cfg.Seconds; at += g.interarrival(rate) {
		caller := g.pickCaller()
		requests := 1
		if g.random.Float64() < p.BurstShare {
			requests = p.BurstSize
		}
		for i := range requests {
			g.addGeneration(at+float64(i)*burstGapSeconds, caller)
		}
	}
}

// burstGapSeconds is the time between two requests of a burst.
const burstGapSeconds = 0.01

func (g *traceGenerator) interarrival(rate float64) float64 { return g.random.ExpFloat64() / rate }

func (g *traceGenerator) addHogLoad() {
	rate := g.cfg.HogFactor * g.cfg.Load * g.profile.Capacity() * g.weights[0] / g.totalWeight
	for at := g.interarrival(rate); at < g.cfg.Seconds; at += g.interarrival(rate) {
		g.addGeneration(at, 0)
	}
}

func (g *traceGenerator) addGeneration(at float64, caller int) {
	p := g.profile
	class := g.pickClass()
	e := g.newEvent(at, caller, class.Name)
	e.Priority = class.Priority
	e.Model = p.Model
	length := class.PromptMedian * math.Exp(class.PromptSigma*g.random.NormFloat64())
	e.PromptTokens = min(max(int(length), minPromptTokens), class.PromptMax)
	e.OutputTokens = min(max(int(class.OutputMean*g.gammaSample()), 2), class.OutputMax)
	e.MaxTokens = class.OutputMax
	if g.random.Float64() < p.PrefixShare {
		template := g.random.IntN(p.Templates)
		e.Prefix = fmt.Sprintf("%s/template-%d", e.Caller, template)
		e.PrefixTokens = p.PrefixTokens * (template + 1) * 2 / (p.Templates + 1)
		e.PromptTokens = max(e.PromptTokens, e.PrefixTokens+minPromptTokens)
	}
	if g.random.Float64() < p.CancelShare {
		e.CancelAfterMS = g.random.Float64() * float64(p.CancelWithin.Milliseconds())
	}
	g.events = append(g.events, e)
}

const minPromptTokens = 30

// gammaSample returns a gamma-distributed sample with mean 1 and shape 2.
func (g *traceGenerator) gammaSample() float64 {
	return (g.random.ExpFloat64() + g.random.ExpFloat64()) / 2
}

func (g *traceGenerator) pickClass() Class {
	x := g.random.Float64()
	for _, class := range g.profile.Classes {
		x -= class.Share
		if x < 0 {
			return class
		}
	}
	return g.profile.Classes[0]
}

func (g *traceGenerator) newEvent(at float64, caller int, class string) Event {
	return Event{
		AtMS:       at * 1000,
		ID:         fmt.Sprintf("%s-%d-%d", g.profile.Name, g.cfg.Seed, len(g.events)),
		Caller:     fmt.Sprintf("caller-%d", caller+1),
		Class:      class,
		DataCentre: g.pickDataCentre(),
	}
}

// pickDataCentre picks a random data centre, weighted by the number of decode
// engines.
func (g *traceGenerator) pickDataCentre() string {
	x := g.random.IntN(g.profile.Slots() / g.profile.Engine.Slots)
	for _, site := range g.profile.Sites {
		x -= site.Decode
		if x < 0 {
			return site.DataCentre
		}
	}
	return g.profile.Sites[0].DataCentre
}

// addLookups adds lookups of a small set of paths, so that many of them repeat.
func (g *traceGenerator) addLookups() {
	if g.cfg.LookupsPerSecond <= 0 {
		return
	}
	const paths = 20
	for at := g.interarrival(g.cfg.LookupsPerSecond); at < g.cfg.Seconds; at += g.interarrival(g.cfg.LookupsPerSecond) {
		e := g.newEvent(at, g.pickCaller(), ClassLookup)
		e.Service = g.profile.Service
		e.Path = fmt.Sprintf("/panels/%d", g.random.IntN(paths))
		g.events = append(g.events, e)
	}
}

// Write writes a trace as JSON lines.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write trace: event %s: %w", e.ID, err)
		}
	}
	return buffered.Flush()
}

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 20

// Read reads a trace of JSON lines. Unknown fields are errors.
func Read(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var events []Event
	for line := 1; scanner.Scan(); line++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		e, err := decodeEvent(scanner.Bytes())
		if err != nil {
			return nil, fmt.Errorf("read trace: line %d: %w", line, err)
		}
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	return events, nil
}
