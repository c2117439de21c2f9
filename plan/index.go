package plan

// Index provides the lookups of the request path for one document. It is
// immutable and safe for concurrent use. Lookups take constant time regardless
// of the number of callers.
type Index struct {
	document Document
	digest   string
	grants   keyTable
	callers  map[string]*Grant
	models   map[string]ModelRef
	services map[string]*Service
	pools    map[string]*Pool
	servers  map[string]*Server
	// poolsByModel and the lists below keep the order of the document.
	poolsByModel     map[string][]*Pool
	serversByPool    map[string][]*Server
	serversByService map[string][]*Server
	regions          map[string]string
	links            map[string]float64
}

// ModelRef is a model or adapter that a caller has requested by name.
type ModelRef struct {
	Model *Model
	// Adapter is nil if the model itself was named.
	Adapter *Adapter
}

// NewIndex returns the index of a document. The document must have no findings.
func NewIndex(document Document) *Index { return newIndex(document, document.Digest()) }

func newIndex(document Document, digest string) *Index {
	x := &Index{
		document:         document,
		digest:           digest,
		grants:           make(keyTable, len(document.Callers)),
		callers:          make(map[string]*Grant, len(document.Callers)),
		models:           map[string]ModelRef{},
		services:         map[string]*Service{},
		pools:            map[string]*Pool{},
		servers:          make(map[string]*Server, len(document.Servers)),
		poolsByModel:     map[string][]*Pool{},
		serversByPool:    map[string][]*Server{},
		serversByService: map[string][]*Server{},
		regions:          map[string]string{},
		links:            map[string]float64{},
	}
	x.addRegions()
	x.addModels()
	x.addServers()
	x.addCallers()
	return x
}

func (x *Index) addRegions() {
	for _, region := range x.document.Regions {
		for _, dataCentre := range region.DataCentres {
			x.regions[dataCentre] = region.Name
		}
	}
	for _, link := range x.document.Links {
		x.links[pairName(link.From, link.To)] = link.MbitPerSecond
	}
}

func (x *Index) addModels() {
	for i := range x.document.Models {
		model := &x.document.Models[i]
		x.models[model.Name] = ModelRef{Model: model}
		for j := range model.Adapters {
			adapter := &model.Adapters[j]
			x.models[adapter.Name] = ModelRef{
				Model:   model,
				Adapter: adapter,
			}
		}
	}
	for i := range x.document.Services {
		service := &x.document.Services[i]
		x.services[service.Name] = service
	}
	for i := range x.document.Pools {
		pool := &x.document.Pools[i]
		x.pools[pool.Name] = pool
		x.poolsByModel[pool.Model] = append(x.poolsByModel[pool.Model], pool)
	}
}

func (x *Index) addServers() {
	for i := range x.document.Servers {
		server := &x.document.Servers[i]
		x.servers[server.Name] = server
		if server.Kind == KindService {
			x.serversByService[server.Service] = append(x.serversByService[server.Service], server)
			continue
		}
		x.serversByPool[server.Pool] = append(x.serversByPool[server.Pool], server)
	}
}

func (x *Index) addCallers() {
	for i := range x.document.Callers {
		grant := newGrant(&x.document.Callers[i])
		x.callers[grant.caller.Name] = grant
		x.grants.add(grant)
	}
}

// Document returns the document, which must not be modified.
func (x *Index) Document() Document { return x.document }

// Digest returns the document's digest.
func (x *Index) Digest() string { return x.digest }

// CallerByKey returns the caller that a bearer key belongs to. Keys are looked
// up by their hash, so that the lookup time reveals nothing about other keys.
func (x *Index) CallerByKey(key string) (*Grant, bool) {
	return x.grants.find(key)
}

// Caller returns a caller by name.
func (x *Index) Caller(name string) (*Grant, bool) {
	grant, ok := x.callers[name]
	return grant, ok
}

// Model returns the model or adapter with a name.
func (x *Index) Model(name string) (ModelRef, bool) {
	ref, ok := x.models[name]
	return ref, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	service, ok := x.services[name]
	return service, ok
}

// Call returns the first call of a service that matches the method and path.
// The path must be the decoded path that the server receives. A path with
// empty, "." or ".." segments matches nothing.
func (x *Index) Call(service, method, path string) (*Call, bool) {
	s, ok := x.services[service]
	if !ok || !isCleanPath(path) {
		return nil, false
	}
	for i := range s.Calls {
		call := &s.Calls[i]
		if call.Method == method && hasPathPrefix(path, call.PathPrefix) {
			return call, true
		}
	}
	return nil, false
}

// Pool returns a pool by name.
func (x *Index) Pool(name string) (*Pool, bool) {
	pool, ok := x.pools[name]
	return pool, ok
}

// Pools returns the pools of a model. The slice must not be modified.
func (x *Index) Pools(model string) []*Pool { return x.poolsByModel[model] }

// Server returns a server by name.
func (x *Index) Server(name string) (*Server, bool) {
	server, ok := x.servers[name]
	return server, ok
}

// PoolServers returns the servers of a pool. The slice must not be modified.
func (x *Index) PoolServers(pool string) []*Server { return x.serversByPool[pool] }

// ServiceServers returns the servers of a service. The slice must not be
// modified.
func (x *Index) ServiceServers(service string) []*Server { return x.serversByService[service] }

// Region returns the region of a data centre.
func (x *Index) Region(dataCentre string) (string, bool) {
	region, ok := x.regions[dataCentre]
	return region, ok
}

// LinkMbit returns the bandwidth budget between two regions per direction, in
// Mbit/s. It returns false if there is no link, in which case no traffic is
// allowed.
func (x *Index) LinkMbit(a, b string) (mbitPerSecond float64, ok bool) {
	mbitPerSecond, ok = x.links[pairName(a, b)]
	return mbitPerSecond, ok
}

// ModelsOf returns the names of the models and adapters that a caller may use,
// in the document's order.
func (x *Index) ModelsOf(grant *Grant) []string {
	var names []string
	add := func(name string) {
		if grant.AllowsModel(name) {
			names = append(names, name)
		}
	}
	for _, model := range x.document.Models {
		add(model.Name)
		for _, adapter := range model.Adapters {
			add(adapter.Name)
		}
	}
	return names
}
