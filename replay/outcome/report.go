package outcome

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/balsamlock/balsamlock/receipt"
	"github.com/balsamlock/balsamlock/standin"
	"github.com/balsamlock/balsamlock/workshop"
)

// Line is the result of one check of an event.
type Line struct {
	Event    string  `json:"event"`
	Expected string  `json:"expected"`
	Got      string  `json:"got"`
	TookMS   float64 `json:"took_ms"`
	OK       bool    `json:"ok"`
}

// Report holds the results of all checks of a replay, in the order of the trace.
type Report struct {
	Lines []Line `json:"lines"`
}

// Met reports whether every expected outcome was met.
func (r Report) Met() bool {
	for _, line := range r.Lines {
		if !line.OK {
			return false
		}
	}
	return true
}

// Failed returns the lines of the checks that failed.
func (r Report) Failed() []Line {
	var failed []Line
	for _, line := range r.Lines {
		if !line.OK {
			failed = append(failed, line)
		}
	}
	return failed
}

// WriteTable prints the report as a human-readable table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "event\texpected\tgot\tms\tok")
	for _, line := range r.Lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.0f\t%t\n", line.Event, line.Expected, line.Got, line.TookMS, line.OK)
	}
	return t.Flush()
}

func (r *replayer) report(events []Event) Report {
	var report Report
	for _, e := range events {
		report.Lines = append(report.Lines, r.check(e)...)
	}
	return report
}

// check compares the event's answer with its expected outcome.
func (r *replayer) check(e Event) []Line {
	answer := r.loadAnswer(e.ID)
	checks := &eventChecks{
		event:  e.ID,
		answer: answer,
	}
	switch action := e.Action().(type) {
	case *Fault, *Instance:
		checks.add("done", answer.Err == nil, answer.describe())
	case *Runs:
		checks.add(fmt.Sprintf("%d runs of %s", action.Times, action.Key), answer.Err == nil && answer.Text == fmt.Sprint(action.Times), answer.describe())
	case *CollectedOnce:
		checks.add(action.Draft+" collected once", answer.Refusal.Code == receipt.CodeKeyConflict, answer.describe())
	default:
		r.checkWant(checks, e)
	}
	return checks.lines
}

// checkWant adds a check for each field of the event's Want that is set.
func (r *replayer) checkWant(checks *eventChecks, e Event) {
	want, answer := e.Want, checks.answer
	if want.Status != 0 {
		checks.add(fmt.Sprintf("status %d", want.Status), answer.Status == want.Status, answer.describe())
	}
	if want.Complete {
		checks.add("whole answer", succeeded(answer) && r.isCompleteAnswer(e, answer.Text), answer.describe())
	}
	if want.SameAs != "" {
		other := r.loadAnswer(want.SameAs)
		same := succeeded(answer) && succeeded(other) && answer.Text == other.Text
		checks.add("same as "+want.SameAs, same, answer.describe())
	}
	if want.DiffersFrom != "" {
		other := r.loadAnswer(want.DiffersFrom)
		differs := succeeded(answer) && succeeded(other) && answer.Text != other.Text
		checks.add("differs from "+want.DiffersFrom, differs, answer.describe())
	}
	if want.WithinMS > 0 {
		checks.add(fmt.Sprintf("within %g ms", want.WithinMS), answer.Status != 0 && checks.tookMS() <= want.WithinMS, fmt.Sprintf("%.0f ms", checks.tookMS()))
	}
	if want.AtLeastMS > 0 {
		checks.add(fmt.Sprintf("after at least %g ms", want.AtLeastMS), answer.Status != 0 && checks.tookMS() >= want.AtLeastMS, fmt.Sprintf("%.0f ms", checks.tookMS()))
	}
	if want.Ran != "" {
		checks.add("ran "+string(want.Ran), answer.Refusal.Ran == want.Ran, answer.describe())
	}
}

func succeeded(answer Answer) bool { return answer.Err == nil && answer.Status == http.StatusOK }

// isCompleteAnswer reports whether the text is the complete answer to the
// event's request. Stand-ins generate the same answer to the same request.
func (r *replayer) isCompleteAnswer(e Event, text string) bool {
	switch action := e.Action().(type) {
	case *Completion:
		return text == r.expectedText(action.Prompt, action.MaxTokens)
	case *Collect:
		draft := r.drafts[action.Draft]
		return text == r.expectedText(draft.Prompt, draft.MaxTokens)
	case *Lookup:
		return isServiceAnswer(text, http.MethodGet, action.Path, "")
	case *Order:
		return isServiceAnswer(text, http.MethodPost, ordersPath, action.Body)
	}
	return false
}

func (r *replayer) expectedText(prompt string, maxTokens int) string {
	return strings.Join(standin.Answer(r.cfg.Model, prompt, maxTokens), "")
}

func isServiceAnswer(text, method, path, body string) bool {
	var answer standin.ServiceAnswer
	err := json.Unmarshal([]byte(text), &answer)
	return err == nil && answer.Value == standin.ServiceValue(workshop.Request{
		Method: method,
		Path:   path,
		Body:   []byte(body),
	})
}

// eventChecks collects the lines of one event.
type eventChecks struct {
	event  string
	answer Answer
	lines  []Line
}

func (c *eventChecks) tookMS() float64 { return float64(c.answer.Took) / float64(time.Millisecond) }

func (c *eventChecks) add(expected string, ok bool, got string) {
	c.lines = append(c.lines, Line{
		Event:    c.event,
		Expected: expected,
		Got:      got,
		TookMS:   c.tookMS(),
		OK:       ok,
	})
}

// maxShownChars is the number of characters of an answer that a report shows.
const maxShownChars = 40

// describe returns a short description of the answer.
func (a Answer) describe() string {
	switch {
	case a.Err != nil:
		return "no answer: " + a.Err.Error()
	case a.Refusal.Code != "":
		return fmt.Sprintf("status %d %s, %s", a.Status, a.Refusal.Code, a.Refusal.Ran)
	case a.Status == 0:
		return a.Text
	}
	text := strings.TrimSpace(a.Text)
	return fmt.Sprintf("status %d %.*s", a.Status, maxShownChars, text)
}
