package allotment

import (
	"context"
	"time"

	"github.com/balsamlock/balsamlock/common/recovery"
)

// askLocked asks the parent for the requests of a team that wait, now or when the team's
// earlier requests to the parent allow it. Other teams need not wait for that.
func (h *Holder) askLocked(a *account, now time.Time) {
	if a.askDue || a.asks >= maxAsks {
		return
	}
	a.askDue = true
	a.asks++
	delay := max(a.askAt.Add(h.spacing).Sub(now), 0)
	go h.askFor(a, delay)
}

func (h *Holder) askFor(a *account, delay time.Duration) {
	defer recovery.Contain("ask for amounts", func(error) {})
	sleep(h.ctx, delay)
	h.mu.Lock()
	now := h.deps.Now()
	a.askDue = false
	a.askAt = now
	need, asked := a.Need(a.name, h.sourceLocked(now), now)
	request := h.requestLocked(now)
	h.mu.Unlock()
	if len(asked) > 0 {
		request.Needs = []Need{need}
		grants, err := h.send(request, now, askTimeout)
		h.mu.Lock()
		h.answerLocked(a, asked, grants, err)
		h.mu.Unlock()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a.asks--
	if a.HasNew() {
		h.askLocked(a, h.deps.Now())
	}
}

// requestLocked returns a request without needs.
func (h *Holder) requestLocked(now time.Time) Request {
	r := Request{
		Child:       h.deps.Child,
		Distributor: h.deps.Distributor,
		Members:     1,
		Part:        h.link.part,
		AnswerAge:   h.link.Age(now),
	}
	if h.deps.Children != nil {
		state := h.deps.Children()
		r.Members, r.Absent = state.Members, state.Absent
		// The children may not know yet that the part has become smaller.
		r.Part = max(r.Part, state.Parts)
	}
	_, r.Creates = h.link.Source(now).(OwnPart)
	return r
}

// answerLocked applies an answer for one team.
func (h *Holder) answerLocked(a *account, asked []*Waiter, grants []Grant, err error) {
	now := h.deps.Now()
	var grant Grant
	if err != nil {
		grant.Retry = prefetchInterval
	}
	for _, g := range grants {
		if g.Team == a.name {
			grant = g
		}
	}
	h.deps.Count("limit_granted", a.name, sum(grant.Lots))
	a.Answer(asked, grant.Lots, grant.Retry, h.sourceLocked(now), now)
	h.countLapsedLocked(a)
}

// send sends a request and returns the grants in the reply.
func (h *Holder) send(r Request, sentAt time.Time, timeout time.Duration) ([]Grant, error) {
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	h.mu.Lock()
	h.sentAt = sentAt
	h.mu.Unlock()
	reply, err := Reply{}, errNoParent
	if parent := h.deps.Parent(); parent != nil {
		reply, err = parent.Ask(ctx, r)
	}
	if err != nil {
		h.deps.Failed(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.link.Failed(sentAt)
		return nil, err
	}
	if !r.Leaves {
		h.link.Answered(reply, sentAt)
	}
	for _, grant := range reply.Grants {
		for n := range grant.Lots {
			// A parent in the same process counts from its own time.
			grant.Lots[n].Until = earlier(grant.Lots[n].Until, sentAt.Add(GrantLife))
		}
	}
	return reply.Grants, nil
}

// prefetchLoop asks for the expected demand of all teams, and shows the parent that the child is
// alive, until there is no demand any more.
func (h *Holder) prefetchLoop() {
	defer recovery.Contain("ask for expected demand", func(error) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.prefetching = false
	})
	ticker := time.NewTicker(prefetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-h.ctx.Done():
			return
		}
		if h.prefetchOnce() {
			return
		}
	}
}

// prefetchOnce reports whether the child has left its parent.
func (h *Holder) prefetchOnce() (left bool) {
	h.mu.Lock()
	now := h.deps.Now()
	r := h.requestLocked(now)
	isParent := h.deps.Children != nil && r.Members > 0
	if now.Sub(h.usedAt) > idleTime && !isParent {
		h.prefetching = false
		h.mu.Unlock()
		h.Leave(askTimeout)
		return true
	}
	source := h.sourceLocked(now)
	for _, a := range h.teams {
		if amount := a.Expected(source, now); amount > 0 {
			r.Needs = append(r.Needs, Need{
				Team:     a.name,
				Limit:    a.limit,
				Prefetch: amount,
			})
		}
		h.countLapsedLocked(a)
	}
	due := len(r.Needs) > 0 || now.Sub(h.sentAt) >= reportInterval
	h.mu.Unlock()
	if !due {
		return false
	}
	grants, err := h.send(r, now, askTimeout)
	if err != nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, grant := range grants {
		if a := h.teams[grant.Team]; a != nil {
			h.answerLocked(a, nil, []Grant{grant}, nil)
		}
	}
	return false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
