package steward_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/steward"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

func TestHubReturnsSumOfOtherInstances(t *testing.T) {
	c := qt.New(t)
	hub := steward.NewHub()
	now := time.Now()
	a := []quotation.Usage{{
		Address: "10.0.0.1:80",
		Slots:   3,
		Tokens:  100,
	}}
	c.Assert(hub.Update("a", a, now), qt.HasLen, 0)
	c.Assert(hub.Update("a", a, now), qt.HasLen, 0)
	c.Assert(hub.Update("b", nil, now), qt.DeepEquals, a)
	c.Assert(hub.Update("a", nil, now), qt.HasLen, 0)
	c.Assert(hub.Update("b", nil, now), qt.HasLen, 0)
}

func TestHubDropsExpiredReports(t *testing.T) {
	c := qt.New(t)
	hub := steward.NewHub()
	now := time.Now()
	hub.Update("a", []quotation.Usage{{
		Address: "10.0.0.1:80",
		Slots:   3,
	}}, now)
	c.Assert(hub.Update("b", nil, now.Add(time.Second)), qt.HasLen, 1)
	c.Assert(hub.Update("b", nil, now.Add(3*time.Second)), qt.HasLen, 0)
}

// region is a set of instances with hubs. Unreachable ones don't respond.
type region struct {
	mu          sync.Mutex
	hubs        map[string]*steward.Hub
	unreachable map[string]bool
}

func (r *region) Peers() []steward.Peer {
	var peers []steward.Peer
	for id := range r.hubs {
		peers = append(peers, steward.Peer{
			ID:      id,
			Address: id,
		})
	}
	return peers
}

func (r *region) Engines() []string { return []string{"10.0.0.1:80"} }

type peer struct {
	region *region
	id     string
}

func (p peer) Exchange(ctx context.Context, req *stewardpb.ExchangeRequest) (*stewardpb.ExchangeReply, error) {
	p.region.mu.Lock()
	unreachable := p.region.unreachable[p.id]
	p.region.mu.Unlock()
	if unreachable {
		return nil, errors.New("no response")
	}
	return p.region.hubs[p.id].Exchange(ctx, req)
}

// fakeUsageStore reports a local load of one slot and keeps the last remote load.
type fakeUsageStore struct {
	mu          sync.Mutex
	remoteSlots int64
	updatedAt   time.Time
}

func (s *fakeUsageStore) LocalUsage() []quotation.Usage {
	return []quotation.Usage{{
		Address: "10.0.0.1:80",
		Slots:   1,
	}}
}

func (s *fakeUsageStore) SetRemoteUsage(_ []string, usages map[string]quotation.Usage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteSlots = usages["10.0.0.1:80"].Slots
	s.updatedAt = now
}

func (s *fakeUsageStore) lastUpdate() (int64, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.remoteSlots, time.Since(s.updatedAt)
}

func TestClientsReplaceLostSteward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &region{
			hubs:        map[string]*steward.Hub{},
			unreachable: map[string]bool{},
		}
		ctx, cancel := context.WithCancel(c.Context())
		var wg sync.WaitGroup
		stores := map[string]*fakeUsageStore{}
		for _, id := range []string{"a", "b", "c", "d"} {
			r.hubs[id] = steward.NewHub()
			stores[id] = &fakeUsageStore{}
		}
		for id, store := range stores {
			client := steward.NewClient(steward.Deps{
				Instance: id,
				Usage:    store,
				Members:  r,
				Hub:      r.hubs[id],
				Dial: func(address string) stewardpb.Steward {
					return peer{
						region: r,
						id:     address,
					}
				},
			})
			wg.Go(func() { _ = client.Run(ctx) })
		}
		checkAll := func(lost string) {
			for id, store := range stores {
				remoteSlots, age := store.lastUpdate()
				if id == lost {
					continue
				}
				c.Check(remoteSlots, qt.Equals, int64(3), qt.Commentf("%s, lost %q", id, lost))
				c.Check(age <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %s", id, age))
			}
		}
		time.Sleep(time.Second)
		checkAll("")
		for lost := range stores {
			r.mu.Lock()
			r.unreachable = map[string]bool{lost: true}
			r.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			for id, store := range stores {
				_, age := store.lastUpdate()
				c.Check(age <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s without %s: %s", id, lost, age))
			}
			r.mu.Lock()
			r.unreachable = map[string]bool{}
			r.mu.Unlock()
			time.Sleep(3 * time.Second)
			checkAll("")
		}
		cancel()
		wg.Wait()
	})
}
