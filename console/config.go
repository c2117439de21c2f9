package console

import (
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/plan"
)

// Config holds the settings of balsamlock-console.
type Config struct {
	// Listen is the IP:port on which the console listens.
	Listen string `json:"listen"`
	// Platform is the IP:port of the platform.
	Platform string `json:"platform"`
	// Instances lists the addresses, as IP:port, of the operators' endpoints of all
	// instances.
	Instances []string `json:"instances"`
	// OperatorKey authenticates operators at the console, and the console at the
	// operators' endpoints of the instances.
	OperatorKey string `json:"operator_key"`
	// SecureCookies sets the Secure attribute of cookies. It requires that operators
	// reach the console over HTTPS.
	SecureCookies bool `json:"secure_cookies"`
	// SessionMinutes is the lifetime of a session, in minutes. Operators log in again
	// after it has expired.
	SessionMinutes int `json:"session_minutes"`
	// PublishTimeoutMS is the timeout for publishing a document, in milliseconds.
	PublishTimeoutMS int         `json:"publish_timeout_ms"`
	Document         plan.Config `json:"document"`
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Listen:           "127.0.0.1:8090",
		SecureCookies:    true,
		SessionMinutes:   480,
		PublishTimeoutMS: 10000,
		Document:         plan.DefaultConfig(),
	}
}

// Check adds a problem to p for each invalid value.
func (cfg *Config) Check(p *settings.Problems) {
	p.IPPort("listen", cfg.Listen)
	p.IPPort("platform", cfg.Platform)
	for _, address := range cfg.Instances {
		p.IPPort("instances", address)
	}
	p.Secret("operator_key", cfg.OperatorKey)
	p.Positive("session_minutes", cfg.SessionMinutes)
	p.Positive("publish_timeout_ms", cfg.PublishTimeoutMS)
	cfg.Document.Check(p.In("document"))
}

var _ settings.Checker = (*Config)(nil)

func (cfg *Config) sessionLifetime() time.Duration {
	return time.Duration(cfg.SessionMinutes) * time.Minute
}

func (cfg *Config) publishTimeout() time.Duration {
	return time.Duration(cfg.PublishTimeoutMS) * time.Millisecond
}
