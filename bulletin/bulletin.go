// Package bulletin lets a few instances of a data centre read the platform's logs for the
// others. It answers the load of hundreds of instances that would each ask the platform
// again and again for news that there rarely is.
//
// A reader passes on no records. Its reports say up to which offset it has read a log and
// after which offset nothing has changed, with the age of that knowledge. An instance
// whose own position lies between the two needs no read. In all other cases it reads the
// log itself: if something has changed, if the report is too old, and now and then without
// a reason. A reader that is frozen, cut off or gone costs reads and delays no news beyond
// Config.MaxAgeMS. Offsets make reports of several readers comparable: each is true by
// itself, and none moves a position back.
//
// A report asserts only what one unbroken series of reads has shown, see Report. A reader
// that goes on from another position, for whatever reason, need not say so: its next Read
// doesn't begin where the series ends, and begins another one.
//
// # Usage
//
//	watch := bulletin.NewWatch(cfg)
//	switch d := watch.Decide(bulletin.Servers, position, readAt, uptime.Now()).(type) {
//	case bulletin.Read:
//	case bulletin.Unchanged:
//		position.Offset = d.Next
//	}
package bulletin

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/common/uptime"
)

// Log names a log that all instances follow.
type Log string

// The logs.
const (
	Servers       Log = "servers"
	Configuration Log = "configuration"
	Crashes       Log = "crashes"
	// ProvenConfiguration is the log of Configuration, in reports that state the beginning
	// of a read which reached the end of the log. Instances of earlier versions report
	// Configuration as of the end of a read.
	ProvenConfiguration Log = "proven_configuration"
)

// Config holds the settings of reports. Times are in milliseconds.
type Config struct {
	// PollMS is the interval at which an instance asks a reader, and at which a reader
	// reads each log.
	PollMS int `json:"poll_ms"`
	// TimeoutMS limits the time for the response of a reader.
	TimeoutMS int `json:"timeout_ms"`
	// MaxAgeMS is the age up to which knowledge counts, since its read began. It must
	// leave time for a read that fails once before a change must be known. With 0, every
	// instance reads the logs itself.
	MaxAgeMS int `json:"max_age_ms"`
	// VerifyMS is the interval at which an instance reads a log itself although nothing
	// has changed.
	VerifyMS int `json:"verify_ms"`
}

// DefaultConfig returns the default settings, in which every instance reads the logs
// itself.
func DefaultConfig() Config {
	return Config{
		PollMS:    700,
		TimeoutMS: 300,
		VerifyMS:  60_000,
	}
}

// Check records invalid values in p.
func (c Config) Check(p *settings.Problems) {
	p.Positive("poll_ms", c.PollMS)
	p.Positive("timeout_ms", c.TimeoutMS)
	p.Add(c.MaxAgeMS >= 0, "max_age_ms", c.MaxAgeMS, "a whole number of at least 0")
	p.Positive("verify_ms", c.VerifyMS)
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Position is a position in a log. Logs that were restored from a copy begin another era,
// in which offsets are assigned again.
type Position struct {
	Era    uint64
	Offset uint64
}

// Extent is the part of a log that one read has covered.
type Extent struct {
	// From is the position at which the read began, and Next the one after the last record
	// that it returned. All records between them were returned. A read that returned the
	// newest records instead covers none: From is Next.
	From Position
	Next Position
	// Changed reports whether a record of the extent changed anything.
	Changed bool
	// AsOf is a time at which the log ended at Next, by this instance's clocks. It is zero
	// if the log went on.
	AsOf uptime.Instant
}

// Report is what a reader asserts of one log, by a series of reads each of which began
// where the one before ended:
//   - No record from the offset Changed up to Checked changes anything for an instance that
//     has applied all records before it.
//   - At the time AsOf, the log ended at Checked, or before it.
//
// The first one is true for ever in the era of the log, whoever holds the role of the reader
// since. The second one ages. The zero value asserts nothing that could spare a read.
type Report struct {
	// Era is the era of the logs in which the offsets are valid.
	Era     uint64
	Checked uint64
	Changed uint64
	// AsOf is a time by this instance's clocks. It is zero if no read of the series has
	// reached the end of the log.
	AsOf uptime.Instant
}

// With returns the report after one more read.
func (r Report) With(read Extent) Report {
	if !r.isContinuedBy(read) {
		r = Report{
			Era:     read.From.Era,
			Checked: read.From.Offset,
			Changed: read.From.Offset,
		}
	}
	r.Checked = read.Next.Offset
	if read.Changed {
		r.Changed = read.Next.Offset
	}
	if !read.AsOf.IsZero() {
		r.AsOf = read.AsOf
	}
	return r
}

// isContinuedBy reports whether a read began where the series of reads ends.
func (r Report) isContinuedBy(read Extent) bool {
	return read.From == Position{
		Era:    r.Era,
		Offset: r.Checked,
	}
}

// Age returns the age of the report.
func (r Report) Age(now uptime.Instant) time.Duration { return now.Sub(r.AsOf) }

// Decision tells a follower of a log how to go on, a sealed interface: Read or Unchanged.
type Decision interface{ isDecision() }

// Read means that the follower must read the log. Changed is the offset after the last
// change that is known, or 0 if none is.
type Read struct{ Changed uint64 }

// Unchanged means that nothing has changed up to the offset Next of the same era, as of
// the time of the report. Unless another report arrives, the decision holds for Holds.
type Unchanged struct {
	Next   uint64
	Report Report
	Holds  time.Duration
}

func (Read) isDecision()      {}
func (Unchanged) isDecision() {}

// Decide decides whether a follower at a position, which last read the log at readAt,
// must read it.
func (c Config) Decide(report Report, at Position, readAt, now uptime.Instant) Decision {
	age := report.Age(now)
	switch {
	case report.AsOf.IsZero() || age >= milliseconds(c.MaxAgeMS) || age < 0 || report.Era != at.Era:
		return Read{}
	case report.Changed > at.Offset:
		return Read{Changed: report.Changed}
	case now.Sub(readAt) > milliseconds(c.VerifyMS):
		return Read{}
	}
	return Unchanged{
		Next:   max(at.Offset, report.Checked),
		Report: report,
		Holds:  milliseconds(c.MaxAgeMS) - age,
	}
}

var (
	_ Decision = Read{}
	_ Decision = Unchanged{}
)
