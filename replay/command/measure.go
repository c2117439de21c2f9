package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"github.com/balsamlock/balsamlock/replay"
	"github.com/balsamlock/balsamlock/replay/bubble"
)

var errBoundMissed = errors.New("a measured value is outside its bound")

// measureCommand implements the command "measure".
type measureCommand struct {
	streams  streams
	Seeds    int    `long:"seeds" default:"10" description:"number of seeds, at least 10"`
	Parallel int    `long:"parallel" default:"0" description:"runs at a time, 0 for the number of cores"`
	Output   string `long:"output" default:"docs/measure" description:"directory for the figures and the picture" value-name:"DIR"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	parallel := c.Parallel
	if parallel <= 0 {
		parallel = runtime.NumCPU()
	}
	measurement, err := replay.Measure(replay.MeasureConfig{
		Seeds:    c.Seeds,
		Run:      func(jobs []func()) error { return bubble.Run(parallel, jobs) },
		Progress: c.progress,
	})
	if err != nil {
		return err
	}
	measurement.Command = fmt.Sprintf("balsamlock-replay measure --seeds %d", c.Seeds)
	if err := c.writeFiles(&measurement); err != nil {
		return err
	}
	if err := measurement.Write(c.streams.out); err != nil {
		return err
	}
	if !measurement.Met() {
		return errBoundMissed
	}
	return nil
}

func (c *measureCommand) writeFiles(m *replay.Measurement) error {
	if err := os.MkdirAll(c.Output, 0o755); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	raw, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return fmt.Errorf("measure: encode: %w", err)
	}
	if err := os.WriteFile(filepath.Join(c.Output, "measure.json"), append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return replay.WritePlot(filepath.Join(c.Output, "measure.svg"), m.Curve)
}

func (c *measureCommand) progress(step string, done, all int) {
	_, _ = fmt.Fprintf(c.streams.err, "\r%s: %d of %d runs", step, done, all)
	if done == all {
		_, _ = fmt.Fprintln(c.streams.err)
	}
}
