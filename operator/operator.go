// Package operator implements the operators' HTTP endpoint of an instance and a client
// for it. The endpoint returns the status of the instance and drains the instance.
//
// # Usage
//
// An instance serves the endpoint at a separate address:
//
//	handler := operator.NewHandler(operator.HandlerDeps{
//		Key:    key,
//		Status: func() operator.Status { ... },
//		Drain:  func() { ... },
//	})
//
// A client calls it:
//
//	client := operator.NewClient(key, transport.NewClient())
//	status, err := client.Status(ctx, "10.0.0.1:9000")
package operator

import (
	"time"

	"github.com/balsamlock/balsamlock/plan"
)

// The paths of the endpoint.
const (
	PathStatus = "/operator/status"
	PathDrain  = "/operator/drain"
)

// Header is the name of the HTTP header that carries the operator key.
const Header = "X-Operator-Key"

// State is the state of an instance.
type State string

// The states of an instance.
const (
	// StateStarting means that the instance has no routing document yet.
	StateStarting State = "starting"
	StateServing  State = "serving"
	StateDraining State = "draining"
)

// Status is the status of an instance.
type Status struct {
	InstanceID string `json:"instance_id"`
	// Address is the instance's IP:port for peers.
	Address    string         `json:"address"`
	DataCentre string         `json:"data_centre"`
	State      State          `json:"state"`
	Document   DocumentStatus `json:"document"`
}

// DocumentStatus describes the routing document in force at an instance.
type DocumentStatus struct {
	// Version is -1 if no document is in force.
	Version  plan.Version `json:"version"`
	Digest   string       `json:"digest"`
	RecordID string       `json:"record_id"`
	// Since is the time at which the document came into force, by the clock of the instance.
	Since time.Time `json:"since"`
	// CaughtUp reports whether the instance has recently read the platform's log to
	// its end. If not, it gets newer documents only from peers.
	CaughtUp bool `json:"caught_up"`
	// Complete is false while records before the newest ones are missing.
	Complete bool `json:"complete"`
}

// maxReadAge is the maximum age of the last read of the log for which the instance
// counts as caught up.
const maxReadAge = 10 * time.Second

// DocumentStatusOf returns the status of the document that a follower has in force.
func DocumentStatusOf(follower *plan.Follower) DocumentStatus {
	status := DocumentStatus{
		Version:  plan.NoVersion,
		CaughtUp: follower.Stream().Fresh(time.Now(), maxReadAge),
		Complete: follower.State().IsComplete(),
	}
	if current := follower.Current(); current != nil {
		status.Version = current.Accepted.Version
		status.Digest = current.Accepted.Digest
		status.RecordID = current.Accepted.RecordID
		status.Since = current.Since
	}
	return status
}
