package crew

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/balsamlock/balsamlock/crew/crewpb"
)

const (
	// pollWait is how long a wave waits for this instance's own polls. Later reports go
	// into the next wave.
	pollWait = 40 * time.Millisecond
	// levelWait is the additional time to wait for children, per tree level below this
	// instance.
	levelWait = 30 * time.Millisecond
	// waveTimeout bounds the call to the parent.
	waveTimeout = 250 * time.Millisecond
	// retainedWaves is the number of waves whose state is retained.
	retainedWaves = 4
	// frozenWaves is the number of missed waves after which the process counts as
	// having been frozen.
	frozenWaves = 4
)

// runWave takes part in one wave and then advances the time of the view.
func (m *Membership) runWave(ctx context.Context, number uint64) {
	start := time.Now()
	v := m.refute(start)
	t := newTree(v, number, m.cfg.FanOut)
	w := m.waveOf(number)
	w.expect(t.children())
	polls := m.startPolls(v, start)
	waitForPollsAndChildren(ctx, w, polls, t.height())
	r := m.sendToParent(ctx, number, t, w)
	w.finish(r)
	m.endWave(start, t, r)
	if t.parent() == nil && ctx.Err() == nil {
		m.runRootDuties(number)
	}
}

// refute returns the current view. If peers consider this instance to be gone, it first
// corrects that.
func (m *Membership) refute(now time.Time) *View {
	v := m.view.Load()
	if !v.instanceRecords[v.self.ID].liveness.isDown() {
		return v
	}
	return m.commit(InstancesSeen{
		At:   now,
		Keys: []uint32{Key(v.self.ID)},
	})
}

func waitForPollsAndChildren(ctx context.Context, w *wave, polls <-chan struct{}, height int) {
	timer := time.NewTimer(pollWait)
	defer timer.Stop()
	select {
	case <-polls:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	if height == 0 {
		return
	}
	children := time.NewTimer(pollWait + time.Duration(height)*levelWait)
	defer children.Stop()
	select {
	case <-w.gathered:
	case <-children.C:
	case <-ctx.Done():
	}
}

// sendToParent sends the collected state to the parent and returns the result of the
// wave. If the parent does not answer, this instance acts as the root of its subtree.
func (m *Membership) sendToParent(ctx context.Context, number uint64, t tree, w *wave) *result {
	m.mu.Lock()
	own := m.outbox
	m.outbox = newOutbox()
	m.mu.Unlock()
	r := w.close(Key(m.deps.Self.ID), t.membersSum(), own)
	parent := t.parent()
	if parent == nil {
		return r.computeAbsent(t.members)
	}
	pending := m.waveMessage(number, r)
	for _, l := range r.loads {
		pending.loads = append(pending.loads, l.serverLoad)
	}
	ctx, cancel := context.WithTimeout(ctx, waveTimeout)
	defer cancel()
	reply, err := m.deps.Dial(parent.Address).Heartbeat(ctx, pending.message())
	if err != nil {
		m.deps.Metrics.Count("crew_wave_failed", "parent")
		m.restoreOutbox(own)
		r.membersAgree = false
		return r
	}
	m.receive(reply)
	m.countDigestMismatch(reply, parent)
	if reply.GetUnknownSender() {
		m.announceSelf()
	}
	return r.withReply(Key(parent.ID), reply)
}

// pendingMessage is a message whose loads are not encoded yet.
type pendingMessage struct {
	gossip *crewpb.Gossip
	loads  []serverLoad
}

func (p pendingMessage) message() *crewpb.Gossip {
	setLoads(p.gossip, p.loads)
	return p.gossip
}

// waveMessage returns a message or reply of a wave without its loads.
func (m *Membership) waveMessage(number uint64, r *result) pendingMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.newMessage(m.view.Load(), time.Now())
	g.Wave = number
	g.MembersSum = r.membersSum
	g.ViewsDiffer = !r.membersAgree
	g.Present = r.present
	setContacts(g, r.contacts)
	return pendingMessage{
		gossip: g,
	}
}

// restoreOutbox returns the content of a failed call to the outbox for the next wave.
func (m *Membership) restoreOutbox(own outbox) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range own.loads {
		m.outbox.addLoad(l)
	}
	mergeContacts(m.outbox.contacts, own.contacts)
}

// announceSelf queues this instance's own record as an update again.
func (m *Membership) announceSelf() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addUpdates([]string{m.deps.Self.ID})
}

// endWave applies the result of a wave and expires leases.
func (m *Membership) endWave(start time.Time, t tree, r *result) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestResult = r
	m.lastWaveAt = now
	events := []Event{
		InstancesSeen{
			At:   start,
			Keys: r.participants(t),
		},
		r.loadsEvent(now),
	}
	for dataCentre, at := range r.contacts {
		events = append(events, DataCentreContacted{
			At:         time.UnixMilli(at),
			DataCentre: dataCentre,
		})
	}
	events = append(events, ClockAdvanced{
		Now:   now,
		Grace: now.Before(m.graceEnd),
	})
	m.commitLocked(true, events)
}

// waveOf returns the state of a wave, creating it if necessary, and deletes old waves.
func (m *Membership) waveOf(number uint64) *wave {
	m.mu.Lock()
	defer m.mu.Unlock()
	for old := range m.waves {
		if old+retainedWaves < number {
			delete(m.waves, old)
		}
	}
	w := m.waves[number]
	if w == nil {
		w = newWave()
		m.waves[number] = w
	}
	return w
}

// Heartbeat handles a peer's message. It replies to a message of a wave when the result
// of the wave is known, and to other messages immediately.
func (m *Membership) Heartbeat(ctx context.Context, g *crewpb.Gossip) (*crewpb.Gossip, error) {
	peer := m.receive(g)
	current, _ := m.nextWave(time.Now())
	number := g.GetWave()
	if number == 0 {
		return m.replyToExchange(g, peer), nil
	}
	if number+retainedWaves < current || number > current+1 {
		m.queueForNextWave(g)
		return m.waveReply(g, peer, m.lastResult())
	}
	w := m.waveOf(number)
	if !w.add(g) {
		m.queueForNextWave(g)
	}
	timer := time.NewTimer(waveTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
		return m.waveReply(g, peer, w.result)
	case <-timer.C:
		return nil, twirp.NewError(twirp.Unavailable, "wave not finished")
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.DeadlineExceeded, "caller gone")
	}
}

// queueForNextWave adds the loads and contacts of a message to the next wave.
func (m *Membership) queueForNextWave(g *crewpb.Gossip) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range loadsFromProto(g) {
		m.outbox.addLoad(l)
	}
	mergeContacts(m.outbox.contacts, contactsFromProto(g))
}

func (m *Membership) lastResult() *result {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latestResult
}

func (m *Membership) waveReply(g *crewpb.Gossip, peer *Instance, r *result) (*crewpb.Gossip, error) {
	if r == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no wave finished yet")
	}
	pending := m.waveMessage(0, r)
	pending.loads = r.loadsFor(g.GetSender())
	reply := pending.gossip
	reply.ViewsDiffer = false
	reply.Whole = r.membersAgree
	if r.membersAgree {
		reply.Present = nil
		reply.Absent = r.absent
	}
	reply.UnknownSender = peer == nil
	return pending.message(), nil
}

// countDigestMismatch counts consecutive waves in which the parent's digest differs,
// and after differingWaves of them reads the parent's records.
func (m *Membership) countDigestMismatch(reply *crewpb.Gossip, parent *Instance) {
	const differingWaves = 5
	m.mu.Lock()
	defer m.mu.Unlock()
	if reply.GetDigest() == m.view.Load().Digest() {
		m.digestMismatches = 0
		return
	}
	m.digestMismatches++
	if m.digestMismatches >= differingWaves {
		m.startSync(parent)
	}
}
