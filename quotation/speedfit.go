package quotation

import "math"

const (
	// speedWindow is the number of recent calls that effectively count for a server's speed.
	speedWindow = 60
	// speedPrior is the weight of the assumption that a server has the usual speed, in calls.
	speedPrior = 6
	// reportPrior is the weight of the assumption that times are proportional to the reported slow-down:
	// that of three calls whose slow-downs vary by 40%.
	reportPrior = 0.5
	// maxSurprise limits the logarithm of the ratio of an observed to an expected time. One call in a hundred
	// takes 5 times as long, and must not change the estimate for all others. There is no limit for shorter times,
	// because a call is not faster than usual by chance.
	maxSurprise = 1.2
)

// speedFit is a linear regression of the logarithm of a server's times, relative to the expected work, over the
// logarithm of its reported slow-down. The intercept is the server's own speed, the slope the weight of its
// reports: 1 if times are proportional to the reported slow-down, 0 if they have nothing to do with it.
type speedFit struct {
	n, x, y, xx, xy float64
}

// With returns the fit after a call that took a multiple of its expected work while the server reported a
// slow-down.
func (f speedFit) With(multiple, slowdown, weight float64) speedFit {
	x, y := math.Log(slowdown), min(math.Log(multiple), f.log(slowdown)+maxSurprise)
	keep := 1 - weight/speedWindow
	return speedFit{
		n:  f.n*keep + weight,
		x:  f.x*keep + weight*x,
		y:  f.y*keep + weight*y,
		xx: f.xx*keep + weight*x*x,
		xy: f.xy*keep + weight*x*y,
	}
}

// reportWeight returns the weight of the server's reports, from 0 to 1.
func (f speedFit) reportWeight() float64 {
	if f.n == 0 {
		return 1
	}
	variance := max(0, f.xx-f.x*f.x/f.n)
	covariance := f.xy - f.x*f.y/f.n
	return min(max((covariance+reportPrior)/(variance+reportPrior), 0), 1)
}

// speed returns the server's own factor on time: 1 is the usual one, 2 a server that takes twice as long.
func (f speedFit) speed() float64 {
	return math.Exp((f.y - f.reportWeight()*f.x) / (f.n + speedPrior))
}

// log returns the logarithm of the expected multiple of the work.
func (f speedFit) log(slowdown float64) float64 {
	return math.Log(f.speed()) + f.reportWeight()*math.Log(slowdown)
}

// factor returns the expected multiple of the work while the server has a slow-down.
func (f speedFit) factor(slowdown float64) float64 { return math.Exp(f.log(slowdown)) }
