package entry

import (
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/intake"
)

// evenShares divides the callers' limits evenly among the live instances. The limits
// then apply to all instances together without a message for each request.
type evenShares struct {
	members *crew.Membership
	cached  atomic.Pointer[cachedShare]
}

type cachedShare struct {
	view  *crew.View
	share float64
}

// RecordDemand does nothing, because even shares don't depend on demand.
func (s *evenShares) RecordDemand(string, int, time.Time) {}

// Share returns this instance's fraction of every caller's limits.
func (s *evenShares) Share(string, time.Time) float64 {
	view := s.members.View()
	if cached := s.cached.Load(); cached != nil && cached.view == view {
		return cached.share
	}
	live := 0
	for _, dataCentre := range view.DataCentres() {
		live += len(view.Live(dataCentre))
	}
	share := 1 / float64(max(live, 1))
	s.cached.Store(&cachedShare{
		view:  view,
		share: share,
	})
	return share
}

var _ intake.ShareSource = (*evenShares)(nil)
