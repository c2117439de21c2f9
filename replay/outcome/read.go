package outcome

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/balsamlock/balsamlock/counter"
)

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Read reads and checks a trace of JSON lines; unknown fields are refused.
// Events may name only events of earlier lines.
func Read(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var events []Event
	known := map[string]Event{}
	for line := 1; scanner.Scan(); line++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		e, err := decode(scanner.Bytes())
		if err == nil {
			err = e.check(known)
		}
		if err != nil {
			return nil, fmt.Errorf("read trace: line %d: %w", line, err)
		}
		known[e.ID] = e
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	if len(events) == 0 {
		return nil, errors.New("read trace: no events")
	}
	return events, nil
}

func decode(line []byte) (Event, error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	var e Event
	err := decoder.Decode(&e)
	return e, err
}

func (e Event) check(known map[string]Event) error {
	switch _, twice := known[e.ID]; {
	case e.ID == "" || twice:
		return fmt.Errorf("event %q: id: want a name of its own", e.ID)
	case len(e.actions()) != 1:
		return fmt.Errorf("event %s: want exactly one action, got %d", e.ID, len(e.actions()))
	case e.AtMS < 0 || e.CancelAfterMS < 0 || e.Want.WithinMS < 0 || e.Want.AtLeastMS < 0:
		return fmt.Errorf("event %s: times: want numbers of at least 0", e.ID)
	case e.Want.Ran != "" && e.Want.Ran != counter.NotRun && e.Want.Ran != counter.RunUnknown:
		return fmt.Errorf("event %s: want.ran %q: want %s or %s", e.ID, e.Want.Ran, counter.NotRun, counter.RunUnknown)
	case e.Want.Whole && !e.isAnswered():
		return fmt.Errorf("event %s: want.whole: only for a completion, collection, lookup or order", e.ID)
	}
	for _, name := range e.references() {
		other, ok := known[name]
		if !ok || other.isFinal() {
			return fmt.Errorf("event %s: no earlier event %q that isn't a check of the end state", e.ID, name)
		}
	}
	return e.checkAction(known)
}

// references are the events that this one names.
func (e Event) references() []string {
	names := e.awaited()
	for _, name := range []string{e.Want.SameAs, e.Want.DiffersFrom} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// awaited are the events that must have ended before this one begins.
func (e Event) awaited() []string {
	names := slices.Clone(e.After)
	switch action := e.Action().(type) {
	case *Collect:
		names = append(names, action.Draft)
	case *Collected:
		names = append(names, action.Draft)
	}
	return names
}

func (e Event) checkAction(known map[string]Event) error {
	ok, wanted := true, ""
	switch action := e.Action().(type) {
	case *Completion:
		ok, wanted = e.isSent() && action.MaxTokens > 0, "caller, entry and max_tokens"
	case *Lookup:
		ok, wanted = e.isSent() && action.Path != "" && action.Path[0] == '/', "caller, entry and a path that starts with /"
	case *Order:
		ok, wanted = e.isSent() && action.Key != "", "caller, entry and key"
	case *Draft:
		ok, wanted = e.isSent() && action.MaxTokens > 0, "caller, entry and max_tokens"
	case *Collect:
		ok, wanted = e.isSent() && action.Key != "" && known[action.Draft].Draft != nil, "caller, entry, key and a draft"
	case *Fault:
		ok, wanted = action.Standin != "", "standin"
	case *Instance:
		ok = action.State == InstanceKilled || action.State == InstanceStarted
		wanted = "state killed or started"
	case *Runs:
		ok, wanted = action.Key != "" && len(action.Standins) > 0, "key and standins"
	case *Collected:
		ok, wanted = e.Caller != "" && known[action.Draft].Draft != nil, "caller and a draft"
	}
	if !ok {
		return fmt.Errorf("event %s: want %s", e.ID, wanted)
	}
	return nil
}

// isAnswered tells whether the event's answer depends on its request alone.
func (e Event) isAnswered() bool {
	switch e.Action().(type) {
	case *Completion, *Collect, *Lookup, *Order:
		return true
	}
	return false
}

func (e Event) isSent() bool { return e.Caller != "" && e.Entry != "" }
