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

// State returns the state of a caller's draft, or false if the caller has no such
// draft. A draft is pending if it can't be looked up because the log is unavailable.
func (m *Manager) State(caller, idText string) (State, bool) {
	ctx, cancel := m.withTimeout(context.Background(), millis(m.deps.Config.AcceptTimeoutMS))
	defer cancel()
	d, err := m.lookUp(ctx, caller, idText)
	switch {
	case err != nil:
		return StatePending, true
	case d == nil:
		return "", false
	case len(d.delivered) > 0:
		return StateCollected, true
	case d.result != nil:
		return StateReady, true
	}
	return StatePending, true
}

// lookUp returns a copy of a caller's draft, or nil if there is none. If the id is
// unknown, the log is first read to its end.
func (m *Manager) lookUp(ctx context.Context, caller, idText string) (*draft, error) {
	draftID, ok := parseID(idText)
	if !ok {
		return nil, nil
	}
	d, known := m.find(draftID)
	if !known {
		if err := m.batcher.Follower().Refresh(ctx); err != nil {
			return nil, err
		}
		d, _ = m.find(draftID)
	}
	if d == nil || d.accepted.GetCaller() != caller {
		return nil, nil
	}
	return d, nil
}

// find returns a copy of a draft in memory. Known is also set, with a nil draft, for a
// withdrawn id.
func (m *Manager) find(draftID id) (d *draft, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d := m.table.drafts[draftID]; d != nil {
		copied := *d
		return &copied, true
	}
	if h := m.held[draftID]; h != nil {
		return &draft{
			id:       draftID,
			accepted: h.accepted,
		}, true
	}
	return nil, m.table.isKnown(draftID)
}

// Collect returns the answer of a caller's draft to the first collection key that asks
// for it. Requests with the same key get the same answer again. Other keys get
// receipt.CodeKeyConflict.
func (m *Manager) Collect(ctx context.Context, caller, idText, key string) receipt.Outcome {
	unsent := receipt.NewAttempt(idText)
	ctx, cancel := m.withTimeout(ctx, millis(m.deps.Config.AcceptTimeoutMS))
	defer cancel()
	d, err := m.lookUp(ctx, caller, idText)
	switch {
	case err != nil:
		return unsent.Send().Unknown(newReason(receipt.CodeLogUnavailable, receipt.StepDeliver, err))
	case d == nil:
		return unsent.Refuse(newReason(receipt.CodeNotFound, receipt.StepDeliver, errUnknownDraft))
	case d.result == nil:
		return unsent.Send().Unknown(newReason(receipt.CodeInProgress, receipt.StepDeliver, errPending))
	case d.result.GetCode() != "":
		return unsent.Send().Unknown(receipt.Reason{
			Code: receipt.Code(d.result.GetCode()),
			Step: receipt.Step(d.result.GetStep()),
		})
	}
	return m.deliver(ctx, unsent.Send(), d, digestCollectKey(d.id, key))
}

// deliver returns the answer if the first delivery record in the log has this digest.
func (m *Manager) deliver(ctx context.Context, sent receipt.Sent, d *draft, digest []byte) receipt.Outcome {
	if len(d.delivered) == 0 {
		if err := m.recordDelivery(ctx, d.id, digest); err != nil {
			return sent.Unknown(newReason(receipt.CodeLogUnavailable, receipt.StepDeliver, err))
		}
	}
	won := m.hasDelivery(d.id, digest)
	if !won && !mutation.Off(mutation.DeliveryRecord) {
		return sent.Unknown(newReason(receipt.CodeKeyConflict, receipt.StepDeliver, errCollected))
	}
	answer, err := m.loadBlob(ctx, d.id, d.result.GetText())
	if err != nil {
		return sent.Unknown(newReason(receipt.CodeLogUnavailable, receipt.StepDeliver, err))
	}
	invariant.Check(won, invariant.DeliveredOnce, "draft %s handed out to a second collection", d.id)
	return receipt.Answered{
		Status:      http.StatusOK,
		ContentType: contentType,
		Body:        answer,
	}
}

func (m *Manager) recordDelivery(ctx context.Context, draftID id, digest []byte) error {
	m.probe(beforeDelivery)
	raw, err := encodeRecord(draftID, &draftpb.Record{Body: &draftpb.Record_Delivered{Delivered: &draftpb.Delivered{Key: digest}}})
	if err != nil {
		return err
	}
	_, err = m.batcher.Submit(ctx, raw)
	m.probe(afterDelivery)
	return err
}

// hasDelivery reports whether the delivery record with the lowest offset has this
// digest.
func (m *Manager) hasDelivery(draftID id, digest []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.table.drafts[draftID]
	return d != nil && bytes.Equal(d.delivered, digest)
}
