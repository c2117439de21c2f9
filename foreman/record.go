package foreman

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// Kind is the kind of a record.
type Kind string

// The kinds of records that this package writes to the control stream. It ignores records
// of other kinds.
const (
	KindClaim Kind = "engine_claim"
	KindClose Kind = "engine_close"
	KindDrain Kind = "engine_drain"
)

// Record is one record of the control stream.
type Record struct {
	Kind Kind `json:"kind"`
	// ID is unique. An issuer uses it to recognize its own records.
	ID string `json:"id"`
	// Server is the name of the backend server, and Issuer the ID of an instance.
	Server string `json:"server"`
	Issuer string `json:"issuer"`
	// Document is the offset of the document that a claim is based on.
	Document ledger.Offset `json:"document,omitempty"`
	// Order is the order that a claim is for, without a fencing token.
	Order *kiln.OrderRequest `json:"order,omitempty"`
	// Shared is set if the engine checks fencing tokens. The claim is then granted even if
	// another one is open.
	Shared bool `json:"shared,omitempty"`
	// Claim is the offset of the claim that a close record ends.
	Claim ledger.Offset `json:"claim,omitempty"`
}

// errOtherKind is returned for records that another package writes.
var errOtherKind = errors.New("control record: kind is not handled by the controller")

// Encode encodes the record as a payload of the control stream.
func (r Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("control record: encode: %w", err)
	}
	return raw, nil
}

// DecodeRecord decodes the payload of a record of the control stream.
func DecodeRecord(payload []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return Record{}, fmt.Errorf("control record: decode: %w", err)
	}
	switch r.Kind {
	case KindClaim, KindClose, KindDrain:
	default:
		return Record{}, errOtherKind
	}
	if r.ID == "" || r.Server == "" || r.Issuer == "" {
		return Record{}, errors.New("control record: id, server and issuer are required")
	}
	if r.Kind == KindClaim && r.Order == nil {
		return Record{}, errors.New("control record: a claim needs an order")
	}
	return r, nil
}
