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
	// acceptTries is how often an append is tried while the log can be read.
	acceptTries = 3
	// holderCopies is the number of peers that hold a draft in memory, fewer
	// when there are none.
	holderCopies = 2
)

// Accept takes a draft, and returns its id once its arrival is certain: it is
// in the log, or while the log is away in the memory of two instances. With an
// empty id the outcome tells whether the draft may run.
func (d *Manager) Accept(ctx context.Context, req firing.Request) (string, receipt.Outcome) {
	unsent := receipt.NewAttempt(req.ID)
	payload, err := encodeRequest(req)
	if err != nil {
		return "", unsent.Refuse(reasonOf(receipt.CodeInvalidRequest, receipt.StepAdmit, err))
	}
	if len(payload) > d.deps.Config.MaxRequestBytes {
		return "", unsent.Refuse(reasonOf(receipt.CodeTooLarge, receipt.StepAdmit, errTooLarge))
	}
	if d.isLeaving() {
		return "", unsent.Refuse(reasonOf(receipt.CodeShuttingDown, receipt.StepAdmit, errLeaving))
	}
	if !d.mayOpen(req.Caller) {
		return "", unsent.Refuse(reasonOf(receipt.CodeLimited, receipt.StepAdmit, errLimit))
	}
	key := newID()
	accepted := &draftpb.Accepted{
		Caller: req.Caller,
		At:     time.Now().UnixMilli(),
		Owner:  d.deps.Instance,
	}
	maybe, err := d.acceptInLog(ctx, key, accepted, payload)
	if err == nil {
		return key.String(), nil
	}
	if errors.Is(err, errLogAway) {
		holdErr := d.acceptInMemory(ctx, key, accepted, payload)
		if holdErr == nil {
			return key.String(), nil
		}
		maybe = maybe || !errors.Is(holdErr, errNoHolder)
		err = errors.Join(err, holdErr)
	}
	if !maybe {
		return "", unsent.Refuse(reasonOf(receipt.CodeLogUnavailable, receipt.StepAdmit, err))
	}
	d.withdraw(key)
	return "", unsent.Send().Unknown(reasonOf(receipt.CodeOutcomeUnknown, receipt.StepAdmit, fmt.Errorf("%w: %w", errMayArrive, err)))
}

// mayOpen tells whether a caller may have one more draft. Instances that accept
// at the same time may each let one through.
func (d *Manager) mayOpen(caller string) bool {
	if d.deps.Limit == nil {
		return true
	}
	limit := d.deps.Limit(caller)
	return limit == 0 || d.CountUncollected(caller) < limit
}

// CountUncollected returns the number of a caller's drafts that wait for their collection.
func (d *Manager) CountUncollected(caller string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.table.open[caller]
	for key, h := range d.held {
		if !d.table.knows(key) && h.accepted.GetCaller() == caller {
			n++
		}
	}
	return n
}

func (d *Manager) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// acceptInLog appends the draft, several times as long as the log can be read.
// Maybe tells that a failed append may have taken effect. The error is
// errLogAway when the log can't be read.
func (d *Manager) acceptInLog(ctx context.Context, key id, accepted *draftpb.Accepted, payload []byte) (maybe bool, err error) {
	for range acceptTries {
		if err := d.awaitLog(ctx); err != nil {
			return maybe, err
		}
		d.probe(stepAccept)
		err = d.tryAccept(ctx, key, accepted, payload)
		d.probe(stepAccepted)
		if err == nil {
			return true, nil
		}
		maybe = maybe || !errors.Is(err, ledger.ErrNotAppended)
	}
	return maybe, err
}

// tryAccept appends the draft once. An error that is not ledger.ErrNotAppended
// means that it may be in the log.
func (d *Manager) tryAccept(ctx context.Context, key id, accepted *draftpb.Accepted, payload []byte) error {
	ctx, cancel := d.bounded(ctx, millis(d.deps.Config.AcceptTimeoutMS))
	defer cancel()
	blob, err := d.store(ctx, key, payload)
	if err != nil {
		return fmt.Errorf("%w: %w", ledger.ErrNotAppended, err)
	}
	filled := proto.CloneOf(accepted)
	filled.Request = blob
	raw, err := encode(key, &draftpb.Record{Body: &draftpb.Record_Accepted{Accepted: filled}})
	if err != nil {
		return fmt.Errorf("%w: %w", ledger.ErrNotAppended, err)
	}
	_, err = d.batcher.Submit(ctx, raw)
	return err
}

// awaitLog returns once the log can be followed, or an error after the
// staleness allowed: an instance that wakes from a pause reads at once. The
// error is errLogAway only if the last read failed.
func (d *Manager) awaitLog(ctx context.Context) error {
	if d.Ready() {
		return nil
	}
	ctx, cancel := d.bounded(ctx, millis(d.deps.Config.MaxStaleMS)/2)
	defer cancel()
	err := d.batcher.Follower().Refresh(ctx)
	if err == nil {
		return nil
	}
	if failed := d.batcher.State().Err; failed != nil {
		return fmt.Errorf("%w: %w", errLogAway, failed)
	}
	return err
}

// acceptInMemory has peers append the draft, or hold it beside this instance if
// they can't read the log either: an instance may just have woken from a pause.
// The error is errNoHolder when no peer does or will.
func (d *Manager) acceptInMemory(ctx context.Context, key id, accepted *draftpb.Accepted, payload []byte) error {
	filled := proto.CloneOf(accepted)
	filled.Request = &draftpb.Blob{Inline: payload}
	copies := 0
	var maybe error
	for _, peer := range d.holders() {
		answer, err := d.holdAt(ctx, peer, key, filled)
		switch {
		case answer.GetInLog():
			return nil
		case answer.GetLogAway():
			copies++
		case err == nil:
			maybe = errors.Join(maybe, fmt.Errorf("hold at %s: %w", peer.Instance, errMayArrive))
		case !isDecline(err):
			maybe = errors.Join(maybe, fmt.Errorf("hold at %s: %w", peer.Instance, err))
		}
		if copies == holderCopies {
			break
		}
	}
	switch {
	case copies > 0 && d.hold(key, filled, true):
		return nil
	case copies > 0 || maybe != nil:
		return errors.Join(errLeaving, maybe)
	}
	return errNoHolder
}

// holders returns the peers that may hold a draft: those in other data centres
// if there are any, since a data centre may go away as a whole.
func (d *Manager) holders() []Peer {
	if d.deps.Peers == nil {
		return nil
	}
	peers := d.deps.Peers.List()
	var other []Peer
	for _, peer := range peers {
		if peer.DataCentre != d.deps.DataCentre {
			other = append(other, peer)
		}
	}
	if len(other) > 0 {
		return other
	}
	return peers
}

func (d *Manager) holdAt(ctx context.Context, peer Peer, key id, accepted *draftpb.Accepted) (*draftpb.HoldAnswer, error) {
	ctx, cancel := d.bounded(ctx, millis(d.deps.Config.HoldTimeoutMS))
	defer cancel()
	return peer.Holder.Hold(ctx, &draftpb.HoldRequest{
		Id:       key[:],
		Accepted: accepted,
	})
}

// isDecline tells whether a peer answered that it doesn't hold the draft.
func isDecline(err error) bool {
	var twerr twirp.Error
	return errors.As(err, &twerr) && twerr.Code() == twirp.ResourceExhausted
}

// Hold keeps a peer's draft in memory until it is in the log. An instance that
// can follow the log appends the draft before it answers; one that has not read
// the log since its start declines, since it can't tell whether it is away.
func (d *Manager) Hold(ctx context.Context, req *draftpb.HoldRequest) (*draftpb.HoldAnswer, error) {
	if len(req.GetId()) != len(id{}) || req.GetAccepted() == nil {
		return nil, twirp.NewError(twirp.InvalidArgument, "hold: id and accepted are required")
	}
	key := id(req.GetId())
	if !d.batcher.State().CaughtUp || !d.hold(key, req.GetAccepted(), false) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "hold: full, leaving or not ready")
	}
	ctx, cancel := d.bounded(ctx, millis(d.deps.Config.HoldTimeoutMS)/2)
	defer cancel()
	if err := d.awaitLog(ctx); err != nil {
		return &draftpb.HoldAnswer{LogAway: errors.Is(err, errLogAway)}, nil
	}
	err := d.tryAccept(ctx, key, req.GetAccepted(), req.GetAccepted().GetRequest().GetInline())
	return &draftpb.HoldAnswer{InLog: err == nil}, nil
}

func (d *Manager) hold(key id, accepted *draftpb.Accepted, own bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving || len(d.held) >= d.deps.Config.MaxHeld || d.heldBytes() >= d.deps.Config.MaxMemoryBytes {
		return false
	}
	d.held[key] = &held{
		accepted: accepted,
		own:      own,
	}
	return true
}

// heldBytes returns the size of the requests held in memory.
func (d *Manager) heldBytes() int {
	n := 0
	for _, h := range d.held {
		n += len(h.accepted.GetRequest().GetInline())
	}
	return n
}

// withdraw takes back a draft whose id was not given out.
func (d *Manager) withdraw(key id) {
	raw, err := encode(key, &draftpb.Record{Body: &draftpb.Record_Withdrawn{Withdrawn: &draftpb.Withdrawn{}}})
	if err != nil {
		return
	}
	d.work.Go(func() { d.record(context.Background(), raw) })
}

var _ draftpb.Holder = (*Manager)(nil)
