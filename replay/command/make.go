package command

import (
	"github.com/balsamlock/balsamlock/replay"
)

// makeCommand implements the command "make".
type makeCommand struct {
	streams streams
	Profile string  `long:"profile" default:"glasnet" choice:"glasnet" choice:"skinshell" description:"platform and workload"`
	Seed    uint64  `long:"seed" default:"1" description:"seed of the trace"`
	Load    float64 `long:"load" default:"0.9" description:"offered load as a share of the decode capacity"`
	Seconds float64 `long:"seconds" default:"30" description:"length of the trace"`
	Lookups float64 `long:"lookups" default:"10" description:"lookups per second"`
	Hog     float64 `long:"hog" default:"0" description:"times its share that one caller sends on top"`
}

// Execute implements flags.Commander.
func (c *makeCommand) Execute([]string) error {
	profile, err := replay.ProfileByName(c.Profile)
	if err != nil {
		return err
	}
	events := replay.GenerateTrace(profile, replay.TraceConfig{
		Seed:             c.Seed,
		Load:             c.Load,
		Seconds:          c.Seconds,
		LookupsPerSecond: c.Lookups,
		HogFactor:        c.Hog,
	})
	return replay.Write(c.streams.out, events)
}
