package crew

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/crew/crewpb"
)

const (
	// exchangeTimeout bounds an exchange outside of waves.
	exchangeTimeout = 400 * time.Millisecond
	// listTimeout bounds a read of the platform's list.
	listTimeout = 2 * time.Second
	// probeWaves is the number of waves between two attempts to reach a gone instance
	// of the instance's own data centre.
	probeWaves = 2
)

// submit runs a task in the background. It does nothing if the membership has stopped.
func (m *Membership) submit(task func(ctx context.Context)) {
	if t := m.tasks.Load(); t != nil {
		t.submit(task)
	}
}

// runRootDuties does the work that one instance does for its whole data centre: it
// exchanges state with the other data centres, reads the platform's list and probes
// gone instances.
func (m *Membership) runRootDuties(number uint64) {
	v := m.view.Load()
	for _, dataCentre := range v.DataCentres() {
		if dataCentre != v.self.DataCentre && m.isExchangeDue(v, dataCentre, number) {
			peer := m.pickInstance(v, dataCentre, false)
			m.startExchange(peer, m.needsLoads(v, dataCentre))
		}
	}
	if number%probeWaves == 0 {
		m.startExchange(m.pickInstance(v, v.self.DataCentre, true), false)
	}
	if m.isListDue(v) {
		m.submit(m.readList)
	}
}

// isExchangeDue reports whether this side starts an exchange in a wave. The two data
// centres alternate, so that a link that works in only one direction is still used.
func (m *Membership) isExchangeDue(v *View, dataCentre string, number uint64) bool {
	period := uint64(m.cfg.BridgeWaves)
	if number%period != 0 {
		return false
	}
	isOdd := number/period%2 == 1
	return isOdd == (v.self.DataCentre < dataCentre)
}

// needsLoads reports whether the known loads of a data centre are old enough to be
// requested again.
func (m *Membership) needsLoads(v *View, dataCentre string) bool {
	waves := m.cfg.FarLoadWaves
	if v.RegionOf(dataCentre) == v.self.Region {
		waves = m.cfg.NearLoadWaves
	}
	var newest time.Time
	for _, server := range v.servers {
		if server.DataCentre == dataCentre && server.Load.At.After(newest) {
			newest = server.Load.At
		}
	}
	return time.Since(newest) > time.Duration(waves)*m.cfg.wavePeriod()
}

// pickInstance returns a random instance of a data centre, but never this instance
// itself. If gone is set, it picks from the gone instances only. Otherwise it prefers
// the others and falls back to the gone ones. It returns nil if there is none.
func (m *Membership) pickInstance(v *View, dataCentre string, gone bool) *Instance {
	var preferred, others []*Instance
	for _, i := range v.index.instances[dataCentre] {
		isDown := v.instanceRecords[i.ID].liveness.isDown()
		switch {
		case i.ID == v.self.ID:
		case isDown == gone:
			preferred = append(preferred, i)
		default:
			others = append(others, i)
		}
	}
	if len(preferred) == 0 && !gone {
		preferred = others
	}
	if len(preferred) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return preferred[m.rand.IntN(len(preferred))]
}

// startExchange exchanges state with a peer in the background. It does nothing if peer
// is nil.
func (m *Membership) startExchange(peer *Instance, loads bool) {
	if peer == nil {
		return
	}
	m.submit(func(ctx context.Context) {
		if err := m.exchange(ctx, peer, loads); err != nil {
			m.deps.Metrics.Count("crew_exchange_failed", peer.DataCentre)
		}
	})
}

func (m *Membership) exchange(ctx context.Context, peer *Instance, loads bool) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	g := m.exchangeMessage(loads)
	g.AsksLoads = loads
	reply, err := m.deps.Dial(peer.Address).Heartbeat(ctx, g)
	if err != nil {
		return err
	}
	// Another instance may have replaced the peer at its address.
	if peer = m.receive(reply); peer == nil {
		return errNoPeer
	}
	if m.mustCatchUp(peer, reply) {
		return m.catchUp(ctx, peer, reply)
	}
	m.recordExchange(peer, reply)
	m.syncIfDigestsDiffer(g, reply, peer)
	return nil
}

// mustCatchUp reports whether the peer's data centre becomes reachable again with
// different state. Changes made in the meantime are no longer sent as updates, such as
// that a server is leaving, so the records must be read first.
func (m *Membership) mustCatchUp(peer *Instance, g *crewpb.Gossip) bool {
	v := m.view.Load()
	return !v.Reachable(peer.DataCentre) && g.GetDigest() != v.Digest()
}

// catchUp reads the peer's records before its data centre counts as reachable.
func (m *Membership) catchUp(ctx context.Context, peer *Instance, g *crewpb.Gossip) error {
	if err := m.sync(ctx, peer.Address); err != nil {
		return err
	}
	m.recordExchange(peer, g)
	return nil
}

// syncIfDigestsDiffer reads the peer's records if the views differ although neither
// side has updates that would explain it, as after a network partition.
func (m *Membership) syncIfDigestsDiffer(sent, reply *crewpb.Gossip, peer *Instance) {
	noUpdates := len(reply.GetInstances()) <= 1 && len(reply.GetServers()) == 0 && len(sent.GetInstances()) <= 1 && len(sent.GetServers()) == 0
	if !noUpdates || reply.GetDigest() == m.view.Load().Digest() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startSync(peer)
}

// recordExchange records a direct exchange and queues the loads of the other side for
// the next wave.
func (m *Membership) recordExchange(peer *Instance, g *crewpb.Gossip) {
	now := time.Now()
	m.queueForNextWave(g)
	if peer.DataCentre == m.deps.Self.DataCentre {
		m.commit(InstancesSeen{
			At:   now,
			Keys: []uint32{Key(peer.ID)},
		})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outbox.addContact(peer.DataCentre, now)
	m.commitLocked(true, []Event{
		DataCentreContacted{
			At:         now,
			DataCentre: peer.DataCentre,
		},
	})
}

// replyToExchange returns the reply to an exchange outside of waves.
func (m *Membership) replyToExchange(g *crewpb.Gossip, peer *Instance) *crewpb.Gossip {
	switch {
	case peer == nil:
	case m.mustCatchUp(peer, g):
		m.submit(func(ctx context.Context) {
			if err := m.catchUp(ctx, peer, g); err != nil {
				m.deps.Metrics.Count("crew_exchange_failed", peer.DataCentre)
			}
		})
	default:
		m.recordExchange(peer, g)
	}
	reply := m.exchangeMessage(g.GetAsksLoads())
	reply.UnknownSender = peer == nil
	return reply
}

// exchangeMessage returns the message of an exchange outside of waves. It contains this
// instance's own record and, if loads is set, the loads of its data centre.
func (m *Membership) exchangeMessage(loads bool) *crewpb.Gossip {
	m.mu.Lock()
	defer m.mu.Unlock()
	v := m.view.Load()
	now := time.Now()
	g := m.newMessage(v, now)
	g.Instances = append(g.Instances, v.instanceRecords[v.self.ID].toProto())
	if !loads {
		return g
	}
	var own []serverLoad
	for _, server := range v.servers {
		isFresh := now.Sub(server.Load.At) < viewLease
		if server.DataCentre == v.self.DataCentre && isFresh {
			own = append(own, serverLoad{
				key:  Key(server.Name),
				load: server.Load,
			})
		}
	}
	setLoads(g, own)
	return g
}

// pushUpdates immediately sends updates to one instance of each data centre.
func (m *Membership) pushUpdates() {
	v := m.view.Load()
	for _, dataCentre := range v.DataCentres() {
		m.startExchange(m.pickInstance(v, dataCentre, false), false)
	}
}

// isListDue reports whether the platform's list should be read because no instance has
// read it recently enough. Each data centre waits longer than the one ranked before it,
// and those near the platform rank first.
func (m *Membership) isListDue(v *View) bool {
	if m.deps.List == nil {
		return false
	}
	rank := 0
	for _, dataCentre := range v.DataCentres() {
		isNear := m.isNearPlatform(v, dataCentre)
		if dataCentre == v.self.DataCentre || !v.Reachable(dataCentre) {
			continue
		}
		if isNear != m.isNearPlatform(v, v.self.DataCentre) {
			rank += boolToInt(isNear)
			continue
		}
		rank += boolToInt(dataCentre < v.self.DataCentre)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.cfg.listPeriod() * time.Duration(1+2*rank)
	return !m.readingList && time.Since(m.listAt) >= due-m.cfg.wavePeriod()/2
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (m *Membership) isNearPlatform(v *View, dataCentre string) bool {
	return m.cfg.PlatformRegion == "" || v.RegionOf(dataCentre) == m.cfg.PlatformRegion
}

// readList reads the platform's list and merges it.
func (m *Membership) readList(ctx context.Context) {
	m.mu.Lock()
	if m.readingList {
		m.mu.Unlock()
		return
	}
	m.readingList = true
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	now := time.Now()
	entries, err := m.deps.List.List(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readingList = false
	if err != nil {
		m.deps.Metrics.Count("crew_list_failed", "list")
		if m.listFailed {
			return
		}
		m.listFailed = true
		log.Warn().Str("step", "list").Str("peer", "platform").Err(err).Msg("reading the platform's instance list failed")
		return
	}
	m.listAt = now
	m.listFailed = false
	before := m.view.Load().Digest()
	v := m.commitLocked(m.isReady, []Event{
		ListRead{
			At:        time.Now(),
			Instances: entries,
		},
	})
	m.setReadyLocked()
	if v.Digest() != before {
		m.submit(func(context.Context) { m.pushUpdates() })
	}
}

var _ crewpb.Crew = (*Membership)(nil)
