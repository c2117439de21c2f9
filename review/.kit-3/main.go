// Command kit-3 runs the cases of the review as separate processes on loopback addresses.
//
//	kit-3 CASE RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases maps names to functions that return what broke the rule, or nothing if it held.
var cases = map[string]func(s *site, trouble bool) (broken []string, err error){
	"torn-field":       tornField,
	"torn-status-line": tornStatusLine,
	"torn-success":     tornSuccess,
	"lost-move":        lostMove,
	"old-report":       oldReport,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c func(s *site, trouble bool) ([]string, error), record string) int {
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("disruption: %v", trouble)
	broken, err := c(s, trouble)
	if err != nil {
		s.log("the case could not run: %v", err)
		return 2
	}
	for _, b := range broken {
		s.log("BROKEN %s", b)
	}
	s.log("%d breaks", len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}
