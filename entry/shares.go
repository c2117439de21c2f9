package entry

import (
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/intake"
)

// shares divides the callers' limits evenly among the live instances, so that
// they hold over all of them without a message for each request.
type shares struct {
	members *crew.Membership
	last    atomic.Pointer[shareOfView]
}

type shareOfView struct {
	view  *crew.View
	share float64
}

// RecordDemand takes note of nothing: an even share doesn't depend on demand.
func (s *shares) RecordDemand(string, int, time.Time) {}

// Share returns this instance's part of every caller's limits.
func (s *shares) Share(string, time.Time) float64 {
	view := s.members.View()
	if last := s.last.Load(); last != nil && last.view == view {
		return last.share
	}
	live := 0
	for _, dataCentre := range view.DataCentres() {
		live += len(view.Live(dataCentre))
	}
	share := 1 / float64(max(live, 1))
	s.last.Store(&shareOfView{
		view:  view,
		share: share,
	})
	return share
}

var _ intake.ShareSource = (*shares)(nil)
