package quotation

import (
	"math"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
)

// LengthConfig holds the settings for predicting output lengths.
type LengthConfig struct {
	// Deviations is the distance between the predicted median and the output length
	// that memory is reserved for, in standard deviations of the logarithm.
	Deviations float64 `json:"deviations"`
	// ReservedFraction is the fraction of that output length that is reserved on the
	// decode engine. HeadroomFraction is the fraction of the engine's memory that must
	// be free in addition.
	ReservedFraction float64 `json:"held_part"`
	HeadroomFraction float64 `json:"room_part"`
}

// DefaultLengthConfig returns the default settings. Reserving a third of an output,
// plus headroom for the growth of other outputs, fills an engine as far as its memory
// allows without preemption; see docs/design/placement.md for the measurements.
func DefaultLengthConfig() LengthConfig {
	return LengthConfig{
		Deviations:       1.3,
		ReservedFraction: 0.3,
		HeadroomFraction: 0.12,
	}
}

// Check reports invalid values to p.
func (c LengthConfig) Check(p *settings.Problems) {
	p.Add(c.Deviations >= 0, "deviations", c.Deviations, "a number of at least 0")
	p.Add(c.ReservedFraction >= 0 && c.ReservedFraction <= 1, "held_part", c.ReservedFraction, "a number from 0 to 1")
	p.Add(c.HeadroomFraction >= 0 && c.HeadroomFraction < 1, "room_part", c.HeadroomFraction,
		"a number from 0 and less than 1")
}

const (
	// priorWeight is the weight of the prior, in observed outputs.
	priorWeight = 8
	// priorSlope is the slope of the logarithm of an output over that of its hint if
	// the error of hints is as large as the variation of outputs.
	// priorResidualVariance is the remaining variance of outputs, and
	// priorHintVariance the variance of hints, both of logarithms.
	priorSlope            = 0.5
	priorResidualVariance = 0.13
	priorHintVariance     = 0.5
	// typicalFraction is the fraction of the maximum output that is typically used.
	typicalFraction = 0.45
	// lengthWindow is the number of recent outputs that effectively count; beyond it
	// the weights of old outputs decay.
	lengthWindow = 300
	// defaultTokenTime is the time per token until an output was observed, that of a
	// nearly full engine. tokenTimeGain is the weight of the latest output in the
	// moving average.
	defaultTokenTime = 800 * time.Microsecond
	// unstatedMax is the maximum that is assumed for outputs whose callers state none. It
	// is about the largest that callers state.
	unstatedMax   = 10_000
	tokenTimeGain = 0.1
)

// LengthPredictor predicts the output lengths of generations from callers' hints. Hints
// are right at the median but often far off. Therefore the prediction lies between the
// hint and the usual output of the route, by a regression of the logarithms of the
// observed outputs. Accuracy matters during bursts: requests are refused if too much
// memory is reserved, and preempted if too little is. LengthPredictor is safe for
// concurrent use.
type LengthPredictor struct {
	cfg LengthConfig

	mu     sync.Mutex
	routes map[string]*regression
}

// NewLengthPredictor returns a LengthPredictor without observations.
func NewLengthPredictor(cfg LengthConfig) *LengthPredictor {
	return &LengthPredictor{
		cfg:    cfg,
		routes: map[string]*regression{},
	}
}

// Predict returns the median output length and the output length to reserve memory for,
// in tokens. A hint of 0 means that there is none; limit is the maximum output, or 0 if it
// is unknown. If only the hint is known, Predict returns it for both.
func (l *LengthPredictor) Predict(route string, hint, limit int) (median, reserve int) {
	if limit <= 0 && hint > 0 {
		return hint, hint
	}
	out := OutputSpec{
		Route: route,
		Hint:  hint,
		Max:   limit,
	}
	return l.quantile(out, 0), l.quantile(out, l.cfg.Deviations)
}

// OutputSpec holds what a request states about its output. Lengths are in tokens.
type OutputSpec struct {
	Route string
	// Hint is the caller's estimate, or 0 if there is none. Max is the maximum, or 0 if
	// the caller doesn't state it.
	Hint int
	Max  int
	// Delivered is the number of tokens that the caller has from an earlier request.
	Delivered int
}

// Needs holds the resources that a generation is expected to need.
type Needs struct {
	// Cost is the expected number of prompt and output tokens.
	Cost int
	// Reserved is the memory to reserve on the decode engine, and Headroom the memory
	// that must be free there in addition, in tokens.
	Reserved int
	Headroom int
	// Duration is the time that decoding takes at most in nearly all cases, and Usual the
	// time that it takes in half of them.
	Duration time.Duration
	Usual    time.Duration
	// Output is the median output in tokens.
	Output int
}

// Needs returns the expected needs of a generation on an engine with memory for
// kvTokens tokens.
func (l *LengthPredictor) Needs(promptTokens int, out OutputSpec, kvTokens int) Needs {
	if kvTokens > 0 {
		// No output is larger than the engine's memory, whatever its caller states.
		out.Max = min(out.Max, kvTokens)
	}
	median, reserve := l.Predict(out.Route, out.Hint, out.Max)
	longest := max(1, l.quantile(out, longestDeviations)-out.Delivered)
	return Needs{
		Cost:     promptTokens + median,
		Reserved: promptTokens + int(l.cfg.ReservedFraction*float64(reserve)),
		Headroom: int(l.cfg.HeadroomFraction * float64(kvTokens)),
		Duration: l.Duration(out.Route, longest),
		Usual:    l.Duration(out.Route, max(1, median-out.Delivered)),
		Output:   median,
	}
}

// longestDeviations is the number of standard deviations above the median of the output
// that Needs.Duration is computed for. One output in 40 is longer.
const longestDeviations = 2

// quantile returns the output length at a number of standard deviations from the
// median, at least 1 and at most the maximum.
func (l *LengthPredictor) quantile(out OutputSpec, deviations float64) int {
	limit := out.Max
	if limit <= 0 {
		limit = unstatedMax
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	center, deviation := l.route(out.Route).predict(plausibleHint(out.Hint, limit), limit)
	return max(1, int(min(math.Exp(center+deviations*deviation), float64(limit))))
}

// Duration returns the expected time to decode a number of tokens, by the recent
// decoding speed of the route.
func (l *LengthPredictor) Duration(route string, tokens int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(tokens) * l.route(route).tokenTime
}

// Observe records the length of a complete output and the time from its first to its
// last token. Outputs whose maximum is not stated are not recorded.
func (l *LengthPredictor) Observe(out OutputSpec, output int, took time.Duration) {
	if out.Max <= 0 || output <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.route(out.Route)
	if took > 0 {
		r.tokenTime += time.Duration(tokenTimeGain * float64(took/time.Duration(output)-r.tokenTime))
	}
	if out.Hint > 0 {
		r.observe(math.Log(float64(plausibleHint(out.Hint, out.Max))), math.Log(float64(output)))
	}
}

// plausibleHint limits a hint to a multiple of the maximum output, so that one absurd hint
// doesn't outweigh all others of its route.
func plausibleHint(hint, limit int) int {
	const maxFactor = 4
	return min(hint, maxFactor*limit)
}

func (l *LengthPredictor) route(name string) *regression {
	r := l.routes[name]
	if r == nil {
		r = &regression{
			priorWeight: priorWeight,
			tokenTime:   defaultTokenTime,
		}
		l.routes[name] = r
	}
	return r
}

// sums are the weighted sums of the points of a least-squares regression line.
type sums struct{ n, x, y, xx, xy, yy float64 }

// with returns the sums with one more point.
func (s sums) with(x, y, weight float64) sums {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
	s.yy += weight * y * y
	return s
}

// decayed returns the sums with smaller weights.
func (s sums) decayed(factor float64) sums {
	return sums{
		n:  s.n * factor,
		x:  s.x * factor,
		y:  s.y * factor,
		xx: s.xx * factor,
		xy: s.xy * factor,
		yy: s.yy * factor,
	}
}

// regression is a regression line whose old points decay. The prior points depend on the
// maximum of the predicted output, not on that of earlier ones, so that an odd request
// doesn't spoil the prediction of others.
type regression struct {
	observed    sums
	priorWeight float64
	// tokenTime is the moving average of the time per token.
	tokenTime time.Duration
}

func (r *regression) observe(x, y float64) {
	if r.observed.n+r.priorWeight > lengthWindow {
		const decay = 1 - 1.0/lengthWindow
		r.observed = r.observed.decayed(decay)
		r.priorWeight *= decay
	}
	r.observed = r.observed.with(x, y, 1)
}

// withPrior returns the observed points and prior ones that have priorSlope and
// priorResidualVariance around the logarithm of an output that is typical for a maximum,
// which must be greater than 0.
func (r *regression) withPrior(limit int) sums {
	typical := math.Log(typicalFraction * float64(limit))
	hintOffset := math.Sqrt(priorHintVariance)
	residual := math.Sqrt(priorResidualVariance)
	all := r.observed
	for _, dx := range []float64{-hintOffset, hintOffset} {
		for _, dy := range []float64{-residual, residual} {
			all = all.with(typical+dx, typical+priorSlope*dx+dy, r.priorWeight/4)
		}
	}
	return all
}

// predict returns the center and the standard deviation of the logarithm of the output
// for a hint, or for all outputs if hint is 0.
func (r *regression) predict(hint, limit int) (center, deviation float64) {
	s := r.withPrior(limit)
	meanX, meanY := s.x/s.n, s.y/s.n
	varianceX := max(s.xx/s.n-meanX*meanX, math.SmallestNonzeroFloat64)
	varianceY := s.yy/s.n - meanY*meanY
	covariance := s.xy/s.n - meanX*meanY
	if hint <= 0 {
		return meanY, math.Sqrt(max(0, varianceY))
	}
	slope := min(max(covariance/varianceX, 0), 1)
	residual := max(0, varianceY-slope*covariance)
	return meanY + slope*(math.Log(float64(hint))-meanX), math.Sqrt(residual)
}
