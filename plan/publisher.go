package plan

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/balsamlock/balsamlock/ledger"
)

// Pauses between two tries of an append whose answer was lost.
const (
	firstRetryPause = 100 * time.Millisecond
	maxRetryPause   = 2 * time.Second
)

// Publisher appends documents to the log and tells what became of each.
type Publisher struct {
	log      ledger.Log
	follower *Follower
}

// NewPublisher returns a publisher. The follower must be running.
func NewPublisher(log ledger.Log, follower *Follower) *Publisher {
	return &Publisher{
		log:      log,
		follower: follower,
	}
}

// publication is one document on its way.
type publication struct {
	publisher *Publisher
	id        string
	document  Document
	payload   []byte
	// sent is set once an append may have taken effect.
	sent bool
	err  error
}

// NewRecordID returns an id for a publication.
func NewRecordID() string { return uuid.NewString() }

// Publish appends a document under a new record id; see PublishAs.
func (p *Publisher) Publish(ctx context.Context, document Document) Outcome {
	return p.PublishAs(ctx, NewRecordID(), document)
}

// PublishAs appends a document and returns its one outcome. It tries until the
// outcome is known or the context ends. The record id is that of this
// publication alone: publishing the same document under it again tells the same
// outcome.
func (p *Publisher) PublishAs(ctx context.Context, recordID string, document Document) Outcome {
	return p.start(ctx, publication{
		publisher: p,
		id:        recordID,
		document:  document,
	})
}

// Resume asks again for the outcome of a publication that may have been sent.
// It appends the same record once more if need be: only one record on a base is
// ever accepted.
func (p *Publisher) Resume(ctx context.Context, recordID string, document Document) Outcome {
	return p.start(ctx, publication{
		publisher: p,
		id:        recordID,
		document:  document,
		sent:      true,
	})
}

func (p *Publisher) start(ctx context.Context, publication publication) Outcome {
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
	for pause := firstRetryPause; ; pause = min(2*pause, maxRetryPause) {
		if outcome := p.try(ctx); outcome != nil {
			return outcome
		}
		if !sleep(ctx, pause/2+spread(pause)) {
			return p.undecided()
		}
	}
}

// try reads what is known, appends the record if nothing is, and reads again.
// It returns nil for another try.
func (p *publication) try(ctx context.Context) Outcome {
	if err := p.publisher.follower.Sync(ctx); err != nil {
		return p.failed(err)
	}
	if outcome := p.decide(); outcome != nil {
		return outcome
	}
	if !p.publisher.follower.State().IsComplete() {
		return p.failed(errIncomplete)
	}
	if err := p.append(ctx); err != nil && !p.sent {
		return p.failed(err)
	}
	if err := p.publisher.follower.Sync(ctx); err != nil {
		return p.failed(err)
	}
	return p.decide()
}

var (
	errIncomplete  = errors.New("records are missing from the log before the newest; waiting for a snapshot")
	errUnknownBase = errors.New("the base is not among the newest accepted documents")
)

func (p *publication) append(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.publisher.log.Append(ctx, ledger.StreamDocuments, p.payload)
	if err == nil {
		p.sent = true
		p.err = nil
		return nil
	}
	p.err = fmt.Errorf("append document: %w", err)
	if !errors.Is(err, ledger.ErrRefused) && !errors.Is(err, ledger.ErrUnavailable) {
		p.sent = true
	}
	return p.err
}

// failed ends a publication of which nothing was sent and lets another try
// otherwise.
func (p *publication) failed(err error) Outcome {
	p.err = err
	if p.sent {
		return nil
	}
	return p.undecided()
}

// undecided is the outcome without a decision in the log.
func (p *publication) undecided() Outcome {
	if p.sent {
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

// decide finds the outcome in the accepted history: whichever document was
// accepted on the base, it is the only one.
func (p *publication) decide() Outcome {
	claim := p.publisher.follower.State().Snapshot()
	for _, accepted := range claim.History {
		if accepted.Base != p.document.Base {
			continue
		}
		if accepted.RecordID == p.id {
			return Published{
				RecordID: p.id,
				Accepted: accepted,
			}
		}
		return p.baseMoved(claim)
	}
	if p.document.Base == claim.Newest().Digest {
		return nil
	}
	if p.sent {
		return Unresolved{
			RecordID: p.id,
			Err:      errUnknownBase,
		}
	}
	return p.baseMoved(claim)
}

func (p *publication) baseMoved(claim Snapshot) Outcome {
	return Refused{
		RecordID: p.id,
		Reason:   RefusedBaseMoved,
		Current:  claim.Newest(),
		Document: claim.Document,
	}
}
