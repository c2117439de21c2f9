package plan

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Finding is a validation error at one field of a document.
type Finding struct {
	// Path is the path of the field, such as "callers[3].limits.concurrent".
	Path string `json:"path"`
	// Entry is the type and name of the entry that contains the field, such as
	// "caller studio-a". It is empty for fields outside entries.
	Entry string `json:"entry,omitempty"`
	// Value is the invalid value as truncated JSON.
	Value string `json:"value"`
	// Allowed describes the expected value.
	Allowed string `json:"allowed"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	location := f.Path
	if f.Entry != "" {
		location += " (" + f.Entry + ")"
	}
	return fmt.Sprintf("%s: value %s is not allowed: want %s", location, f.Value, f.Allowed)
}

// InvalidError is the error for a document with findings.
type InvalidError struct{ Findings []Finding }

// Error returns the findings, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("routing document: %d findings", len(e.Findings)))
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// FindingsOf returns the findings of an InvalidError in err's chain, or nil if
// there is none.
func FindingsOf(err error) []Finding {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return invalid.Findings
	}
	return nil
}

func newInvalidError(findings ...Finding) error {
	if len(findings) == 0 {
		return nil
	}
	return &InvalidError{Findings: findings}
}

// sortFindings sorts findings by path in place and removes adjacent duplicates.
func sortFindings(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return strings.Compare(a.Path, b.Path) })
	return slices.Compact(findings)
}
