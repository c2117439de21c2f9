package command

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/balsamlock/balsamlock/replay"
	"github.com/balsamlock/balsamlock/replay/bubble"
)

// compareCommand implements the command "compare".
type compareCommand struct {
	streams   streams
	Profiles  []string  `long:"profile" description:"profile, may be repeated; all by default"`
	Policies  []string  `long:"policy" description:"policy, may be repeated; the router's and the baselines by default, \"all\" for each mechanism off too"`
	Loads     []float64 `long:"load" default:"0.9" default:"1.5" description:"offered load, may be repeated"`
	Seeds     int       `long:"seeds" default:"3" description:"number of seeds"`
	FirstSeed uint64    `long:"first-seed" default:"1" description:"the first seed"`
	Seconds   float64   `long:"seconds" default:"25" description:"length of a trace"`
	WarmUp    float64   `long:"warm-up" default:"7" description:"seconds at the start that don't count"`
	Hog       float64   `long:"hog" default:"0" description:"times its share that one caller sends on top"`
	Faults    bool      `long:"faults" description:"stalled transfers, late loads, lost events and dying engines"`
	LinkMB    float64   `long:"link-mb" default:"0" description:"rate of an engine's link in MB/s, 0 for the profile's"`
	Parallel  int       `long:"parallel" default:"0" description:"runs at a time, 0 for the number of cores"`
	JSON      bool      `long:"json" description:"print JSON"`
	Plot      string    `long:"plot" description:"write a picture, .svg or .png" value-name:"FILE"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	cells, err := replay.Compare(cfg)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := replay.WritePlot(c.Plot, cells); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(c.streams.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(cells)
	}
	return replay.WriteTable(c.streams.out, cells)
}

func (c *compareCommand) config() (replay.CompareConfig, error) {
	cfg := replay.CompareConfig{
		Loads:     c.Loads,
		Seconds:   c.Seconds,
		WarmUp:    time.Duration(c.WarmUp * float64(time.Second)),
		HogFactor: c.Hog,
		Run:       func(jobs []func()) error { return bubble.Run(c.parallel(), jobs) },
		Progress:  c.progress,
	}
	if c.Faults {
		cfg.Faults = replay.StandardFaults()
	}
	for i := range c.Seeds {
		cfg.Seeds = append(cfg.Seeds, c.FirstSeed+uint64(i))
	}
	var err error
	if cfg.Profiles, err = c.profiles(); err != nil {
		return cfg, err
	}
	cfg.Policies, err = c.policies()
	return cfg, err
}

func (c *compareCommand) parallel() int {
	if c.Parallel > 0 {
		return c.Parallel
	}
	return runtime.NumCPU()
}

func (c *compareCommand) profiles() ([]replay.Profile, error) {
	names := c.Profiles
	if len(names) == 0 {
		names = []string{"glasnet", "skinshell"}
	}
	var profiles []replay.Profile
	for _, name := range names {
		profile, err := replay.ProfileByName(name)
		if err != nil {
			return nil, err
		}
		if c.LinkMB > 0 {
			profile.Engine.LinkBytesPerSecond = c.LinkMB * 1e6
		}
		profiles = append(profiles, profile)
	}
	return profiles, nil
}

func (c *compareCommand) policies() ([]replay.Policy, error) {
	if len(c.Policies) == 0 {
		return replay.Baselines(), nil
	}
	var policies []replay.Policy
	for _, name := range c.Policies {
		if name == "all" {
			return replay.Policies(), nil
		}
		policy, err := replay.PolicyByName(name)
		if err != nil {
			return nil, err
		}
		policies = append(policies, policy)
	}
	return policies, nil
}

func (c *compareCommand) progress(done, all int) {
	_, _ = fmt.Fprintf(c.streams.err, "\r%d of %d runs", done, all)
	if done == all {
		_, _ = fmt.Fprintln(c.streams.err)
	}
}
