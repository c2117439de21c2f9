package ctl

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/operator"
)

// envOperatorKey is the environment variable that holds the operator key.
const envOperatorKey = "BALSAMLOCK_OPERATOR_KEY"

// options are the flags that are common to all commands.
type options struct {
	Settings  string        `short:"s" long:"settings" description:"settings file, JSON; flags go before it" value-name:"FILE"`
	Platform  string        `long:"platform" description:"address of the platform" value-name:"IP:PORT"`
	Instances []string      `long:"instance" description:"operators' address of an instance; repeatable" value-name:"IP:PORT"`
	KeyFile   string        `long:"operator-key-file" description:"file with the operator's key" value-name:"FILE"`
	Timeout   time.Duration `long:"timeout" description:"bound of the whole command" default:"30s"`
	JSON      bool          `long:"json" description:"print one JSON object"`
	Version   bool          `long:"version" description:"print the version and exit"`

	CheckSettings bool `long:"check-settings" description:"check the settings file and exit"`
}

// Config is the settings file of balsamlock-ctl.
type Config struct {
	// Platform is the IP:port of the platform.
	Platform string `json:"platform"`
	// Instances are the IP:port of the operators' endpoint of every instance.
	Instances []string `json:"instances"`
	// OperatorKeyFile is the name of the file that holds the operator key.
	OperatorKeyFile string `json:"operator_key_file"`
}

// Check adds a problem for each invalid value.
func (cfg *Config) Check(p *settings.Problems) {
	if cfg.Platform != "" {
		p.IPPort("platform", cfg.Platform)
	}
	for _, address := range cfg.Instances {
		p.IPPort("instances", address)
	}
}

var _ settings.Checker = (*Config)(nil)

// loadConfig returns the settings from the settings file, overridden by the flags.
func (a *app) loadConfig() (Config, error) {
	var cfg Config
	if a.options.Settings != "" {
		if err := settings.Load(a.options.Settings, &cfg); err != nil {
			return cfg, exitf(ExitSettings, "%w", err)
		}
	}
	if a.options.Platform != "" {
		cfg.Platform = a.options.Platform
	}
	if len(a.options.Instances) > 0 {
		cfg.Instances = a.options.Instances
	}
	if a.options.KeyFile != "" {
		cfg.OperatorKeyFile = a.options.KeyFile
	}
	return cfg, nil
}

// platformAddress returns the IP:port of the platform.
func (a *app) platformAddress() (string, error) {
	cfg, err := a.loadConfig()
	if err != nil {
		return "", err
	}
	if !settings.IsIPPort(cfg.Platform) {
		return "", exitf(ExitUsage, "--platform: value %q is not allowed: want IP:port, by flag or in the settings file", cfg.Platform)
	}
	return cfg.Platform, nil
}

// instanceAddresses returns the IP:port of every instance.
func (a *app) instanceAddresses() ([]string, error) {
	cfg, err := a.loadConfig()
	if err != nil {
		return nil, err
	}
	if len(cfg.Instances) == 0 {
		return nil, exitf(ExitUsage, "--instance: no instance given, by flag or in the settings file")
	}
	for _, address := range cfg.Instances {
		if err := checkAddress(address); err != nil {
			return nil, err
		}
	}
	return cfg.Instances, nil
}

// checkAddress returns an error unless address is an IP:port.
func checkAddress(address string) error {
	if settings.IsIPPort(address) {
		return nil
	}
	return exitf(ExitUsage, "instance: value %q is not allowed: want IP:port", address)
}

// operatorClient returns a client that sends the operator key. The key file takes precedence over the environment
// variable.
func (a *app) operatorClient() (*operator.Client, error) {
	cfg, err := a.loadConfig()
	if err != nil {
		return nil, err
	}
	key := a.deps.Getenv(envOperatorKey)
	if cfg.OperatorKeyFile != "" {
		raw, err := os.ReadFile(cfg.OperatorKeyFile)
		if err != nil {
			return nil, exitf(ExitSettings, "read the operator key: %w", err)
		}
		key = strings.TrimSpace(string(raw))
	}
	if key == "" {
		return nil, exitf(ExitUsage, "no operator key: use --operator-key-file or %s", envOperatorKey)
	}
	return operator.NewClient(key, a.httpClient()), nil
}

func (a *app) httpClient() *http.Client {
	if a.deps.HTTP == nil {
		a.deps.HTTP = transport.NewClient()
	}
	return a.deps.HTTP
}

// timeoutContext returns a context that ends at the timeout of the command.
func (a *app) timeoutContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), a.options.Timeout)
}
