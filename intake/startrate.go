package intake

import "time"

// startWindow is the time over which the rate of starts is taken.
const startWindow = 2 * time.Second

// startRate counts starts in two windows of time.
type startRate struct {
	since    time.Time
	recent   int
	previous int
}

func (s *startRate) turn(now time.Time) {
	for now.Sub(s.since) >= startWindow {
		if now.Sub(s.since) >= 2*startWindow {
			s.recent = 0
			s.since = now.Add(-startWindow)
		}
		s.previous = s.recent
		s.recent = 0
		s.since = s.since.Add(startWindow)
	}
}

func (s *startRate) add(now time.Time) {
	s.turn(now)
	s.recent++
}

// perSecond returns the recent rate of starts.
func (s *startRate) perSecond(now time.Time) float64 {
	s.turn(now)
	rate := max(float64(s.previous)/startWindow.Seconds(), float64(s.recent)/startWindow.Seconds())
	return rate
}
