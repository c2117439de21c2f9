package plan

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/ledger"
)

// Restore restarts the documents stream after all instances were down for
// longer than the log's retention, so that the accepted document is neither in
// the log nor in any instance. It appends a snapshot with the document, which
// readers without a document adopt. Readers that hold a document reject the
// snapshot, so make sure first that no instance holds one.
//
// Restore is refused with RefusedBaseMoved if the accepted document can still
// be read from the log.
func (p *Publisher) Restore(ctx context.Context, document Document) Outcome {
	id := uuid.NewString()
	if findings := document.Validate(); len(findings) > 0 {
		return Refused{
			RecordID: id,
			Reason:   RefusedInvalid,
			Findings: findings,
		}
	}
	if err := p.follower.Sync(ctx); err != nil {
		return Refused{
			RecordID: id,
			Reason:   RefusedUnavailable,
			Err:      err,
		}
	}
	state := p.follower.State()
	if state.IsComplete() {
		return p.refuseRestore(id)
	}
	err := p.appendSnapshot(ctx, id, state.Next()-1, document)
	return p.restoreOutcome(ctx, id, err)
}

func (p *Publisher) appendSnapshot(ctx context.Context, id string, asOf ledger.Offset, document Document) error {
	payload, err := encodeSnapshot(id, Snapshot{
		AsOf: asOf,
		History: []Accepted{{
			Version:  Version(asOf),
			RecordID: id,
			Digest:   document.Digest(),
			Base:     document.Base,
		}},
		Document: document,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = p.log.Append(ctx, ledger.StreamDocuments, payload)
	return err
}

// restoreOutcome reads the log to determine whether the snapshot was adopted.
func (p *Publisher) restoreOutcome(ctx context.Context, id string, appendErr error) Outcome {
	err := p.follower.Sync(ctx)
	state := p.follower.State()
	switch {
	case state.Newest().RecordID == id:
		return Published{
			RecordID: id,
			Accepted: state.Newest(),
		}
	case err == nil && state.IsComplete():
		return p.refuseRestore(id)
	case errors.Is(appendErr, ledger.ErrRefused), errors.Is(appendErr, ledger.ErrUnavailable):
		return Refused{
			RecordID: id,
			Reason:   RefusedUnavailable,
			Err:      appendErr,
		}
	}
	return Unresolved{
		RecordID: id,
		Err:      fmt.Errorf("restore: %w", errors.Join(appendErr, err)),
	}
}

func (p *Publisher) refuseRestore(id string) Outcome {
	snapshot := p.follower.State().Snapshot()
	return Refused{
		RecordID: id,
		Reason:   RefusedBaseMoved,
		Current:  snapshot.Newest(),
		Document: snapshot.Document,
	}
}
