package allotment

import (
	"math"
	"time"
)

// meterTime is the time constant of the demand's moving average. It spans several requests
// of a team that sends a few a second.
const meterTime = 2 * time.Second

// meter is the moving average of a team's demand. The zero value is a demand of zero.
type meter struct {
	amount float64
	count  float64
	at     time.Time
}

func (m *meter) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / meterTime.Seconds())
		m.amount *= factor
		m.count *= factor
		m.at = now
	}
}

func (m *meter) add(cost float64, now time.Time) {
	m.decay(now)
	m.amount += cost
	m.count++
}

// expected returns the demand expected in a time, and the mean cost of a request.
func (m *meter) expected(d time.Duration, now time.Time) (amount, mean float64) {
	m.decay(now)
	if m.count == 0 {
		return 0, 0
	}
	return m.amount * d.Seconds() / meterTime.Seconds(), m.amount / m.count
}
