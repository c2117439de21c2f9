// Package plan implements the routing document, its schema and checks, and its
// replication through an ordered log. The document configures which services,
// models and backend servers serve which callers, with which priority and
// limits. The package also holds the routing table by host and path prefix.
//
// # Usage
//
// A document is decoded and checked as a whole, and all findings are returned
// together:
//
//	document, err := plan.Decode(raw)   // syntax and schema
//	findings := document.Check()        // semantic checks
//	document, findings := plan.Validate(raw) // both
//
// Request handling uses an immutable index that is built once per document:
//
//	index := plan.NewIndex(document)
//	grant, ok := index.CallerByKey(key)
//	if ok && grant.AllowsModel(name) { ... }
//
// Encode returns a document in a stable form for version control, Digest
// returns its canonical hash, and Diff compares two documents by the names of
// their entries.
package plan

// FormatVersion is the supported version of the document format.
const FormatVersion = 1

// Document is the routing document. It is immutable once decoded.
type Document struct {
	FormatVersion int `json:"format_version"`
	// Base is the digest of the accepted document that this one replaces, empty
	// for the first document; see Digest.
	Base     string    `json:"base"`
	Regions  []Region  `json:"regions"`
	Links    []Link    `json:"links"`
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
	Pools    []Pool    `json:"pools"`
	Servers  []Server  `json:"servers"`
	Callers  []Caller  `json:"callers"`
}

// Region is a group of data centres with low-latency links between them.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
}

// Link limits the traffic between two regions.
type Link struct {
	From string `json:"from"`
	To   string `json:"to"`
	// MbitPerSecond is the bandwidth budget per direction, in Mbit/s.
	MbitPerSecond float64 `json:"mbit_per_second"`
}

// Model is a model that callers can request by name.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Adapters are loaded on top of the model. Callers request them like
	// models.
	Adapters []Adapter `json:"adapters,omitempty"`
	// FirstTokenMS and PerTokenMS are the latency targets for the first and
	// each further token, in milliseconds.
	FirstTokenMS int `json:"first_token_ms"`
	PerTokenMS   int `json:"per_token_ms"`
	// MaxPromptTokens and MaxOutputTokens limit a single request.
	MaxPromptTokens int `json:"max_prompt_tokens"`
	MaxOutputTokens int `json:"max_output_tokens"`
	// KVBytesPerToken is the size of the KV cache per token, in bytes.
	KVBytesPerToken int64 `json:"kv_bytes_per_token"`
}

// Adapter is a fine-tuned variant of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Service is a service other than a model engine.
type Service struct {
	Name string `json:"name"`
	// Calls are matched in order. A request that matches none is refused. A
	// path prefix matches whole path segments.
	Calls []Call `json:"calls"`
}

// Call is one type of request to a service.
type Call struct {
	Name string `json:"name"`
	// Method is an HTTP method. PathPrefix starts with a slash.
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
	// Repeatable calls can be retried and hedged. All others need an
	// Idempotency-Key and run at most once.
	Repeatable bool `json:"repeatable"`
	// DeadlineMS limits the duration of the call, in milliseconds.
	DeadlineMS int `json:"deadline_ms"`
}

// The roles of a pool.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// All is the wildcard that allows a caller every model or every service.
const All = "*"

// Pool is a set of engines with one role for one model in one data centre.
type Pool struct {
	Name       string `json:"name"`
	Model      string `json:"model"`
	DataCentre string `json:"data_centre"`
	// Role is RolePrefill, RoleDecode or RoleBoth.
	Role string `json:"role"`
	// MinServers is the number of servers that keep the role when servers are
	// rebalanced between prefill and decode.
	MinServers int `json:"min_servers"`
}

// ServerKind is the type of workload that a backend server runs.
type ServerKind string

// The kinds of backend servers.
const (
	KindEngine  ServerKind = "engine"
	KindService ServerKind = "service"
)

// Server is one backend server.
type Server struct {
	Name string `json:"name"`
	// Address has the form IP:port.
	Address    string     `json:"address"`
	DataCentre string     `json:"data_centre"`
	Kind       ServerKind `json:"kind"`
	// Pool is set for engines, Service for servers of kind service.
	Pool    string `json:"pool,omitempty"`
	Service string `json:"service,omitempty"`
	// Slots is the number of requests that an engine decodes concurrently.
	Slots int `json:"slots,omitempty"`
	// ChecksFencing is set when the server refuses orders with a stale fencing
	// token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// Caller is a client, such as a team, with its keys, priority, permissions and
// limits.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 lists the SHA-256 digests of the caller's bearer keys, in hex.
	KeySHA256 []string `json:"key_sha256"`
	// Priority ranges from 0 to 9. Higher values are served first.
	Priority int `json:"priority"`
	// Weight is the caller's weight in fair queueing, from 1 to 1000.
	Weight int `json:"weight"`
	// Models and Services list what the caller may use; "*" allows all. An
	// adapter must be listed by its own name: permission for its model does not
	// include it.
	Models   []string `json:"models"`
	Services []string `json:"services"`
	// Pools and Servers restrict the backend servers that the caller may use.
	// Empty lists allow all.
	Pools   []string `json:"pools,omitempty"`
	Servers []string `json:"servers,omitempty"`
	Limits  Limits   `json:"limits"`
	// Rank is the caller's priority in a Table, where 0 is the most urgent. It takes
	// precedence over the route's rank. Nil means the route's. Documents have none.
	Rank *int `json:"-"`
}

// Limits limit a caller across all entry instances together. Zero means
// unlimited.
type Limits struct {
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensPerSecond limits the sum of prompt and output tokens.
	TokensPerSecond float64 `json:"tokens_per_second,omitempty"`
	Concurrent      int     `json:"concurrent,omitempty"`
	Drafts          int     `json:"drafts,omitempty"`
	// CrossRegionMBPerDay limits billed traffic between regions, in megabytes.
	CrossRegionMBPerDay float64 `json:"cross_region_mb_per_day,omitempty"`
	// RetryPercent is the budget for retries and hedges, as a percentage of
	// first attempts.
	RetryPercent float64 `json:"retry_percent,omitempty"`
	// Unit is what the rate and Burst are counted in. Burst is the amount that a
	// caller may use at once beyond the rate. Documents have neither.
	Unit  LimitUnit `json:"-"`
	Burst float64   `json:"-"`
	// PlainTokens is the cost in tokens of a request that does not state its tokens.
	// Documents have none.
	PlainTokens int `json:"-"`
}

// LimitUnit is the unit that a caller's rate limit is counted in.
type LimitUnit int

// The units of rate limits.
const (
	UnitRequests LimitUnit = iota
	UnitTokens
)

// Rate returns the rate per second in the limits' unit. Zero means unlimited.
func (l Limits) Rate() float64 {
	if l.Unit == UnitTokens {
		return l.TokensPerSecond
	}
	return l.RequestsPerSecond
}
