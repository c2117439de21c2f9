// Package ctl holds the commands of balsamlock-ctl, by which operators check,
// compare, publish and show routing documents, ask every instance for its
// status and drain one.
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

// Deps are what the program uses of its surroundings.
type Deps struct {
	// Args are the arguments without the program's name.
	Args   []string
	Getenv func(name string) string
	// Stdin is read by commands that take logs; may be nil.
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// HTTP is the client for all calls, nil for a new one.
	HTTP *http.Client
}

// Run runs one command and returns the exit code.
func Run(deps Deps) int {
	log.DefaultLogger.SetLevel(log.FatalLevel)
	a := &app{deps: deps}
	parser, err := a.parser()
	if err != nil {
		_, _ = fmt.Fprintln(deps.Stderr, err)
		return ExitUsage
	}
	_, err = parser.ParseArgs(deps.Args)
	if err == nil && parser.Active == nil {
		return a.runWithoutCommand()
	}
	return a.finish(err)
}

// runWithoutCommand handles the flags that need none.
func (a *app) runWithoutCommand() int {
	switch {
	case a.options.Version:
		_, _ = fmt.Fprintln(a.deps.Stdout, programName, program.Version())
		return ExitOK
	case a.options.CheckSettings:
		cfg, err := a.config()
		if err == nil {
			_, _ = fmt.Fprintf(a.deps.Stdout, "settings ok: platform %q, %d instances\n", cfg.Platform, len(cfg.Instances))
		}
		return a.finish(err)
	}
	return a.finish(exitf(ExitUsage, "no command given; see --help"))
}

// app is one run of the program.
type app struct {
	deps    Deps
	options options
	// result is what the command found, printed also when it failed.
	result result
}

// result is printed as text or, with --json, encoded.
type result interface{ text(w io.Writer) }

func (a *app) parser() (*flags.Parser, error) {
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
			short: "tell a request's life from logs",
			long:  "Reads the logs of any number of instances, prints the lines about one request in order and why it ended as it did. Exits with 9 if no line names it.",
			data:  &explainCommand{app: a},
		},
		{
			name:  "check",
			short: "check a document",
			long:  "Checks a document by schema and by meaning and prints all findings. Exits with 4 if there are any.",
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
			short: "ask every instance for its status",
			long:  "Asks every instance for its state and the document in force. Exits with 8 unless all answer and hold the newest version among them.",
			data:  &statusCommand{app: a},
		},
		{
			name:  "restore",
			short: "begin anew after a total loss",
			long:  restoreDescription,
			data:  &restoreCommand{app: a},
		},
		{
			name:  "drain",
			short: "tell an instance to shut down gracefully",
			long:  "Tells an instance to take no new work, to finish what is in progress and to leave.",
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
  5  the base has moved: another document was accepted meanwhile
  6  the outcome is unknown: publish again with --record-id
  7  the documents differ (diff)
  8  not every instance answers and has the newest document in force
  9  no line of the logs names the request (explain)

The operator's key is read from the file of --operator-key-file or from the
environment variable BALSAMLOCK_OPERATOR_KEY.`

const publishDescription = `Publishes a document to the platform's log. Its base must be the digest of the
accepted document; see show --edit. If the base has moved, nothing is published,
the changes made meanwhile are printed, and the exit code is 5. If the answer of
the platform is lost, the log is read until the outcome is known or --timeout
ends; then the exit code is 6, and publishing the same file with --record-id
asks again, which is safe.`

const restoreDescription = `Begins the documents stream anew with a document. It is meant for one case: every
instance was gone for longer than the log's retention, so that neither the log
nor an instance tells which document was accepted. All instances have to be
given and must answer that they hold none; else the exit code is 8. While the
log itself tells the accepted document, the exit code is 5. One operator does
it, once.`

// finish prints the result or the error and returns the exit code.
func (a *app) finish(err error) int {
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

// envelope is the output of every command with --json.
type envelope struct {
	ExitCode int    `json:"exit_code"`
	Error    string `json:"error,omitempty"`
	Result   result `json:"result,omitempty"`
}

func (a *app) printJSON(err error, code int) {
	out := envelope{
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
