package outcome

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"github.com/balsamlock/balsamlock/common/orderkey"
	"github.com/balsamlock/balsamlock/common/transport"
)

// Instances kills and starts entry instances by name.
type Instances interface {
	Kill(name string) error
	Start(name string) error
}

// Config configures a replay.
type Config struct {
	// Entries and Standins map names to addresses of the form IP:port.
	Entries  map[string]string
	Standins map[string]string
	// Keys maps callers to their bearer keys.
	Keys map[string]string
	// Model and Service are the targets of the trace's requests.
	Model   string
	Service string
	// Timeout bounds the duration of one event including retries.
	Timeout time.Duration
	// Client may be nil. A default client is then used.
	Client *http.Client
	// Instances may be nil. Replay then returns ErrNoInstances for traces that kill
	// or start instances.
	Instances Instances
}

// ErrNoInstances is returned for a trace that kills or starts entry instances if
// Config.Instances is nil.
var ErrNoInstances = errors.New("entry instances can't be killed or started from here: do it by other means, or replay the trace in the simulated platform of the tests")

// replayer holds the state of one replay.
type replayer struct {
	cfg     Config
	client  *resty.Client
	started time.Time
	// keys maps the aliases of idempotency keys to UUIDs.
	keys   map[string]string
	drafts map[string]*Draft
	// ended holds a channel for each event, which is closed once its answer is
	// stored.
	ended map[string]chan struct{}

	mu      sync.Mutex
	answers map[string]Answer
}

// Replay replays a trace and checks the outcome of each event. It returns an
// error if the trace uses a name that the config lacks.
func Replay(ctx context.Context, cfg Config, events []Event) (Report, error) {
	if cfg.Client == nil {
		cfg.Client = transport.NewClient()
	}
	r := &replayer{
		cfg:     cfg,
		client:  resty.NewWithClient(cfg.Client),
		started: time.Now(),
		keys:    map[string]string{},
		drafts:  map[string]*Draft{},
		ended:   map[string]chan struct{}{},
		answers: map[string]Answer{},
	}
	for _, e := range events {
		if err := r.prepare(e); err != nil {
			return Report{}, fmt.Errorf("event %s: %w", e.ID, err)
		}
	}
	var running sync.WaitGroup
	for _, e := range events {
		if !e.isEndCheck() {
			running.Go(func() { r.run(ctx, e) })
		}
	}
	running.Wait()
	for _, e := range events {
		if e.isEndCheck() {
			r.run(ctx, e)
		}
	}
	return r.report(events), nil
}

// prepare checks that the config holds the event's names, and generates its
// idempotency key.
func (r *replayer) prepare(e Event) error {
	r.ended[e.ID] = make(chan struct{})
	if _, ok := r.cfg.Keys[e.Caller]; e.Caller != "" && !ok {
		return fmt.Errorf("no key of caller %q", e.Caller)
	}
	if _, ok := r.cfg.Entries[e.Entry]; e.Entry != "" && !ok {
		return fmt.Errorf("no address of entry instance %q", e.Entry)
	}
	switch action := e.Action().(type) {
	case *Draft:
		r.drafts[e.ID] = action
	case *Order:
		return r.assignKey(action.Key)
	case *Runs:
		if _, ok := r.keys[action.Key]; !ok {
			return fmt.Errorf("no order with key %q", action.Key)
		}
		return r.requireStandins(action.Standins...)
	case *Fault:
		return r.requireStandins(action.Standin)
	case *Instance:
		if r.cfg.Instances == nil {
			return ErrNoInstances
		}
	}
	return nil
}

func (r *replayer) assignKey(alias string) error {
	if _, ok := r.keys[alias]; ok {
		return nil
	}
	r.keys[alias] = orderkey.New(time.Now())
	return nil
}

func (r *replayer) requireStandins(names ...string) error {
	for _, name := range names {
		if _, ok := r.cfg.Standins[name]; !ok {
			return fmt.Errorf("no address of stand-in %q", name)
		}
	}
	return nil
}

// run waits for the event's start time and dependencies, performs its action and
// stores the answer.
func (r *replayer) run(ctx context.Context, e Event) {
	defer close(r.ended[e.ID])
	for _, name := range e.dependencies() {
		<-r.ended[name]
	}
	at := r.started.Add(time.Duration(e.AtMS * float64(time.Millisecond)))
	if err := sleep(ctx, time.Until(at)); err != nil {
		r.storeAnswer(e, Answer{Err: err})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout)
	defer cancel()
	start := time.Now()
	answer := r.perform(ctx, e)
	answer.Took = time.Since(start)
	r.storeAnswer(e, answer)
}

func (r *replayer) storeAnswer(e Event, answer Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[e.ID] = answer
}

func (r *replayer) loadAnswer(id string) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers[id]
}

// entryNamesFrom returns the names of all entry instances in rotation, starting
// with the given one.
func (r *replayer) entryNamesFrom(first string) []string {
	names := slices.Sorted(maps.Keys(r.cfg.Entries))
	index := max(0, slices.Index(names, first))
	return append(names[index:], names[:index]...)
}

// sleep waits for d. It returns the context's error if ctx is done before.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
