package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultStall blocks a call, or an engine's "step", until the rule is removed.
	FaultStall FaultKind = "stall"
	// FaultSlow delays a call by MS.
	FaultSlow FaultKind = "slow"
	// FaultRefuse refuses a call before it has any effect.
	FaultRefuse FaultKind = "refuse"
	// FaultOutage fails a call as if nothing had been sent.
	FaultOutage FaultKind = "outage"
	// FaultDropAnswer executes a call but loses its answer.
	FaultDropAnswer FaultKind = "drop_answer"
	// FaultBreakStream closes a stream's connection after Tokens tokens.
	FaultBreakStream FaultKind = "break_stream"
	// FaultRepeatFrame, FaultSkipFrame and FaultForeignFrame affect the frame after
	// Tokens tokens: they send it twice, skip it, or send a frame of another attempt
	// before it.
	FaultRepeatFrame  FaultKind = "repeat_frame"
	FaultSkipFrame    FaultKind = "skip_frame"
	FaultForeignFrame FaultKind = "foreign_frame"
	// FaultLoseEvents loses Percent of the cache events, and FaultDelayEvents delays
	// them by MS.
	FaultLoseEvents  FaultKind = "lose_events"
	FaultDelayEvents FaultKind = "delay_events"
	// FaultCut simulates a network partition from the host From: its calls block until
	// they are cancelled or the rule is removed.
	FaultCut FaultKind = "cut"
)

var faultKinds = []FaultKind{
	FaultStall, FaultSlow, FaultRefuse, FaultOutage, FaultDropAnswer, FaultBreakStream,
	FaultRepeatFrame, FaultSkipFrame, FaultForeignFrame, FaultLoseEvents, FaultDelayEvents, FaultCut,
}

var (
	// ErrAnswerLost means that a call took effect but its answer was lost.
	ErrAnswerLost = errors.New("answer lost")
	// ErrConnectionLost means that a connection was closed unexpectedly.
	ErrConnectionLost = errors.New("connection lost")
	errRefused        = errors.New("refused by a fault switch")
	errOutage         = errors.New("outage by a fault switch")
)

// Rule injects one kind of fault into matching calls.
type Rule struct {
	Kind FaultKind `json:"kind"`
	// Call is the name of the affected call, such as "reserve". If it is empty, the
	// rule affects every call.
	Call string `json:"call,omitempty"`
	// From is the IP of the calling host that the rule affects. If it is empty, the
	// rule affects all hosts.
	From string `json:"from,omitempty"`
	// Count is how many times the rule applies. If it is 0, the rule applies until it
	// is removed.
	Count int `json:"count,omitempty"`
	// MS is the delay in milliseconds of FaultSlow and FaultDelayEvents.
	MS int64 `json:"ms,omitempty"`
	// Tokens is the number of frames sent before a stream fault takes effect.
	Tokens int `json:"tokens,omitempty"`
	// Percent is the share of cache events that FaultLoseEvents loses, from 0 to 100.
	Percent int `json:"percent,omitempty"`
}

// Faults holds the fault rules of one stand-in. It is safe for concurrent use.
type Faults struct {
	mu      sync.Mutex
	rules   []*Rule
	changed chan struct{}
}

// NewFaults returns a Faults without rules.
func NewFaults() *Faults {
	return &Faults{changed: make(chan struct{})}
}

// Set replaces all rules. Blocked calls are checked against the new rules.
func (f *Faults) Set(rules ...Rule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rules = nil
	for _, rule := range rules {
		f.rules = append(f.rules, &rule)
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Add adds a rule.
func (f *Faults) Add(rule Rule) { f.Set(append(f.Rules(), rule)...) }

// Remove removes the rules for which match returns true.
func (f *Faults) Remove(match func(Rule) bool) {
	f.Set(slices.DeleteFunc(f.Rules(), match)...)
}

// Rules returns a copy of the active rules.
func (f *Faults) Rules() []Rule {
	f.mu.Lock()
	defer f.mu.Unlock()
	rules := make([]Rule, 0, len(f.rules))
	for _, rule := range f.rules {
		rules = append(rules, *rule)
	}
	return rules
}

func checkRules(rules []Rule) error {
	for i, rule := range rules {
		if !slices.Contains(faultKinds, rule.Kind) {
			return fmt.Errorf("rules[%d].kind: %q is not one of %v", i, rule.Kind, faultKinds)
		}
	}
	return nil
}

// take returns the first rule of the kind that matches a call, and uses up one of its
// counts. The rule is removed after its last count.
func (f *Faults) take(ctx context.Context, kind FaultKind, call string) (Rule, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, rule := range f.rules {
		if !rule.matches(kind, call, callerHost(ctx)) {
			continue
		}
		taken := *rule
		if rule.Count > 0 {
			rule.Count--
			if rule.Count == 0 {
				f.rules = slices.Delete(f.rules, i, i+1)
			}
		}
		return taken, true
	}
	return Rule{}, false
}

func (r *Rule) matches(kind FaultKind, call, from string) bool {
	return r.Kind == kind && (r.Call == "" || r.Call == call) && (r.From == "" || r.From == from)
}

// isHeld reports whether a rule blocks the call. If so, it returns a channel that is
// closed when the rules change.
func (f *Faults) isHeld(ctx context.Context, call string) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, rule := range f.rules {
		if rule.matches(FaultStall, call, callerHost(ctx)) || rule.matches(FaultCut, call, callerHost(ctx)) {
			return true, f.changed
		}
	}
	return false, nil
}

// applyBefore applies the faults that precede a call's effect. It returns errOutage
// or errRefused if the call must fail without an effect.
func (f *Faults) applyBefore(ctx context.Context, call string) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err := f.waitWhileHeld(ctx, call); err != nil {
		return err
	}
	if rule, ok := f.take(ctx, FaultSlow, call); ok {
		if err := sleep(ctx, time.Duration(rule.MS)*time.Millisecond); err != nil {
			return err
		}
	}
	if _, ok := f.take(ctx, FaultOutage, call); ok {
		return errOutage
	}
	if _, ok := f.take(ctx, FaultRefuse, call); ok {
		return errRefused
	}
	return nil
}

func (f *Faults) waitWhileHeld(ctx context.Context, call string) error {
	for {
		held, changed := f.isHeld(ctx, call)
		if !held {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// applyAfter applies the faults that follow a call's effect. It returns
// ErrAnswerLost if the answer must be dropped.
func (f *Faults) applyAfter(ctx context.Context, call string) error {
	if _, ok := f.take(ctx, FaultDropAnswer, call); ok {
		return ErrAnswerLost
	}
	return nil
}

type callerHostKey struct{}

// WithCallerHost returns a context for calls from the host with the given IP. Rules
// with a From field apply only to these calls.
func WithCallerHost(ctx context.Context, host string) context.Context {
	return context.WithValue(ctx, callerHostKey{}, host)
}

func callerHost(ctx context.Context) string {
	host, _ := ctx.Value(callerHostKey{}).(string)
	return host
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
