package plan

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
)

// Check validates the semantics of a document that conforms to the schema:
// unique names, references to existing entries, and values that don't
// contradict each other. All findings are returned together, ordered by path.
//
// Every instance applies these checks when it decides whether to accept a
// document, so all instances must agree on them. A change that rejects
// documents which passed before requires a new format version.
func (d Document) Check() []Finding {
	c := newChecker(d)
	c.checkRegions()
	c.checkLinks()
	c.checkModels()
	c.checkServices()
	c.checkPools()
	c.checkServers()
	c.checkCallers()
	return sortFindings(c.findings)
}

type checker struct {
	document    Document
	regions     map[string]bool
	dataCentres map[string]bool
	// models contains the names of models and adapters.
	models map[string]bool
	// baseModels contains the names of models, but not those of adapters.
	baseModels map[string]bool
	services   map[string]bool
	pools      map[string]Pool
	servers    map[string]Server
	findings   []Finding
}

func newChecker(d Document) *checker {
	c := &checker{
		document:    d,
		regions:     map[string]bool{},
		dataCentres: map[string]bool{},
		models:      map[string]bool{},
		baseModels:  map[string]bool{},
		services:    map[string]bool{},
		pools:       map[string]Pool{},
		servers:     map[string]Server{},
	}
	for _, region := range d.Regions {
		c.regions[region.Name] = true
		for _, dataCentre := range region.DataCentres {
			c.dataCentres[dataCentre] = true
		}
	}
	for _, model := range d.Models {
		c.models[model.Name] = true
		c.baseModels[model.Name] = true
		for _, adapter := range model.Adapters {
			c.models[adapter.Name] = true
		}
	}
	for _, service := range d.Services {
		c.services[service.Name] = true
	}
	for _, pool := range d.Pools {
		c.pools[pool.Name] = pool
	}
	for _, server := range d.Servers {
		c.servers[server.Name] = server
	}
	return c
}

// entryScope reports findings for the fields of one entry.
type entryScope struct {
	checker *checker
	path    string
	entry   string
}

func (c *checker) scope(path, kind, name string) entryScope {
	return entryScope{
		checker: c,
		path:    path,
		entry:   kind + " " + name,
	}
}

// require adds a finding unless ok is true.
func (s entryScope) require(ok bool, field string, value any, allowed string) {
	if ok {
		return
	}
	raw, err := json.Marshal(value)
	if err != nil {
		raw = []byte(fmt.Sprint(value))
	}
	s.checker.findings = append(s.checker.findings, Finding{
		Path:    joinField(s.path, field),
		Entry:   s.entry,
		Value:   truncate(string(raw)),
		Allowed: allowed,
	})
}

// uniqueNames detects duplicate names. It maps each name to the path of its
// first use.
type uniqueNames map[string]string

func (n uniqueNames) add(s entryScope, field, name string) {
	first, seen := n[name]
	s.require(!seen, field, name, "a unique name; it is already used at "+first)
	if !seen {
		n[name] = joinField(s.path, field)
	}
}

func (c *checker) checkRegions() {
	regions, dataCentres := uniqueNames{}, uniqueNames{}
	for i, region := range c.document.Regions {
		s := c.scope(fmt.Sprintf("regions[%d]", i), "region", region.Name)
		regions.add(s, "name", region.Name)
		for j, dataCentre := range region.DataCentres {
			dataCentres.add(s, fmt.Sprintf("data_centres[%d]", j), dataCentre)
		}
	}
}

func (c *checker) checkLinks() {
	pairs := uniqueNames{}
	for i, link := range c.document.Links {
		s := c.scope(fmt.Sprintf("links[%d]", i), "link", link.From+" "+link.To)
		s.require(c.regions[link.From], "from", link.From, "the name of a region")
		s.require(c.regions[link.To], "to", link.To, "the name of a region")
		s.require(link.From != link.To, "to", link.To, "a region other than from")
		pairs.add(s, "to", pairName(link.From, link.To))
	}
}

// pairName returns a key for two regions that does not depend on their order.
func pairName(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + " and " + b
}

func (c *checker) checkModels() {
	seen := uniqueNames{}
	for i, model := range c.document.Models {
		s := c.scope(fmt.Sprintf("models[%d]", i), "model", model.Name)
		seen.add(s, "name", model.Name)
		for j, adapter := range model.Adapters {
			seen.add(s, fmt.Sprintf("adapters[%d].name", j), adapter.Name)
		}
		c.checkRoles(s, model.Name)
	}
}

// checkRoles reports a model whose pools cover only one of prefill and decode.
func (c *checker) checkRoles(s entryScope, model string) {
	var roles []string
	prefill, decode := false, false
	for _, pool := range c.document.Pools {
		if pool.Model != model {
			continue
		}
		roles = append(roles, pool.Role)
		prefill = prefill || pool.Role != RoleDecode
		decode = decode || pool.Role != RolePrefill
	}
	s.require(len(roles) == 0 || (prefill && decode), "name", model,
		"pools for prefill and for decode, or none; the model's pools have the roles "+strings.Join(roles, ", "))
}

func (c *checker) checkServices() {
	seen := uniqueNames{}
	for i, service := range c.document.Services {
		s := c.scope(fmt.Sprintf("services[%d]", i), "service", service.Name)
		seen.add(s, "name", service.Name)
		calls := uniqueNames{}
		for j, call := range service.Calls {
			calls.add(s, fmt.Sprintf("calls[%d].name", j), call.Name)
			field := fmt.Sprintf("calls[%d].path_prefix", j)
			s.require(isCleanPath(call.PathPrefix), field, call.PathPrefix, "a path without empty segments, . and ..")
			shadowing := shadowingCall(service.Calls[:j], call)
			s.require(shadowing == "", field, call.PathPrefix,
				"a reachable call; the earlier call "+shadowing+" matches all its requests")
		}
	}
}

// shadowingCall returns the name of an earlier call that matches every request
// that call matches, or an empty string.
func shadowingCall(earlier []Call, call Call) string {
	for _, other := range earlier {
		if other.Method == call.Method && hasPathPrefix(call.PathPrefix, other.PathPrefix) {
			return other.Name
		}
	}
	return ""
}

func (c *checker) checkPools() {
	counts := map[string]int{}
	for _, server := range c.document.Servers {
		counts[server.Pool]++
	}
	seen := uniqueNames{}
	for i, pool := range c.document.Pools {
		s := c.scope(fmt.Sprintf("pools[%d]", i), "pool", pool.Name)
		seen.add(s, "name", pool.Name)
		s.require(c.baseModels[pool.Model], "model", pool.Model, "the name of a model")
		s.require(c.dataCentres[pool.DataCentre], "data_centre", pool.DataCentre, "a data centre of a region")
		s.require(pool.MinServers <= counts[pool.Name], "min_servers", pool.MinServers,
			fmt.Sprintf("at most the number of the pool's servers, %d", counts[pool.Name]))
	}
}

func (c *checker) checkServers() {
	seen, addresses := uniqueNames{}, uniqueNames{}
	for i, server := range c.document.Servers {
		s := c.scope(fmt.Sprintf("servers[%d]", i), "server", server.Name)
		seen.add(s, "name", server.Name)
		s.require(isServerAddress(server.Address), "address", server.Address, "IP:port, such as 10.0.0.7:8000; host names are not looked up")
		addresses.add(s, "address", server.Address)
		s.require(c.dataCentres[server.DataCentre], "data_centre", server.DataCentre, "a data centre of a region")
		c.checkServerKind(s, server)
	}
}

func (c *checker) checkServerKind(s entryScope, server Server) {
	if server.Kind == KindService {
		s.require(c.services[server.Service], "service", server.Service, "the name of a service")
		s.require(server.Pool == "", "pool", server.Pool, "no pool, since the kind is service")
		s.require(server.Slots == 0, "slots", server.Slots, "no slots, since the kind is service")
		s.require(!server.ChecksFencing, "checks_fencing", true, "left out, since the kind is service")
		return
	}
	pool, ok := c.pools[server.Pool]
	s.require(ok, "pool", server.Pool, "the name of a pool")
	s.require(!ok || pool.DataCentre == server.DataCentre, "data_centre", server.DataCentre, "the data centre of its pool, "+pool.DataCentre)
	s.require(server.Service == "", "service", server.Service, "no service, since the kind is engine")
	s.require(server.Slots > 0, "slots", server.Slots, "the number of requests that the engine decodes concurrently, at least 1")
}

func isServerAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified()
}

func (c *checker) checkCallers() {
	seen, keys := uniqueNames{}, uniqueNames{}
	for i, caller := range c.document.Callers {
		s := c.scope(fmt.Sprintf("callers[%d]", i), "caller", caller.Name)
		seen.add(s, "name", caller.Name)
		for j, key := range caller.KeySHA256 {
			keys.add(s, fmt.Sprintf("key_sha256[%d]", j), key)
		}
		c.checkGrants(s, "models", caller.Models, c.models, "the name of a model or adapter, or *")
		c.checkGrants(s, "services", caller.Services, c.services, "the name of a service, or *")
		c.checkRestrictions(s, caller)
	}
}

func (c *checker) checkGrants(s entryScope, field string, granted []string, known map[string]bool, allowed string) {
	seen := uniqueNames{}
	for i, name := range granted {
		path := fmt.Sprintf("%s[%d]", field, i)
		seen.add(s, path, name)
		s.require(known[name] || name == All, path, name, allowed)
		s.require(name != All || len(granted) == 1, path, name, "* alone, since it allows all")
	}
}

func (c *checker) checkRestrictions(s entryScope, caller Caller) {
	pools, servers := uniqueNames{}, uniqueNames{}
	for i, name := range caller.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		pools.add(s, path, name)
		_, ok := c.pools[name]
		s.require(ok, path, name, "the name of a pool")
	}
	for i, name := range caller.Servers {
		path := fmt.Sprintf("servers[%d]", i)
		servers.add(s, path, name)
		server, ok := c.servers[name]
		s.require(ok, path, name, "the name of a server")
		_, inPools := pools[server.Pool]
		s.require(!ok || server.Kind != KindEngine || len(caller.Pools) == 0 || inPools, path, name,
			"a server of one of the caller's pools")
	}
}
