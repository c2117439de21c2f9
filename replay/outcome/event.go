// Package outcome replays traces whose events state the outcome that each must
// have, against live entry instances and the stand-ins around them.
//
// # Usage
//
//	events, err := outcome.Read(file)
//	report, err := outcome.Replay(ctx, outcome.Config{Entries: ..., Keys: ...}, events)
//	err = report.WriteTable(os.Stdout)
//	met := report.Met()
//
// A trace has one event a line:
//
//	{"id": "quote", "at_ms": 0, "caller": "vecht", "entry": "e1", "draft": {"prompt": "Long", "max_tokens": 400}, "want": {"status": 202}}
//	{"id": "kill", "at_ms": 500, "instance": {"name": "e1", "state": "killed"}}
//	{"id": "get", "at_ms": 900, "caller": "vecht", "entry": "e2", "collect": {"draft": "quote", "key": "desk"}, "want": {"whole": true}}
package outcome

import (
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/standin"
)

// Event is one line of a trace: what is done and the outcome that it must have.
// Exactly one of the actions is set.
type Event struct {
	// ID names the event; Note says what it is for.
	ID   string `json:"id"`
	Note string `json:"note,omitempty"`
	// AtMS is the time since the start of the trace, in milliseconds.
	AtMS float64 `json:"at_ms"`
	// After names events that must have ended before this one begins.
	After []string `json:"after,omitempty"`
	// Caller sends the request, over Entry.
	Caller string `json:"caller,omitempty"`
	Entry  string `json:"entry,omitempty"`
	// CancelAfterMS is the time after which the caller leaves, 0 for never.
	CancelAfterMS float64 `json:"cancel_after_ms,omitempty"`

	Completion *Completion `json:"completion,omitempty"`
	Lookup     *Lookup     `json:"lookup,omitempty"`
	Order      *Order      `json:"order,omitempty"`
	Draft      *Draft      `json:"draft,omitempty"`
	Collect    *Collect    `json:"collect,omitempty"`
	Fault      *Fault      `json:"fault,omitempty"`
	Instance   *Instance   `json:"instance,omitempty"`
	Runs       *Runs       `json:"runs,omitempty"`
	Collected  *Collected  `json:"collected_once,omitempty"`

	Want Want `json:"want,omitzero"`
}

// Action is what an event does: one of the pointer types below.
type Action interface{ isAction() }

// Completion asks for a streamed answer.
type Completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Lookup is a repeatable call of the plain service.
type Lookup struct {
	Path string `json:"path"`
}

// Order is a non-repeatable call of the plain service.
type Order struct {
	// Key is an alias; events with the same alias send the same key, a UUID of
	// version 7 made when the trace starts.
	Key  string `json:"key"`
	Body string `json:"body"`
	// Retry repeats the order under its key, over the entry instances in turn,
	// until it is answered.
	Retry bool `json:"retry,omitempty"`
}

// Draft asks for a long answer that is collected later.
type Draft struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Collect collects a draft as soon as it has arrived.
type Collect struct {
	// Draft is the event that asked for it.
	Draft string `json:"draft"`
	// Key is the collection key.
	Key string `json:"key"`
}

// Fault replaces the fault rules of a stand-in, or lets an engine die.
type Fault struct {
	Standin string         `json:"standin"`
	Rules   []standin.Rule `json:"rules,omitempty"`
	Die     bool           `json:"die,omitempty"`
}

// InstanceState is what becomes of an entry instance.
type InstanceState string

// The states that a trace brings an entry instance into.
const (
	InstanceKilled  InstanceState = "killed"
	InstanceStarted InstanceState = "started"
)

// Instance kills or starts an entry instance.
type Instance struct {
	Name  string        `json:"name"`
	State InstanceState `json:"state"`
}

// Runs checks at the end how often the services ran a key's orders.
type Runs struct {
	Key      string   `json:"key"`
	Standins []string `json:"standins"`
	Times    int      `json:"times"`
}

// Collected checks at the end that no entry instance hands a collected draft
// out to another collection.
type Collected struct {
	Draft string `json:"draft"`
}

func (*Completion) isAction() {}
func (*Lookup) isAction()     {}
func (*Order) isAction()      {}
func (*Draft) isAction()      {}
func (*Collect) isAction()    {}
func (*Fault) isAction()      {}
func (*Instance) isAction()   {}
func (*Runs) isAction()       {}
func (*Collected) isAction()  {}

// Want is the stated outcome of an event; unset fields are not checked.
type Want struct {
	// Whole asks for the whole answer to the event's own request.
	Whole  bool `json:"whole,omitempty"`
	Status int  `json:"status,omitempty"`
	// SameAs and DiffersFrom name events whose answers are compared.
	SameAs      string `json:"same_as,omitempty"`
	DiffersFrom string `json:"differs_from,omitempty"`
	// WithinMS bounds the time of the event with its retries, in milliseconds.
	// AtLeastMS is the time that it must take, which shows that it had to wait.
	WithinMS  float64 `json:"within_ms,omitempty"`
	AtLeastMS float64 `json:"at_least_ms,omitempty"`
	// Ran is what a refusal must say about the work.
	Ran counter.RunStatus `json:"ran,omitempty"`
}

// actions returns the actions that are set.
func (e Event) actions() []Action {
	var set []Action
	add := func(ok bool, action Action) {
		if ok {
			set = append(set, action)
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
	add(e.Collected != nil, e.Collected)
	return set
}

// Action returns what the event does.
func (e Event) Action() Action { return e.actions()[0] }

// isFinal tells whether the event is a check of the end state.
func (e Event) isFinal() bool { return e.Runs != nil || e.Collected != nil }
