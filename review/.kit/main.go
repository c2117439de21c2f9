// Command review-kit plays the scripted cases of the review. It starts balsamlock-gateway as a separate
// process, with stand-ins for the platform's store, the workers and the clients on loopback addresses.
//
// # Usage
//
//	TROUBLE=1 review-kit CASE DIR
//
// CASE is the number of the case, and DIR its folder, to which record.txt is written. The exit code is 0 if
// the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 the case is played
// without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
	// maxRun ends a run that hangs. The cases take less than half of it.
	maxRun = 110 * time.Second
)

// cases are the cases by number. Each returns the violations of its rule.
var cases = map[string]func(l *lab) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE DIR")
		os.Exit(exitUnusable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, dir string, trouble bool) int {
	l, err := newLab(dir, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-kit:", err)
		return exitUnusable
	}
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	go func() {
		violations, err := cases[name](l)
		done <- result{
			violations: violations,
			err:        err,
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case sig := <-signals:
		r.err = fmt.Errorf("ended by signal: %s", sig)
	case <-time.After(maxRun):
		r.err = fmt.Errorf("case %s did not end within %s", name, maxRun)
	}
	l.close()
	switch {
	case r.err != nil:
		l.record("case could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return exitUnusable
	case len(r.violations) > 0:
		for _, violation := range r.violations {
			l.record("BROKEN %s", violation)
		}
		fmt.Printf("broken: %d violations, the first: %s\n", len(r.violations), r.violations[0])
		return exitBroken
	}
	l.record("the rule held")
	fmt.Println("held")
	return exitHeld
}
