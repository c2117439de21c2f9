package quotation_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

var now = time.Date(2026, time.March, 12, 9, 0, 0, 0, time.UTC)

// staticServers is a fixed list of backend servers.
type staticServers []crew.Server

func (s staticServers) Servers() []crew.Server { return s }

// engines returns n engines in two regions. A third of them are for prefill.
func engines(n int) staticServers {
	servers := make(staticServers, 0, n)
	for i := range n {
		role := kiln.RoleDecode
		if i%3 == 0 {
			role = kiln.RolePrefill
		}
		dataCentre, region := "randstad-a", "randstad"
		if i >= n/2 {
			dataCentre, region = "oost-a", "oost"
		}
		servers = append(servers, crew.Server{
			Name:       fmt.Sprint("w", i),
			Address:    fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
			DataCentre: dataCentre,
			Region:     region,
			Model:      "draft-7b",
			Role:       role,
			Slots:      20,
			State:      crew.StateLive,
			Load: kiln.LoadReport{
				At:              now,
				SlotsUsed:       i % 20,
				TokensPerSecond: 20_000,
			},
		})
	}
	return servers
}

func newRequest() quotation.Request {
	return quotation.Request{
		ID:           "r1",
		Model:        "draft-7b",
		PromptTokens: 4000,
		Blocks:       kiln.HashBlocks(string(make([]byte, 15*kiln.BlockBytes))),
		OutputTokens: 100,
		PromptBytes:  16_000,
		DataCentre:   "randstad-a",
	}
}

func fillRegion(servers staticServers, region string) {
	for i := range servers {
		if servers[i].Region == region {
			servers[i].Load.SlotsUsed = 20
		}
	}
}

func TestPlaceStaysInRegionWithCapacity(t *testing.T) {
	c := qt.New(t)
	placer := quotation.NewPlacer(quotation.Deps{Servers: engines(24)})
	req := newRequest()
	req.Waited = time.Minute
	for i := range 60 {
		req.ID = fmt.Sprint("r", i)
		run, ok := placer.Place(req, now).(quotation.Run)
		c.Assert(ok, qt.IsTrue)
		c.Assert(run.Decode.Region, qt.Equals, "randstad")
		c.Assert(run.Prefill.Region, qt.Equals, "randstad")
		placer.Allocate(run, now)
	}
	c.Assert(placer.CrossRegionBytes(), qt.Equals, int64(0))
}

func TestPlaceInOtherRegionWithinBudget(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	fillRegion(servers, "randstad")
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	req := newRequest()
	_, waiting := placer.Place(req, now).(quotation.Wait)
	c.Assert(waiting, qt.IsTrue)
	req.Waited = time.Second
	placed := 0
	for i := range 100 {
		req.ID = fmt.Sprint("r", i)
		run, ok := placer.Place(req, now).(quotation.Run)
		if !ok {
			continue
		}
		placed++
		c.Assert(run.Decode.Region, qt.Equals, "oost")
		c.Assert(run.Prefill.Region, qt.Equals, "oost")
		c.Assert(run.CrossRegionBytes > int64(req.PromptBytes), qt.IsTrue)
	}
	c.Assert(placed > 0 && placed < 100, qt.IsTrue, qt.Commentf("%d", placed))
	c.Assert(placer.CrossRegionBytes() <= int64(quotation.DefaultConfig().CrossRegionBytesPerSecond), qt.IsTrue)
}

func TestPlacePrefersCachedPrefix(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	req := newRequest()
	var events []kiln.CacheEvent
	for _, block := range req.Blocks[:10] {
		events = append(events, kiln.CacheEvent{
			Kind:  kiln.CacheStored,
			Block: block,
		})
	}
	placer.ApplyCacheEvents(servers[9].Address, events)
	run := placer.Place(req, now).(quotation.Run)
	c.Assert(run.Prefill.Name, qt.Equals, "w9")
	c.Assert(run.CachedTokens, qt.Equals, 10*256)
	for range 4 {
		placer.Allocate(run, now)
	}
	run = placer.Place(req, now).(quotation.Run)
	c.Assert(run.Prefill.Name, qt.Not(qt.Equals), "w9")
}

func TestPlaceRefusesWithoutServers(t *testing.T) {
	c := qt.New(t)
	placer := quotation.NewPlacer(quotation.Deps{Servers: engines(24)})
	req := newRequest()
	req.Model = "unknown"
	c.Assert(placer.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
	req = newRequest()
	req.Servers = []string{"w1"}
	c.Assert(placer.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
}

func TestPlaceSkipsLeavingServers(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	for i := range servers {
		if servers[i].Region == "randstad" && servers[i].Role == kiln.RoleDecode && i != 4 {
			servers[i].State = crew.StateLeaving
		}
	}
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	run := placer.Place(newRequest(), now).(quotation.Run)
	c.Assert(run.Decode.Name, qt.Equals, "w4")
}

func TestSetRemoteUsageReplacesDelayedReports(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	remote := map[string]quotation.Usage{}
	var addresses []string
	for i := range servers {
		addresses = append(addresses, servers[i].Address)
		if i != 7 {
			remote[servers[i].Address] = quotation.Usage{Slots: 20}
		}
	}
	placer.SetRemoteUsage(addresses, remote, now)
	run := placer.Place(newRequest(), now).(quotation.Run)
	c.Assert(run.Decode.Name, qt.Equals, "w7")
	later, ok := placer.Place(newRequest(), now.Add(time.Second)).(quotation.Run)
	c.Assert(ok, qt.IsTrue)
	c.Assert(later.Decode.Name, qt.Not(qt.Equals), "w7")
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 100, 800} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			placer := quotation.NewPlacer(quotation.Deps{Servers: engines(n)})
			req := newRequest()
			b.ReportAllocs()
			for b.Loop() {
				placer.Place(req, now)
			}
		})
	}
}

// Engines that have asked for no requests aren't chosen. The others take their load.
func TestPlaceSkipsPausedEngines(t *testing.T) {
	c := qt.New(t)
	servers := engines(30)
	free := 0
	for i := range servers {
		if i%5 != 1 && i%5 != 0 {
			servers[i].PausedUntil = now.Add(time.Second)
		} else {
			free++
		}
	}
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	for i := range 50 {
		req := newRequest()
		req.ID = fmt.Sprint("r", i)
		run, ok := placer.Place(req, now).(quotation.Run)
		c.Assert(ok, qt.IsTrue)
		for _, w := range []*quotation.Worker{run.Decode, run.Prefill} {
			c.Assert(w.Name, qt.Matches, `w\d*[0156]`)
		}
	}
	c.Assert(free, qt.Equals, 12)
}

// If all engines of a role have asked for no requests, a request isn't queued in vain: the decision
// says when the first engines of both roles take requests.
func TestPlaceAllEnginesPaused(t *testing.T) {
	c := qt.New(t)
	servers := engines(30)
	for i := range servers {
		if servers[i].Role == kiln.RoleDecode {
			servers[i].PausedUntil = now.Add(time.Duration(2+i) * time.Second)
		}
	}
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	c.Assert(placer.Place(newRequest(), now), qt.DeepEquals, quotation.Decision(quotation.Paused{Until: now.Add(3 * time.Second)}))
	req := newRequest()
	req.Excluded = []string{servers[1].Address}
	c.Assert(placer.Place(req, now), qt.DeepEquals, quotation.Decision(quotation.Paused{Until: now.Add(4 * time.Second)}))
	_, ok := placer.Place(newRequest(), now.Add(3*time.Second)).(quotation.Paused)
	c.Assert(ok, qt.IsFalse)
}
