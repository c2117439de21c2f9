package order

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/order/orderpb"
	"github.com/balsamlock/balsamlock/receipt"
)

// claim is one attempt to own a key.
type claim struct {
	key    keyHash
	issued time.Time
	id     uint64
	digest uint64
	// lease is the time from the append of the claim within which the owner finishes the
	// work.
	lease time.Duration
}

func (c claim) newRecord() *orderpb.Record {
	return &orderpb.Record{
		Key:    c.key[:],
		Claim:  c.id,
		Issued: c.issued.UnixMilli(),
	}
}

func (c claim) encode() ([]byte, error) {
	record := c.newRecord()
	record.Body = &orderpb.Record_Claimed{
		Claimed: &orderpb.Claim{
			Digest:  c.digest,
			LeaseMs: uint32(c.lease.Milliseconds()),
		},
	}
	return marshal(record)
}

// encodeOutcome encodes the record of the claim's outcome.
func (c claim) encodeOutcome(outcome receipt.Outcome, maxBody int) ([]byte, error) {
	record := c.newRecord()
	switch outcome := outcome.(type) {
	case receipt.Answered:
		record.Body = &orderpb.Record_Done{Done: newDone(outcome, maxBody)}
	case receipt.NotRun:
		return c.encodeRelease()
	case receipt.Unknown:
		record.Body = newUnknown(outcome.Reason())
	case receipt.Cut:
		record.Body = newUnknown(outcome.Reason)
	}
	return marshal(record)
}

// encodeRelease encodes the record that releases the key.
func (c claim) encodeRelease() ([]byte, error) {
	record := c.newRecord()
	record.Body = &orderpb.Record_Released{Released: &orderpb.Release{}}
	return marshal(record)
}

func newDone(answer receipt.Answered, maxBody int) *orderpb.Done {
	done := &orderpb.Done{
		Status:      uint32(answer.Status),
		ContentType: answer.ContentType,
	}
	if len(answer.Body) > maxBody {
		done.TooLarge = true
		return done
	}
	done.Body = answer.Body
	return done
}

func newUnknown(reason receipt.Reason) *orderpb.Record_Unknown {
	return &orderpb.Record_Unknown{
		Unknown: &orderpb.Unknown{
			Code: string(reason.Code),
			Step: string(reason.Step),
		},
	}
}

func marshal(record *orderpb.Record) ([]byte, error) {
	raw, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode order record: %w", err)
	}
	return raw, nil
}

func decode(raw []byte) (*orderpb.Record, error) {
	record := &orderpb.Record{}
	if err := proto.Unmarshal(raw, record); err != nil {
		return nil, fmt.Errorf("decode order record: %w", err)
	}
	if len(record.GetKey()) != len(keyHash{}) {
		return nil, fmt.Errorf("decode order record: key has %d bytes, want %d", len(record.GetKey()), len(keyHash{}))
	}
	return record, nil
}

// answerFrom returns the stored answer. It returns false if the answer was too large to
// be stored.
func answerFrom(done *orderpb.Done) (receipt.Answered, bool) {
	if done.GetTooLarge() {
		return receipt.Answered{}, false
	}
	return receipt.Answered{
		Status:      int(done.GetStatus()),
		ContentType: done.GetContentType(),
		Body:        done.GetBody(),
	}, true
}
