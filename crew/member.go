// Package crew implements cluster membership: which entry instances and backend servers
// exist in each data centre, and whether they are live, leaving or gone. It also
// distributes the load reports of backend servers.
//
// The instances of a data centre exchange their state in waves, a few times a second. A
// wave is one aggregation over a tree of all instances: messages go from the leaves to
// the root, and the result returns from the root to the leaves. Each wave uses a
// different tree. A wave carries load reports, membership changes and the set of
// instances that took part. The root of a wave also exchanges state with the other data
// centres and reads the platform's list. Received state is merged by Apply, a pure
// function, into an immutable View.
//
// # Usage
//
//	members := crew.New(cfg, crew.Deps{Self: self, List: platform, Reporter: ..., Dial: ...})
//	handler := crewpb.NewCrewServer(members) // mounted behind peerkey.Require
//	members.UseRouting(crew.RoutingOf(document)) // for each accepted routing document
//	go members.Run(ctx)
//	<-members.Ready()
//
//	view := members.View() // immutable snapshot, one atomic load
//	for _, server := range view.Engines("draft-7b", kiln.RoleDecode) { ... }
//	if !members.MayPlace(server.Name) { ... } // immediately before work is assigned
package crew

import (
	"time"

	"github.com/balsamlock/balsamlock/kiln"
)

// State is the state of a member.
type State string

// The states of a member. A leaving member gets no new work. An instance is gone when
// its lease has expired, and a server when it does not answer polls. Both also count as
// gone while their data centre is unreachable.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Instance describes an entry instance.
type Instance struct {
	// ID is unique for each start of an instance.
	ID string
	// Address is the IP:port on which the instance serves its peers.
	Address    string
	DataCentre string
	Region     string
	State      State
}

// Server describes a backend server. It combines the server's entry in the routing
// document with the platform's list and the server's own reports.
type Server struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	// Pool is the name of the engine's pool in the routing document.
	Pool string
	// Model, Role and Slots are set for engines, Service for plain services.
	Model         string
	Role          kiln.Role
	Slots         int
	Service       string
	ChecksFencing bool
	Incarnation   uint64
	// Version is the version of the server's software, or empty if it states none.
	Version string
	State   State
	// Load is the newest load report. Load.At is zero until the first report arrives.
	Load kiln.LoadReport
	// ColdUntil is the time until which a recently started server is slow, or zero if
	// unknown.
	ColdUntil time.Time
	// PausedUntil is the time until which the server has asked for no calls, or zero.
	PausedUntil time.Time

	leavingSince time.Time
}
