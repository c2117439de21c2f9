package plan

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallKind tells what of a routed request may be repeated.
type CallKind int

// The kinds of routed requests.
const (
	// CallOnce may run once at most.
	CallOnce CallKind = iota
	// CallRepeatable may run more than once.
	CallRepeatable
	// CallStream answers with a stream of events. It may run once at most unless
	// its route is resumable.
	CallStream
)

// HostRoute sends the requests of one host and path prefix to services, with
// their bodies passed on as they are.
type HostRoute struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   CallKind
	// Resumable streams may go on at another backend server after an event.
	Resumable bool
	// Timeout bounds the whole request, Objective the time to its answer or first
	// event, PauseObjective the pause between two events; zero for none.
	Timeout        time.Duration
	Objective      time.Duration
	PauseObjective time.Duration
	// Tries bounds the backend servers that may run one request.
	Tries int
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank     int
	Services []WeightedService
}

// WeightedService is one of the services that a route is split over.
type WeightedService struct {
	Name   string
	Weight int
}

// EngineLimits describes the model engines of a service.
type EngineLimits struct {
	Slots int
	// KVTokens is the memory for prompts and output of one engine in tokens.
	KVTokens int
	// KVBytesPerToken is the size of the KV cache of one token, LinkBytesPerSecond
	// the rate at which an engine sends and receives it.
	KVBytesPerToken    int64
	LinkBytesPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// ExportTTL is how long the KV cache of a prefill is kept for its transfer,
	// ReservationMax how long a reservation may live.
	ExportTTL         time.Duration
	MaxReservationTTL time.Duration
	// RoleSwitch is how long an engine takes no work while it changes role.
	RoleSwitch time.Duration
	Models     []string
}

// RoutedService is a service that routes name.
type RoutedService struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// IngressLimits bound what callers may send and how long they may take.
type IngressLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable set of routes by host and path prefix.
type Table struct {
	version  uint64
	hosts    map[string][]HostRoute
	services map[string]RoutedService
	limits   IngressLimits
}

// NewTable returns the table of a version.
func NewTable(version uint64, routes []HostRoute, services []RoutedService, limits IngressLimits) *Table {
	t := &Table{
		version:  version,
		hosts:    make(map[string][]HostRoute),
		services: make(map[string]RoutedService, len(services)),
		limits:   limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	// The longest prefix comes first, so that the first match is the one.
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b HostRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	return t
}

// Version returns the version of the table; a higher one replaces a lower one.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits of callers' requests.
func (t *Table) Limits() IngressLimits { return t.limits }

// Match returns the route with the longest prefix of a path, false if the host
// has none. The host may carry a port.
func (t *Table) Match(host, path string) (HostRoute, bool) {
	host = strings.ToLower(host)
	list, ok := t.hosts[host]
	if colon := strings.LastIndexByte(host, ':'); !ok && colon > 0 {
		list = t.hosts[host[:colon]]
	}
	for _, route := range list {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return HostRoute{}, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (RoutedService, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Choose returns the service that takes a request by its id. The same id gives
// the same service as long as the weights stay.
func (r HostRoute) Choose(id string) string {
	total := 0
	for _, service := range r.Services {
		total += max(0, service.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, service := range r.Services {
		at -= max(0, service.Weight)
		if at < 0 {
			return service.Name
		}
	}
	return ""
}

// MayRepeat tells whether a request may be sent again after a backend server may
// have run it.
func (r HostRoute) MayRepeat() bool {
	return r.Kind == CallRepeatable || r.Kind == CallStream && r.Resumable
}

// TableHolder keeps the newest table. Its zero value holds none.
type TableHolder struct {
	current atomic.Pointer[Table]
}

// Current returns the table in force, nil before the first.
func (h *TableHolder) Current() *Table { return h.current.Load() }

// StoreIfNewer puts a table in force unless one of the same or a higher version is, so
// that a table never reverts. It tells whether it did.
func (h *TableHolder) StoreIfNewer(next *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && current.version >= next.version {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
