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

func TestHubAddsUpTheOthers(t *testing.T) {
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

func TestHubForgetsTheGone(t *testing.T) {
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

// region is a set of instances with hubs; some don't answer.
type region struct {
	mu   sync.Mutex
	hubs map[string]*steward.Hub
	lost map[string]bool
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
	lost := p.region.lost[p.id]
	p.region.mu.Unlock()
	if lost {
		return nil, errors.New("no answer")
	}
	return p.region.hubs[p.id].Exchange(ctx, req)
}

// fakeBook uses one slot and keeps what it learned last.
type fakeBook struct {
	mu      sync.Mutex
	others  int64
	learned time.Time
}

func (b *fakeBook) LocalUsage() []quotation.Usage {
	return []quotation.Usage{{
		Address: "10.0.0.1:80",
		Slots:   1,
	}}
}

func (b *fakeBook) SetRemoteUsage(_ []string, usages map[string]quotation.Usage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = usages["10.0.0.1:80"].Slots
	b.learned = now
}

func (b *fakeBook) last() (int64, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.others, time.Since(b.learned)
}

func TestClientsGoOnWithoutTheSteward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := &region{
			hubs: map[string]*steward.Hub{},
			lost: map[string]bool{},
		}
		ctx, stop := context.WithCancel(c.Context())
		var running sync.WaitGroup
		books := map[string]*fakeBook{}
		for _, id := range []string{"a", "b", "c", "d"} {
			r.hubs[id] = steward.NewHub()
			books[id] = &fakeBook{}
		}
		for id, book := range books {
			client := steward.NewClient(steward.Deps{
				Instance: id,
				Usage:    book,
				Members:  r,
				Hub:      r.hubs[id],
				Dial: func(address string) stewardpb.Steward {
					return peer{
						region: r,
						id:     address,
					}
				},
			})
			running.Go(func() { _ = client.Run(ctx) })
		}
		check := func(lost string) {
			for id, book := range books {
				others, age := book.last()
				if id == lost {
					continue
				}
				c.Check(others, qt.Equals, int64(3), qt.Commentf("%s, lost %q", id, lost))
				c.Check(age <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %s", id, age))
			}
		}
		time.Sleep(time.Second)
		check("")
		for lost := range books {
			r.mu.Lock()
			r.lost = map[string]bool{lost: true}
			r.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			for id, book := range books {
				_, age := book.last()
				c.Check(age <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s without %s: %s", id, lost, age))
			}
			r.mu.Lock()
			r.lost = map[string]bool{}
			r.mu.Unlock()
			time.Sleep(3 * time.Second)
			check("")
		}
		stop()
		running.Wait()
	})
}
