package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/replay"
)

// liveCommand implements the command "live".
type liveCommand struct {
	streams    streams
	Entry      string            `long:"entry" required:"true" description:"IP:port of the entry instance" value-name:"IP:PORT"`
	Trace      string            `long:"trace" required:"true" description:"trace file, JSON lines" value-name:"FILE"`
	Key        string            `long:"key" env:"BALSAMLOCK_KEY" description:"bearer key of callers without one of their own"`
	Keys       map[string]string `long:"caller-key" description:"bearer key of one caller, may be repeated" value-name:"CALLER:KEY"`
	Model      string            `long:"model" description:"model in place of the trace's"`
	Service    string            `long:"service" description:"service in place of the trace's"`
	Concurrent int               `long:"concurrent" default:"256" description:"most requests at a time"`
	Timeout    time.Duration     `long:"timeout" default:"2m" description:"most time for one request"`
	JSON       bool              `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *liveCommand) Execute([]string) error {
	if !settings.IsIPPort(c.Entry) {
		return fmt.Errorf("flag --entry: value %q: want IP:port; host names are not looked up", c.Entry)
	}
	if c.Concurrent < 1 {
		return fmt.Errorf("flag --concurrent: value %d: want a whole number greater than 0", c.Concurrent)
	}
	events, err := readTrace(c.Trace)
	if err != nil {
		return err
	}
	keys := map[string]string{"": c.Key}
	for caller, key := range c.Keys {
		keys[caller] = key
	}
	answers := replay.Live(context.Background(), replay.LiveConfig{
		Entry:         c.Entry,
		Keys:          keys,
		Model:         c.Model,
		Service:       c.Service,
		MaxConcurrent: c.Concurrent,
		Timeout:       c.Timeout,
		Progress:      c.progress,
	}, events)
	summaries := replay.Summarize(answers)
	if c.JSON {
		encoder := json.NewEncoder(c.streams.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summaries)
	}
	return replay.WriteSummaries(c.streams.out, summaries)
}

func (c *liveCommand) progress(done, all int) {
	_, _ = fmt.Fprintf(c.streams.err, "\r%d of %d requests", done, all)
	if done == all {
		_, _ = fmt.Fprintln(c.streams.err)
	}
}

func readTrace(file string) ([]replay.Event, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	events, err := replay.Read(in)
	if closeErr := in.Close(); err == nil {
		err = closeErr
	}
	return events, err
}
