package entry

import (
	"time"

	"github.com/balsamlock/balsamlock/common/logbook"
	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/draft"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/order"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/reclaim"
	"github.com/balsamlock/balsamlock/steward"
	"github.com/balsamlock/balsamlock/workshop"
)

// Config holds the settings of an entry instance.
type Config struct {
	// Listen, PeerListen and OperatorListen are the listen addresses (IP:port) for
	// callers, other instances and operators.
	Listen         string `json:"listen"`
	PeerListen     string `json:"peer_listen"`
	OperatorListen string `json:"operator_listen"`
	// DataCentre and Region are the location of the instance.
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	// Platform is the address (IP:port) of the platform's service.
	Platform string `json:"platform"`
	// PeerKey authenticates instances to each other. OperatorKey authenticates
	// operators to instances.
	PeerKey     string `json:"peer_key"`
	OperatorKey string `json:"operator_key"`
	// ShutdownTimeoutMS is the timeout of a graceful shutdown in milliseconds.
	ShutdownTimeoutMS int `json:"shutdown_timeout_ms"`
	// ListTTLMS is the time in milliseconds after which the instance is removed from the
	// platform's instance list unless it renews its registration.
	ListTTLMS int                        `json:"list_ttl_ms"`
	Counter   counter.Config             `json:"counter"`
	Crew      crew.Config                `json:"crew"`
	Plan      plan.Config                `json:"plan"`
	Firing    firing.Config              `json:"firing"`
	Quotation quotation.Config           `json:"quotation"`
	Order     order.Config               `json:"order"`
	Draft     draft.Config               `json:"draft"`
	Reclaim   reclaim.Config             `json:"reclaim"`
	Workshop  workshop.RetryClientConfig `json:"workshop"`
	// Log holds the limits of the log.
	Log     logbook.Config `json:"log"`
	Foreman foreman.Config `json:"foreman"`
	Steward steward.Config `json:"steward"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ShutdownTimeoutMS: 30_000,
		ListTTLMS:         5_000,
		Counter:           counter.DefaultConfig(),
		Crew:              crew.DefaultConfig(),
		Plan:              plan.DefaultConfig(),
		Firing:            firing.DefaultConfig(),
		Quotation:         quotation.DefaultConfig(),
		Order:             order.DefaultConfig(),
		Draft:             draft.DefaultConfig(),
		Reclaim:           reclaim.DefaultConfig(),
		Foreman:           foreman.DefaultConfig(),
		Workshop:          workshop.DefaultRetryClientConfig(),
		Log:               logbook.DefaultConfig(),
		Steward:           steward.DefaultConfig(),
	}
}

// Check reports invalid settings.
func (cfg *Config) Check(p *settings.Problems) {
	p.IPPort("listen", cfg.Listen)
	p.IPPort("peer_listen", cfg.PeerListen)
	p.IPPort("operator_listen", cfg.OperatorListen)
	p.Required("data_centre", cfg.DataCentre)
	p.Required("region", cfg.Region)
	p.IPPort("platform", cfg.Platform)
	p.Secret("peer_key", cfg.PeerKey)
	p.Secret("operator_key", cfg.OperatorKey)
	p.Positive("shutdown_timeout_ms", cfg.ShutdownTimeoutMS)
	p.Positive("list_ttl_ms", cfg.ListTTLMS)
	cfg.Counter.Check(p.In("counter"))
	cfg.Crew.Check(p.In("crew"))
	cfg.Plan.Check(p.In("plan"))
	cfg.Firing.Check(p.In("firing"))
	cfg.Quotation.Check(p.In("quotation"))
	cfg.Order.Check(p.In("order"))
	cfg.Draft.Check(p.In("draft"))
	cfg.Reclaim.Check(p.In("reclaim"))
	cfg.Foreman.Check(p.In("foreman"))
	cfg.Workshop.Check(p.In("workshop"))
	cfg.Log.Check(p.In("log"))
	cfg.Steward.Check(p.In("steward"))
}

func (cfg Config) shutdownTimeout() time.Duration {
	return time.Duration(cfg.ShutdownTimeoutMS) * time.Millisecond
}

var _ settings.Checker = (*Config)(nil)

// Logbook returns the limits of the log. The instance name is empty, because an
// instance generates its id when it is created.
func (cfg *Config) Logbook() (instance string, limits logbook.Config) { return "", cfg.Log }
