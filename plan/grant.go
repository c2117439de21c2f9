package plan

import "slices"

// Grant holds a caller and its permissions. It is immutable.
type Grant struct {
	caller   *Caller
	models   nameSet
	services nameSet
	pools    nameSet
	servers  nameSet
}

// nameSet is a set of names or the set of all names.
type nameSet struct {
	all  bool
	list map[string]struct{}
}

func newGrant(caller *Caller) *Grant {
	return &Grant{
		caller:   caller,
		models:   allowlist(caller.Models),
		services: allowlist(caller.Services),
		pools:    restriction(caller.Pools),
		servers:  restriction(caller.Servers),
	}
}

// allowlist returns the set of the names in the list, or of all names if the
// list contains All.
func allowlist(list []string) nameSet {
	if slices.Contains(list, All) {
		return nameSet{all: true}
	}
	return newNameSet(list)
}

// restriction returns the set of the names in the list, or of all names if the
// list is empty.
func restriction(list []string) nameSet {
	if len(list) == 0 {
		return nameSet{all: true}
	}
	return newNameSet(list)
}

func newNameSet(list []string) nameSet {
	s := nameSet{list: make(map[string]struct{}, len(list))}
	for _, name := range list {
		s.list[name] = struct{}{}
	}
	return s
}

func (s nameSet) has(name string) bool {
	if s.all {
		return true
	}
	_, ok := s.list[name]
	return ok
}

// Caller returns the caller's entry, which must not be modified.
func (g *Grant) Caller() *Caller { return g.caller }

// Name returns the caller's name.
func (g *Grant) Name() string { return g.caller.Name }

// Priority returns the caller's priority. Higher values are served first.
func (g *Grant) Priority() int { return g.caller.Priority }

// Rank returns the priority of the caller's requests for a route; 0 is the most
// urgent. For a nil grant, it is that of the route.
func (g *Grant) Rank(route HostRoute) int {
	if g == nil || g.caller.Rank == nil {
		return route.Rank
	}
	return *g.caller.Rank
}

// Limits returns the caller's limits.
func (g *Grant) Limits() Limits { return g.caller.Limits }

// AllowsModel reports whether the caller may use the model or adapter with this
// name.
func (g *Grant) AllowsModel(name string) bool { return g.models.has(name) }

// AllowsService reports whether the caller may use a service.
func (g *Grant) AllowsService(name string) bool { return g.services.has(name) }

// AllowsPool reports whether the caller may use the engines of a pool.
func (g *Grant) AllowsPool(name string) bool { return g.pools.has(name) }

// AllowsServer reports whether the caller may use a server. For an engine, its
// pool must be allowed as well.
func (g *Grant) AllowsServer(server *Server) bool {
	if server.Kind == KindEngine && !g.pools.has(server.Pool) {
		return false
	}
	return g.servers.has(server.Name)
}
