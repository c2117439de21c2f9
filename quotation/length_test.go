package quotation

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sampleOutput draws an output length and a caller's hint for it. Hints are right at the
// median but often far off.
func sampleOutput(r *rand.Rand, limit int) (hint, output int) {
	length := min(4450*math.Exp(0.5*r.NormFloat64()), float64(limit))
	return int(length * math.Exp(0.5*r.NormFloat64())), int(length)
}

func TestLengthsCoverOutputsWithLessMemoryThanHints(t *testing.T) {
	c := qt.New(t)
	const limit = 9360
	r := rand.New(rand.NewPCG(1, 2))
	lengths := NewLengthPredictor(DefaultLengthConfig())
	covered, reserved, coveredByHint, reservedByHint, n := 0, 0, 0, 0, 0
	for i := range 2000 {
		hint, output := sampleOutput(r, limit)
		_, reserve := lengths.Predict("survey", hint, limit)
		lengths.Observe(OutputSpec{
			Route: "survey",
			Hint:  hint,
			Max:   limit,
		}, output, time.Duration(output)*time.Millisecond)
		if i < 100 {
			continue
		}
		n++
		reserved += reserve
		if output <= reserve {
			covered++
		}
		// For comparison: the memory that a multiple of the hint reserves.
		hintReserve := min(int(1.3*float64(hint)), limit)
		reservedByHint += hintReserve
		if output <= hintReserve {
			coveredByHint++
		}
	}
	c.Logf("prediction covers %d of %d with %d tokens; hint x 1.3 %d with %d", covered, n, reserved/n, coveredByHint, reservedByHint/n)
	c.Assert(float64(covered)/float64(n) >= 0.85, qt.IsTrue)
	c.Assert(covered > coveredByHint, qt.IsTrue)
	c.Assert(lengths.Duration("survey", 5000).Round(100*time.Millisecond), qt.Equals, 5*time.Second)
}

func TestNeeds(t *testing.T) {
	c := qt.New(t)
	lengths := NewLengthPredictor(LengthConfig{
		Deviations:       1,
		ReservedFraction: 0.5,
		HeadroomFraction: 0.1,
	})
	out := OutputSpec{
		Route: "survey",
		Hint:  500,
		Max:   1000,
	}
	median, reserve := lengths.Predict(out.Route, out.Hint, out.Max)
	needs := lengths.Needs(3000, out, 80_000)
	c.Assert(needs.Cost, qt.Equals, 3000+median)
	c.Assert(needs.Reserved, qt.Equals, 3000+reserve/2)
	c.Assert(needs.Headroom, qt.Equals, 8000)
	c.Assert(needs.Duration >= time.Duration(reserve)*defaultTokenTime, qt.IsTrue)
	c.Assert(needs.Duration <= 1000*defaultTokenTime, qt.IsTrue, qt.Commentf("no output is longer than the maximum"))
}

func TestLengthsBounds(t *testing.T) {
	c := qt.New(t)
	lengths := NewLengthPredictor(DefaultLengthConfig())
	for _, hint := range []int{0, 1, 100, 1 << 40} {
		median, reserve := lengths.Predict("survey", hint, 1000)
		c.Assert(median > 0 && median <= reserve && reserve <= 1000, qt.IsTrue, qt.Commentf("hint %d: %d, %d", hint, median, reserve))
	}
	median, reserve := lengths.Predict("survey", 50, 0)
	c.Assert([]int{median, reserve}, qt.DeepEquals, []int{50, 50})
	lengths.Observe(OutputSpec{Route: "survey"}, -1, 0)
}

// Guards against a request without a token count, or with an absurd one, that spoils the predictions for its
// route.
func TestOddRequestDoesNotSpoilLengths(t *testing.T) {
	const limit, kvTokens = 9360, 85_000
	usual := OutputSpec{
		Route: "survey",
		Hint:  5000,
		Max:   limit,
	}
	observe := func(lengths *LengthPredictor) {
		r := rand.New(rand.NewPCG(1, 2))
		for range 20 {
			hint, output := sampleOutput(r, limit)
			lengths.Observe(OutputSpec{
				Route: usual.Route,
				Hint:  hint,
				Max:   limit,
			}, output, time.Duration(output)*time.Millisecond)
		}
	}
	untouched := NewLengthPredictor(DefaultLengthConfig())
	want := untouched.Needs(5000, usual, kvTokens)
	observe(untouched)
	wantLater := untouched.Needs(5000, usual, kvTokens)
	for name, odd := range map[string]OutputSpec{
		"without a maximum": {Route: usual.Route},
		"only a hint": {
			Route: usual.Route,
			Hint:  700,
		},
		"maximum of 1": {
			Route: usual.Route,
			Hint:  1,
			Max:   1,
		},
		"absurd maximum": {
			Route: usual.Route,
			Hint:  1 << 40,
			Max:   1 << 40,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			lengths := NewLengthPredictor(DefaultLengthConfig())
			needs := lengths.Needs(0, odd, kvTokens)
			c.Check(needs.Reserved >= 0 && needs.Reserved <= kvTokens, qt.IsTrue, qt.Commentf("%+v", needs))
			c.Check(needs.Output > 0 && needs.Duration > 0, qt.IsTrue, qt.Commentf("%+v", needs))
			c.Check(lengths.Needs(5000, usual, kvTokens), qt.Equals, want)
			observe(lengths)
			c.Check(lengths.Needs(5000, usual, kvTokens), qt.Equals, wantLater)
		})
	}
}

// Guards against a single absurd hint that changes the predictions for its route.
func TestAbsurdHintChangesLengthsLittle(t *testing.T) {
	c := qt.New(t)
	const limit = 9360
	predict := func(odd int) int {
		lengths := NewLengthPredictor(DefaultLengthConfig())
		r := rand.New(rand.NewPCG(1, 2))
		for n := range 100 {
			hint, output := sampleOutput(r, limit)
			if n == 50 && odd > 0 {
				hint = odd
			}
			lengths.Observe(OutputSpec{
				Route: "survey",
				Hint:  hint,
				Max:   limit,
			}, output, time.Second)
		}
		median, _ := lengths.Predict("survey", 2000, limit)
		return median
	}
	usual, odd := predict(0), predict(1<<50)
	c.Assert(math.Abs(float64(odd-usual)) < 0.1*float64(usual), qt.IsTrue, qt.Commentf("%d instead of %d tokens", odd, usual))
}

func TestNeedsOfTheRestOfAStream(t *testing.T) {
	c := qt.New(t)
	lengths := NewLengthPredictor(DefaultLengthConfig())
	out := OutputSpec{
		Route: "survey",
		Hint:  1000,
		Max:   4000,
	}
	whole := lengths.Needs(500, out, 0)
	c.Check(whole.Usual < whole.Duration, qt.IsTrue)
	out.Delivered = 800
	rest := lengths.Needs(500, out, 0)
	c.Check(rest.Duration < whole.Duration, qt.IsTrue)
	c.Check(rest.Usual, qt.Equals, lengths.Duration("survey", whole.Output-800))
	c.Check(rest.Reserved, qt.Equals, whole.Reserved, qt.Commentf("the engine keeps what was delivered, too"))
	out.Delivered = 5000
	c.Check(lengths.Needs(500, out, 0).Usual, qt.Equals, lengths.Duration("survey", 1))
}
