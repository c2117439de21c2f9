package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/balsamlock/balsamlock/common/prooftest"
)

// notProvedHeading is the heading of the list of rows without a proof in the page of proofs.
const notProvedHeading = "## Not proved"

// proofs returns the results that the proofs logged, sorted by guarantee and test.
func (run *testRun) proofs() []prooftest.Row {
	var rows []prooftest.Row
	for _, lines := range run.output {
		for _, line := range lines {
			_, raw, ok := strings.Cut(line, prooftest.LinePrefix)
			if !ok {
				continue
			}
			var row prooftest.Row
			if json.Unmarshal([]byte(raw), &row) == nil {
				rows = append(rows, row)
			}
		}
	}
	slices.SortFunc(rows, func(a, b prooftest.Row) int {
		return strings.Compare(a.Promise+a.Test, b.Promise+b.Test)
	})
	return rows
}

// printProofs prints the table of proofs and its totals. It returns false if no proof
// passed, if a proof failed, or if the page lacks a proof or lists one that did not run.
func printProofs(out io.Writer, run *testRun, page string) bool {
	rows := run.proofs()
	passed, failed := 0, 0
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROMISE\tFAILURES BROUGHT ABOUT\tTEST\tRUNS\tSEEDS\tVIOLATIONS")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d-%d\t%d\n", row.Promise, row.Failures, row.Test, row.Runs, row.FirstSeed, row.LastSeed, row.Violations)
		if row.Violations > 0 {
			failed++
		} else {
			passed++
		}
	}
	_ = table.Flush()
	matches := comparePage(out, rows, page)
	_, _ = fmt.Fprintf(out, "proofs: %d held, %d red, %d not proved\n", passed, failed, countNotProved(page))
	return failed == 0 && passed > 0 && matches
}

// printSoak prints the totals of all proofs. It returns false if nothing ran or if there are
// violations.
func printSoak(out io.Writer, run *testRun) bool {
	runs, violations := 0, 0
	for _, row := range run.proofs() {
		runs += row.Runs
		violations += row.Violations
	}
	_, _ = fmt.Fprintf(out, "soak: %d runs, %d violations\n", runs, violations)
	return runs > 0 && violations == 0
}

// comparePage reports whether the page lists exactly the proofs that ran, and prints the
// differences.
func comparePage(out io.Writer, rows []prooftest.Row, page string) bool {
	matches := true
	proved, _, _ := strings.Cut(page, notProvedHeading)
	ran := map[string]bool{}
	for _, row := range rows {
		ran[row.Test] = true
		if !strings.Contains(proved, "`"+row.Test+"`") {
			matches = false
			_, _ = fmt.Fprintf(out, "the page of proofs lacks %s\n", row.Test)
		}
	}
	for _, field := range strings.Split(proved, "`") {
		if strings.HasPrefix(field, "TestProof") && !ran[field] {
			matches = false
			_, _ = fmt.Fprintf(out, "the page of proofs lists %s, which did not run\n", field)
		}
	}
	return matches
}

func countNotProved(page string) int {
	_, list, ok := strings.Cut(page, notProvedHeading)
	if !ok {
		return 0
	}
	n := 0
	for _, line := range strings.Split(list, "\n") {
		if strings.HasPrefix(line, "- ") {
			n++
		}
	}
	return n
}
