// Package program implements the main function of the long-running programs: command line
// flags, the settings file, the log, and a run group whose actors are all stopped when one
// of them returns. SIGTERM and SIGINT stop the group, once; SIGHUP and a standard output
// without a reader never end a program.
//
// # Usage
//
//	func main() {
//		cfg := entry.DefaultConfig()
//		program.Main("balsamlock-entry", &cfg, func(g *run.Group) error {
//			return entry.Start(g, cfg)
//		})
//	}
package program

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"runtime/debug"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/settings"
)

// The exit codes of every program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Options holds the command line flags of every long-running program.
type Options struct {
	Settings      string `short:"s" long:"settings" description:"settings file, JSON" value-name:"FILE"`
	CheckSettings bool   `long:"check-settings" description:"check the settings file and exit"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

// Version returns the module version of the build, or "unknown" if it has none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

// Main runs a program and exits with its exit code. It parses the flags, loads the settings
// file into cfg and calls setup to add actors to the run group. The group runs until an
// actor returns or the process receives SIGTERM or SIGINT.
func Main(name string, cfg any, setup func(g *run.Group) error) {
	MainWithFile(name, cfg, func(g *run.Group, _ string) error { return setup(g) })
}

// MainWithFile is like Main, but passes the path of the settings file to setup. It is for
// programs that reload the settings file while they run.
func MainWithFile(name string, cfg any, setup func(g *run.Group, file string) error) {
	p := process{
		name:    name,
		stdout:  os.Stdout,
		stderr:  os.Stderr,
		signals: notifyTermination(),
	}
	ignoreBrokenPipes()
	os.Exit(p.start(os.Args[1:], cfg, setup))
}

// process is what a program gets from its surroundings.
type process struct {
	name   string
	stdout io.Writer
	stderr io.Writer
	// signals receives the signals that end the program. It may be nil.
	signals <-chan os.Signal
}

func (p process) start(args []string, cfg any, setup func(g *run.Group, file string) error) int {
	var opts Options
	parser := flags.NewNamedParser(p.name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		_, _ = fmt.Fprintln(p.stderr, err)
		return ExitUsage
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printUsage(err, p.stdout, p.stderr)
	}
	if opts.Version {
		_, _ = fmt.Fprintln(p.stdout, p.name, Version())
		return ExitOK
	}
	if opts.Settings == "" {
		_, _ = fmt.Fprintln(p.stderr, p.name+": --settings FILE is required")
		return ExitUsage
	}
	load := p.awaitSettings
	if opts.CheckSettings {
		load = settings.Load
	}
	switch err := load(opts.Settings, cfg); {
	case errors.Is(err, run.ErrSignal):
		_, _ = fmt.Fprintln(p.stderr, err)
		return ExitOK
	case err != nil:
		_, _ = fmt.Fprintln(p.stderr, err)
		return ExitSettings
	}
	if opts.CheckSettings {
		_, _ = fmt.Fprintln(p.stdout, "settings ok:", opts.Settings)
		return ExitOK
	}
	logWriter := configureLog(p.name, cfg, p.stdout)
	defer logWriter.Close()
	return p.runGroup(func(g *run.Group) error { return setup(g, opts.Settings) })
}

const (
	// absentTimeout is how long a program waits at its start for a settings file that does
	// not exist. settingsPollInterval is the interval between reads.
	absentTimeout        = 10 * time.Second
	settingsPollInterval = 20 * time.Millisecond
)

// awaitSettings loads the settings file. The file may be replaced while the program starts:
// it waits for one that is absent, for a limited time, or that ends early. Invalid settings
// are returned as an error at once, and run.ErrSignal if the program is to end.
func (p process) awaitSettings(file string, cfg any) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	reported := false
	for start := time.Now(); ; {
		err := settings.Load(file, cfg)
		isAbsent := errors.Is(err, fs.ErrNotExist) && time.Since(start) < absentTimeout
		if !isAbsent && !errors.Is(err, settings.ErrIncomplete) {
			return err
		}
		if !reported {
			reported = true
			_, _ = fmt.Fprintf(p.stderr, "%v; waiting for the file\n", err)
		}
		select {
		case <-ticker.C:
		case s := <-p.signals:
			return &run.SignalError{Signal: s}
		}
	}
}

func printUsage(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, err)
	return ExitUsage
}

func (p process) runGroup(setup func(g *run.Group) error) int {
	var g run.Group
	addTermination(&g, p.signals)
	if err := setup(&g); err != nil {
		log.Error().Str(event.Key, string(event.Exit)).Err(err).Msg("startup failed")
		return ExitFailed
	}
	err := g.Run()
	if errors.Is(err, run.ErrSignal) || err == nil {
		log.Info().Str(event.Key, string(event.Exit)).AnErr("reason", err).Msg("process exits")
		return ExitOK
	}
	log.Error().Str(event.Key, string(event.Exit)).Err(err).Msg("process exits")
	return ExitFailed
}
