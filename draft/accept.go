package draft

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/receipt"
)

const (
	// maxAcceptAttempts bounds the attempts to append a draft while the log is
	// readable.
	maxAcceptAttempts = 3
	// maxHolders is the number of peers that hold a draft in memory. Fewer hold it if
	// there are fewer peers or some of them decline.
	maxHolders = 2
)

// Accept accepts a draft and returns its id once the draft is durable: it is in the log
// or, while the log is unavailable, in the memory of at least two instances. If the id
// is empty, the outcome reports whether the draft may still run.
func (m *Manager) Accept(ctx context.Context, req firing.Request) (string, receipt.Outcome) {
	unsent := receipt.NewAttempt(req.ID)
	payload, err := encodeRequest(req)
	if err != nil {
		return "", unsent.Refuse(newReason(receipt.CodeInvalidRequest, receipt.StepAdmit, err))
	}
	if len(payload) > m.deps.Config.MaxRequestBytes {
		return "", unsent.Refuse(newReason(receipt.CodeTooLarge, receipt.StepAdmit, errTooLarge))
	}
	if m.isLeaving() {
		return "", unsent.Refuse(newReason(receipt.CodeShuttingDown, receipt.StepAdmit, errLeaving))
	}
	if !m.isWithinLimit(req.Caller) {
		return "", unsent.Refuse(newReason(receipt.CodeLimited, receipt.StepAdmit, errLimit))
	}
	draftID := newID()
	accepted := &draftpb.Accepted{
		Caller: req.Caller,
		At:     time.Now().UnixMilli(),
		Owner:  m.deps.Instance,
	}
	uncertain, err := m.acceptInLog(ctx, draftID, accepted, payload)
	if err == nil {
		return draftID.String(), nil
	}
	if errors.Is(err, errLogUnavailable) {
		holdErr := m.acceptInMemory(ctx, draftID, accepted, payload)
		if holdErr == nil {
			return draftID.String(), nil
		}
		uncertain = uncertain || !errors.Is(holdErr, errNoHolder)
		err = errors.Join(err, holdErr)
	}
	if !uncertain {
		return "", unsent.Refuse(newReason(receipt.CodeLogUnavailable, receipt.StepAdmit, err))
	}
	m.withdraw(draftID)
	return "", unsent.Send().Unknown(newReason(receipt.CodeOutcomeUnknown, receipt.StepAdmit, fmt.Errorf("%w: %w", errMayBeInLog, err)))
}

// isWithinLimit reports whether a caller may have one more draft. Each of several
// instances that accept drafts concurrently may exceed the limit by one.
func (m *Manager) isWithinLimit(caller string) bool {
	if m.deps.Limit == nil {
		return true
	}
	limit := m.deps.Limit(caller)
	return limit == 0 || m.CountUncollected(caller) < limit
}

// CountUncollected returns the number of a caller's drafts that have neither failed nor
// been collected.
func (m *Manager) CountUncollected(caller string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.table.open[caller]
	for draftID, h := range m.held {
		if !m.table.isKnown(draftID) && h.accepted.GetCaller() == caller {
			n++
		}
	}
	return n
}

func (m *Manager) isLeaving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// acceptInLog appends the draft and retries as long as the log is readable. If it
// fails, uncertain reports whether the draft may be in the log nevertheless. The error
// is errLogUnavailable if the log can't be read.
func (m *Manager) acceptInLog(ctx context.Context, draftID id, accepted *draftpb.Accepted, payload []byte) (uncertain bool, err error) {
	for range maxAcceptAttempts {
		if err := m.waitForLog(ctx); err != nil {
			return uncertain, err
		}
		m.probe(beforeAcceptance)
		err = m.appendAccepted(ctx, draftID, accepted, payload)
		m.probe(afterAcceptance)
		if err == nil {
			return true, nil
		}
		uncertain = uncertain || !errors.Is(err, ledger.ErrNotAppended)
	}
	return uncertain, err
}

// appendAccepted appends the draft once. After an error other than
// ledger.ErrNotAppended the draft may be in the log.
func (m *Manager) appendAccepted(ctx context.Context, draftID id, accepted *draftpb.Accepted, payload []byte) error {
	ctx, cancel := m.withTimeout(ctx, millis(m.deps.Config.AcceptTimeoutMS))
	defer cancel()
	blob, err := m.storeBlob(ctx, draftID, payload)
	if err != nil {
		return fmt.Errorf("%w: %w", ledger.ErrNotAppended, err)
	}
	withRequest := proto.CloneOf(accepted)
	withRequest.Request = blob
	raw, err := encodeRecord(draftID, &draftpb.Record{Body: &draftpb.Record_Accepted{Accepted: withRequest}})
	if err != nil {
		return fmt.Errorf("%w: %w", ledger.ErrNotAppended, err)
	}
	_, err = m.batcher.Submit(ctx, raw)
	return err
}

// waitForLog returns nil once this instance is up to date with the log, or an error
// after half of the maximum staleness. It reads immediately, because an instance that
// resumes from a pause is stale although the log is available. The error is
// errLogUnavailable only if the last read failed.
func (m *Manager) waitForLog(ctx context.Context) error {
	if m.Ready() {
		return nil
	}
	ctx, cancel := m.withTimeout(ctx, millis(m.deps.Config.MaxStaleMS)/2)
	defer cancel()
	err := m.batcher.Follower().Refresh(ctx)
	if err == nil {
		return nil
	}
	if readErr := m.batcher.State().Err; readErr != nil {
		return fmt.Errorf("%w: %w", errLogUnavailable, readErr)
	}
	return err
}

// acceptInMemory asks peers to append the draft, or to hold it in memory together with
// this instance if they can't read the log either. Peers are asked to append first
// because this instance may be stale after a pause. The error is errNoHolder if no peer
// has the draft or will get it.
func (m *Manager) acceptInMemory(ctx context.Context, draftID id, accepted *draftpb.Accepted, payload []byte) error {
	withRequest := proto.CloneOf(accepted)
	withRequest.Request = &draftpb.Blob{Inline: payload}
	copies := 0
	var uncertainErr error
	for _, peer := range m.holders() {
		reply, err := m.requestHold(ctx, peer, draftID, withRequest)
		switch {
		case reply.GetInLog():
			return nil
		case reply.GetLogAway():
			copies++
		case err == nil:
			uncertainErr = errors.Join(uncertainErr, fmt.Errorf("hold draft at %s: %w", peer.Instance, errMayBeInLog))
		case !isDeclined(err):
			uncertainErr = errors.Join(uncertainErr, fmt.Errorf("hold draft at %s: %w", peer.Instance, err))
		}
		if copies == maxHolders {
			break
		}
	}
	switch {
	case copies > 0 && m.addHeld(draftID, withRequest, true):
		return nil
	case copies > 0 || uncertainErr != nil:
		return errors.Join(errLeaving, uncertainErr)
	}
	return errNoHolder
}

// holders returns the peers that may hold a draft. Peers in other data centres are
// preferred, because a whole data centre may fail.
func (m *Manager) holders() []Peer {
	if m.deps.Peers == nil {
		return nil
	}
	peers := m.deps.Peers.List()
	var other []Peer
	for _, peer := range peers {
		if peer.DataCentre != m.deps.DataCentre {
			other = append(other, peer)
		}
	}
	if len(other) > 0 {
		return other
	}
	return peers
}

func (m *Manager) requestHold(ctx context.Context, peer Peer, draftID id, accepted *draftpb.Accepted) (*draftpb.HoldAnswer, error) {
	ctx, cancel := m.withTimeout(ctx, millis(m.deps.Config.HoldTimeoutMS))
	defer cancel()
	return peer.Holder.Hold(ctx, &draftpb.HoldRequest{
		Id:       draftID[:],
		Accepted: accepted,
	})
}

// isDeclined reports whether a peer responded that it does not hold the draft.
func isDeclined(err error) bool {
	var twerr twirp.Error
	return errors.As(err, &twerr) && twerr.Code() == twirp.ResourceExhausted
}

// Hold keeps the draft of a peer in memory until it is in the log. An instance that can
// read the log appends the draft before it responds. An instance that has not caught up
// with the log since its start declines, because it can't tell whether the log is
// unavailable.
func (m *Manager) Hold(ctx context.Context, req *draftpb.HoldRequest) (*draftpb.HoldAnswer, error) {
	if len(req.GetId()) != len(id{}) || req.GetAccepted() == nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "hold: id and accepted are required")
	}
	draftID := id(req.GetId())
	if !m.batcher.State().CaughtUp || !m.addHeld(draftID, req.GetAccepted(), false) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "hold: full, leaving or not ready")
	}
	ctx, cancel := m.withTimeout(ctx, millis(m.deps.Config.HoldTimeoutMS)/2)
	defer cancel()
	if err := m.waitForLog(ctx); err != nil {
		return &draftpb.HoldAnswer{LogAway: errors.Is(err, errLogUnavailable)}, nil
	}
	err := m.appendAccepted(ctx, draftID, req.GetAccepted(), req.GetAccepted().GetRequest().GetInline())
	return &draftpb.HoldAnswer{InLog: err == nil}, nil
}

// addHeld reports whether the draft is now held in memory. It isn't if this instance is
// leaving or a limit is reached.
func (m *Manager) addHeld(draftID id, accepted *draftpb.Accepted, acceptedHere bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving || len(m.held) >= m.deps.Config.MaxHeld || m.heldBytes() >= m.deps.Config.MaxMemoryBytes {
		return false
	}
	m.held[draftID] = &heldDraft{
		accepted:     accepted,
		acceptedHere: acceptedHere,
	}
	return true
}

// heldBytes returns the total size of the requests that are held in memory.
func (m *Manager) heldBytes() int {
	n := 0
	for _, h := range m.held {
		n += len(h.accepted.GetRequest().GetInline())
	}
	return n
}

// withdraw cancels a draft whose id was not returned to the caller.
func (m *Manager) withdraw(draftID id) {
	raw, err := encodeRecord(draftID, &draftpb.Record{Body: &draftpb.Record_Withdrawn{Withdrawn: &draftpb.Withdrawn{}}})
	if err != nil {
		return
	}
	m.work.Go(func() { m.appendWithRetry(context.Background(), raw) })
}

var _ draftpb.Holder = (*Manager)(nil)
