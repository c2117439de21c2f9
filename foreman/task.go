package foreman

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

// stepInterval is the delay between two steps of a task.
const stepInterval = 100 * time.Millisecond

// task reconciles one server until it is in its desired state or nothing more can be done.
type task struct {
	controller *Controller
	server     string
	ownClaim   OwnClaim
	// result receives the result of the order in flight. It is nil if there is none.
	result chan error
}

func newTask(controller *Controller, server string) *task {
	return &task{
		controller: controller,
		server:     server,
	}
}

// run takes steps until there is none left or ctx is done.
func (t *task) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.pollResult()
		snapshot, target, err := t.snapshot(ctx)
		if err != nil {
			t.controller.deps.Metrics.Count("order_task", "no_state")
			return
		}
		if !t.step(ctx, target, snapshot, Decide(snapshot, time.Now())) {
			return
		}
	}
}

// step carries out an action and reports whether the task should continue.
func (t *task) step(ctx context.Context, target Target, snapshot Snapshot, action Action) bool {
	switch a := action.(type) {
	case Done:
		return false
	case Defer:
		t.controller.deps.Metrics.Count("order_later", a.Reason)
		return false
	case Wait:
		return t.sleep(ctx)
	case StartDrain:
		t.append(ctx, Record{Kind: KindDrain})
		return t.sleep(ctx)
	case AppendClaim:
		t.appendClaim(ctx, snapshot, a.Order)
		return t.sleep(ctx)
	case SendOrder:
		t.send(ctx, target, a)
		return t.sleep(ctx)
	case CloseClaim:
		t.append(ctx, Record{
			Kind:  KindClose,
			Claim: a.Claim,
		})
		t.ownClaim = OwnClaim{}
		return t.sleep(ctx)
	}
	return false
}

func (t *task) sleep(ctx context.Context) bool {
	timer := time.NewTimer(stepInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// snapshot collects the input of a decision. It reads the engine's state after the claim
// table, so that the state is newer than the grant of the claim.
func (t *task) snapshot(ctx context.Context) (Snapshot, Target, error) {
	target, document, documentFresh, ok := t.controller.findTarget(t.server)
	if !ok {
		return Snapshot{}, Target{}, errors.New("server is not among the live engines of the routing document")
	}
	followerState := t.controller.deps.Follower.State()
	now := time.Now()
	claims := t.controller.deps.Claims
	snapshot := Snapshot{
		Config:        t.controller.cfg,
		Issuer:        t.controller.deps.Instance,
		Fresh:         documentFresh && followerState.Fresh(now, milliseconds(t.controller.cfg.MaxStalenessMS)) && claims.Settled(),
		Document:      document,
		Desired:       target.Desired,
		ChecksFencing: target.ChecksFencing,
		Replayed:      claims.Server(t.server),
		IssuerLive:    slices.Contains(t.controller.deps.Members.LiveInstances(), claims.Server(t.server).Claim.Issuer),
		LoadAllowed:   claims.LoadAllowed(now),
		OwnClaim:      t.ownClaim,
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(t.controller.cfg.CallTimeoutMS))
	defer cancel()
	actual, err := target.Engine.State(ctx)
	if err != nil {
		return Snapshot{}, Target{}, err
	}
	holdings, err := target.Engine.Holdings(ctx)
	if err != nil {
		return Snapshot{}, Target{}, err
	}
	snapshot.Actual = actual
	snapshot.HoldingCount = len(holdings)
	return snapshot, target, nil
}

func (t *task) appendClaim(ctx context.Context, snapshot Snapshot, order kiln.OrderRequest) {
	record := t.append(ctx, Record{
		Kind:     KindClaim,
		Document: snapshot.Document,
		Order:    &order,
		Shared:   snapshot.ChecksFencing,
	})
	t.ownClaim = OwnClaim{
		ID:        record.id,
		ClaimedAt: record.startedAt,
	}
}

type appendedRecord struct {
	id        string
	startedAt time.Time
}

// append appends a record to the control stream and returns its ID and the time at which
// the append began. Only the claim table shows whether the append took effect.
func (t *task) append(ctx context.Context, r Record) appendedRecord {
	appended := appendedRecord{
		id:        uuid.NewString(),
		startedAt: time.Now(),
	}
	r.ID = appended.id
	r.Server = t.server
	r.Issuer = t.controller.deps.Instance
	raw, err := r.Encode()
	if err != nil {
		log.Error().Err(err).Str("step", "order").Str("server", t.server).Msg("failed to encode control record")
		return appended
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(t.controller.cfg.CallTimeoutMS))
	defer cancel()
	if _, err := t.controller.deps.Log.Append(ctx, ledger.StreamControl, raw); err != nil {
		t.controller.deps.Metrics.Count("order_append", "failed")
	}
	t.controller.deps.Follower.PollNow()
	return appended
}

// send sends the order unless its deadline has passed. It doesn't wait for the result, so
// that the claim can be closed if the engine takes too long.
func (t *task) send(ctx context.Context, target Target, a SendOrder) {
	t.ownClaim.SentAt = time.Now()
	result := make(chan error, 1)
	t.result = result
	ctx, cancel := context.WithTimeout(ctx, milliseconds(t.controller.cfg.OrderTimeoutMS))
	go func() {
		defer cancel()
		if !time.Now().Before(a.Deadline) {
			result <- errSendDeadline
			return
		}
		_, err := target.Engine.Order(ctx, a.Order)
		result <- err
	}()
	log.Info().Str("step", "order").Str("peer", t.server).Str("kind", string(a.Order.Kind)).
		Uint64("fence", a.Order.Fence).Msg("order sent")
}

// errSendDeadline means that the order was not sent, because its deadline had passed.
var errSendDeadline = errors.New("order not sent: deadline passed")

// pollResult records the result of the order in flight if it has arrived.
func (t *task) pollResult() {
	if t.result == nil {
		return
	}
	select {
	case err := <-t.result:
		t.result = nil
		t.ownClaim.Answered = isConclusive(err)
		t.controller.deps.Metrics.Count("order_answer", resultLabel(err))
	default:
	}
}

// isConclusive reports whether the order has certainly taken effect or certainly never
// will.
func isConclusive(err error) bool {
	var engineErr *kiln.EngineError
	var notSent *kiln.NotSentError
	return err == nil || errors.Is(err, errSendDeadline) || errors.As(err, &engineErr) || errors.As(err, &notSent)
}

// resultLabel returns the label of a result in the order_answer metric.
func resultLabel(err error) string {
	var engineErr *kiln.EngineError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &engineErr):
		return string(engineErr.Code)
	case isConclusive(err):
		return "not_sent"
	}
	return "lost"
}
