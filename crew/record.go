package crew

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamlock/balsamlock/common/rendezvous"
	"github.com/balsamlock/balsamlock/kiln"
)

// liveness holds the time of the newest evidence that a member is up and of the newest
// evidence that it is down, in milliseconds since the epoch. Both only increase, so
// merges are commutative.
type liveness struct {
	upAt   int64
	downAt int64
}

func (l liveness) isDown() bool { return l.downAt > l.upAt }

func (l liveness) merge(other liveness) liveness {
	return liveness{
		upAt:   max(l.upAt, other.upAt),
		downAt: max(l.downAt, other.downAt),
	}
}

// instanceRecord is the known state of an instance. An ID belongs to a single start, so
// leaving is final.
type instanceRecord struct {
	id         string
	address    string
	dataCentre string
	region     string
	leaving    bool
	liveness   liveness
	// listed is set while the platform's list contains the instance. It is not sent to
	// peers.
	listed bool
	// addedAt is when this instance first received the record. It is not sent to peers.
	addedAt int64
}

func (r instanceRecord) state() State {
	if r.liveness.isDown() {
		return StateGone
	}
	if r.leaving {
		return StateLeaving
	}
	return StateLive
}

// merge combines two records of one ID.
func (r instanceRecord) merge(other instanceRecord) instanceRecord {
	r.address = firstNonEmpty(r.address, other.address)
	r.dataCentre = firstNonEmpty(r.dataCentre, other.dataCentre)
	r.region = firstNonEmpty(r.region, other.region)
	r.leaving = r.leaving || other.leaving
	r.liveness = r.liveness.merge(other.liveness)
	return r
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// differs reports whether the two records lead to different content in a view.
func (r instanceRecord) differs(other instanceRecord) bool {
	return r.state() != other.state() || r.address != other.address || r.dataCentre != other.dataCentre || r.region != other.region
}

// traits are the fields of a load report that rarely change.
type traits struct {
	at     int64
	role   kiln.Role
	slots  int
	pieces int
	models []string
}

// serverRecord is the known state of a backend server, except for its load.
type serverRecord struct {
	name        string
	incarnation uint64
	// leaving is set when an incarnation was reported as leaving. leavingIncarnation is
	// the highest such incarnation.
	leaving            bool
	leavingIncarnation uint64
	liveness           liveness
	traits             traits
	// leavingReportedAt is the local time of the first report that the incarnation
	// leavingReportedIncarnation is leaving, or 0 if there is none. It is only used to
	// check the invariant that leaving servers get no work.
	leavingReportedAt          int64
	leavingReportedIncarnation uint64
}

func (r serverRecord) isLeaving() bool {
	return r.leaving && r.leavingIncarnation >= r.incarnation
}

func (r serverRecord) state() State {
	if r.liveness.isDown() {
		return StateGone
	}
	if r.isLeaving() {
		return StateLeaving
	}
	return StateLive
}

// merge combines two records of one server. The newest incarnation wins, and a report
// of leaving stays valid until a newer incarnation appears.
func (r serverRecord) merge(other serverRecord) serverRecord {
	r.incarnation = max(r.incarnation, other.incarnation)
	if other.leaving && (!r.leaving || other.leavingIncarnation > r.leavingIncarnation) {
		r.leaving = true
		r.leavingIncarnation = other.leavingIncarnation
	}
	r.liveness = r.liveness.merge(other.liveness)
	if other.traits.at > r.traits.at {
		r.traits = other.traits
	}
	return r
}

func traitsOf(load kiln.LoadReport) traits {
	return traits{
		at:     load.At.UnixMilli(),
		role:   load.Role,
		slots:  load.Slots,
		pieces: load.Pieces,
		models: load.Models,
	}
}

func (t traits) equal(other traits) bool {
	return t.at == other.at && t.sameProperties(other)
}

// sameProperties reports whether the traits are equal except for their time.
func (t traits) sameProperties(other traits) bool {
	return t.role == other.role && t.slots == other.slots && t.pieces == other.pieces && slices.Equal(t.models, other.models)
}

// differs reports whether the two records lead to different content in a view.
func (r serverRecord) differs(other serverRecord) bool {
	return r.state() != other.state() || r.incarnation != other.incarnation || !r.traits.sameProperties(other.traits) || r.leavingSince() != other.leavingSince()
}

func (r serverRecord) equal(other serverRecord) bool {
	return r.traits.equal(other.traits) && r.scalars() == other.scalars()
}

// serverScalars are the comparable fields of a serverRecord.
type serverScalars struct {
	incarnation, leavingIncarnation, leavingReportedIncarnation uint64
	leaving                                                     bool
	liveness                                                    liveness
	leavingReportedAt                                           int64
}

func (r serverRecord) scalars() serverScalars {
	return serverScalars{
		incarnation:                r.incarnation,
		leavingIncarnation:         r.leavingIncarnation,
		leavingReportedIncarnation: r.leavingReportedIncarnation,
		leaving:                    r.leaving,
		liveness:                   r.liveness,
		leavingReportedAt:          r.leavingReportedAt,
	}
}

// noteLeaving records when this instance received a report of leaving. It is used to
// check the invariant.
func (r serverRecord) noteLeaving(incarnation uint64, now time.Time) serverRecord {
	if r.leavingReportedAt == 0 || incarnation > r.leavingReportedIncarnation {
		r.leavingReportedAt = now.UnixMilli()
		r.leavingReportedIncarnation = incarnation
	}
	return r
}

// leavingSince returns the time at which this instance first received a report that the
// current incarnation is leaving, or the zero time if there is none.
func (r serverRecord) leavingSince() time.Time {
	if r.leavingReportedAt == 0 || r.leavingReportedIncarnation < r.incarnation {
		return time.Time{}
	}
	return time.UnixMilli(r.leavingReportedAt)
}

// Key returns the 32-bit hash that identifies a member in peer messages.
func Key(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const (
	digestLeaving = 1 << iota
	digestDown
)

// digest returns a hash of the state that all peers must agree on.
func (r instanceRecord) digest() uint64 {
	return mixDigest(xxhash.Sum64String(r.id), 0, flags(r.leaving, r.liveness.isDown()))
}

// digest returns a hash of the state that all peers must agree on.
func (r serverRecord) digest() uint64 {
	state := mixDigest(xxhash.Sum64String(r.name), r.incarnation, flags(r.isLeaving(), r.liveness.isDown()))
	return rendezvous.Mix(state, r.traits.digest())
}

func (t traits) digest() uint64 {
	sum := rendezvous.Mix(xxhash.Sum64String(string(t.role)), uint64(t.slots)<<32|uint64(t.pieces))
	for _, model := range t.models {
		sum = rendezvous.Mix(sum, xxhash.Sum64String(model))
	}
	return sum
}

func flags(leaving, down bool) uint64 {
	var f uint64
	if leaving {
		f |= digestLeaving
	}
	if down {
		f |= digestDown
	}
	return f
}

func mixDigest(name, incarnation, flags uint64) uint64 {
	return rendezvous.Mix(rendezvous.Mix(name, incarnation), flags)
}
