package replay

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Summary aggregates the answers to one caller's requests of one class.
type Summary struct {
	Caller   string `json:"caller"`
	Class    string `json:"class"`
	Offered  int    `json:"offered"`
	Complete int    `json:"whole"`
	// Refused is the number of requests that got no token. Cancelled is the number
	// of requests that the caller cancelled.
	Refused   int `json:"refused"`
	Cancelled int `json:"cancelled"`
	// FirstTokenP50MS, FirstTokenP95MS and PerTokenP95MS are percentiles over
	// complete answers, in milliseconds.
	FirstTokenP50MS float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS float64 `json:"first_token_p95_ms"`
	PerTokenP95MS   float64 `json:"per_token_p95_ms"`
}

type summaryKey struct {
	caller string
	class  string
}

// Summarize groups the answers by caller and class. The result is sorted by
// both.
func Summarize(answers []Answer) []Summary {
	groups := map[summaryKey][]Answer{}
	for _, a := range answers {
		key := summaryKey{
			caller: a.Event.Caller,
			class:  a.Event.Class,
		}
		groups[key] = append(groups[key], a)
	}
	summaries := make([]Summary, 0, len(groups))
	for key, group := range groups {
		summaries = append(summaries, summarize(key, group))
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		if a.Caller != b.Caller {
			return compareNames(a.Caller, b.Caller)
		}
		return compareNames(a.Class, b.Class)
	})
	return summaries
}

// compareNames orders shorter names first, so that caller-2 precedes caller-10.
func compareNames(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	if a < b {
		return -1
	}
	return 1
}

func summarize(key summaryKey, answers []Answer) Summary {
	s := Summary{
		Caller:  key.caller,
		Class:   key.class,
		Offered: len(answers),
	}
	var firstToken, perToken []time.Duration
	for _, a := range answers {
		switch {
		case a.Complete:
			s.Complete++
			firstToken = append(firstToken, a.FirstToken)
			perToken = append(perToken, a.PerToken)
		case a.Cancelled:
			s.Cancelled++
		case a.Tokens == 0:
			s.Refused++
		}
	}
	s.FirstTokenP50MS = quantile(firstToken, 0.5)
	s.FirstTokenP95MS = quantile(firstToken, 0.95)
	s.PerTokenP95MS = quantile(perToken, 0.95)
	return s
}

// WriteSummaries prints the summaries as a human-readable table.
func WriteSummaries(w io.Writer, summaries []Summary) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "caller\tclass\toffered\twhole\trefused\tcancelled\tttft p50 ms\tttft p95 ms\ttpot p95 ms")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n",
			s.Caller, s.Class, s.Offered, s.Complete, s.Refused, s.Cancelled,
			s.FirstTokenP50MS, s.FirstTokenP95MS, s.PerTokenP95MS)
	}
	return t.Flush()
}
