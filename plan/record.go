package plan

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan/planpb"
)

// Version is the offset of the record that brought a document.
type Version int64

// NoVersion is the version while no document has been accepted.
const NoVersion Version = -1

// historyLength is the number of accepted documents that a claim names.
const historyLength = 64

// Accepted names an accepted document.
type Accepted struct {
	Version  Version `json:"version"`
	RecordID string  `json:"record_id"`
	Digest   string  `json:"digest"`
	Base     string  `json:"base"`
}

// Snapshot tells which document was accepted once the records up to an offset had
// been read. An honest claim stays true for ever, however late it arrives.
type Snapshot struct {
	// AsOf is the offset of the last record read, -1 for none.
	AsOf ledger.Offset
	// History lists the newest accepted documents, oldest first.
	History []Accepted
	// Document belongs to the last entry of History.
	Document Document
}

// Newest returns the claimed document's name, with NoVersion for none.
func (c Snapshot) Newest() Accepted { return newestOf(c.History) }

func newestOf(history []Accepted) Accepted {
	if len(history) == 0 {
		return Accepted{Version: NoVersion}
	}
	return history[len(history)-1]
}

// content is the decoded payload of a record: a proposal or a snapshot.
type content interface{ isContent() }

// proposal is a document that hasn't been decoded yet, since most records that
// a fresh reader meets need not be.
type proposal struct {
	id     string
	packed []byte
}

type snapshot struct{ body *planpb.Snapshot }

func (proposal) isContent() {}
func (snapshot) isContent() {}

var errRecord = errors.New("record not understood")

// EncodeProposal makes the payload that publishes a document.
func EncodeProposal(id string, document Document) ([]byte, error) {
	packed, err := pack(document)
	if err != nil {
		return nil, fmt.Errorf("encode proposal %s: %w", id, err)
	}
	return proto.Marshal(&planpb.Record{
		Id: id,
		Body: &planpb.Record_Proposal{
			Proposal: &planpb.Proposal{Document: packed},
		},
	})
}

func encodeSnapshot(id string, claim Snapshot) ([]byte, error) {
	body, err := claim.toProto()
	if err != nil {
		return nil, fmt.Errorf("encode snapshot %s: %w", id, err)
	}
	return proto.Marshal(&planpb.Record{
		Id: id,
		Body: &planpb.Record_Snapshot{
			Snapshot: body,
		},
	})
}

func decodeRecord(payload []byte) (content, error) {
	var record planpb.Record
	if err := proto.Unmarshal(payload, &record); err != nil {
		return nil, fmt.Errorf("%w: %w", errRecord, err)
	}
	switch body := record.GetBody().(type) {
	case *planpb.Record_Proposal:
		return proposal{
			id:     record.GetId(),
			packed: body.Proposal.GetDocument(),
		}, nil
	case *planpb.Record_Snapshot:
		return snapshot{body: body.Snapshot}, nil
	}
	return nil, fmt.Errorf("%w: neither proposal nor snapshot", errRecord)
}

// decode reads and checks the proposal's document.
func (p proposal) decode() (Document, []Finding, error) {
	raw, err := unpack(p.packed)
	if err != nil {
		return Document{}, nil, err
	}
	document, findings := Validate(raw)
	return document, findings, nil
}

func (c Snapshot) toProto() (*planpb.Snapshot, error) {
	body := &planpb.Snapshot{AsOf: int64(c.AsOf)}
	for _, accepted := range c.History {
		body.History = append(body.History, &planpb.Accepted{
			Version:  int64(accepted.Version),
			RecordId: accepted.RecordID,
			Digest:   accepted.Digest,
			Base:     accepted.Base,
		})
	}
	if len(c.History) == 0 {
		return body, nil
	}
	packed, err := pack(c.Document)
	if err != nil {
		return nil, err
	}
	body.Document = packed
	return body, nil
}

// claimOf decodes a claim and checks that it agrees with itself.
func claimOf(body *planpb.Snapshot) (Snapshot, error) {
	claim, err := claimWithoutDocument(body)
	if err != nil || len(claim.History) == 0 {
		return claim, err
	}
	raw, err := unpack(body.GetDocument())
	if err != nil {
		return Snapshot{}, err
	}
	document, findings := Validate(raw)
	if len(findings) > 0 {
		return Snapshot{}, fmt.Errorf("%w: claimed document: %w", errRecord, invalid(findings...))
	}
	claim.Document = document
	if digest := document.Digest(); digest != claim.Newest().Digest {
		return Snapshot{}, fmt.Errorf("%w: claimed document has digest %s, claim names %s", errRecord, digest, claim.Newest().Digest)
	}
	return claim, nil
}

func claimWithoutDocument(body *planpb.Snapshot) (Snapshot, error) {
	claim := Snapshot{
		AsOf:     ledger.Offset(body.GetAsOf()),
		Document: emptyDocument(),
	}
	for _, accepted := range body.GetHistory() {
		claim.History = append(claim.History, Accepted{
			Version:  Version(accepted.GetVersion()),
			RecordID: accepted.GetRecordId(),
			Digest:   accepted.GetDigest(),
			Base:     accepted.GetBase(),
		})
	}
	return claim, checkHistory(claim)
}

// checkHistory checks that each document of the history is based on the one
// before and that versions grow up to the claim's offset.
func checkHistory(claim Snapshot) error {
	previous := Accepted{Version: NoVersion}
	for i, accepted := range claim.History {
		if accepted.Version <= previous.Version || accepted.Version > Version(claim.AsOf) {
			return fmt.Errorf("%w: history is out of order at version %d", errRecord, accepted.Version)
		}
		if i > 0 && accepted.Base != previous.Digest {
			return fmt.Errorf("%w: version %d is not based on version %d", errRecord, accepted.Version, previous.Version)
		}
		previous = accepted
	}
	return nil
}

func pack(document Document) ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if _, err := w.Write(document.compact()); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return buffer.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress: %w", errRecord, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress: %w", errRecord, err)
	}
	return raw, nil
}
