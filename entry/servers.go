package entry

import (
	"sync/atomic"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/quotation"
)

// placementServers provides placement with the backend servers of the current view. It
// builds the list once for each view.
type placementServers struct {
	members *crew.Membership
	cached  atomic.Pointer[cachedServers]
}

type cachedServers struct {
	view    *crew.View
	servers []crew.Server
}

// Servers returns the backend servers of the current view. The caller must not modify
// the slice.
func (s *placementServers) Servers() []crew.Server {
	view := s.members.View()
	if cached := s.cached.Load(); cached != nil && cached.view == view {
		return cached.servers
	}
	servers := make([]crew.Server, 0, len(view.Servers()))
	for _, server := range view.Servers() {
		servers = append(servers, *server)
	}
	s.cached.Store(&cachedServers{
		view:    view,
		servers: servers,
	})
	return servers
}

var _ quotation.Servers = (*placementServers)(nil)
