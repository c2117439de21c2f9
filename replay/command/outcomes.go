package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/replay/outcome"
)

// envCallerKeys is the environment variable that holds the callers' keys as a
// JSON object.
const envCallerKeys = "BALSAMLOCK_CALLER_KEYS"

var errOutcomeMissed = errors.New("an expected outcome was not met")

// outcomesCommand implements the command "outcomes".
type outcomesCommand struct {
	streams  streams
	Entries  []string          `long:"entry" required:"true" description:"address of an entry instance; the first is e1 in the trace, the next e2" value-name:"IP:PORT"`
	Standins map[string]string `long:"standin" key-value-delimiter:"=" description:"address of a stand-in, may be repeated" value-name:"NAME=IP:PORT"`
	Keys     string            `long:"keys" description:"file with the callers' bearer keys, a JSON object; else in BALSAMLOCK_CALLER_KEYS" value-name:"FILE"`
	Model    string            `long:"model" default:"drafting-models" description:"model of the trace's generations"`
	Service  string            `long:"service" default:"workshop-desk" description:"service of the trace's calls"`
	Timeout  time.Duration     `long:"timeout" default:"2m" description:"most time for one event with its retries"`
	JSON     bool              `long:"json" description:"print JSON"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true" description:"trace with stated outcomes, JSON lines"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *outcomesCommand) Execute([]string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	in, err := os.Open(c.Args.File)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	events, err := outcome.Read(in)
	if err := errors.Join(err, in.Close()); err != nil {
		return err
	}
	report, err := outcome.Replay(context.Background(), cfg, events)
	if err != nil {
		return err
	}
	if err := c.print(report); err != nil {
		return err
	}
	if !report.Met() {
		return errOutcomeMissed
	}
	return nil
}

func (c *outcomesCommand) print(report outcome.Report) error {
	if !c.JSON {
		return report.WriteTable(c.streams.out)
	}
	encoder := json.NewEncoder(c.streams.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

func (c *outcomesCommand) config() (outcome.Config, error) {
	cfg := outcome.Config{
		Entries:  map[string]string{},
		Standins: c.Standins,
		Model:    c.Model,
		Service:  c.Service,
		Timeout:  c.Timeout,
	}
	for i, address := range c.Entries {
		if !settings.IsIPPort(address) {
			return cfg, fmt.Errorf("flag --entry: value %q: want IP:port; host names are not looked up", address)
		}
		cfg.Entries["e"+strconv.Itoa(i+1)] = address
	}
	for name, address := range c.Standins {
		if !settings.IsIPPort(address) {
			return cfg, fmt.Errorf("flag --standin: value %q of %s: want IP:port; host names are not looked up", address, name)
		}
	}
	if c.Timeout <= 0 {
		return cfg, fmt.Errorf("flag --timeout: value %s: want a time greater than 0", c.Timeout)
	}
	raw := []byte(os.Getenv(envCallerKeys))
	if c.Keys != "" {
		var err error
		if raw, err = os.ReadFile(c.Keys); err != nil {
			return cfg, fmt.Errorf("flag --keys: %w", err)
		}
	}
	if json.Unmarshal(raw, &cfg.Keys) != nil {
		return cfg, errors.New(`callers' keys: want a JSON object such as {"vecht": "key"} in the file of --keys or in ` + envCallerKeys)
	}
	return cfg, nil
}
