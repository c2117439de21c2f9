// Package outcome implements end-to-end checks: it replays traces whose events
// state their expected outcome against live entry instances and the stand-ins
// around them.
//
// # Usage
//
//	events, err := outcome.Read(file)
//	report, err := outcome.Replay(ctx, outcome.Config{Entries: ..., Keys: ...}, events)
//	err = report.WriteTable(os.Stdout)
//	met := report.Met()
//
// A trace has one event on each line:
//
//	{"id": "quote", "at_ms": 0, "caller": "vecht", "entry": "e1", "draft": {"prompt": "Long", "max_tokens": 400}, "want": {"status": 202}}
//	{"id": "kill", "at_ms": 500, "instance": {"name": "e1", "state": "killed"}}
//	{"id": "get", "at_ms": 900, "caller": "vecht", "entry": "e2", "collect": {"draft": "quote", "key": "desk"}, "want": {"whole": true}}
package outcome

import (
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/standin"
)

// Event is one line of a trace: an action and its expected outcome. Exactly one
// of the actions is set.
type Event struct {
	// ID identifies the event. Note describes its purpose.
	ID   string `json:"id"`
	Note string `json:"note,omitempty"`
	// AtMS is the earliest start of the event, in milliseconds since the start of
	// the trace.
	AtMS float64 `json:"at_ms"`
	// After names the events that must have ended before this one starts.
	After []string `json:"after,omitempty"`
	// Caller sends the request to the entry instance Entry.
	Caller string `json:"caller,omitempty"`
	Entry  string `json:"entry,omitempty"`
	// CancelAfterMS is the time after which the caller cancels the request, 0 for
	// never.
	CancelAfterMS float64 `json:"cancel_after_ms,omitempty"`

	Completion    *Completion    `json:"completion,omitempty"`
	Lookup        *Lookup        `json:"lookup,omitempty"`
	Order         *Order         `json:"order,omitempty"`
	Draft         *Draft         `json:"draft,omitempty"`
	Collect       *Collect       `json:"collect,omitempty"`
	Fault         *Fault         `json:"fault,omitempty"`
	Instance      *Instance      `json:"instance,omitempty"`
	Runs          *Runs          `json:"runs,omitempty"`
	CollectedOnce *CollectedOnce `json:"collected_once,omitempty"`

	Want Want `json:"want,omitzero"`
}

// Action is implemented by the pointer types of all actions.
type Action interface{ isAction() }

// Completion requests a streamed completion.
type Completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Lookup is a repeatable call to the plain service.
type Lookup struct {
	Path string `json:"path"`
}

// Order is a non-repeatable call to the plain service.
type Order struct {
	// Key is an alias of an idempotency key. Events with the same alias send the
	// same key, a UUID of version 7 generated when the trace starts.
	Key  string `json:"key"`
	Body string `json:"body"`
	// Retry repeats the order with the same key on each entry instance in turn,
	// until it succeeds.
	Retry bool `json:"retry,omitempty"`
}

// Draft requests a long answer that is collected later.
type Draft struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Collect collects a draft as soon as it is ready.
type Collect struct {
	// Draft is the id of the event that requested the draft.
	Draft string `json:"draft"`
	// Key is the collection key.
	Key string `json:"key"`
}

// Fault replaces the fault rules of a stand-in, or kills an engine.
type Fault struct {
	Standin string         `json:"standin"`
	Rules   []standin.Rule `json:"rules,omitempty"`
	Die     bool           `json:"die,omitempty"`
}

// InstanceState is the desired state of an entry instance.
type InstanceState string

// States of an entry instance.
const (
	InstanceKilled  InstanceState = "killed"
	InstanceStarted InstanceState = "started"
)

// Instance kills or starts an entry instance.
type Instance struct {
	Name  string        `json:"name"`
	State InstanceState `json:"state"`
}

// Runs checks at the end of the trace how many times the services ran the orders
// of a key.
type Runs struct {
	Key      string   `json:"key"`
	Standins []string `json:"standins"`
	Times    int      `json:"times"`
}

// CollectedOnce checks at the end of the trace that no entry instance returns a
// collected draft to a request with another collection key.
type CollectedOnce struct {
	Draft string `json:"draft"`
}

func (*Completion) isAction()    {}
func (*Lookup) isAction()        {}
func (*Order) isAction()         {}
func (*Draft) isAction()         {}
func (*Collect) isAction()       {}
func (*Fault) isAction()         {}
func (*Instance) isAction()      {}
func (*Runs) isAction()          {}
func (*CollectedOnce) isAction() {}

// Want is the expected outcome of an event. Unset fields are not checked.
type Want struct {
	// Complete expects the complete answer to the event's own request.
	Complete bool `json:"whole,omitempty"`
	Status   int  `json:"status,omitempty"`
	// SameAs and DiffersFrom name the events with whose answers this one is
	// compared.
	SameAs      string `json:"same_as,omitempty"`
	DiffersFrom string `json:"differs_from,omitempty"`
	// WithinMS is the maximum duration of the event including retries, in
	// milliseconds. AtLeastMS is the minimum duration, which shows that the event
	// had to wait.
	WithinMS  float64 `json:"within_ms,omitempty"`
	AtLeastMS float64 `json:"at_least_ms,omitempty"`
	// Ran is the run status that an error response must report.
	Ran counter.RunStatus `json:"ran,omitempty"`
}

// actions returns the actions that are set.
func (e Event) actions() []Action {
	var actions []Action
	add := func(isSet bool, action Action) {
		if isSet {
			actions = append(actions, action)
		}
	}
	add(e.Completion != nil, e.Completion)
	add(e.Lookup != nil, e.Lookup)
	add(e.Order != nil, e.Order)
	add(e.Draft != nil, e.Draft)
	add(e.Collect != nil, e.Collect)
	add(e.Fault != nil, e.Fault)
	add(e.Instance != nil, e.Instance)
	add(e.Runs != nil, e.Runs)
	add(e.CollectedOnce != nil, e.CollectedOnce)
	return actions
}

// Action returns the event's action. It panics if none is set, which cannot
// happen to events returned by Read.
func (e Event) Action() Action { return e.actions()[0] }

// isEndCheck reports whether the event checks the state at the end of the trace.
func (e Event) isEndCheck() bool { return e.Runs != nil || e.CollectedOnce != nil }
