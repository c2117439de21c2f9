// Package ctl implements balsamlock-ctl, the command line tool for operators. It checks,
// compares, publishes and shows routing documents, prints the status of instances, drains
// an instance and explains a request from its log lines.
//
// # Usage
//
//	os.Exit(ctl.Run(ctl.Deps{
//		Args:   os.Args[1:],
//		Getenv: os.Getenv,
//		Stdout: os.Stdout,
//		Stderr: os.Stderr,
//	}))
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/jessevdk/go-flags"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/program"
)

const programName = "balsamlock-ctl"

// Deps are the dependencies of the program on its environment.
type Deps struct {
	// Args are the arguments without the program name.
	Args   []string
	Getenv func(name string) string
	// Stdin is read by commands that accept logs. It may be nil.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// HTTP is the client for all calls. If it is nil, a new client is used.
	HTTP *http.Client
}

// Run runs the command given by the arguments and returns the exit code.
func Run(deps Deps) int {
	log.DefaultLogger.SetLevel(log.FatalLevel)
	a := &app{deps: deps}
	parser, err := a.newParser()
	if err != nil {
		_, _ = fmt.Fprintln(deps.Stderr, err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(deps.Args)
	if err == nil && parser.Active == nil {
		return a.runWithoutCommand()
	}
	return a.printResult(err)
}

// runWithoutCommand handles the flags that are valid without a command.
func (a *app) runWithoutCommand() int {
	switch {
	case a.options.Version:
		_, _ = fmt.Fprintln(a.deps.Stdout, programName, program.Version())
		return ExitOK
	case a.options.CheckSettings:
		cfg, err := a.loadConfig()
		if err == nil {
			_, _ = fmt.Fprintf(a.deps.Stdout, "settings ok: platform %q, %d instances\n", cfg.Platform, len(cfg.Instances))
		}
		return a.printResult(err)
	}
	return a.printResult(exitf(ExitUsage, "no command given; see --help"))
}

// app holds the state of one run of the program.
type app struct {
	deps    Deps
	options options
	// result is the result of the command. It is also printed if the command failed.
	result result
}

// result is the result of a command. It is printed as text, or encoded as JSON with --json.
type result interface{ text(w io.Writer) }

func (a *app) newParser() (*flags.Parser, error) {
	parser := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.ShortDescription = "check, publish and show routing documents"
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &a.options); err != nil {
		return nil, err
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

func (a *app) commands() []command {
	return []command{
		{
			name:  "explain",
			short: "explain a request from logs",
			long:  "Reads the logs of any number of instances, prints the lines about one request in order and explains why it ended as it did. Exits with 9 if no line names it.",
			data:  &explainCommand{app: a},
		},
		{
			name:  "check",
			short: "check a document",
			long:  "Checks a document against the schema and for consistency, and prints all findings. Exits with 4 if there are any.",
			data:  &checkCommand{app: a},
		},
		{
			name:  "diff",
			short: "compare documents",
			long:  "Compares two documents, or the accepted one with a file, by the names of their entries. Exits with 7 if they differ.",
			data:  &diffCommand{app: a},
		},
		{
			name:  "digest",
			short: "print a document's digest",
			long:  "Prints the digest that the next document names as its base.",
			data:  &digestCommand{app: a},
		},
		{
			name:  "schema",
			short: "print the JSON schema",
			long:  "Prints the JSON schema of the document, for editors and checks in version control.",
			data:  &schemaCommand{app: a},
		},
		{
			name:  "show",
			short: "print the accepted document",
			long:  "Prints the accepted document. With --edit its base is set so that the edited file can be published.",
			data:  &showCommand{app: a},
		},
		{
			name:  "publish",
			short: "publish a document",
			long:  publishDescription,
			data:  &publishCommand{app: a},
		},
		{
			name:  "status",
			short: "print the status of every instance",
			long:  "Prints the state of every instance and its document in force. Exits with 8 unless all instances respond and have the newest version among them.",
			data:  &statusCommand{app: a},
		},
		{
			name:  "restore",
			short: "restart the documents stream after a total loss",
			long:  restoreDescription,
			data:  &restoreCommand{app: a},
		},
		{
			name:  "drain",
			short: "tell an instance to shut down gracefully",
			long:  "Tells an instance to accept no new requests, to finish those in flight and to leave.",
			data:  &drainCommand{app: a},
		},
	}
}

const longDescription = `Exit codes:
  0  done
  1  failed: the platform or an instance could not be reached
  2  wrong usage
  3  wrong settings
  4  the document has findings
  5  the base has moved: another document has been accepted since
  6  the outcome is unknown: publish again with --record-id
  7  the documents differ (diff)
  8  not every instance responds and has the newest document in force
  9  no line of the logs names the request (explain)

The operator's key is read from the file of --operator-key-file or from the
environment variable BALSAMLOCK_OPERATOR_KEY.`

const publishDescription = `Publishes a document to the platform's log. Its base must be the digest of the
accepted document; see show --edit. If the base has moved, nothing is published,
the changes from the accepted document to this one are printed, and the exit
code is 5. If the response of the platform is lost, the log is read until the
outcome is known or --timeout expires. If it expires, the exit code is 6, and it
is safe to publish the same file again with --record-id.`

const restoreDescription = `Restarts the documents stream with a document. Use it only if every instance was
down for longer than the log's retention, so that neither the log nor an
instance holds the accepted document. All instances must be given and must
report that they hold no document; otherwise the exit code is 8. If the log
itself determines the accepted document, the exit code is 5. Only one operator
may run it, and only once.`

// printResult prints the result or the error and returns the exit code.
func (a *app) printResult(err error) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(a.deps.Stdout, flagsErr.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(a.deps.Stderr, err)
		return ExitUsage
	}
	code := exitCodeOf(err)
	if a.options.JSON {
		a.printJSON(err, code)
		return code
	}
	if a.result != nil {
		a.result.text(a.deps.Stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintln(a.deps.Stderr, err)
	}
	return code
}

// jsonOutput is the output of each command with --json.
type jsonOutput struct {
	ExitCode int    `json:"exit_code"`
	Error    string `json:"error,omitempty"`
	Result   result `json:"result,omitempty"`
}

func (a *app) printJSON(err error, code int) {
	out := jsonOutput{
		ExitCode: code,
		Result:   a.result,
	}
	if err != nil {
		out.Error = err.Error()
	}
	encoder := json.NewEncoder(a.deps.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(out); err != nil {
		_, _ = fmt.Fprintln(a.deps.Stderr, err)
	}
}
