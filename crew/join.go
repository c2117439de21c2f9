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
	// syncTimeout bounds a read of a peer's records.
	syncTimeout = time.Second
	// minJoinBackoff and maxJoinBackoff bound the delay between two attempts to join.
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = 2 * time.Second
	// maxPeerAttempts is the number of attempts to ask a peer before the platform's
	// list is read.
	maxPeerAttempts = 3
	// listReadJitter bounds the random delay before a starting instance first reads the
	// platform's list.
	listReadJitter = 400 * time.Millisecond
	// minSyncInterval is the minimum time between two syncs started because digests
	// differ.
	minSyncInterval = 5 * time.Second
	// syncsPerSecond limits the syncs that one instance answers.
	syncsPerSecond = 4
)

var errNoPeer = errors.New("no peer known")

// join learns the members from a peer or from the platform's list, whichever answers.
// After instanceLease without an answer, it continues with the instance alone.
func (m *Membership) join(ctx context.Context) {
	deadline := time.Now().Add(instanceLease)
	backoff := minJoinBackoff
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := m.tryJoin(ctx, attempt)
		if err == nil || time.Now().After(deadline) {
			m.mu.Lock()
			m.setReadyLocked()
			m.mu.Unlock()
			return
		}
		log.Info().Str("step", "join").Err(err).Msg("join attempt failed, retrying")
		if !m.sleep(ctx, m.jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxJoinBackoff)
	}
}

// tryJoin asks a peer first, because a peer's reply is smaller than the platform's
// list. It reads the list if no peer is known or none has answered. A random delay
// before the read avoids a thundering herd when a whole rack restarts.
func (m *Membership) tryJoin(ctx context.Context, attempt int) error {
	peerErr := m.syncWithAny(ctx)
	if peerErr == nil {
		return nil
	}
	mayAskAgain := attempt+1 < maxPeerAttempts && !errors.Is(peerErr, errNoPeer)
	if m.deps.List == nil || mayAskAgain || !m.sleep(ctx, m.jitter(listReadJitter)) {
		return peerErr
	}
	m.readList(ctx)
	if m.listAtMS() == 0 {
		return fmt.Errorf("join: platform's instance list unavailable; peers: %w", peerErr)
	}
	if err := m.syncWithAny(ctx); err != nil && !errors.Is(err, errNoPeer) {
		log.Info().Str("step", "join").Err(err).Msg("no peer answered, using the members of the platform's list")
	}
	return nil
}

// syncWithAny reads the records of one peer: an instance of the same data centre if one
// is known, otherwise a configured peer.
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

// startSync reads a peer's records in the background, unless a sync was started within
// minSyncInterval. The caller must hold m.mu.
func (m *Membership) startSync(peer *Instance) {
	now := time.Now()
	if now.Sub(m.lastSync) < minSyncInterval {
		return
	}
	m.lastSync = now
	m.digestMismatches = 0
	m.submit(func(ctx context.Context) {
		if err := m.sync(ctx, peer.Address); err != nil {
			log.Warn().Str("step", "sync").Str("peer", peer.Address).Err(err).Msg("reading the records of a peer failed")
		}
	})
}

// sync reads a peer's records of the data centres whose digests differ. It queues as
// updates those records that are different or missing in the reply.
func (m *Membership) sync(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	m.deps.Metrics.Count("crew_sync", "asked")
	v := m.view.Load()
	reply, err := m.deps.Dial(address).Sync(ctx, &crewpb.SyncRequest{
		Digests: v.index.digests,
		Self:    v.instanceRecords[v.self.ID].toProto(),
	})
	if err != nil {
		return fmt.Errorf("sync: peer %s: %w", address, err)
	}
	e := recordsFromProto(&crewpb.Gossip{
		Instances: reply.GetInstances(),
		Servers:   reply.GetServers(),
	}, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commitLocked(m.isReady, []Event{e})
	m.addUpdates(m.unknownToPeer(e, reply.GetDataCentres()))
	m.updateListAt(reply.GetListAtMs())
	if m.deps.OnPeerVersion != nil {
		m.deps.OnPeerVersion(address, reply.GetDocumentVersion())
	}
	return nil
}

// unknownToPeer returns the members of the given data centres whose merged records
// differ from those received.
func (m *Membership) unknownToPeer(e RecordsReceived, dataCentres []string) []string {
	v := m.view.Load()
	received := map[string]uint64{}
	for _, r := range e.instances {
		received[r.id] = r.digest()
	}
	for _, r := range e.servers {
		received[r.name] = r.digest()
	}
	var names []string
	for id, r := range v.instanceRecords {
		if slices.Contains(dataCentres, r.dataCentre) && received[id] != r.digest() {
			names = append(names, id)
		}
	}
	for name, r := range v.serverRecords {
		if slices.Contains(dataCentres, v.dataCentreOf(name)) && received[name] != r.digest() {
			names = append(names, name)
		}
	}
	return names
}

// dataCentreOf returns the data centre of a server, or an empty string if the routing
// document does not list the server.
func (v *View) dataCentreOf(server string) string {
	i, ok := v.index.servers[server]
	if !ok {
		return ""
	}
	return v.servers[i].DataCentre
}

// Sync returns the records of the data centres whose digests differ.
func (m *Membership) Sync(_ context.Context, req *crewpb.SyncRequest) (*crewpb.SyncReply, error) {
	if !m.allowSync(time.Now()) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many syncs")
	}
	if req.GetSelf() != nil {
		m.commit(RecordsReceived{
			At:        time.Now(),
			instances: []instanceRecord{instanceFromProto(req.GetSelf())},
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
			reply.Instances = append(reply.Instances, r.toProto())
		}
	}
	for name, r := range v.serverRecords {
		if slices.Contains(reply.DataCentres, v.dataCentreOf(name)) {
			reply.Servers = append(reply.Servers, r.toProto())
		}
	}
	return reply, nil
}

func (m *Membership) listAtMS() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return unixMillis(m.listAt)
}

// Leave announces to one instance of each data centre that this instance takes no new
// work. It calls each of them once and returns the errors of the failed calls. This
// instance continues to take part in the waves.
func (m *Membership) Leave(ctx context.Context) error {
	m.commit(InstanceLeaving{
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

// allowSync reports whether another sync may be answered in the current second.
func (m *Membership) allowSync(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.syncWindow) >= time.Second {
		m.syncWindow = now
		m.syncCount = 0
	}
	m.syncCount++
	return m.syncCount <= syncsPerSecond
}

// jitter returns a random duration between d/2 and d.
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
