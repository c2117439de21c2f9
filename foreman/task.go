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

// lookAgain is how long a task waits before it decides again.
const lookAgain = 100 * time.Millisecond

// task works on one server until it is as wanted or nothing can be done.
type task struct {
	c      *Controller
	server string
	own    Own
	// answer takes the result of the order in progress.
	answer chan error
}

func newTask(c *Controller, server string) *task {
	return &task{
		c:      c,
		server: server,
	}
}

// run takes one step after the other.
func (t *task) run(ctx context.Context) {
	for ctx.Err() == nil {
		t.collect()
		state, target, err := t.state(ctx)
		if err != nil {
			t.c.deps.Metrics.Count("order_task", "no_state")
			return
		}
		if !t.step(ctx, target, state, Decide(state, time.Now())) {
			return
		}
	}
}

// step carries an action out and tells whether to go on.
func (t *task) step(ctx context.Context, target Target, state State, action Action) bool {
	switch a := action.(type) {
	case Done:
		return false
	case Later:
		t.c.deps.Metrics.Count("order_later", a.Reason)
		return false
	case Wait:
		return t.sleep(ctx)
	case Drain:
		t.append(ctx, Record{Kind: KindDrain})
		return t.sleep(ctx)
	case Append:
		t.claim(ctx, state, a.Order)
		return t.sleep(ctx)
	case Send:
		t.send(ctx, target, a)
		return t.sleep(ctx)
	case Close:
		t.append(ctx, Record{
			Kind:  KindClose,
			Claim: a.Claim,
		})
		t.own = Own{}
		return t.sleep(ctx)
	}
	return false
}

func (t *task) sleep(ctx context.Context) bool {
	timer := time.NewTimer(lookAgain)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// state gathers what a decision rests on. The engine's state is read after the
// board, so that a claim seen on it was granted before.
func (t *task) state(ctx context.Context) (State, Target, error) {
	target, document, documentFresh, ok := t.c.target(t.server)
	if !ok {
		return State{}, Target{}, errors.New("server is not in the document")
	}
	follower := t.c.deps.Follower.State()
	now := time.Now()
	board := t.c.deps.Claims
	state := State{
		Config:        t.c.cfg,
		Issuer:        t.c.deps.Instance,
		Fresh:         documentFresh && follower.Fresh(now, ms(t.c.cfg.StaleMS)) && board.Settled(),
		Document:      document,
		Wanted:        target.Desired,
		ChecksFencing: target.ChecksFencing,
		Log:           board.Server(t.server),
		IssuerLive:    slices.Contains(t.c.deps.Members.Issuers(), board.Server(t.server).Claim.Issuer),
		LoadReady:     board.LoadReady(now),
		Own:           t.own,
	}
	ctx, cancel := context.WithTimeout(ctx, ms(t.c.cfg.CallMS))
	defer cancel()
	actual, err := target.Engine.State(ctx)
	if err != nil {
		return State{}, Target{}, err
	}
	holdings, err := target.Engine.Holdings(ctx)
	if err != nil {
		return State{}, Target{}, err
	}
	state.Actual = actual
	state.Held = len(holdings)
	return state, target, nil
}

func (t *task) claim(ctx context.Context, state State, order kiln.OrderRequest) {
	id := t.append(ctx, Record{
		Kind:     KindClaim,
		Document: state.Document,
		Order:    &order,
		Shared:   state.ChecksFencing,
	})
	t.own = Own{
		ID:        id.id,
		ClaimedAt: id.at,
	}
}

type appended struct {
	id string
	at time.Time
}

// append adds a record. Whether it took effect shows on the board only.
func (t *task) append(ctx context.Context, r Record) appended {
	a := appended{
		id: uuid.NewString(),
		at: time.Now(),
	}
	r.ID = a.id
	r.Server = t.server
	r.Issuer = t.c.deps.Instance
	raw, err := r.Encode()
	if err != nil {
		log.Error().Err(err).Str("step", "order").Str("server", t.server).Msg("record not encoded")
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, ms(t.c.cfg.CallMS))
	defer cancel()
	if _, err := t.c.deps.Log.Append(ctx, ledger.StreamControl, raw); err != nil {
		t.c.deps.Metrics.Count("order_append", "failed")
	}
	t.c.deps.Follower.Poke()
	return a
}

// send sends the order unless its time is over. The answer is collected later,
// so that the claim can be given up when it takes too long.
func (t *task) send(ctx context.Context, target Target, a Send) {
	t.own.SentAt = time.Now()
	answer := make(chan error, 1)
	t.answer = answer
	ctx, cancel := context.WithTimeout(ctx, ms(t.c.cfg.WorkMS))
	go func() {
		defer cancel()
		if !time.Now().Before(a.Before) {
			answer <- errTooLate
			return
		}
		_, err := target.Engine.Order(ctx, a.Order)
		answer <- err
	}()
	log.Info().Str("step", "order").Str("peer", t.server).Str("kind", string(a.Order.Kind)).
		Uint64("fence", a.Order.Fence).Msg("order sent")
}

// errTooLate means that the time to send an order was over.
var errTooLate = errors.New("the time to send was over")

// collect looks for the answer of the order in progress.
func (t *task) collect() {
	if t.answer == nil {
		return
	}
	select {
	case err := <-t.answer:
		t.answer = nil
		t.own.Answered = isConclusive(err)
		t.c.deps.Metrics.Count("order_answer", answerName(err))
	default:
	}
}

// isConclusive tells whether the order has taken effect or never will.
func isConclusive(err error) bool {
	var refusal *kiln.EngineError
	var notSent *kiln.NotSentError
	return err == nil || errors.Is(err, errTooLate) || errors.As(err, &refusal) || errors.As(err, &notSent)
}

func answerName(err error) string {
	var refusal *kiln.EngineError
	switch {
	case err == nil:
		return "done"
	case errors.As(err, &refusal):
		return string(refusal.Code)
	case isConclusive(err):
		return "not_sent"
	}
	return "lost"
}
