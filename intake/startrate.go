package intake

import "time"

// startWindow is the length of the windows over which the rate of starts is measured.
const startWindow = 2 * time.Second

// startRate counts starts in the current and the previous window.
type startRate struct {
	windowStart time.Time
	current     int
	previous    int
}

// advance starts a new window if the current one has ended.
func (s *startRate) advance(now time.Time) {
	for now.Sub(s.windowStart) >= startWindow {
		if now.Sub(s.windowStart) >= 2*startWindow {
			s.current = 0
			s.windowStart = now.Add(-startWindow)
		}
		s.previous = s.current
		s.current = 0
		s.windowStart = s.windowStart.Add(startWindow)
	}
}

func (s *startRate) add(now time.Time) {
	s.advance(now)
	s.current++
}

// perSecond returns the higher rate of the current and the previous window.
func (s *startRate) perSecond(now time.Time) float64 {
	s.advance(now)
	rate := max(float64(s.previous)/startWindow.Seconds(), float64(s.current)/startWindow.Seconds())
	return rate
}
