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

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 20

// Read reads and validates a trace of JSON lines. Unknown fields are errors.
// Events may refer only to events of earlier lines.
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
			err = e.validate(known)
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

func (e Event) validate(known map[string]Event) error {
	switch _, duplicate := known[e.ID]; {
	case e.ID == "" || duplicate:
		return fmt.Errorf("event %q: id: want a unique name", e.ID)
	case len(e.actions()) != 1:
		return fmt.Errorf("event %s: want exactly one action, got %d", e.ID, len(e.actions()))
	case e.AtMS < 0 || e.CancelAfterMS < 0 || e.Want.WithinMS < 0 || e.Want.AtLeastMS < 0:
		return fmt.Errorf("event %s: times: want numbers of at least 0", e.ID)
	case e.Want.Ran != "" && e.Want.Ran != counter.NotRun && e.Want.Ran != counter.RunUnknown:
		return fmt.Errorf("event %s: want.ran %q: want %s or %s", e.ID, e.Want.Ran, counter.NotRun, counter.RunUnknown)
	case e.Want.Complete && !e.hasOwnAnswer():
		return fmt.Errorf("event %s: want.whole: only for a completion, collection, lookup or order", e.ID)
	}
	for _, name := range e.references() {
		other, ok := known[name]
		if !ok || other.isEndCheck() {
			return fmt.Errorf("event %s: no earlier event %q that isn't a check of the end state", e.ID, name)
		}
	}
	return e.validateAction(known)
}

// references returns the ids of the events to which this one refers.
func (e Event) references() []string {
	names := e.dependencies()
	for _, name := range []string{e.Want.SameAs, e.Want.DiffersFrom} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// dependencies returns the ids of the events that must have ended before this
// one starts.
func (e Event) dependencies() []string {
	names := slices.Clone(e.After)
	switch action := e.Action().(type) {
	case *Collect:
		names = append(names, action.Draft)
	case *CollectedOnce:
		names = append(names, action.Draft)
	}
	return names
}

func (e Event) validateAction(known map[string]Event) error {
	ok, want := true, ""
	switch action := e.Action().(type) {
	case *Completion:
		ok, want = e.hasTarget() && action.MaxTokens > 0, "caller, entry and max_tokens"
	case *Lookup:
		ok, want = e.hasTarget() && action.Path != "" && action.Path[0] == '/', "caller, entry and a path that starts with /"
	case *Order:
		ok, want = e.hasTarget() && action.Key != "", "caller, entry and key"
	case *Draft:
		ok, want = e.hasTarget() && action.MaxTokens > 0, "caller, entry and max_tokens"
	case *Collect:
		ok, want = e.hasTarget() && action.Key != "" && known[action.Draft].Draft != nil, "caller, entry, key and a draft"
	case *Fault:
		ok, want = action.Standin != "", "standin"
	case *Instance:
		ok = action.State == InstanceKilled || action.State == InstanceStarted
		want = "state killed or started"
	case *Runs:
		ok, want = action.Key != "" && len(action.Standins) > 0, "key and standins"
	case *CollectedOnce:
		ok, want = e.Caller != "" && known[action.Draft].Draft != nil, "caller and a draft"
	}
	if !ok {
		return fmt.Errorf("event %s: want %s", e.ID, want)
	}
	return nil
}

// hasOwnAnswer reports whether the event has a complete answer that follows from
// its request alone.
func (e Event) hasOwnAnswer() bool {
	switch e.Action().(type) {
	case *Completion, *Collect, *Lookup, *Order:
		return true
	}
	return false
}

func (e Event) hasTarget() bool { return e.Caller != "" && e.Entry != "" }
