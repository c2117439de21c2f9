package draft

import (
	"bytes"
	"context"
	"net/http"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/mutation"
	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/receipt"
)

// contentType is the media type of a draft's answer.
const contentType = "text/plain; charset=utf-8"

// State tells how far a caller's draft is; false if the caller has no such
// draft. A draft that can't be looked up while the log is away counts as
// pending.
func (d *Manager) State(caller, text string) (State, bool) {
	ctx, cancel := d.bounded(context.Background(), millis(d.deps.Config.AcceptTimeoutMS))
	defer cancel()
	found, err := d.lookUp(ctx, caller, text)
	switch {
	case err != nil:
		return StatePending, true
	case found == nil:
		return "", false
	case len(found.delivered) > 0:
		return StateCollected, true
	case found.result != nil:
		return StateReady, true
	}
	return StatePending, true
}

// lookUp returns a copy of a caller's draft, nil if there is none. It reads the
// log up to now before it says so.
func (d *Manager) lookUp(ctx context.Context, caller, text string) (*draft, error) {
	key, ok := parseID(text)
	if !ok {
		return nil, nil
	}
	found, known := d.find(key)
	if !known {
		if err := d.batcher.Follower().Refresh(ctx); err != nil {
			return nil, err
		}
		found, _ = d.find(key)
	}
	if found == nil || found.accepted.GetCaller() != caller {
		return nil, nil
	}
	return found, nil
}

// find returns what this instance knows of a draft.
func (d *Manager) find(key id) (found *draft, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if found := d.table.drafts[key]; found != nil {
		copied := *found
		return &copied, true
	}
	if h := d.held[key]; h != nil {
		return &draft{
			id:       key,
			accepted: h.accepted,
		}, true
	}
	return nil, d.table.knows(key)
}

// Collect returns the answer of a caller's draft to the first key that asks
// for it. The same key gets the same answer again; another one is told that
// the draft was collected.
func (d *Manager) Collect(ctx context.Context, caller, text, key string) receipt.Outcome {
	unsent := receipt.NewAttempt(text)
	ctx, cancel := d.bounded(ctx, millis(d.deps.Config.AcceptTimeoutMS))
	defer cancel()
	found, err := d.lookUp(ctx, caller, text)
	switch {
	case err != nil:
		return unsent.Send().Unknown(reasonOf(receipt.CodeLogUnavailable, receipt.StepDeliver, err))
	case found == nil:
		return unsent.Refuse(reasonOf(receipt.CodeNotFound, receipt.StepDeliver, errUnknownDraft))
	case found.result == nil:
		return unsent.Send().Unknown(reasonOf(receipt.CodeInProgress, receipt.StepDeliver, errPending))
	case found.result.GetCode() != "":
		return unsent.Send().Unknown(receipt.Reason{
			Code: receipt.Code(found.result.GetCode()),
			Step: receipt.Step(found.result.GetStep()),
		})
	}
	return d.deliver(ctx, unsent.Send(), found, keyDigest(found.id, key))
}

// deliver hands the answer out once a delivery record with this digest has won.
func (d *Manager) deliver(ctx context.Context, sent receipt.Sent, found *draft, digest []byte) receipt.Outcome {
	if len(found.delivered) == 0 {
		if err := d.recordDelivery(ctx, found.id, digest); err != nil {
			return sent.Unknown(reasonOf(receipt.CodeLogUnavailable, receipt.StepDeliver, err))
		}
	}
	won := d.hasDelivery(found.id, digest)
	if !won && !mutation.Off(mutation.DeliveryRecord) {
		return sent.Unknown(reasonOf(receipt.CodeKeyConflict, receipt.StepDeliver, errCollected))
	}
	answer, err := d.load(ctx, found.id, found.result.GetText())
	if err != nil {
		return sent.Unknown(reasonOf(receipt.CodeLogUnavailable, receipt.StepDeliver, err))
	}
	invariant.Check(won, invariant.AnsweredOnce, "draft %s handed out to a second collection", found.id)
	return receipt.Answered{
		Status:      http.StatusOK,
		ContentType: contentType,
		Body:        answer,
	}
}

func (d *Manager) recordDelivery(ctx context.Context, key id, digest []byte) error {
	d.probe(stepDeliver)
	raw, err := encode(key, &draftpb.Record{Body: &draftpb.Record_Delivered{Delivered: &draftpb.Delivered{Key: digest}}})
	if err != nil {
		return err
	}
	_, err = d.batcher.Submit(ctx, raw)
	d.probe(stepDelivered)
	return err
}

// hasDelivery tells whether the delivery record with the lowest offset has
// this digest.
func (d *Manager) hasDelivery(key id, digest []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.table.drafts[key]
	return found != nil && bytes.Equal(found.delivered, digest)
}
