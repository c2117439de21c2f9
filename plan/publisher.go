package plan

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/ledger"
)

// Limits of the exponential backoff between attempts.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Publisher publishes documents to the log and determines their outcomes.
type Publisher struct {
	log      ledger.Log
	follower *Follower
}

// NewPublisher returns a publisher. The follower must be running while the
// publisher is used.
func NewPublisher(log ledger.Log, follower *Follower) *Publisher {
	return &Publisher{
		log:      log,
		follower: follower,
	}
}

// publication is the state of publishing one document.
type publication struct {
	publisher *Publisher
	id        string
	document  Document
	payload   []byte
	// maybeAppended is set once an append may have succeeded.
	maybeAppended bool
	err           error
}

// NewRecordID returns a unique record id for a publication.
func NewRecordID() string { return uuid.NewString() }

// Publish publishes a document with a new record id; see PublishAs.
func (p *Publisher) Publish(ctx context.Context, document Document) Outcome {
	return p.PublishAs(ctx, NewRecordID(), document)
}

// PublishAs publishes a document and returns the outcome. It retries until the
// outcome is known or the context is done. The record id must be unique to the
// publication. Publishing the same document with the same id again returns the
// same outcome.
func (p *Publisher) PublishAs(ctx context.Context, recordID string, document Document) Outcome {
	return p.publish(ctx, publication{
		publisher: p,
		id:        recordID,
		document:  document,
	})
}

// Resume determines the outcome of an earlier publication that may have been
// appended. It appends the same record again if necessary. This is safe because
// at most one record per base is accepted.
func (p *Publisher) Resume(ctx context.Context, recordID string, document Document) Outcome {
	return p.publish(ctx, publication{
		publisher:     p,
		id:            recordID,
		document:      document,
		maybeAppended: true,
	})
}

func (p *Publisher) publish(ctx context.Context, publication publication) Outcome {
	findings := publication.document.Validate()
	payload, err := EncodeProposal(publication.id, publication.document)
	if len(findings) > 0 || err != nil {
		return Refused{
			RecordID: publication.id,
			Reason:   RefusedInvalid,
			Findings: findings,
			Current:  p.follower.State().Newest(),
			Err:      err,
		}
	}
	publication.payload = payload
	return publication.run(ctx)
}

func (p *publication) run(ctx context.Context) Outcome {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		if outcome := p.attempt(ctx); outcome != nil {
			return outcome
		}
		if !sleep(ctx, delay/2+jitter(delay)) {
			return p.undecidedOutcome()
		}
	}
}

// attempt catches up with the log, appends the record if its outcome is still
// unknown, and catches up again. It returns nil if another attempt is needed.
func (p *publication) attempt(ctx context.Context) Outcome {
	if err := p.publisher.follower.Sync(ctx); err != nil {
		return p.handleError(err)
	}
	if outcome := p.outcomeFromHistory(); outcome != nil {
		return outcome
	}
	if !p.publisher.follower.State().IsComplete() {
		return p.handleError(errIncomplete)
	}
	if err := p.append(ctx); err != nil && !p.maybeAppended {
		return p.handleError(err)
	}
	if err := p.publisher.follower.Sync(ctx); err != nil {
		return p.handleError(err)
	}
	return p.outcomeFromHistory()
}

var (
	errIncomplete  = errors.New("the log has a gap before the newest records; waiting for a snapshot")
	errUnknownBase = errors.New("the base is not among the most recently accepted documents")
)

func (p *publication) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.publisher.log.Append(ctx, ledger.StreamDocuments, p.payload)
	if err == nil {
		p.maybeAppended = true
		p.err = nil
		return nil
	}
	p.err = fmt.Errorf("append document: %w", err)
	if !errors.Is(err, ledger.ErrRefused) && !errors.Is(err, ledger.ErrUnavailable) {
		p.maybeAppended = true
	}
	return p.err
}

// handleError records an error. It ends the publication if no append can have
// succeeded and returns nil for another attempt otherwise.
func (p *publication) handleError(err error) Outcome {
	p.err = err
	if p.maybeAppended {
		return nil
	}
	return p.undecidedOutcome()
}

// undecidedOutcome returns the outcome of a publication whose result has not
// been read from the log.
func (p *publication) undecidedOutcome() Outcome {
	if p.maybeAppended {
		return Unresolved{
			RecordID: p.id,
			Err:      p.err,
		}
	}
	return Refused{
		RecordID: p.id,
		Reason:   RefusedUnavailable,
		Current:  p.publisher.follower.State().Newest(),
		Err:      p.err,
	}
}

// outcomeFromHistory returns the outcome if the history determines it. At most
// one document is accepted on each base, so any document accepted on this base
// decides. It returns nil if the base is still the newest document.
func (p *publication) outcomeFromHistory() Outcome {
	snapshot := p.publisher.follower.State().Snapshot()
	for _, accepted := range snapshot.History {
		if accepted.Base != p.document.Base {
			continue
		}
		if accepted.RecordID == p.id {
			return Published{
				RecordID: p.id,
				Accepted: accepted,
			}
		}
		return p.refuseBaseMoved(snapshot)
	}
	if p.document.Base == snapshot.Newest().Digest {
		return nil
	}
	if p.maybeAppended {
		return Unresolved{
			RecordID: p.id,
			Err:      errUnknownBase,
		}
	}
	return p.refuseBaseMoved(snapshot)
}

func (p *publication) refuseBaseMoved(snapshot Snapshot) Outcome {
	return Refused{
		RecordID: p.id,
		Reason:   RefusedBaseMoved,
		Current:  snapshot.Newest(),
		Document: snapshot.Document,
	}
}
