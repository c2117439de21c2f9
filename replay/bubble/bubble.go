// Package bubble implements virtual time outside of tests: it runs functions in
// testing/synctest bubbles inside an ordinary program.
//
// # Usage
//
//	err := bubble.Run(4, jobs)
//
// The standard library supports virtual time, the bubbles of testing/synctest,
// in tests only. The package therefore runs the jobs as subtests through
// testing.MainStart. Run must not be called inside a test binary.
package bubble

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// ErrFailed is returned by Run if a job did not return normally.
var ErrFailed = errors.New("a job in virtual time failed")

// Run runs the jobs, each in a bubble of its own, with at most the given number
// in parallel. A job's goroutines must have ended when it returns. Run is not
// safe for concurrent use.
func Run(parallel int, jobs []func()) error {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return fmt.Errorf("virtual time: parse flags: %w", err)
	}
	if err := flag.Set("test.parallel", strconv.Itoa(parallel)); err != nil {
		return fmt.Errorf("virtual time: set flags: %w", err)
	}
	var completed atomic.Int64
	test := testing.InternalTest{
		Name: "virtual",
		F:    func(t *testing.T) { runAll(t, jobs, &completed) },
	}
	// The testing package reports to standard output, which belongs to the caller.
	stdout := os.Stdout
	os.Stdout = os.Stderr
	exitCode := testing.MainStart(testDeps{}, []testing.InternalTest{test}, nil, nil, nil).Run()
	os.Stdout = stdout
	if n := int(completed.Load()); exitCode != 0 || n != len(jobs) {
		return fmt.Errorf("%w: %d of %d ended", ErrFailed, n, len(jobs))
	}
	return nil
}

func runAll(t *testing.T, jobs []func(), completed *atomic.Int64) {
	for i, job := range jobs {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(*testing.T) {
				job()
				completed.Add(1)
			})
		})
	}
}
