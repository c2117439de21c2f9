package crew

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/twitchtv/twirp"

	"github.com/balsamlock/balsamlock/crew/crewpb"
)

const (
	// syncTimeout bounds the reading of a peer's records.
	syncTimeout = time.Second
	// minJoinPause and maxJoinPause bound the pause between two tries to join.
	minJoinPause = 100 * time.Millisecond
	maxJoinPause = 2 * time.Second
	// peerAttempts is how often peers are asked before the list is read.
	peerAttempts = 3
	// listSpread is the time over which starting instances spread their first
	// reading of the platform's list.
	listSpread = 400 * time.Millisecond
	// syncPause is the time between two syncs of an instance with its peers.
	syncPause = 5 * time.Second
	// syncsPerSecond bounds the records that one instance gives away.
	syncsPerSecond = 4
)

var errNoPeer = errors.New("no peer known")

// join learns the members from a peer or from the platform's list, whichever
// answers; alone after instanceLease.
func (m *Membership) join(ctx context.Context) {
	deadline := time.Now().Add(instanceLease)
	pause := minJoinPause
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := m.tryJoin(ctx, attempt)
		if err == nil || time.Now().After(deadline) {
			m.mu.Lock()
			m.setReadyLocked()
			m.mu.Unlock()
			return
		}
		log.Info().Str("step", "join").Err(err).Msg("no members yet")
		if !m.sleep(ctx, m.jitter(pause)) {
			return
		}
		pause = min(2*pause, maxJoinPause)
	}
}

// tryJoin asks a peer, since a peer's answer is smaller than the platform's
// list, and reads the list where no peer is known or none has answered. Reads of
// the list are spread out, so that a rack that comes back is no stampede.
func (m *Membership) tryJoin(ctx context.Context, attempt int) error {
	peerErr := m.syncWithAny(ctx)
	if peerErr == nil {
		return nil
	}
	mayAskAgain := attempt+1 < peerAttempts && !errors.Is(peerErr, errNoPeer)
	if m.deps.List == nil || mayAskAgain || !m.sleep(ctx, m.jitter(listSpread)) {
		return peerErr
	}
	m.readList(ctx)
	if m.listAtMS() == 0 {
		return fmt.Errorf("join: list not read; %w", peerErr)
	}
	if err := m.syncWithAny(ctx); err != nil && !errors.Is(err, errNoPeer) {
		log.Info().Str("step", "join").Err(err).Msg("members known from the list only")
	}
	return nil
}

// syncWithAny reads the records of one peer: a live one of the own data centre
// if any is known, else a configured one.
func (m *Membership) syncWithAny(ctx context.Context) error {
	v := m.view.Load()
	if peer := m.pickInstance(v, v.self.DataCentre, false); peer != nil {
		return m.sync(ctx, peer.Address)
	}
	if len(m.cfg.Peers) == 0 {
		return errNoPeer
	}
	m.mu.Lock()
	address := m.cfg.Peers[m.rand.IntN(len(m.cfg.Peers))]
	m.mu.Unlock()
	if address == m.deps.Self.Address {
		return errNoPeer
	}
	return m.sync(ctx, address)
}

// startSync reads a peer's records, unless that was done just before.
func (m *Membership) startSync(peer *Instance) {
	now := time.Now()
	if now.Sub(m.synced) < syncPause {
		return
	}
	m.synced = now
	m.differs = 0
	m.submit(func(ctx context.Context) {
		if err := m.sync(ctx, peer.Address); err != nil {
			log.Warn().Str("step", "sync").Str("peer", peer.Address).Err(err).Msg("records not read")
		}
	})
}

// sync reads a peer's records where the digests differ, and passes on those in
// which this instance is ahead.
func (m *Membership) sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.deps.Metrics.Count("crew_sync", "asked")
	v := m.view.Load()
	reply, err := m.deps.Dial(address).Sync(ctx, &crewpb.SyncRequest{
		Digests: v.index.digests,
		Self:    v.instanceRecords[v.self.ID].wire(),
	})
	if err != nil {
		return fmt.Errorf("sync: peer %s: %w", address, err)
	}
	e := heardOf(&crewpb.Gossip{
		Instances: reply.GetInstances(),
		Servers:   reply.GetServers(),
	}, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commitLocked(m.isReady, []Event{e})
	m.addNews(m.ahead(e, reply.GetDataCentres()))
	m.heardListAt(reply.GetListAtMs())
	if m.deps.OnPeerVersion != nil {
		m.deps.OnPeerVersion(address, reply.GetDocumentVersion())
	}
	return nil
}

// ahead returns the members of some data centres of which this instance knows
// more than was told.
func (m *Membership) ahead(e Heard, dataCentres []string) []string {
	v := m.view.Load()
	told := map[string]uint64{}
	for _, r := range e.instances {
		told[r.id] = r.digest()
	}
	for _, r := range e.servers {
		told[r.name] = r.digest()
	}
	var names []string
	for id, r := range v.instanceRecords {
		if slices.Contains(dataCentres, r.dataCentre) && told[id] != r.digest() {
			names = append(names, id)
		}
	}
	for name, r := range v.serverRecords {
		if slices.Contains(dataCentres, v.dataCentreOf(name)) && told[name] != r.digest() {
			names = append(names, name)
		}
	}
	return names
}

// dataCentreOf returns the data centre of a server, empty for one that the
// routing document doesn't name.
func (v *View) dataCentreOf(server string) string {
	i, ok := v.index.servers[server]
	if !ok {
		return ""
	}
	return v.servers[i].DataCentre
}

// Sync returns the records of the data centres whose digests differ.
func (m *Membership) Sync(_ context.Context, req *crewpb.SyncRequest) (*crewpb.SyncReply, error) {
	if !m.admitSync(time.Now()) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many syncs")
	}
	if req.GetSelf() != nil {
		m.commit(Heard{
			At:        time.Now(),
			instances: []instanceRecord{instanceOf(req.GetSelf())},
		})
	}
	v := m.view.Load()
	reply := &crewpb.SyncReply{
		ListAtMs: m.listAtMS(),
	}
	if m.deps.DocumentVersion != nil {
		reply.DocumentVersion = m.deps.DocumentVersion()
	}
	for dataCentre, digest := range v.index.digests {
		if req.GetDigests()[dataCentre] != digest {
			reply.DataCentres = append(reply.DataCentres, dataCentre)
		}
	}
	for _, r := range v.instanceRecords {
		if slices.Contains(reply.DataCentres, r.dataCentre) {
			reply.Instances = append(reply.Instances, r.wire())
		}
	}
	for name, r := range v.serverRecords {
		if slices.Contains(reply.DataCentres, v.dataCentreOf(name)) {
			reply.Servers = append(reply.Servers, r.wire())
		}
	}
	return reply, nil
}

func (m *Membership) listAtMS() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return milliseconds(m.listAt)
}

// Leave tells all data centres that this instance takes no new work and waits
// until they were told or ctx ends. The instance goes on taking part.
func (m *Membership) Leave(ctx context.Context) error {
	m.commit(InstanceLeaves{
		ID: m.deps.Self.ID,
	})
	v := m.view.Load()
	var errs []error
	for _, dataCentre := range v.DataCentres() {
		peer := m.pickInstance(v, dataCentre, false)
		if peer == nil {
			continue
		}
		if err := m.exchange(ctx, peer, false); err != nil {
			errs = append(errs, fmt.Errorf("leave: peer %s: %w", peer.Address, err))
		}
	}
	return errors.Join(errs...)
}

func (m *Membership) setReadyLocked() {
	if !m.isReady {
		m.isReady = true
		close(m.ready)
	}
}

// admitSync bounds the syncs answered in a second.
func (m *Membership) admitSync(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.syncWindow) >= time.Second {
		m.syncWindow = now
		m.syncCount = 0
	}
	m.syncCount++
	return m.syncCount <= syncsPerSecond
}

// jitter returns a duration between half and all of d.
func (m *Membership) jitter(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return d/2 + time.Duration(m.rand.Int64N(int64(d/2)))
}

func (m *Membership) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
