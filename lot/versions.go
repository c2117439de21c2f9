package lot

import (
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/common/uptime"
)

// Versions holds which versions the servers of each service have had within the lifetime of
// a stream. It is safe for concurrent use.
type Versions struct {
	lifetime func() time.Duration

	mu sync.Mutex
	// seen maps services and versions to when a server was last registered with it.
	seen map[string]map[string]uptime.Instant
	// knownSince is the time since which every registration was seen.
	knownSince uptime.Instant
	// proven holds the services whose history before knownSince is known from a checkpoint. allProven means
	// that it is known for all services.
	proven    map[string]bool
	allProven bool
}

func newVersions(lifetime func() time.Duration) *Versions {
	return &Versions{
		lifetime:   lifetime,
		seen:       map[string]map[string]uptime.Instant{},
		knownSince: uptime.Now(),
		proven:     map[string]bool{},
	}
}

// saw records that a server of a service was registered with a version at a time. It reports
// whether the version is new.
func (v *Versions) saw(service, version string, now uptime.Instant) (isNew bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sawLocked(service, version, now)
}

func (v *Versions) sawLocked(service, version string, now uptime.Instant) (isNew bool) {
	if v.seen[service] == nil {
		v.seen[service] = map[string]uptime.Instant{}
	}
	_, known := v.seen[service][version]
	v.seen[service][version] = now
	return !known
}

// missed records that registrations before now may not have been seen.
func (v *Versions) missed(now uptime.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.knownSince = now
	v.allProven = false
	clear(v.proven)
}

// NeedsProof reports whether a checkpoint could tell more than this instance has seen.
func (v *Versions) NeedsProof(now uptime.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.allProven && len(v.proven) == 0 && now.Sub(v.knownSince) < v.lifetime()
}

// Only returns the version that all servers of a service have had since any stream in progress
// was begun, or false if there were several or it isn't known.
func (v *Versions) Only(service string, now uptime.Instant) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.onlyLocked(service, now)
}

func (v *Versions) onlyLocked(service string, now uptime.Instant) (version string, ok bool) {
	if !v.allProven && !v.proven[service] && now.Sub(v.knownSince) < v.lifetime() {
		return "", false
	}
	n := 0
	for candidate, at := range v.seen[service] {
		if now.Sub(at) >= v.lifetime() {
			delete(v.seen[service], candidate)
			continue
		}
		version = candidate
		n++
	}
	if n != 1 {
		return "", false
	}
	return version, true
}

// Checkpoint returns the services with a single version, as Only does.
func (v *Versions) Checkpoint(now uptime.Instant) map[string]string {
	v.mu.Lock()
	defer v.mu.Unlock()
	single := map[string]string{}
	for service := range v.seen {
		if version, ok := v.onlyLocked(service, now); ok {
			single[service] = version
		}
	}
	return single
}

// Prove applies a checkpoint: until the time since which this instance knows all
// registrations, the servers of the services that it names had that version and those in
// later. Without one, later holds all registrations since there are servers. It has no
// effect if registrations were missed after the time at, before the checkpoint was read.
func (v *Versions) Prove(checkpoint map[string]string, later []Registration, at, now uptime.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.knownSince.Sub(at) > 0 {
		return
	}
	for _, r := range later {
		v.sawLocked(r.Service, r.Version, now)
	}
	v.allProven = checkpoint == nil
	for service, version := range checkpoint {
		v.sawLocked(service, version, now)
		v.proven[service] = true
	}
}

// Registration is a version with which a server of a service was registered.
type Registration struct {
	Service string
	Version string
}
