// Package lot knows which version of their software the engines had that began a stream. What
// two versions generate doesn't fit together, like glass of two lots, so a stream may only go
// on at the version that began it.
//
// It answers the load of callers who take their streams up again at any instance, after all
// instances were killed at once, too. Two things tell the version:
//   - Versions: while all servers of a service have had one version for longer than any stream
//     lasts, every stream was begun at it. Nothing is recorded for single streams then.
//   - Register: otherwise each instance records the streams that it begins, in a log that all
//     instances read.
//
// If neither does, the version is unknown, and the stream must not go on. The package does no I/O.
//
// # Usage
//
//	origins := lot.NewOrigins(lot.Deps{Lifetime: lifetime})
//	origins.Saw("models", "v1", uptime.Now())
//	switch origin := origins.Of("models", key, uptime.Now()).(type) {
//	case lot.Begun:
//		req.Version = origin.Version
//	case lot.Unknown:
//		// Refuse.
//	}
package lot

import (
	"crypto/sha256"
	"time"

	"github.com/balsamlock/balsamlock/common/uptime"
)

// keyBytes is the length of a Key. Two of 100,000 streams share a key with a probability
// below 1e-18.
const keyBytes = 12

// Key identifies a stream by its service and by the caller's attempt that brought its first
// token.
type Key [keyBytes]byte

// NewKey returns the key of a stream.
func NewKey(service, attempt string) Key {
	digest := sha256.Sum256([]byte(service + "\x00" + attempt))
	return Key(digest[:keyBytes])
}

// Origin is what is known of the version that began a stream, a sealed interface: Begun or
// Unknown.
type Origin interface{ isOrigin() }

// Begun means that engines of a version began the stream.
type Begun struct{ Version string }

// Unknown means that the version isn't known.
type Unknown struct{}

func (Begun) isOrigin()   {}
func (Unknown) isOrigin() {}

// Deps are the dependencies of Origins.
type Deps struct {
	// Lifetime returns the longest time from the begin of a stream until it is taken up
	// again or its servers, if they have left, are gone.
	Lifetime func() time.Duration
}

// Origins decides which version began a stream. It is safe for concurrent use.
type Origins struct {
	Versions *Versions
	Register *Register
}

// NewOrigins returns origins that know nothing.
func NewOrigins(deps Deps) *Origins {
	return &Origins{
		Versions: newVersions(deps.Lifetime),
		Register: newRegister(deps.Lifetime),
	}
}

// Saw records that a server of a service was registered with a version at a time.
func (o *Origins) Saw(service, version string, now uptime.Instant) {
	if o.Versions.saw(service, version, now) {
		// Streams that were begun while there was one version only have to be recorded.
		o.Register.Wake()
	}
}

// Missed records that registrations before now may not have been seen. If the log was
// restored, the records of streams may be lost, too.
func (o *Origins) Missed(now uptime.Instant, restored bool) {
	o.Versions.missed(now)
	if restored {
		o.Register.recordAgain()
	}
	o.Register.Wake()
}

// Unrecorded returns up to n streams of this instance that others must know of, grouped by
// service and version.
func (o *Origins) Unrecorded(n int, now uptime.Instant) [][]Stream {
	return o.Register.unrecorded(n, func(service string) bool {
		_, ok := o.Versions.Only(service, now)
		return ok
	}, now)
}

// Of returns the origin of a stream of a service. The records and the versions must have been
// read since the caller took it up.
func (o *Origins) Of(service string, key Key, now uptime.Instant) Origin {
	if version, ok := o.Register.Version(key); ok {
		return Begun{Version: version}
	}
	if version, ok := o.Versions.Only(service, now); ok {
		return Begun{Version: version}
	}
	return Unknown{}
}

var (
	_ Origin = Begun{}
	_ Origin = Unknown{}
)
