package allotment

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// maxWait is how long a request waits for a grant: two round trips between regions of
	// 24 ms and some processing. childWait is how long a distributor lets a child wait,
	// so that its answer arrives within maxWait.
	maxWait   = 80 * time.Millisecond
	childWait = 55 * time.Millisecond
	// childReserve is the life that a distributor's grant must have left, since the child
	// counts from when it asked.
	childReserve = childWait + 45*time.Millisecond
	// askTimeout limits a request to the parent. What it grants can be spent for a while
	// after that.
	askTimeout = 300 * time.Millisecond
	// askSpacing is the shortest time between two requests for the same team while its
	// requests wait, forwardSpacing that of a distributor, which gathers what its children
	// ask. maxAsks is the number of such requests at a time.
	askSpacing     = 10 * time.Millisecond
	forwardSpacing = 20 * time.Millisecond
	maxAsks        = 4
	// prefetchInterval is the shortest time between two requests for expected demand.
	prefetchInterval = 100 * time.Millisecond
	// reportInterval is the interval at which a child shows its parent that it is alive,
	// below silentAfter with two lost requests. idleTime is the time without demand after
	// which it leaves its parent and sends nothing any more.
	reportInterval = time.Second
	idleTime       = 10 * time.Second
)

// errNoParent means that the address of the parent isn't known.
var errNoParent = errors.New("ask: no parent is known")

// Parent answers the requests of a child.
type Parent interface {
	Ask(ctx context.Context, r Request) (Reply, error)
}

// Deps are the dependencies of a Holder.
type Deps struct {
	// Child is the name of the instance, or the data centre of a distributor.
	Child       string
	Distributor bool
	Tolerance   Tolerance
	// Parent returns the parent, or nil if its address isn't known.
	Parent func() Parent
	// Failed is called if the parent gave no answer. It must not block. It may be nil.
	Failed func(err error)
	// Children returns the state of a distributor's children. It is nil for an instance.
	Children func() ChildState
	// Count adds to a team's counter of a kind. It may be nil.
	Count func(kind, team string, n float64)
	// Now returns the time by a clock that also counts the time of suspensions.
	Now func() time.Time
}

// ChildState is the state of all children of a distributor.
type ChildState struct {
	Members int
	// Absent is the fraction of the limits that absent children may create, Parts that of
	// all children together if they lose the distributor.
	Absent float64
	Parts  float64
}

// Holder holds the balances of a child and asks its parent. It runs nothing while there is
// no demand. It is safe for concurrent use.
type Holder struct {
	ctx     context.Context
	deps    Deps
	spacing time.Duration
	// reserve is the life that an amount must have left to be taken.
	reserve time.Duration

	mu    sync.Mutex
	link  Link
	teams map[string]*account
	// prefetching is set while a goroutine asks for expected demand.
	prefetching bool
	usedAt      time.Time
	sentAt      time.Time
}

// account is a team's balance with its requests to the parent.
type account struct {
	*Balance
	name   string
	asks   int
	askDue bool
	askAt  time.Time
}

// NewHolder returns a holder without balances that asks until the context is done.
func NewHolder(ctx context.Context, deps Deps) *Holder {
	if deps.Failed == nil {
		deps.Failed = func(error) {}
	}
	if deps.Count == nil {
		deps.Count = func(string, string, float64) {}
	}
	h := &Holder{
		ctx:     ctx,
		deps:    deps,
		spacing: askSpacing,
		link:    NewLink(deps.Distributor),
		teams:   map[string]*account{},
	}
	if deps.Distributor {
		h.spacing = forwardSpacing
		h.reserve = childReserve
	}
	return h
}

// Acquire takes the cost of a request from the team's balance, and waits for a grant if
// that holds too little. The error is a *LimitedError, or the cause of ctx.
func (h *Holder) Acquire(ctx context.Context, team string, limit Limit, cost float64) (Draw, error) {
	return h.acquire(ctx, team, limit, cost, maxWait)
}

func (h *Holder) acquire(ctx context.Context, team string, limit Limit, cost float64, wait time.Duration) (Draw, error) {
	h.mu.Lock()
	now := h.deps.Now()
	a := h.accountLocked(team, limit, now)
	h.deps.Count("limit_asked", team, cost)
	answer := a.Acquire(cost, h.sourceLocked(now), now)
	waiter, waits := answer.(*Waiter)
	if waits {
		h.askLocked(a, now)
	}
	h.mu.Unlock()
	if waits {
		if err := h.await(ctx, a, waiter, wait); err != nil {
			return Draw{}, err
		}
		answer = waiter.Answer()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.countLapsedLocked(a)
	now = h.deps.Now()
	granted, ok := answer.(Granted)
	if ok && granted.Draw.validAt(now) {
		h.deps.Count("limit_spent", team, cost)
		return granted.Draw, nil
	}
	// What was granted lapsed if the process was suspended while the request waited.
	h.deps.Count("limit_lapsed", team, granted.Draw.Amount())
	refused, _ := answer.(Refused)
	return Draw{}, &LimitedError{
		Team:       team,
		RetryAfter: refused.RetryAfter,
		Held:       a.Held(),
		AnswerAge:  h.link.Age(now),
	}
}

// await waits until a request is decided.
func (h *Holder) await(ctx context.Context, a *account, waiter *Waiter, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var err error
	select {
	case <-waiter.Done():
		return nil
	case <-timer.C:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Abandon(waiter, prefetchInterval)
	if granted, ok := waiter.Answer().(Granted); ok && err != nil {
		a.Give(granted.Draw.Lots, h.deps.Now())
	}
	return err
}

// Prefetch takes up to an amount for the expected requests of a child.
func (h *Holder) Prefetch(team string, limit Limit, amount float64) Draw {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.deps.Now()
	return h.accountLocked(team, limit, now).Prefetch(amount, h.sourceLocked(now), now).Draw
}

// Return gives back what a request that was not run had taken.
func (h *Holder) Return(team string, draw Draw) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.teams[team]; a != nil {
		h.deps.Count("limit_returned", team, draw.Amount())
		a.Give(draw.Lots, h.deps.Now())
	}
}

// KeepAlive keeps the holder in touch with its parent although it has no demand by itself.
func (h *Holder) KeepAlive() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepAliveLocked(h.deps.Now())
}

// Leave tells the parent, within a time, that the child needs nothing any more.
func (h *Holder) Leave(timeout time.Duration) {
	h.mu.Lock()
	now := h.deps.Now()
	r := h.requestLocked(now)
	hadParent := h.link.Age(now) >= 0
	h.link.Leave(now)
	clear(h.teams)
	h.mu.Unlock()
	if !hadParent {
		return
	}
	r.Leaves = true
	_, _ = h.send(r, now, timeout)
	// The parent may have received requests from meanwhile before this one.
	h.mu.Lock()
	defer h.mu.Unlock()
	h.link.Leave(h.deps.Now())
}

// Link returns a copy of what is known of the parent.
func (h *Holder) Link() Link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.link
}

// Balances returns what is held for each team.
func (h *Holder) Balances() map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.deps.Now()
	held := make(map[string]float64, len(h.teams))
	for team, a := range h.teams {
		a.expire(now)
		held[team] = a.Held()
	}
	return held
}

func (h *Holder) accountLocked(team string, limit Limit, now time.Time) *account {
	h.keepAliveLocked(now)
	a := h.teams[team]
	if a == nil {
		a = &account{
			Balance: NewBalance(h.deps.Tolerance, h.reserve),
			name:    team,
		}
		h.teams[team] = a
	}
	a.SetLimit(limit)
	return a
}

func (h *Holder) keepAliveLocked(now time.Time) {
	h.usedAt = now
	if !h.prefetching && h.ctx.Err() == nil {
		h.prefetching = true
		go h.prefetchLoop()
	}
}

// sourceLocked returns where amounts come from. A distributor keeps back what its absent
// children may create.
func (h *Holder) sourceLocked(now time.Time) Source {
	source := h.link.Source(now)
	if own, ok := source.(OwnPart); ok && h.deps.Children != nil {
		return OwnPart{Fraction: max(own.Fraction-h.deps.Children().Absent, 0)}
	}
	return source
}

func (h *Holder) countLapsedLocked(a *account) {
	if lapsed := a.TakeLapsed(); lapsed > 0 {
		h.deps.Count("limit_lapsed", a.name, lapsed)
	}
}
