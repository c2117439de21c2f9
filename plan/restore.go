package plan

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/ledger"
)

// Restore begins the documents stream anew after every instance was gone for
// longer than the log's retention, so that nothing tells which document was
// accepted. It appends a snapshot of the document, which readers that know
// nothing adopt. A reader that knows a document refuses it: make sure first that
// no instance holds one.
//
// It is refused as base moved while the log itself tells the accepted document.
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
		return p.notLost(id)
	}
	err := p.appendClaim(ctx, id, state.Next()-1, document)
	return p.afterRestore(ctx, id, err)
}

func (p *Publisher) appendClaim(ctx context.Context, id string, asOf ledger.Offset, document Document) error {
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

// afterRestore reads back what became of the snapshot.
func (p *Publisher) afterRestore(ctx context.Context, id string, appendErr error) Outcome {
	err := p.follower.Sync(ctx)
	state := p.follower.State()
	switch {
	case state.Newest().RecordID == id:
		return Published{
			RecordID: id,
			Accepted: state.Newest(),
		}
	case err == nil && state.IsComplete():
		return p.notLost(id)
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

func (p *Publisher) notLost(id string) Outcome {
	claim := p.follower.State().Snapshot()
	return Refused{
		RecordID: id,
		Reason:   RefusedBaseMoved,
		Current:  claim.Newest(),
		Document: claim.Document,
	}
}
