package draft

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/draft/draftpb"
)

const (
	// controlInterval is the longest time between two planning passes over all drafts.
	controlInterval = 500 * time.Millisecond
	// minControlInterval is the shortest time between two planning passes.
	minControlInterval = 20 * time.Millisecond
	// reappendGrace is how long other instances wait for the responsible instance to
	// append a draft that the log has trimmed.
	reappendGrace = 2 * time.Second
	// appendRetryInterval is the time between two attempts to append a record.
	appendRetryInterval = time.Second
	// retryAfter is the delay after which callers are told to retry.
	retryAfter = time.Second
)

// action is one step that the control loop has planned.
type action interface{ isAction() }

type (
	// startAction runs a draft that this instance owns.
	startAction struct {
		draftID id
		epoch   uint64
	}
	// adoptAction takes over a draft whose owner's lease has expired.
	adoptAction struct {
		draftID id
		epoch   uint64
	}
	// reappendAction appends the state of a draft again.
	reappendAction struct{ draftID id }
	// appendHeldAction appends a draft that is held in memory.
	appendHeldAction struct {
		draftID  id
		accepted *draftpb.Accepted
	}
	// renewAction renews the lease of this instance.
	renewAction struct{ leaseDuration time.Duration }
)

func (startAction) isAction()      {}
func (adoptAction) isAction()      {}
func (reappendAction) isAction()   {}
func (appendHeldAction) isAction() {}
func (renewAction) isAction()      {}

// runControlLoop plans and executes actions until the context ends.
func (m *Manager) runControlLoop(ctx context.Context) error {
	for {
		for _, a := range m.planActions(time.Now()) {
			m.execute(a)
		}
		if !sleep(ctx, minControlInterval) {
			return ctx.Err()
		}
		timer := time.NewTimer(controlInterval)
		select {
		case <-timer.C:
		case <-m.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// planActions returns the actions that are due. It marks their drafts, so that no
// action is planned twice.
func (m *Manager) planActions(now time.Time) []action {
	fresh := m.Ready()
	logOldest := m.batcher.State().LogOldest
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logOldest = logOldest
	m.updateFreshness(fresh, now)
	m.table.expire(now.Add(-millis(m.deps.Config.LifetimeMS)))
	actions := m.planHeld(fresh, now)
	if m.leaving {
		return actions
	}
	live := m.table.liveInstances(now)
	if interval := m.deps.Config.renewInterval(len(live)); !m.renewing && now.Sub(m.renewedAt) >= interval {
		m.renewing = true
		actions = append(actions, renewAction{leaseDuration: m.deps.Config.leaseDuration(interval)})
	}
	for _, d := range m.table.drafts {
		if a := m.planDraft(d, live, now); a != nil {
			actions = append(actions, a)
		}
	}
	return actions
}

// updateFreshness records since when this instance is up to date with the log. Leases
// restart when it becomes so, because renewals may have been missed before.
func (m *Manager) updateFreshness(fresh bool, now time.Time) {
	switch {
	case !fresh:
		m.freshSince = time.Time{}
	case m.freshSince.IsZero():
		m.freshSince = now
		m.table.restartLeases(now)
	}
}

func (m *Manager) planDraft(d *draft, live []string, now time.Time) action {
	if m.appending[d.id] {
		return nil
	}
	if a := m.planOwnership(d, live, now); a != nil {
		return a
	}
	if !m.freshSince.IsZero() && m.mustReappend(d, live, now) {
		m.appending[d.id] = true
		return reappendAction{draftID: d.id}
	}
	return nil
}

// mustReappend reports whether this instance has to append the state of a draft again.
// The responsible instance does so after half of the retention. If the log has trimmed
// the state earlier, that instance may have lost it too. After a grace period, every
// instance that knows the draft appends it.
func (m *Manager) mustReappend(d *draft, live []string, now time.Time) bool {
	isTrimmed := d.offset < m.logOldest
	if isTrimmed && d.trimmedAt.IsZero() {
		d.trimmedAt = now
	}
	isDue := isTrimmed || now.Sub(d.stateAt) > millis(m.deps.Config.RetentionMS)/2
	if isDue && m.reappender(d, live, now) == m.deps.Instance {
		return true
	}
	return isTrimmed && now.Sub(d.trimmedAt) > reappendGrace
}

// reappender returns the instance that is responsible for appending a draft again: the
// owner of an unfinished draft, which has the request in memory, or else the live
// instance with the highest weight.
func (m *Manager) reappender(d *draft, live []string, now time.Time) string {
	if d.result == nil && !m.table.isLeaseExpired(d.owner, now) {
		return d.owner
	}
	return chooseInstance(d.id, live)
}

// planOwnership starts a draft that this instance owns, or adopts one whose owner's
// lease has expired. Unless the owner has left, this instance must have read the log
// for a whole lease first, so that it has not missed a renewal.
func (m *Manager) planOwnership(d *draft, live []string, now time.Time) action {
	if d.result != nil {
		return nil
	}
	if d.owner == m.deps.Instance {
		return m.planStart(d, now)
	}
	leaseDuration := m.deps.Config.leaseDuration(m.deps.Config.renewInterval(len(live)))
	leasePassed := !m.freshSince.IsZero() && now.Sub(m.freshSince) > leaseDuration
	departed := !m.freshSince.IsZero() && m.table.departed[d.owner]
	if (leasePassed || departed) && m.table.isLeaseExpired(d.owner, now) && chooseInstance(d.id, live) == m.deps.Instance {
		m.appending[d.id] = true
		return adoptAction{
			draftID: d.id,
			epoch:   d.epoch + 1,
		}
	}
	return nil
}

func (m *Manager) planStart(d *draft, now time.Time) action {
	if m.running[d.id] != nil || len(m.running) >= m.deps.Config.MaxRunning || now.Before(m.retryAt[d.id]) {
		return nil
	}
	m.running[d.id] = &activeRun{
		epoch:  d.epoch,
		cancel: func() {},
	}
	return startAction{
		draftID: d.id,
		epoch:   d.epoch,
	}
}

// planHeld returns the held drafts to append once the log is available: immediately if
// this instance accepted the draft, after HoldGraceMS otherwise.
func (m *Manager) planHeld(fresh bool, now time.Time) []action {
	var actions []action
	for draftID, h := range m.held {
		if m.table.isKnown(draftID) {
			delete(m.held, draftID)
			continue
		}
		ready := fresh && (h.acceptedHere || now.Sub(m.freshSince) > millis(m.deps.Config.HoldGraceMS))
		if !ready || h.appending {
			continue
		}
		h.appending = true
		actions = append(actions, appendHeldAction{
			draftID:  draftID,
			accepted: h.accepted,
		})
	}
	return actions
}

func (m *Manager) execute(a action) {
	switch a := a.(type) {
	case startAction:
		m.work.Go(func() { m.runDraft(a) })
	case adoptAction:
		m.work.Go(func() { m.adoptDraft(a) })
	case reappendAction:
		m.work.Go(func() { m.reappendDraft(a) })
	case appendHeldAction:
		m.work.Go(func() { m.appendHeldDraft(a) })
	case renewAction:
		m.work.Go(func() { m.renewLease(a) })
	}
}

func (m *Manager) renewLease(a renewAction) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.renewing = false
	}()
	began := time.Now()
	raw, err := encodeRecord(id{}, &draftpb.Record{Body: &draftpb.Record_Lease{Lease: &draftpb.Lease{
		Instance: m.deps.Instance,
		LeaseMs:  uint32(a.leaseDuration.Milliseconds()),
	}}})
	if err != nil || !m.appendOnce(raw) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewedAt = began
}

// appendOnce reports whether one attempt to append a record succeeded. It is bounded by
// LeaseMS.
func (m *Manager) appendOnce(raw []byte) bool {
	ctx, cancel := m.withTimeout(context.Background(), millis(m.deps.Config.LeaseMS))
	defer cancel()
	_, err := m.batcher.Submit(ctx, raw)
	return err == nil
}

func (m *Manager) clearAppending(draftID id) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.appending, draftID)
}

func (m *Manager) adoptDraft(a adoptAction) {
	defer m.wakeControl()
	defer m.clearAppending(a.draftID)
	m.probe(beforeAdoption)
	raw, err := encodeRecord(a.draftID, &draftpb.Record{Body: &draftpb.Record_Adopted{Adopted: &draftpb.Adopted{
		Epoch: a.epoch,
		Owner: m.deps.Instance,
	}}})
	if err == nil && m.appendOnce(raw) {
		m.count("drafts", "adoption")
	}
}

// reappendDraft appends the payloads and the state of a draft again, so that they
// outlive the retention of the log.
func (m *Manager) reappendDraft(a reappendAction) {
	defer m.clearAppending(a.draftID)
	if err := m.appendSnapshot(a.draftID); err != nil {
		log.Warn().Str("step", "keep").Str("request", a.draftID.String()).Err(err).Msg("cannot append draft again")
	}
}

func (m *Manager) appendSnapshot(draftID id) error {
	m.mu.Lock()
	d := m.table.drafts[draftID]
	if d == nil {
		m.mu.Unlock()
		return nil
	}
	snapshot := d.snapshot()
	m.mu.Unlock()
	ctx, cancel := m.withTimeout(context.Background(), millis(m.deps.Config.LeaseMS))
	defer cancel()
	updated, err := m.storeBlobsAgain(ctx, draftID, snapshot)
	if err != nil {
		return err
	}
	raw, err := encodeRecord(draftID, &draftpb.Record{Body: &draftpb.Record_Kept{Kept: updated}})
	if err != nil {
		return err
	}
	_, err = m.batcher.Submit(ctx, raw)
	return err
}

// appendHeldDraft appends a held draft. The draft is held until it has been read back
// from the log.
func (m *Manager) appendHeldDraft(a appendHeldAction) {
	_, err := m.acceptInLog(context.Background(), a.draftID, a.accepted, a.accepted.GetRequest().GetInline())
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.held[a.draftID]; h != nil && err != nil {
		h.appending = false
	}
}
