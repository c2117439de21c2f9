// Command verdict evaluates the output of "go test -json" and fails if the test run failed.
//
// It prints the output of the failed tests. Failures of the tests that are listed in
// KNOWN-RED.txt are printed, but don't fail the run. With --proofs it also prints the table
// of proofs, and fails if the table doesn't match the page of proofs.
//
// # Usage
//
//	go test -json ./... | go run ./internal/verdict --known-red KNOWN-RED.txt
//	go test -json -run '^TestProof' ./... | go run ./internal/verdict --proofs docs/PROOFS.md
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	KnownFailures string `long:"known-red" description:"list of tests that may fail" value-name:"FILE" default:"KNOWN-RED.txt"`
	Proofs        string `long:"proofs" description:"print the table of proofs and compare it with this page" value-name:"FILE"`
	Soak          bool   `long:"soak" description:"end with the number of runs and violations"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	ok, err := evaluate(opts, os.Stdin, os.Stdout)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "verdict:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// evaluate reads test events, prints the report to out and reports whether the run passes.
func evaluate(opts options, events io.Reader, out io.Writer) (bool, error) {
	known, err := readKnownFailures(opts.KnownFailures)
	if err != nil {
		return false, err
	}
	run, err := readRun(events)
	if err != nil {
		return false, err
	}
	ok := run.report(out, known)
	if opts.Soak {
		return printSoak(out, run) && ok, nil
	}
	if opts.Proofs == "" {
		return ok, nil
	}
	page, err := os.ReadFile(opts.Proofs)
	if err != nil {
		return false, fmt.Errorf("read page of proofs: %w", err)
	}
	return printProofs(out, run, string(page)) && ok, nil
}
