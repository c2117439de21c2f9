package quotation

import (
	"math"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// LengthConfig holds the settings of the prediction of output lengths.
type LengthConfig struct {
	// Deviations is the distance of the memory set aside from the median of the
	// prediction, in standard deviations of the logarithm.
	Deviations float64 `json:"deviations"`
	// HeldPart is the part of the predicted output that is set aside on the decode
	// engine, RoomPart the part of the engine's memory that must be free beside it.
	HeldPart float64 `json:"held_part"`
	RoomPart float64 `json:"room_part"`
}

// DefaultLengthConfig returns the settings in use when none are given. A third of
// an output set aside, and room for what other outputs grow, leave an engine as
// full as its memory allows without preemption; docs/design/placement.md has the
// figures.
func DefaultLengthConfig() LengthConfig {
	return LengthConfig{
		Deviations: 1.3,
		HeldPart:   0.3,
		RoomPart:   0.12,
	}
}

// Check records the values that are not allowed.
func (c LengthConfig) Check(p *settings.Problems) {
	p.Add(c.Deviations >= 0, "deviations", c.Deviations, "a number of at least 0")
	p.Add(c.HeldPart >= 0 && c.HeldPart <= 1, "held_part", c.HeldPart, "a number from 0 to 1")
	p.Add(c.RoomPart >= 0 && c.RoomPart < 1, "room_part", c.RoomPart, "a number from 0 and less than 1")
}

const (
	// priorWeight is the number of outputs that the assumption counts for before
	// any were seen.
	priorWeight = 8
	// priorSlope is how far the logarithm of an output follows that of its hint
	// when hints are as far off as outputs differ from each other; priorVariance
	// the variance that is left, priorSpread that of hints.
	priorSlope    = 0.5
	priorVariance = 0.13
	priorSpread   = 0.5
	// typicalPart is the part of the allowed output that is usually used.
	typicalPart = 0.45
	// lengthMemory is the number of recent outputs that count.
	lengthMemory = 300
	// assumedPace is the time of a token at a nearly full engine, before any output
	// was seen; paceGain weighs the newest output.
	assumedPace = 800 * time.Microsecond
	paceGain    = 0.1
)

// LengthPredictor predicts the outputs of generations from callers' hints. A hint is
// right at the median but often far off, so that the prediction lies between the
// hint and the usual output of its route, as a regression of logarithms over the
// outputs seen. It answers the load of bursts, when memory that is set aside for
// nothing refuses callers, and memory that was not set aside preempts them. It
// is safe for concurrent use.
type LengthPredictor struct {
	cfg LengthConfig

	mu     sync.Mutex
	routes map[string]*regression
}

// NewLengthPredictor returns a predictor that has seen no outputs.
func NewLengthPredictor(cfg LengthConfig) *LengthPredictor {
	return &LengthPredictor{
		cfg:    cfg,
		routes: map[string]*regression{},
	}
}

// Predict returns the median of the output and the memory to set aside for it,
// in tokens. A hint of 0 means that there is none; most bounds the output.
func (l *LengthPredictor) Predict(route string, hint, most int) (median, reserve int) {
	if most <= 0 {
		return hint, hint
	}
	out := OutputSpec{
		Route: route,
		Hint:  hint,
		Max:   most,
	}
	return l.quantile(out, 0), l.quantile(out, l.cfg.Deviations)
}

// OutputSpec is what a caller says of the output of a generation, in tokens.
type OutputSpec struct {
	Route string
	// Hint is the caller's estimate, 0 for none; Most bounds the output.
	Hint int
	Max  int
}

// Needs is what a generation is expected to need.
type Needs struct {
	// Cost is the expected work in tokens.
	Cost int
	// Reserved is the memory to set aside on the decode engine, Room what must be free
	// there beside it, in tokens.
	Reserved int
	Headroom int
	// Duration is the time of the decode, in nearly all cases.
	Duration time.Duration
	// Output is the expected output in tokens.
	Output int
}

// Needs returns what a generation needs on an engine with memory for kvTokens.
func (l *LengthPredictor) Needs(promptTokens int, out OutputSpec, kvTokens int) Needs {
	median, reserve := l.Predict(out.Route, out.Hint, out.Max)
	longest := l.quantile(out, longestDeviations)
	return Needs{
		Cost:     promptTokens + median,
		Reserved: promptTokens + int(l.cfg.HeldPart*float64(reserve)),
		Headroom: int(l.cfg.RoomPart * float64(kvTokens)),
		Duration: l.Duration(out.Route, out.Max, longest),
		Output:   median,
	}
}

// longestDeviations is where an output counts as the longest that is likely: one in
// 40 is longer.
const longestDeviations = 2

// quantile returns the output at some standard deviations from the median.
func (l *LengthPredictor) quantile(out OutputSpec, deviations float64) int {
	if out.Max <= 0 {
		return out.Hint
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	center, deviation := l.route(out.Route, out.Max).at(out.Hint)
	return int(min(math.Exp(center+deviations*deviation), float64(out.Max)))
}

// Duration returns how long engines take for an output, by the recent pace of the
// route.
func (l *LengthPredictor) Duration(route string, most, tokens int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(tokens) * l.route(route, most).pace
}

// Observe takes in a complete output and the time from its first token to the
// last.
func (l *LengthPredictor) Observe(out OutputSpec, output int, took time.Duration) {
	if out.Max > 0 && output > 0 && took > 0 {
		l.mu.Lock()
		r := l.route(out.Route, out.Max)
		r.pace += time.Duration(paceGain * float64(took/time.Duration(output)-r.pace))
		l.mu.Unlock()
	}
	if out.Hint <= 0 || out.Max <= 0 || output <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.route(out.Route, out.Max).add(math.Log(float64(out.Hint)), math.Log(float64(output)), 1)
}

func (l *LengthPredictor) route(name string, most int) *regression {
	r := l.routes[name]
	if r == nil {
		r = newRegression(math.Log(typicalPart * float64(most)))
		l.routes[name] = r
	}
	return r
}

// regression is a weighted least-squares line whose old points fade.
type regression struct {
	n, x, y, xx, xy, yy float64
	// pace is the recent time of a token.
	pace time.Duration
}

// newRegression starts with points of the assumed slope and variance around a
// typical logarithm.
func newRegression(typical float64) *regression {
	r := &regression{pace: assumedPace}
	side := math.Sqrt(priorSpread)
	rest := math.Sqrt(priorVariance)
	for _, dx := range []float64{-side, side} {
		for _, dy := range []float64{-rest, rest} {
			r.add(typical+dx, typical+priorSlope*dx+dy, priorWeight/4)
		}
	}
	return r
}

func (r *regression) add(x, y, weight float64) {
	if fade := 1 - weight/lengthMemory; r.n > lengthMemory {
		r.n *= fade
		r.x *= fade
		r.y *= fade
		r.xx *= fade
		r.xy *= fade
		r.yy *= fade
	}
	r.n += weight
	r.x += weight * x
	r.y += weight * y
	r.xx += weight * x * x
	r.xy += weight * x * y
	r.yy += weight * y * y
}

// at returns the center and the standard deviation of the logarithm of the output
// for a hint.
func (r *regression) at(hint int) (center, deviation float64) {
	meanX, meanY := r.x/r.n, r.y/r.n
	spreadX := max(r.xx/r.n-meanX*meanX, math.SmallestNonzeroFloat64)
	spreadY := r.yy/r.n - meanY*meanY
	covariance := r.xy/r.n - meanX*meanY
	if hint <= 0 {
		return meanY, math.Sqrt(max(0, spreadY))
	}
	slope := min(max(covariance/spreadX, 0), 1)
	rest := max(0, spreadY-slope*covariance)
	return meanY + slope*(math.Log(float64(hint))-meanX), math.Sqrt(rest)
}
