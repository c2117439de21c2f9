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

// Version is the version of an accepted document, which is the offset of its
// record in the documents stream.
type Version int64

// NoVersion is the version before any document has been accepted.
const NoVersion Version = -1

// historyLength is the maximum number of accepted documents in a snapshot's
// history.
const historyLength = 64

// Accepted identifies an accepted document.
type Accepted struct {
	Version  Version `json:"version"`
	RecordID string  `json:"record_id"`
	Digest   string  `json:"digest"`
	Base     string  `json:"base"`
}

// Snapshot is the state of the documents stream after the records up to an
// offset. Since the stream is append-only, a correct snapshot stays valid
// however late it is received.
type Snapshot struct {
	// AsOf is the offset of the last applied record, -1 for none.
	AsOf ledger.Offset
	// History lists the newest accepted documents, oldest first.
	History []Accepted
	// Document is the content of the last entry of History.
	Document Document
}

// Newest returns the identity of the newest accepted document, with NoVersion
// if there is none.
func (s Snapshot) Newest() Accepted { return newestOf(s.History) }

func newestOf(history []Accepted) Accepted {
	if len(history) == 0 {
		return Accepted{Version: NoVersion}
	}
	return history[len(history)-1]
}

// recordBody is the decoded body of a record: a proposal or a snapshot.
type recordBody interface{ isRecordBody() }

// proposal holds a document in compressed form. It is decoded lazily, since a
// new reader does not need the documents of most records.
type proposal struct {
	id         string
	compressed []byte
}

type snapshotRecord struct{ body *planpb.Snapshot }

func (proposal) isRecordBody()       {}
func (snapshotRecord) isRecordBody() {}

var errMalformedRecord = errors.New("malformed record")

// EncodeProposal returns the record payload that publishes a document.
func EncodeProposal(id string, document Document) ([]byte, error) {
	packed, err := compressDocument(document)
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

func encodeSnapshot(id string, snapshot Snapshot) ([]byte, error) {
	body, err := snapshot.toProto()
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

func decodeRecord(payload []byte) (recordBody, error) {
	var record planpb.Record
	if err := proto.Unmarshal(payload, &record); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedRecord, err)
	}
	switch body := record.GetBody().(type) {
	case *planpb.Record_Proposal:
		return proposal{
			id:         record.GetId(),
			compressed: body.Proposal.GetDocument(),
		}, nil
	case *planpb.Record_Snapshot:
		return snapshotRecord{body: body.Snapshot}, nil
	}
	return nil, fmt.Errorf("%w: neither proposal nor snapshot", errMalformedRecord)
}

// decode decompresses and validates the document.
func (p proposal) decode() (Document, []Finding, error) {
	raw, err := decompressDocument(p.compressed)
	if err != nil {
		return Document{}, nil, err
	}
	document, findings := Validate(raw)
	return document, findings, nil
}

func (s Snapshot) toProto() (*planpb.Snapshot, error) {
	body := &planpb.Snapshot{AsOf: int64(s.AsOf)}
	for _, accepted := range s.History {
		body.History = append(body.History, &planpb.Accepted{
			Version:  int64(accepted.Version),
			RecordId: accepted.RecordID,
			Digest:   accepted.Digest,
			Base:     accepted.Base,
		})
	}
	if len(s.History) == 0 {
		return body, nil
	}
	packed, err := compressDocument(s.Document)
	if err != nil {
		return nil, err
	}
	body.Document = packed
	return body, nil
}

// decodeSnapshot decodes a snapshot and verifies that its history is consistent
// and its document matches the newest digest.
func decodeSnapshot(body *planpb.Snapshot) (Snapshot, error) {
	snapshot, err := decodeSnapshotHistory(body)
	if err != nil || len(snapshot.History) == 0 {
		return snapshot, err
	}
	raw, err := decompressDocument(body.GetDocument())
	if err != nil {
		return Snapshot{}, err
	}
	document, findings := Validate(raw)
	if len(findings) > 0 {
		return Snapshot{}, fmt.Errorf("%w: document of snapshot: %w", errMalformedRecord, newInvalidError(findings...))
	}
	snapshot.Document = document
	if digest := document.Digest(); digest != snapshot.Newest().Digest {
		return Snapshot{}, fmt.Errorf("%w: document of snapshot has digest %s, history has %s", errMalformedRecord, digest, snapshot.Newest().Digest)
	}
	return snapshot, nil
}

// decodeSnapshotHistory decodes a snapshot without its document and verifies
// the history.
func decodeSnapshotHistory(body *planpb.Snapshot) (Snapshot, error) {
	snapshot := Snapshot{
		AsOf:     ledger.Offset(body.GetAsOf()),
		Document: emptyDocument(),
	}
	for _, accepted := range body.GetHistory() {
		snapshot.History = append(snapshot.History, Accepted{
			Version:  Version(accepted.GetVersion()),
			RecordID: accepted.GetRecordId(),
			Digest:   accepted.GetDigest(),
			Base:     accepted.GetBase(),
		})
	}
	return snapshot, checkHistory(snapshot)
}

// checkHistory verifies that each document is based on the previous one and
// that versions increase up to the snapshot's offset at most.
func checkHistory(snapshot Snapshot) error {
	previous := Accepted{Version: NoVersion}
	for i, accepted := range snapshot.History {
		if accepted.Version <= previous.Version || accepted.Version > Version(snapshot.AsOf) {
			return fmt.Errorf("%w: history is out of order at version %d", errMalformedRecord, accepted.Version)
		}
		if i > 0 && accepted.Base != previous.Digest {
			return fmt.Errorf("%w: version %d is not based on version %d", errMalformedRecord, accepted.Version, previous.Version)
		}
		previous = accepted
	}
	return nil
}

func compressDocument(document Document) ([]byte, error) {
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

func decompressDocument(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress: %w", errMalformedRecord, err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: decompress: %w", errMalformedRecord, err)
	}
	return raw, nil
}
