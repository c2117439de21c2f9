package quotation_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/receipt"
)

// versionedEngines returns engines whose versions are given by index.
func versionedEngines(n int, version func(i int) string) staticServers {
	servers := engines(n)
	for i := range servers {
		servers[i].Version = version(i)
	}
	return servers
}

// Guards against engines of two software versions in one run.
func TestPlacePairsEnginesOfOneVersion(t *testing.T) {
	c := qt.New(t)
	placer := quotation.NewPlacer(quotation.Deps{Servers: versionedEngines(24, func(i int) string { return fmt.Sprint("v", i/3%2) })})
	seen := map[string]int{}
	for i := range 60 {
		req := newRequest()
		req.ID = fmt.Sprint("r", i)
		run, ok := placer.Place(req, now).(quotation.Run)
		c.Assert(ok, qt.IsTrue)
		c.Check(run.Prefill.Version, qt.Equals, run.Decode.Version)
		seen[run.Decode.Version]++
		placer.Allocate(run, now)
		req.Version = "v1"
		run, ok = placer.Place(req, now).(quotation.Run)
		c.Assert(ok, qt.IsTrue)
		c.Check(run.Decode.Version, qt.Equals, "v1")
		c.Check(run.Prefill.Version, qt.Equals, "v1")
	}
	c.Check(seen, qt.HasLen, 2, qt.Commentf("%v", seen))
}

// Guards against waiting for engines that can't be paired, and against servers of a pair that aren't used.
func TestPlaceWithVersionsOfOneRoleOnly(t *testing.T) {
	c := qt.New(t)
	// Only decode engines have v2.
	placer := quotation.NewPlacer(quotation.Deps{Servers: versionedEngines(24, func(i int) string {
		if i%3 == 1 {
			return "v2"
		}
		return "v1"
	})})
	req := newRequest()
	for i := range 40 {
		req.ID = fmt.Sprint("r", i)
		run, ok := placer.Place(req, now).(quotation.Run)
		c.Assert(ok, qt.IsTrue)
		c.Check(run.Decode.Version, qt.Equals, "v1")
	}
	for _, version := range []string{"v2", "v3"} {
		req.Version = version
		c.Check(placer.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
	}
	placer = quotation.NewPlacer(quotation.Deps{Servers: versionedEngines(24, func(i int) string {
		return string(engines(24)[i].Role)
	})})
	c.Check(placer.Place(newRequest(), now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
}

// Guards against a refusal of requests whose version is only busy.
func TestPlaceWaitsForEnginesOfItsVersion(t *testing.T) {
	c := qt.New(t)
	servers := versionedEngines(24, func(i int) string { return fmt.Sprint("v", i/3%2) })
	for i := range servers {
		if servers[i].Version == "v1" && servers[i].Role == kiln.RoleDecode {
			servers[i].Load.SlotsUsed = 20
		}
	}
	placer := quotation.NewPlacer(quotation.Deps{Servers: servers})
	req := newRequest()
	req.Version = "v1"
	_, waits := placer.Place(req, now).(quotation.Wait)
	c.Check(waits, qt.IsTrue)
	req.Version = ""
	_, runs := placer.Place(req, now).(quotation.Run)
	c.Check(runs, qt.IsTrue)
}

// Guards against streams that end although decode engines of their version are left, because its prefill engines have
// gone.
func TestPlaceOnDecodeEngineAlone(t *testing.T) {
	c := qt.New(t)
	cfg := quotation.DefaultConfig()
	cfg.DecodePrefillSpeed = 0.5
	// Only decode engines have v2.
	servers := versionedEngines(24, func(i int) string {
		if i%3 == 1 {
			return "v2"
		}
		return "v1"
	})
	placer := quotation.NewPlacer(quotation.Deps{
		Config:  cfg,
		Servers: servers,
	})
	req := newRequest()
	paired, ok := placer.Place(req, now).(quotation.Run)
	c.Assert(ok, qt.IsTrue)
	c.Check(paired.Prefill.Role, qt.Not(qt.Equals), kiln.RoleDecode, qt.Commentf("pairs come first"))
	req.Version = "v1"
	for _, server := range servers {
		if server.Role != kiln.RoleDecode {
			req.Excluded = append(req.Excluded, server.Address)
		}
	}
	c.Check(placer.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}), qt.Commentf("all prefill engines failed the request"))
	req.Excluded = nil
	req.Version = "v2"
	run, ok := placer.Place(req, now).(quotation.Run)
	c.Assert(ok, qt.IsTrue)
	c.Check(run.Decode.Version, qt.Equals, "v2")
	c.Check(run.Prefill, qt.Equals, run.Decode)
	c.Check(run.KVBytes, qt.Equals, int64(0))
	c.Check(run.Compute, qt.Equals, 2*paired.Compute)
	for i := range servers {
		if servers[i].Version == "v2" {
			servers[i].Load.SlotsUsed = 20
		}
	}
	_, waits := quotation.NewPlacer(quotation.Deps{
		Config:  cfg,
		Servers: servers,
	}).Place(req, now).(quotation.Wait)
	c.Check(waits, qt.IsTrue, qt.Commentf("the engines are only busy"))
	req.Version = "v3"
	c.Check(placer.Place(req, now), qt.Equals, quotation.Decision(quotation.Refuse{Code: receipt.CodeNoServer}))
}
