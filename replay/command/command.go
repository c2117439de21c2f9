// Package command implements the command line of balsamlock-replay.
//
// # Usage
//
//	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/balsamlock/balsamlock/common/program"
)

// streams holds the program's output streams.
type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command given by args and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts struct {
		Version bool `long:"version" description:"print the version and exit"`
	}
	s := streams{
		out: stdout,
		err: stderr,
	}
	parser := flags.NewNamedParser("balsamlock-replay", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if err := addCommands(parser, &opts, s); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	}
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return program.ExitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, err)
		return program.ExitUsage
	case err != nil:
		_, _ = fmt.Fprintln(stderr, "balsamlock-replay:", err)
		return program.ExitFailed
	case opts.Version:
		_, _ = fmt.Fprintln(stdout, "balsamlock-replay", program.Version())
	case parser.Active == nil:
		parser.WriteHelp(stderr)
		return program.ExitUsage
	}
	return program.ExitOK
}

func addCommands(parser *flags.Parser, opts any, s streams) error {
	_, err := parser.AddGroup("Options", "", opts)
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("make", "generate a trace", "Generates a trace from a profile and a seed, as JSON lines.", &makeCommand{streams: s})
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("live", "replay a trace against an entry instance", "Replays a trace over HTTP with its own timing and prints a summary for each caller.", &liveCommand{streams: s})
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("outcomes", "replay a trace with expected outcomes", "Replays a trace against entry instances and stand-ins and checks the expected outcome of each event. The exit code is 1 if one is not met.", &outcomesCommand{streams: s})
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("measure", "measure the router's policy", "Measures the router's policy, compares the results with their bounds and writes the results and a plot. The exit code is 1 if a bound is not met.", &measureCommand{streams: s})
	if err != nil {
		return err
	}
	_, err = parser.AddCommand("compare", "compare policies", "Replays the same traces in virtual time under several policies.", &compareCommand{streams: s})
	return err
}
