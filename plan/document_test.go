package plan_test

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/plan"
)

func loadDocument(c *qt.C, name string) plan.Document {
	c.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	c.Assert(err, qt.IsNil)
	document, findings := plan.Validate(raw)
	c.Assert(findings, qt.HasLen, 0)
	return document
}

func TestExamplesAreInStableForm(t *testing.T) {
	for _, name := range []string{"glasnet", "skinshell"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := os.ReadFile(filepath.Join("testdata", name+".json"))
			c.Assert(err, qt.IsNil)
			c.Assert(string(loadDocument(c, name).Encode()), qt.Equals, string(raw))
		})
	}
}

func TestDecodeRejects(t *testing.T) {
	c := qt.New(t)
	raw := string(loadDocument(c, "glasnet").Encode())
	for _, test := range []struct {
		name, from, to string
		path           string
	}{
		{
			name: "unknown field",
			from: `"weight": 300`,
			to:   `"weight": 300, "wieght": 1`,
			path: "callers[2].wieght",
		},
		{
			name: "missing field",
			from: `"min_servers": 1`,
			to:   `"role": "decode"`,
			path: "pools[0].role",
		},
		{
			name: "field in another case",
			from: `"base"`,
			to:   `"Base"`,
			path: "Base",
		},
		{
			name: "field twice",
			from: `"weight": 300`,
			to:   `"weight": 300, "weight": 1`,
			path: "callers[2].weight",
		},
		{
			name: "field twice, once escaped",
			from: `"weight": 300`,
			to:   `"weight": 300, "w\u0065ight": 1`,
			path: "callers[2].weight",
		},
		{
			name: "null list",
			from: `"models": []`,
			to:   `"models": null`,
			path: "callers[2].models",
		},
		{
			name: "priority too high",
			from: `"priority": 9`,
			to:   `"priority": 10`,
			path: "callers[2].priority",
		},
		{
			name: "fraction",
			from: `"priority": 9`,
			to:   `"priority": 8.5`,
			path: "callers[2].priority",
		},
		{
			name: "number beyond the type",
			from: `"weight": 300`,
			to:   `"weight": 1e999`,
			path: "callers[2].weight",
		},
		{
			name: "other version",
			from: `"format_version": 1`,
			to:   `"format_version": 2`,
			path: "format_version",
		},
		{
			name: "not JSON",
			from: `"base": "",`,
			to:   `"base": "`,
			path: "(line 3)",
		},
	} {
		c.Run(test.name, func(c *qt.C) {
			invalid := strings.Replace(raw, test.from, test.to, 1)
			c.Assert(invalid, qt.Not(qt.Equals), raw)
			_, err := plan.Decode([]byte(invalid))
			c.Assert(err, qt.IsNotNil)
			paths := []string{}
			for _, finding := range plan.FindingsOf(err) {
				paths = append(paths, finding.Path)
			}
			c.Assert(paths, qt.Contains, test.path)
		})
	}
	_, err := plan.Decode([]byte(raw + "{}"))
	c.Assert(err, qt.ErrorMatches, "(?s).*one JSON object.*")
}

func TestDecodeStringsWithQuotesAndColons(t *testing.T) {
	c := qt.New(t)
	raw := string(loadDocument(c, "glasnet").Encode())
	document, err := plan.Decode([]byte(strings.Replace(raw, `"10.11.1.1:8000"`, `"\\\":\\"`, 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(document.Servers[0].Address, qt.Equals, `\":\`)
	c.Assert(document.Check(), qt.HasLen, 1)
}

func TestDecodeReportsAllFindings(t *testing.T) {
	c := qt.New(t)
	raw := strings.NewReplacer(
		`"priority": 9`, `"priority": 10`,
		`"mbit_per_second": 30`, `"mbit_per_second": 0`,
	).Replace(string(loadDocument(c, "glasnet").Encode()))
	_, err := plan.Decode([]byte(raw))
	findings := plan.FindingsOf(err)
	c.Assert(findings, qt.HasLen, 2)
	c.Assert(findings[0].Path, qt.Equals, "callers[2].priority")
	c.Assert(findings[0].Entry, qt.Equals, "caller counter")
	c.Assert(findings[0].Value, qt.Equals, "10")
	c.Assert(findings[1].Path, qt.Equals, "links[0].mbit_per_second")
}

func TestCheckFindsContradictions(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		path   string
		change func(d *plan.Document)
	}{
		{
			path:   "regions[1].name",
			change: func(d *plan.Document) { d.Regions[1].Name = d.Regions[0].Name },
		},
		{
			path:   "regions[1].data_centres[0]",
			change: func(d *plan.Document) { d.Regions[1].DataCentres[0] = "randstad-a" },
		},
		{
			path:   "links[0].to",
			change: func(d *plan.Document) { d.Links[0].To = d.Links[0].From },
		},
		{
			path:   "models[0].adapters[1].name",
			change: func(d *plan.Document) { d.Models[0].Adapters[1].Name = "drafting-vecht" },
		},
		{
			path: "models[0].name",
			change: func(d *plan.Document) {
				for i := range d.Pools {
					d.Pools[i].Role = plan.RoleDecode
				}
			},
		},
		{
			path:   "services[0].calls[1].path_prefix",
			change: func(d *plan.Document) { d.Services[0].Calls[1].PathPrefix = "/a/../b" },
		},
		{
			path: "services[0].calls[2].path_prefix",
			change: func(d *plan.Document) {
				d.Services[0].Calls[2].PathPrefix = d.Services[0].Calls[1].PathPrefix + "/late"
			},
		},
		{
			path:   "pools[0].min_servers",
			change: func(d *plan.Document) { d.Pools[0].MinServers = 9 },
		},
		{
			path:   "servers[0].address",
			change: func(d *plan.Document) { d.Servers[0].Address = "engine.local:80" },
		},
		{
			path:   "servers[1].address",
			change: func(d *plan.Document) { d.Servers[1].Address = d.Servers[0].Address },
		},
		{
			path:   "servers[0].data_centre",
			change: func(d *plan.Document) { d.Servers[0].DataCentre = "oost-a" },
		},
		{
			path:   "servers[0].slots",
			change: func(d *plan.Document) { d.Servers[0].Slots = 0 },
		},
		{
			path:   "servers[18].pool",
			change: func(d *plan.Document) { d.Servers[18].Pool = d.Pools[0].Name },
		},
		{
			path:   "callers[1].key_sha256[0]",
			change: func(d *plan.Document) { d.Callers[1].KeySHA256 = d.Callers[0].KeySHA256 },
		},
		{
			path:   "callers[0].models[0]",
			change: func(d *plan.Document) { d.Callers[0].Models[0] = "unknown" },
		},
		{
			path:   "callers[0].services[1]",
			change: func(d *plan.Document) { d.Callers[0].Services = append(d.Callers[0].Services, plan.All) },
		},
		{
			path: "callers[0].servers[0]",
			change: func(d *plan.Document) {
				d.Callers[0].Pools = []string{d.Pools[1].Name}
				d.Callers[0].Servers = []string{d.Servers[0].Name}
			},
		},
	} {
		c.Run(test.path, func(c *qt.C) {
			document := loadDocument(c, "glasnet")
			test.change(&document)
			findings := document.Check()
			c.Assert(findings, qt.Not(qt.HasLen), 0)
			paths := []string{}
			for _, finding := range findings {
				paths = append(paths, finding.Path)
			}
			c.Assert(paths, qt.Contains, test.path)
		})
	}
}

func TestDigest(t *testing.T) {
	c := qt.New(t)
	document := loadDocument(c, "glasnet")
	reordered := loadDocument(c, "glasnet")
	reordered.Callers[0], reordered.Callers[2] = reordered.Callers[2], reordered.Callers[0]
	c.Assert(reordered.Digest(), qt.Equals, document.Digest())
	c.Assert(document.WithBase(document.Digest()).Digest(), qt.Not(qt.Equals), document.Digest())
	calls := loadDocument(c, "glasnet")
	calls.Services[0].Calls[0], calls.Services[0].Calls[1] = calls.Services[0].Calls[1], calls.Services[0].Calls[0]
	c.Assert(calls.Digest(), qt.Not(qt.Equals), document.Digest())
}

func TestDiffMatchesByName(t *testing.T) {
	c := qt.New(t)
	before, after := loadDocument(c, "glasnet"), loadDocument(c, "glasnet")
	c.Assert(plan.Diff(before, after), qt.HasLen, 0)
	after.Callers[0].Weight = 7
	after.Callers[0], after.Callers[2] = after.Callers[2], after.Callers[0]
	after.Servers = after.Servers[1:]
	lines := []string{}
	for _, change := range plan.Diff(before, after) {
		lines = append(lines, change.String())
	}
	c.Assert(lines, qt.HasLen, 2)
	c.Assert(lines[0], qt.Matches, `- servers/drafting-randstad-a-1: \{.*\}`)
	c.Assert(lines[1], qt.Equals, "~ callers/atelier-vecht.weight: 100 -> 7")
}

func TestIndex(t *testing.T) {
	c := qt.New(t)
	index := plan.NewIndex(loadDocument(c, "glasnet"))
	grant, ok := index.CallerByKey("key-of-atelier-vecht")
	c.Assert(ok, qt.IsTrue)
	c.Assert(grant.Name(), qt.Equals, "atelier-vecht")
	c.Assert(grant.AllowsModel("drafting-vecht"), qt.IsTrue)
	c.Assert(grant.AllowsModel("drafting-dommel"), qt.IsFalse)
	c.Assert(grant.AllowsService("workshop-desk"), qt.IsTrue)
	_, ok = index.CallerByKey("key-of-nobody")
	c.Assert(ok, qt.IsFalse)

	target, ok := index.Model("drafting-dommel")
	c.Assert(ok, qt.IsTrue)
	c.Assert(target.Model.Name, qt.Equals, "drafting-models")
	c.Assert(target.Adapter.Name, qt.Equals, "drafting-dommel")
	c.Assert(index.Pools("drafting-models"), qt.HasLen, 6)
	c.Assert(index.PoolServers("drafting-models-decode-oost-a"), qt.HasLen, 3)
	c.Assert(index.ServiceServers("workshop-desk"), qt.HasLen, 3)

	call, ok := index.Call("workshop-desk", "GET", "/panels/17")
	c.Assert(ok, qt.IsTrue)
	c.Assert(call.Name, qt.Equals, "lookup")
	for _, path := range []string{"/panelsx", "/panels/../orders", "/panels//1", "panels", ""} {
		_, ok = index.Call("workshop-desk", "GET", path)
		c.Assert(ok, qt.IsFalse, qt.Commentf("path %q", path))
	}
	region, ok := index.Region("oost-a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(region, qt.Equals, "oost")
	mbit, ok := index.LinkMbit("oost", "randstad")
	c.Assert(ok, qt.IsTrue)
	c.Assert(mbit, qt.Equals, 30.0)
}

func TestGrantRestrictsServers(t *testing.T) {
	c := qt.New(t)
	index := plan.NewIndex(loadDocument(c, "skinshell"))
	grant, ok := index.Caller("volunteers")
	c.Assert(ok, qt.IsTrue)
	near, _ := index.Server("sorter-nelson-a-1")
	far, _ := index.Server("sorter-burnaby-a-1")
	c.Assert(grant.AllowsServer(near), qt.IsTrue)
	c.Assert(grant.AllowsServer(far), qt.IsFalse)
}

func readFile(c *qt.C, file string) string {
	c.Helper()
	raw, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	return string(raw)
}

// schemaFields returns the names of all fields in the schema.
func schemaFields(c *qt.C) []string {
	c.Helper()
	var schema struct {
		Properties map[string]any
		Defs       map[string]struct{ Properties map[string]any } `json:"$defs"`
	}
	c.Assert(json.Unmarshal(plan.Schema(), &schema), qt.IsNil)
	fields := slices.Collect(maps.Keys(schema.Properties))
	for _, def := range schema.Defs {
		fields = append(fields, slices.Collect(maps.Keys(def.Properties))...)
	}
	return fields
}
