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

type fixed []crew.Server

func (f fixed) Servers() []crew.Server { return f }

// engines returns workers in two regions, a third of them for prefill.
func engines(n int) fixed {
	servers := make(fixed, 0, n)
	for i := range n {
		role := kiln.RoleDecode
		if i%3 == 0 {
			role = kiln.RolePrefill
		}
		place, region := "randstad-a", "randstad"
		if i >= n/2 {
			place, region = "oost-a", "oost"
		}
		servers = append(servers, crew.Server{
			Name:       fmt.Sprint("w", i),
			Address:    fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1),
			DataCentre: place,
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

func request() quotation.Request {
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

func fill(servers fixed, region string) {
	for i := range servers {
		if servers[i].Region == region {
			servers[i].Load.SlotsUsed = 20
		}
	}
}

func TestPlaceStaysInRegionWithCapacity(t *testing.T) {
	c := qt.New(t)
	book := quotation.NewPlacer(quotation.Deps{Servers: engines(24)})
	req := request()
	req.Waited = time.Minute
	for i := range 60 {
		req.ID = fmt.Sprint("r", i)
		run, ok := book.Place(req, now).(quotation.Run)
		c.Assert(ok, qt.IsTrue)
		c.Assert(run.Decode.Region, qt.Equals, "randstad")
		c.Assert(run.Prefill.Region, qt.Equals, "randstad")
		book.Allocate(run, now)
	}
	c.Assert(book.CrossRegionBytes(), qt.Equals, int64(0))
}

func TestPlaceMovesWholeRequestAbroadWithinBudget(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	fill(servers, "randstad")
	book := quotation.NewPlacer(quotation.Deps{Servers: servers})
	req := request()
	_, waits := book.Place(req, now).(quotation.Wait)
	c.Assert(waits, qt.IsTrue)
	req.Waited = time.Second
	abroad := 0
	for i := range 100 {
		req.ID = fmt.Sprint("r", i)
		run, ok := book.Place(req, now).(quotation.Run)
		if !ok {
			continue
		}
		abroad++
		c.Assert(run.Decode.Region, qt.Equals, "oost")
		c.Assert(run.Prefill.Region, qt.Equals, "oost")
		c.Assert(run.CrossRegionBytes > int64(req.PromptBytes), qt.IsTrue)
	}
	c.Assert(abroad > 0 && abroad < 100, qt.IsTrue, qt.Commentf("%d", abroad))
	c.Assert(book.CrossRegionBytes() <= int64(quotation.DefaultConfig().CrossRegionBytesPerSecond), qt.IsTrue)
}

func TestPlacePrefersCachedPrefix(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	book := quotation.NewPlacer(quotation.Deps{Servers: servers})
	req := request()
	var events []kiln.CacheEvent
	for _, block := range req.Blocks[:10] {
		events = append(events, kiln.CacheEvent{
			Kind:  kiln.CacheStored,
			Block: block,
		})
	}
	book.ApplyCacheEvents(servers[9].Address, events)
	run := book.Place(req, now).(quotation.Run)
	c.Assert(run.Prefill.Name, qt.Equals, "w9")
	c.Assert(run.CachedTokens, qt.Equals, 10*256)
	for range 4 {
		book.Allocate(run, now)
	}
	run = book.Place(req, now).(quotation.Run)
	c.Assert(run.Prefill.Name, qt.Not(qt.Equals), "w9")
}

func TestPlaceRefusesWithoutServers(t *testing.T) {
	c := qt.New(t)
	book := quotation.NewPlacer(quotation.Deps{Servers: engines(24)})
	req := request()
	req.Model = "unknown"
	c.Assert(book.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
	req = request()
	req.Servers = []string{"w1"}
	c.Assert(book.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
}

func TestPlaceSkipsTheLeaving(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	for i := range servers {
		if servers[i].Region == "randstad" && servers[i].Role == kiln.RoleDecode && i != 4 {
			servers[i].State = crew.StateLeaving
		}
	}
	book := quotation.NewPlacer(quotation.Deps{Servers: servers})
	run := book.Place(request(), now).(quotation.Run)
	c.Assert(run.Decode.Name, qt.Equals, "w4")
}

func TestLearnReplacesLaggedReports(t *testing.T) {
	c := qt.New(t)
	servers := engines(24)
	book := quotation.NewPlacer(quotation.Deps{Servers: servers})
	told := map[string]quotation.Usage{}
	var addresses []string
	for i := range servers {
		addresses = append(addresses, servers[i].Address)
		if i != 7 {
			told[servers[i].Address] = quotation.Usage{Slots: 20}
		}
	}
	book.SetRemoteUsage(addresses, told, now)
	run := book.Place(request(), now).(quotation.Run)
	c.Assert(run.Decode.Name, qt.Equals, "w7")
	later, ok := book.Place(request(), now.Add(time.Second)).(quotation.Run)
	c.Assert(ok, qt.IsTrue)
	c.Assert(later.Decode.Name, qt.Not(qt.Equals), "w7")
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 100, 800} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			book := quotation.NewPlacer(quotation.Deps{Servers: engines(n)})
			req := request()
			b.ReportAllocs()
			for b.Loop() {
				book.Place(req, now)
			}
		})
	}
}
