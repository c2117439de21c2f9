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

// explanation is the result of the command.
type explanation struct {
	ID    string `json:"id"`
	Known bool   `json:"known"`
	Cause string `json:"cause"`
	// Torn is the number of lines that couldn't be read.
	Torn int `json:"torn,omitempty"`
	// Lines are those about the request, Around those about its instance and
	// servers at that time.
	Lines  []json.RawMessage `json:"lines"`
	Around []json.RawMessage `json:"around"`
}

func newExplanation(life provenance.Timeline) explanation {
	return explanation{
		ID:     life.ID,
		Known:  life.Known(),
		Cause:  life.Cause(),
		Torn:   life.Unreadable,
		Lines:  rawLines(life.Lines),
		Around: rawLines(life.ContextLines()),
	}
}

func rawLines(lines []provenance.Line) []json.RawMessage {
	raw := make([]json.RawMessage, 0, len(lines))
	for _, line := range lines {
		raw = append(raw, json.RawMessage(line.Raw))
	}
	return raw
}

func (e explanation) text(w io.Writer) {
	for _, line := range e.Lines {
		_, _ = fmt.Fprintf(w, "%s\n", line)
	}
	if len(e.Around) > 0 {
		_, _ = fmt.Fprintln(w, "\nOf its instance and servers, from 5 s before:")
	}
	for _, line := range e.Around {
		_, _ = fmt.Fprintf(w, "%s\n", line)
	}
	if e.Torn > 0 {
		_, _ = fmt.Fprintf(w, "\n%d lines couldn't be read.\n", e.Torn)
	}
	_, _ = fmt.Fprintf(w, "\n%s\n", e.Cause)
}

// Execute reads the logs and tells the request's life.
func (c *explainCommand) Execute([]string) error {
	reader := provenance.NewReader(c.Args.ID)
	if err := c.read(reader); err != nil {
		return exitf(ExitFailed, "%w", err)
	}
	life := reader.Timeline()
	c.app.result = newExplanation(life)
	if !life.Known() {
		return exitf(ExitNotFound, "no line names request %q", c.Args.ID)
	}
	return nil
}

// read reads the files, or standard input if there are none.
func (c *explainCommand) read(reader *provenance.Reader) error {
	if len(c.Args.Files) == 0 {
		if c.app.deps.Stdin == nil {
			return errors.New("read standard input: there is none")
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
