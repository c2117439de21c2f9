package draft

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/draft/draftpb"
)

const (
	// controlPeriod is the time between two looks at all drafts.
	controlPeriod = 500 * time.Millisecond
	// controlPause is the shortest time between two looks.
	controlPause = 20 * time.Millisecond
	// keepPause is how long a draft that the log dropped is left to its keeper.
	keepPause = 2 * time.Second
	// recordPause is the time between two tries to append a record.
	recordPause = time.Second
	// retryAfter is the time after which a caller may learn more.
	retryAfter = time.Second
)

// action is what the control loop does with one draft.
type action interface{ isAction() }

type (
	// start runs a draft of this instance.
	start struct {
		draft id
		epoch uint64
	}
	// adopt takes a draft over from a lapsed owner.
	adopt struct {
		draft id
		epoch uint64
	}
	// keep appends a draft's state again.
	keep struct{ draft id }
	// offer appends a draft that is held in memory.
	offer struct {
		draft    id
		accepted *draftpb.Accepted
	}
	// renew renews this instance's lease.
	renew struct{ span time.Duration }
)

func (start) isAction() {}
func (adopt) isAction() {}
func (keep) isAction()  {}
func (offer) isAction() {}
func (renew) isAction() {}

// control looks at all drafts and acts until the context ends.
func (d *Manager) control(ctx context.Context) error {
	for {
		for _, next := range d.plan(time.Now()) {
			d.act(next)
		}
		if !pause(ctx, controlPause) {
			return ctx.Err()
		}
		timer := time.NewTimer(controlPeriod)
		select {
		case <-timer.C:
		case <-d.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// plan decides what to do now, and marks the drafts that it concerns.
func (d *Manager) plan(now time.Time) []action {
	fresh := d.Ready()
	logOldest := d.batcher.State().LogOldest
	d.mu.Lock()
	defer d.mu.Unlock()
	d.logOldest = logOldest
	d.noteFresh(fresh, now)
	d.table.expire(now.Add(-millis(d.deps.Config.LifetimeMS)))
	actions := d.planHeld(fresh, now)
	if d.leaving {
		return actions
	}
	live := d.table.live(now)
	if period := d.deps.Config.renewPeriod(len(live)); !d.renewing && now.Sub(d.renewed) >= period {
		d.renewing = true
		actions = append(actions, renew{span: d.deps.Config.lease(period)})
	}
	for _, found := range d.table.drafts {
		if next := d.planDraft(found, live, now); next != nil {
			actions = append(actions, next)
		}
	}
	return actions
}

func (d *Manager) noteFresh(fresh bool, now time.Time) {
	switch {
	case !fresh:
		d.freshSince = time.Time{}
	case d.freshSince.IsZero():
		d.freshSince = now
		d.table.restartLeases(now)
	}
}

func (d *Manager) planDraft(found *draft, live []string, now time.Time) action {
	if d.changing[found.id] {
		return nil
	}
	if next := d.planRun(found, live, now); next != nil {
		return next
	}
	if !d.freshSince.IsZero() && d.mustKeep(found, live, now) {
		d.changing[found.id] = true
		return keep{draft: found.id}
	}
	return nil
}

// mustKeep tells whether this instance appends a draft again: its keeper does
// after half the retention. When the log has dropped it early, the keeper may
// have lost it too, so that after a pause everybody does who knows it.
func (d *Manager) mustKeep(found *draft, live []string, now time.Time) bool {
	isLost := found.offset < d.logOldest
	if isLost && found.lost.IsZero() {
		found.lost = now
	}
	old := isLost || now.Sub(found.kept) > millis(d.deps.Config.RetentionMS)/2
	if old && d.keeper(found, live, now) == d.deps.Instance {
		return true
	}
	return isLost && now.Sub(found.lost) > keepPause
}

// keeper returns the instance that appends a draft again: the owner of an
// unfinished one, who has its request in memory, else the one with the highest
// score.
func (d *Manager) keeper(found *draft, live []string, now time.Time) string {
	if found.result == nil && !d.table.hasLapsed(found.owner, now) {
		return found.owner
	}
	return choose(found.id, live)
}

func (d *Manager) planRun(found *draft, live []string, now time.Time) action {
	if found.result != nil {
		return nil
	}
	if found.owner == d.deps.Instance {
		return d.planStart(found, now)
	}
	whole := d.deps.Config.lease(d.deps.Config.renewPeriod(len(live)))
	settled := !d.freshSince.IsZero() && now.Sub(d.freshSince) > whole
	left := !d.freshSince.IsZero() && d.table.left[found.owner]
	if (settled || left) && d.table.hasLapsed(found.owner, now) && choose(found.id, live) == d.deps.Instance {
		d.changing[found.id] = true
		return adopt{
			draft: found.id,
			epoch: found.epoch + 1,
		}
	}
	return nil
}

func (d *Manager) planStart(found *draft, now time.Time) action {
	if d.running[found.id] != nil || len(d.running) >= d.deps.Config.MaxRunning || now.Before(d.retry[found.id]) {
		return nil
	}
	d.running[found.id] = &running{
		epoch:  found.epoch,
		cancel: func() {},
	}
	return start{
		draft: found.id,
		epoch: found.epoch,
	}
}

// planHeld offers held drafts to the log once it answers: its acceptor at
// once, another holder after a grace.
func (d *Manager) planHeld(fresh bool, now time.Time) []action {
	var actions []action
	for key, h := range d.held {
		if d.table.knows(key) {
			delete(d.held, key)
			continue
		}
		ready := fresh && (h.own || now.Sub(d.freshSince) > millis(d.deps.Config.HoldGraceMS))
		if !ready || h.offered {
			continue
		}
		h.offered = true
		actions = append(actions, offer{
			draft:    key,
			accepted: h.accepted,
		})
	}
	return actions
}

func (d *Manager) act(next action) {
	switch next := next.(type) {
	case start:
		d.work.Go(func() { d.runDraft(next) })
	case adopt:
		d.work.Go(func() { d.adoptDraft(next) })
	case keep:
		d.work.Go(func() { d.keepDraft(next) })
	case offer:
		d.work.Go(func() { d.offerDraft(next) })
	case renew:
		d.work.Go(func() { d.renewLease(next) })
	}
}

func (d *Manager) renewLease(next renew) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.renewing = false
	}()
	began := time.Now()
	raw, err := encode(id{}, &draftpb.Record{Body: &draftpb.Record_Lease{Lease: &draftpb.Lease{
		Instance: d.deps.Instance,
		LeaseMs:  uint32(next.span.Milliseconds()),
	}}})
	if err != nil || !d.submit(raw) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.renewed = began
}

// submit appends a record once, within a lease.
func (d *Manager) submit(raw []byte) bool {
	ctx, cancel := d.bounded(context.Background(), millis(d.deps.Config.LeaseMS))
	defer cancel()
	_, err := d.batcher.Submit(ctx, raw)
	return err == nil
}

func (d *Manager) unmark(key id) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.changing, key)
}

func (d *Manager) adoptDraft(next adopt) {
	defer d.poke()
	defer d.unmark(next.draft)
	d.probe(stepAdopt)
	raw, err := encode(next.draft, &draftpb.Record{Body: &draftpb.Record_Adopted{Adopted: &draftpb.Adopted{
		Epoch: next.epoch,
		Owner: d.deps.Instance,
	}}})
	if err == nil && d.submit(raw) {
		d.count("drafts", "adoption")
	}
}

// keepDraft appends a draft's payloads and state again, so that they outlive
// the log's retention.
func (d *Manager) keepDraft(next keep) {
	defer d.unmark(next.draft)
	if err := d.tryKeep(next.draft); err != nil {
		log.Warn().Str("step", "keep").Str("request", next.draft.String()).Err(err).Msg("draft not appended again")
	}
}

func (d *Manager) tryKeep(key id) error {
	d.mu.Lock()
	found := d.table.drafts[key]
	if found == nil {
		d.mu.Unlock()
		return nil
	}
	kept := found.snapshot()
	d.mu.Unlock()
	ctx, cancel := d.bounded(context.Background(), millis(d.deps.Config.LeaseMS))
	defer cancel()
	fresh, err := d.storeAgain(ctx, key, kept)
	if err != nil {
		return err
	}
	raw, err := encode(key, &draftpb.Record{Body: &draftpb.Record_Kept{Kept: fresh}})
	if err != nil {
		return err
	}
	_, err = d.batcher.Submit(ctx, raw)
	return err
}

// offerDraft appends a held draft. It stays held until it has been read back.
func (d *Manager) offerDraft(next offer) {
	_, err := d.acceptInLog(context.Background(), next.draft, next.accepted, next.accepted.GetRequest().GetInline())
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.held[next.draft]; h != nil && err != nil {
		h.offered = false
	}
}
