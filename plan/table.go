package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallKind determines whether a routed request may run more than once.
type CallKind int

// The kinds of routed requests.
const (
	// CallOnce requests run at most once.
	CallOnce CallKind = iota
	// CallRepeatable requests may run more than once.
	CallRepeatable
	// CallStream requests are answered with a stream of events. They run at
	// most once unless the route is resumable.
	CallStream
)

// HostRoute routes the requests for one host and path prefix to services.
// Bodies are forwarded unchanged.
type HostRoute struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   CallKind
	// Resumable streams can continue at another backend server after some
	// events have been sent.
	Resumable bool
	// Timeout limits the whole request. Objective is the latency objective for
	// the response or first event, PauseObjective that for the time between two
	// events. Zero means none.
	Timeout        time.Duration
	Objective      time.Duration
	PauseObjective time.Duration
	// Tries is the maximum number of backend servers that may run one request.
	Tries int
	// Rank is the priority of the route; 0 is the most urgent.
	Rank     int
	Services []WeightedService
	// Public routes need no key in a table that requires keys.
	Public bool
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Name   string
	Weight int
}

// EngineLimits holds the capacity of a service's model engines.
type EngineLimits struct {
	Slots int
	// KVTokens is the KV cache capacity of one engine, in tokens.
	KVTokens int
	// KVBytesPerToken is the size of the KV cache per token. LinkBytesPerSecond
	// is the rate at which an engine sends and receives it.
	KVBytesPerToken    int64
	LinkBytesPerSecond float64
	// TokensPerEvent is the number of tokens per stream event.
	TokensPerEvent int
	// ExportTTL is how long the KV cache of a prefill is retained for its
	// transfer. MaxReservationTTL is the maximum lifetime of a reservation.
	ExportTTL         time.Duration
	MaxReservationTTL time.Duration
	// RoleSwitch is how long an engine accepts no work while it changes its
	// role.
	RoleSwitch time.Duration
	Models     []string
}

// RoutedService is a service that routes can refer to.
type RoutedService struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for services without model engines.
	Engine *EngineLimits
}

// IngressLimits limits the size and duration of callers' requests.
type IngressLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable routing table, matched by host and path prefix.
type Table struct {
	version       uint64
	hosts         map[string][]HostRoute
	services      map[string]RoutedService
	limits        IngressLimits
	longestStream time.Duration
	// requiresKeys and keys are set by WithCallers.
	requiresKeys bool
	keys         keyTable
	callerLimits callerLimits
}

// NewTable returns a routing table with the given version.
func NewTable(version uint64, routes []HostRoute, services []RoutedService, limits IngressLimits) *Table {
	t := &Table{
		version:  version,
		hosts:    make(map[string][]HostRoute),
		services: make(map[string]RoutedService, len(services)),
		limits:   limits,
	}
	for _, route := range routes {
		if route.Kind == CallStream {
			t.longestStream = max(t.longestStream, route.Timeout)
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	// Longest prefix first, so that the first match wins.
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b HostRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	return t
}

// Version returns the version of the table. Tables with higher versions replace
// those with lower ones.
func (t *Table) Version() uint64 { return t.version }

// LongestStream returns the longest timeout of a stream route.
func (t *Table) LongestStream() time.Duration { return t.longestStream }

// Limits returns the limits of callers' requests.
func (t *Table) Limits() IngressLimits { return t.limits }

// Match returns the route with the longest matching prefix, or false if the
// host has none. The host may include a port.
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

// Choose selects a service for a request by weighted hashing of the request id.
// An id selects the same service as long as the weights do not change.
func (r HostRoute) Choose(id string) string {
	total := 0
	for _, service := range r.Services {
		total += max(0, service.Weight)
	}
	if total == 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, service := range r.Services {
		point -= max(0, service.Weight)
		if point < 0 {
			return service.Name
		}
	}
	return ""
}

// MayRepeat reports whether a request may be retried after a backend server may
// have run it.
func (r HostRoute) MayRepeat() bool {
	return r.Kind == CallRepeatable || r.Kind == CallStream && r.Resumable
}
