package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/balsamlock/balsamlock/provenance"
)

type explainCommand struct {
	app  *app
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"log of an instance, JSON lines; standard input if there is none"`
	} `positional-args:"yes"`
}

// explainResult is the result of the explain command.
type explainResult struct {
	ID    string `json:"id"`
	Known bool   `json:"known"`
	Cause string `json:"cause"`
	// Unreadable is the number of lines that couldn't be decoded.
	Unreadable int `json:"torn,omitempty"`
	// Lines holds the lines about the request, Context those about its instance and servers at that time.
	Lines   []json.RawMessage `json:"lines"`
	Context []json.RawMessage `json:"around"`
}

func newExplainResult(timeline provenance.Timeline) explainResult {
	return explainResult{
		ID:         timeline.ID,
		Known:      timeline.Known(),
		Cause:      timeline.Cause(),
		Unreadable: timeline.Unreadable,
		Lines:      rawLines(timeline.Lines),
		Context:    rawLines(timeline.ContextLines()),
	}
}

// rawLines returns the JSON objects of the lines.
func rawLines(lines []provenance.Line) []json.RawMessage {
	raw := make([]json.RawMessage, 0, len(lines))
	for _, line := range lines {
		raw = append(raw, json.RawMessage(line.Raw))
	}
	return raw
}

func (r explainResult) text(w io.Writer) {
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(w, "%s\n", line)
	}
	if len(r.Context) > 0 {
		_, _ = fmt.Fprintln(w, "\nOf its instance and servers, from 5 s before:")
	}
	for _, line := range r.Context {
		_, _ = fmt.Fprintf(w, "%s\n", line)
	}
	if r.Unreadable > 0 {
		_, _ = fmt.Fprintf(w, "\n%d lines couldn't be read.\n", r.Unreadable)
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", r.Cause)
}

// Execute reads the logs and explains the request.
func (c *explainCommand) Execute([]string) error {
	reader := provenance.NewReader(c.Args.ID)
	if err := c.readLogs(reader); err != nil {
		return exitf(ExitFailed, "%w", err)
	}
	timeline := reader.Timeline()
	c.app.result = newExplainResult(timeline)
	if !timeline.Known() {
		return exitf(ExitNotFound, "no line names request %q", c.Args.ID)
	}
	return nil
}

// readLogs reads the files, or standard input if there are none.
func (c *explainCommand) readLogs(reader *provenance.Reader) error {
	if len(c.Args.Files) == 0 {
		if c.app.deps.Stdin == nil {
			return errors.New("read standard input: not available")
		}
		return reader.Read("standard input", c.app.deps.Stdin)
	}
	for _, name := range c.Args.Files {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(reader *provenance.Reader, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	defer func() { _ = file.Close() }()
	return reader.Read(filepath.Base(name), file)
}
