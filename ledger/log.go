// Package ledger implements a client for the platform: its append-only log, its instance
// list and its weight store. The users' platform, to which package platform is an
// adapter, has a different API.
//
// # Usage
//
// If the result of an append is unknown, the writer must read the record back before it
// retries the append or reports a result. Batcher does this. Follower reads a stream from
// an offset, and restarts if the offsets have a gap.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Offset is the position of a record in a stream. Offsets start at 0 and are assigned
// without gaps.
type Offset int64

// Stream is the name of a stream of the log.
type Stream string

// The streams of the log.
const (
	StreamDocuments Stream = "documents"
	StreamOrders    Stream = "orders"
	StreamDrafts    Stream = "drafts"
	StreamControl   Stream = "control"
)

// Record is a record of a stream.
type Record struct {
	Offset Offset `json:"offset"`
	// At is the time of the append by the clock of the log.
	At      time.Time `json:"at"`
	Payload []byte    `json:"payload"`
}

// Page is the result of a read.
type Page struct {
	Records []Record `json:"records"`
	// Oldest is the oldest offset in the log.
	Oldest Offset `json:"oldest"`
	// End is the offset of the next append.
	End Offset `json:"end"`
}

var (
	// ErrRefused means that the log refused the append, which had no effect.
	ErrRefused = errors.New("append refused")
	// ErrUnavailable means that nothing was sent, because the platform couldn't be
	// reached, or that it reported itself unavailable.
	ErrUnavailable = errors.New("platform unavailable")
)

// Log is the platform's append-only log. An Append that returns an error other than
// ErrRefused and ErrUnavailable may have taken effect.
type Log interface {
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)
	// Read returns up to limit records, starting at the given offset. It doesn't wait for
	// new records.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Page, error)
}

// InstanceState is the state of an instance on the platform's instance list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// ListedInstance is an entry of the platform's instance list. The list holds entry
// instances and backend servers, and may be out of date.
type ListedInstance struct {
	// ID is the id of the instance. Each start has a new id.
	ID string `json:"id"`
	// Kind is "entry", "engine" or "service".
	Kind string `json:"kind"`
	// Name is the name of a backend server in the routing document. It is empty for entry
	// instances.
	Name       string        `json:"name,omitempty"`
	Address    string        `json:"address"`
	DataCentre string        `json:"data_centre"`
	State      InstanceState `json:"state"`
	// Incarnation increases with each start at the same address.
	Incarnation uint64 `json:"incarnation"`
}

// Check returns an error if the values can't be those of an instance.
func (i ListedInstance) Check() error {
	address, err := netip.ParseAddrPort(i.Address)
	switch {
	case err != nil:
		return fmt.Errorf("address: %w", err)
	case address.Port() == 0:
		return fmt.Errorf("address %q: port is 0", i.Address)
	case i.ID == "":
		return errors.New("id is empty")
	}
	return nil
}

// KindEntry is the kind of entry instances.
const KindEntry = "entry"

// Instances reads the platform's instance list.
type Instances interface {
	List(ctx context.Context) ([]ListedInstance, error)
}
