package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/balsamlock/balsamlock/plan"
)

type fileArgument struct {
	File string `positional-arg-name:"FILE" description:"routing document, JSON"`
}

// checkResult is the result of the check command, and of other commands if the document has findings.
type checkResult struct {
	File     string         `json:"file"`
	Digest   string         `json:"digest,omitempty"`
	Findings []plan.Finding `json:"findings"`
}

func (r checkResult) text(w io.Writer) {
	for _, finding := range r.Findings {
		_, _ = fmt.Fprintf(w, "%s: %s\n", r.File, finding)
	}
	if len(r.Findings) == 0 {
		_, _ = fmt.Fprintf(w, "%s: ok, digest %s\n", r.File, r.Digest)
	}
}

// readDocument reads and validates a file. If the document has findings, it stores them as the result and returns an
// error.
func (a *app) readDocument(file string) (plan.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return plan.Document{}, exitf(ExitUsage, "read document: %w", err)
	}
	document, findings := plan.Validate(raw)
	if len(findings) == 0 {
		return document, nil
	}
	a.result = checkResult{
		File:     file,
		Findings: findings,
	}
	return plan.Document{}, exitf(ExitFindings, "%s: %d findings", file, len(findings))
}

type checkCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes" required:"yes"`
}

// Execute validates a document.
func (c *checkCommand) Execute([]string) error {
	document, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	c.app.result = checkResult{
		File:     c.Args.File,
		Digest:   document.Digest(),
		Findings: []plan.Finding{},
	}
	return nil
}

type digestCommand struct {
	app  *app
	Args fileArgument `positional-args:"yes" required:"yes"`
}

type digestResult struct {
	Digest string `json:"digest"`
}

func (r digestResult) text(w io.Writer) { _, _ = fmt.Fprintln(w, r.Digest) }

// Execute prints the digest of a document.
func (c *digestCommand) Execute([]string) error {
	document, err := c.app.readDocument(c.Args.File)
	if err != nil {
		return err
	}
	c.app.result = digestResult{Digest: document.Digest()}
	return nil
}

type schemaCommand struct{ app *app }

type schemaResult struct {
	Schema rawJSON `json:"schema"`
}

func (r schemaResult) text(w io.Writer) { _, _ = w.Write(r.Schema) }

// rawJSON holds encoded JSON, which is written unchanged.
type rawJSON []byte

// MarshalJSON returns r unchanged.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// Execute prints the schema.
func (c *schemaCommand) Execute([]string) error {
	c.app.result = schemaResult{Schema: plan.Schema()}
	return nil
}

type diffCommand struct {
	app  *app
	Args struct {
		Before string `positional-arg-name:"BEFORE" required:"yes" description:"routing document; left out, the accepted one is compared with AFTER"`
		After  string `positional-arg-name:"AFTER" description:"routing document"`
	} `positional-args:"yes"`
}

type diffResult struct {
	Changes []plan.Change `json:"changes"`
}

func (r diffResult) text(w io.Writer) {
	for _, change := range r.Changes {
		_, _ = fmt.Fprintln(w, change)
	}
	if len(r.Changes) == 0 {
		_, _ = fmt.Fprintln(w, "no changes")
	}
}

// Execute compares two documents.
func (c *diffCommand) Execute([]string) error {
	before, after, err := c.documents()
	if err != nil {
		return err
	}
	changes := plan.Diff(before, after)
	if changes == nil {
		changes = []plan.Change{}
	}
	c.app.result = diffResult{Changes: changes}
	if len(changes) > 0 {
		return exitf(ExitDiffers, "%d changes", len(changes))
	}
	return nil
}

// documents returns the two documents to compare. If only one file is given, it is the second one, and the first one is
// the accepted document.
func (c *diffCommand) documents() (before, after plan.Document, err error) {
	if c.Args.After != "" {
		before, err = c.app.readDocument(c.Args.Before)
		if err != nil {
			return before, after, err
		}
		after, err = c.app.readDocument(c.Args.After)
		return before, after, err
	}
	after, err = c.app.readDocument(c.Args.Before)
	if err != nil {
		return before, after, err
	}
	snapshot, err := c.app.acceptedDocument()
	return snapshot.Document, after, err
}

type showCommand struct {
	app  *app
	Edit bool `long:"edit" description:"set the base to the accepted document's digest"`
}

type showResult struct {
	Accepted plan.Accepted   `json:"accepted"`
	History  []plan.Accepted `json:"history"`
	Document plan.Document   `json:"document"`
}

func (r showResult) text(w io.Writer) { _, _ = w.Write(r.Document.Encode()) }

var errNoDocument = errors.New("no document has been accepted yet")

// Execute prints the accepted document.
func (c *showCommand) Execute([]string) error {
	snapshot, err := c.app.acceptedDocument()
	if err != nil {
		return err
	}
	if snapshot.Newest().Version == plan.NoVersion {
		return exitf(ExitFailed, "%w", errNoDocument)
	}
	document := snapshot.Document
	if c.Edit {
		document = document.WithBase(snapshot.Newest().Digest)
	}
	c.app.result = showResult{
		Accepted: snapshot.Newest(),
		History:  snapshot.History,
		Document: document,
	}
	return nil
}
