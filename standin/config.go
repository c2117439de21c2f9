package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/kiln"
)

// Kind is the kind of system that a hosted stand-in replaces.
type Kind string

// The kinds of stand-ins.
const (
	KindPlatform Kind = "platform"
	KindEngine   Kind = "engine"
	KindService  Kind = "service"
)

// ServerConfig configures one hosted stand-in. Only the options of its kind are
// used.
type ServerConfig struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Listen is the IP:port to listen on. The kernel chooses the port if it is 0.
	Listen     string `json:"listen"`
	DataCentre string `json:"data_centre"`
	// Platform is the IP:port of the platform that the stand-in registers with. If it
	// is empty, the stand-in doesn't register.
	Platform        string         `json:"platform"`
	EngineOptions   EngineConfig   `json:"engine_options"`
	ServiceOptions  ServiceConfig  `json:"service_options"`
	PlatformOptions PlatformConfig `json:"platform_options"`
}

// UnmarshalJSON decodes the configuration. Missing options keep their defaults.
func (c *ServerConfig) UnmarshalJSON(raw []byte) error {
	type plainConfig ServerConfig
	plain := plainConfig{
		EngineOptions:   DefaultEngineConfig(),
		ServiceOptions:  DefaultServiceConfig(),
		PlatformOptions: DefaultPlatformConfig(),
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plain); err != nil {
		return err
	}
	*c = ServerConfig(plain)
	return nil
}

// Config configures balsamlock-standin. Times are in milliseconds.
type Config struct {
	Servers []ServerConfig `json:"servers"`
	// TTLMS is how long an entry stays on the platform's instance list without being
	// renewed.
	TTLMS int64 `json:"ttl_ms"`
	// LeaveMS is the time from reporting a server as leaving until its shutdown starts.
	// DrainMS is the timeout of the shutdown, which waits for the requests in flight.
	LeaveMS int64 `json:"leave_ms"`
	DrainMS int64 `json:"drain_ms"`
}

// DefaultConfig returns the default configuration, which has no servers.
func DefaultConfig() Config {
	return Config{
		TTLMS:   3000,
		LeaveMS: 500,
		DrainMS: 10000,
	}
}

// Check reports invalid values to p.
func (c *Config) Check(p *settings.Problems) {
	p.Add(len(c.Servers) > 0, "servers", len(c.Servers), "at least one server")
	p.Positive("ttl_ms", int(c.TTLMS))
	p.Add(c.LeaveMS >= 0, "leave_ms", c.LeaveMS, "a whole number of at least 0")
	p.Add(c.DrainMS >= 0, "drain_ms", c.DrainMS, "a whole number of at least 0")
	for i := range c.Servers {
		c.Servers[i].check(p, fmt.Sprintf("servers[%d]", i))
	}
}

func (c *ServerConfig) check(p *settings.Problems, path string) {
	_, err := netip.ParseAddrPort(c.Listen)
	p.Add(err == nil, path+".listen", c.Listen, "IP:port, such as 127.0.0.1:8080, or port 0 for any")
	p.Required(path+".name", c.Name)
	if c.Platform != "" {
		p.IPPort(path+".platform", c.Platform)
	}
	switch c.Kind {
	case KindPlatform:
		c.PlatformOptions.check(p, path+".platform_options")
	case KindEngine:
		c.EngineOptions.check(p, path+".engine_options")
	case KindService:
		p.Positive(path+".service_options.max_calls", c.ServiceOptions.MaxCalls)
	default:
		p.Add(false, path+".kind", c.Kind, "one of platform, engine, service")
	}
}

func (c *PlatformConfig) check(p *settings.Problems, path string) {
	p.Add(c.AppendsPerSecond > 0, path+".appends_per_second", c.AppendsPerSecond, "a number greater than 0")
	p.Positive(path+".append_burst", c.AppendBurst)
	p.Positive(path+".retention_records", c.RetentionRecords)
	p.Positive(path+".max_record_bytes", c.MaxRecordBytes)
}

func (c *EngineConfig) check(p *settings.Problems, path string) {
	validRole := c.Role == kiln.RoleBoth || c.Role == kiln.RoleDecode || c.Role == kiln.RolePrefill
	p.Add(validRole, path+".role", c.Role, "one of prefill, decode, both")
	p.Positive(path+".slots", c.Slots)
	p.Positive(path+".pieces", c.Pieces)
	p.Positive(path+".step_base_us", int(c.StepBaseUS))
	p.Add(c.PrefillTokensPerSecond > 0, path+".prefill_tokens_per_second", c.PrefillTokensPerSecond, "a number greater than 0")
	p.Positive(path+".export_kept_ms", int(c.ExportKeptMS))
	validPercent := c.EventLossPercent >= 0 && c.EventLossPercent <= 100
	p.Add(validPercent, path+".event_loss_percent", c.EventLossPercent, "a whole number from 0 to 100")
}

var _ settings.Checker = (*Config)(nil)
