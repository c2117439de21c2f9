// Package crew keeps the membership of entry instances and backend servers:
// live, leaving or gone, by data centre.
//
// Instances of a data centre exchange what they know in waves, a few times a
// second: each wave runs up a tree of all of them to its root and down again, and
// each has another tree. A wave carries load reports, changes of members and
// which instances took part. The roots also meet the other data centres and read
// the platform's list. What is heard is merged by Apply, a pure function, into an
// immutable View.
//
// # Usage
//
//	members := crew.New(cfg, crew.Deps{Self: self, List: platform, Reporter: ..., Dial: ...})
//	handler := crewpb.NewCrewServer(members) // mounted behind peerkey.Require
//	members.UseRouting(crew.RoutingOf(document)) // at each accepted document
//	go members.Run(ctx)
//	<-members.Ready()
//
//	view := members.View() // immutable snapshot, one atomic load
//	for _, server := range view.Engines("draft-7b", kiln.RoleDecode) { ... }
//	if !members.MayPlace(server.Name) { ... } // just before work is handed out
package crew

import (
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// State is a member's state.
type State string

// The states of a member. A member that is leaving gets no new work; a gone
// one's leases have lapsed.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Instance is an entry instance.
type Instance struct {
	// ID is unique for each start.
	ID string
	// Address is the IP:port for peers.
	Address    string
	DataCentre string
	Region     string
	State      State
}

// Server is a backend server: its line in the routing document merged with
// what the platform's list and its own reports say.
type Server struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	// Pool is the pool of an engine in the routing document.
	Pool string
	// Model, Role and Slots are set for engines, Service for plain services.
	Model         string
	Role          kiln.Role
	Slots         int
	Service       string
	ChecksFencing bool
	Incarnation   uint64
	State         State
	// Load is the newest report; Load.At tells its age and is zero before the
	// first one.
	Load kiln.LoadReport
	// ColdUntil is the time until which a server that has just started is slow;
	// zero if it isn't known to be.
	ColdUntil time.Time

	leavingSince time.Time
}
