package draft

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/receipt"
)

// probePoint identifies a point in the processing of a draft at which tests inject
// faults.
type probePoint string

// The points at which a test can stop an instance.
const (
	beforeAcceptance probePoint = "before the acceptance"
	afterAcceptance  probePoint = "accepted"
	beforeRun        probePoint = "before the run"
	beforeResult     probePoint = "before the result"
	afterResult      probePoint = "result recorded"
	beforeAdoption   probePoint = "before the adoption"
	beforeDelivery   probePoint = "before the delivery"
	afterDelivery    probePoint = "delivery recorded"
)

// errNotOwner means that the draft has another owner or epoch, a result, or is unknown.
var errNotOwner = errors.New("fenced: this instance doesn't own the draft")

// runDraft runs a draft once. If it gets no result, the control loop runs it again.
func (m *Manager) runDraft(a startAction) {
	ctx, cancel := m.withTimeout(context.Background(), millis(m.deps.Config.LifetimeMS))
	defer cancel()
	m.mu.Lock()
	m.running[a.draftID].cancel = cancel
	m.cancelIfFenced(a.draftID)
	m.mu.Unlock()
	err := m.runOnce(ctx, a)
	if err != nil && !errors.Is(err, errNotOwner) {
		log.Warn().Str("step", "run").Str("request", a.draftID.String()).Err(err).Msg("draft run failed, will retry")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, a.draftID)
	delete(m.retryAt, a.draftID)
	if err != nil && !errors.Is(err, errNotOwner) {
		m.retryAt[a.draftID] = time.Now().Add(millis(m.deps.Config.RetryMS))
	}
}

func (m *Manager) runOnce(ctx context.Context, a startAction) error {
	d, err := m.currentDraft(a)
	if err != nil {
		return err
	}
	payload, err := m.loadRequest(ctx, a.draftID, d.accepted)
	if err != nil {
		return err
	}
	req, err := decodeRequest(payload)
	if err != nil {
		return m.recordResult(ctx, a, "", receipt.Reason{Code: receipt.CodeInvalidRequest, Step: receipt.StepMatch})
	}
	req.ID = a.draftID.String()
	req.Epoch = a.epoch
	m.probe(beforeRun)
	runCtx, cancel := context.WithTimeout(ctx, millis(m.deps.Config.RunTimeoutMS))
	defer cancel()
	outcome, text := m.deps.Runner.Run(runCtx, req)
	m.probe(beforeResult)
	if _, err := m.currentDraft(a); err != nil {
		return err
	}
	return m.handleOutcome(ctx, a, outcome, text)
}

// loadRequest returns the request of a draft, from memory if it is loaded there.
func (m *Manager) loadRequest(ctx context.Context, draftID id, accepted *draftpb.Accepted) ([]byte, error) {
	m.mu.Lock()
	l, ok := m.loaded[draftID]
	m.mu.Unlock()
	if ok {
		return l.payload, nil
	}
	payload, err := m.loadBlob(ctx, draftID, accepted.GetRequest())
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loadedBytes()+len(payload) <= m.deps.Config.MaxMemoryBytes {
		m.loaded[draftID] = loadedDraft{
			accepted: accepted,
			payload:  payload,
		}
	}
	return payload, nil
}

// loadedBytes returns the total size of the requests in loaded.
func (m *Manager) loadedBytes() int {
	n := 0
	for _, l := range m.loaded {
		n += len(l.payload)
	}
	return n
}

// currentDraft returns a copy of the draft, or errNotOwner if this instance no longer
// owns it in the epoch of the action.
func (m *Manager) currentDraft(a startAction) (draft, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.table.drafts[a.draftID]
	if d == nil || d.result != nil || d.owner != m.deps.Instance || d.epoch != a.epoch {
		return draft{}, errNotOwner
	}
	return *d, nil
}

// handleOutcome records the answer or the permanent failure of a run. Other failures
// are returned as an error, so that the draft runs again: a generation may be repeated.
func (m *Manager) handleOutcome(ctx context.Context, a startAction, outcome receipt.Outcome, text string) error {
	var reason receipt.Reason
	switch outcome := outcome.(type) {
	case receipt.Answered:
		return m.recordResult(ctx, a, text, receipt.Reason{})
	case receipt.NotRun:
		reason = outcome.Reason()
	case receipt.Unknown:
		reason = outcome.Reason()
	case receipt.Cut:
		reason = outcome.Reason
	}
	if isPermanent(reason.Code) {
		return m.recordResult(ctx, a, "", reason)
	}
	return fmt.Errorf("run: %w", reason)
}

// isPermanent reports whether another run would fail in the same way.
func isPermanent(code receipt.Code) bool {
	switch code {
	case receipt.CodeInvalidRequest, receipt.CodeNotFound, receipt.CodeForbidden, receipt.CodeTooLarge:
		return true
	}
	return false
}

// recordResult retries to append the result until it is in the log or this instance no
// longer owns the draft.
func (m *Manager) recordResult(ctx context.Context, a startAction, text string, reason receipt.Reason) error {
	for {
		if _, err := m.currentDraft(a); err != nil {
			return nil
		}
		if err := m.appendResult(ctx, a, text, reason); err == nil {
			m.probe(afterResult)
			return nil
		}
		if !sleep(ctx, appendRetryInterval) {
			return ctx.Err()
		}
	}
}

func (m *Manager) appendResult(ctx context.Context, a startAction, text string, reason receipt.Reason) error {
	blob, err := m.storeBlob(ctx, a.draftID, []byte(text))
	if err != nil {
		return err
	}
	raw, err := encodeRecord(a.draftID, &draftpb.Record{Body: &draftpb.Record_Result{Result: &draftpb.Result{
		Epoch: a.epoch,
		Text:  blob,
		Code:  string(reason.Code),
		Step:  string(reason.Step),
	}}})
	if err != nil {
		return err
	}
	_, err = m.batcher.Submit(ctx, raw)
	return err
}

// storeBlobsAgain returns a copy of a snapshot whose payloads have been appended to the
// log again.
func (m *Manager) storeBlobsAgain(ctx context.Context, draftID id, snapshot *draftpb.Kept) (*draftpb.Kept, error) {
	updated := proto.CloneOf(snapshot)
	if request := updated.GetAccepted().GetRequest(); len(request.GetParts()) > 0 {
		payload, err := m.loadRequest(ctx, draftID, snapshot.GetAccepted())
		if err != nil {
			return nil, err
		}
		if updated.Accepted.Request, err = m.storeBlob(ctx, draftID, payload); err != nil {
			return nil, err
		}
	}
	if text := updated.GetResult().GetText(); len(text.GetParts()) > 0 {
		payload, err := m.loadBlob(ctx, draftID, text)
		if err != nil {
			return nil, err
		}
		if updated.Result.Text, err = m.storeBlob(ctx, draftID, payload); err != nil {
			return nil, err
		}
	}
	return updated, nil
}
