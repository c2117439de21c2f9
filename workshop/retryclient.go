package workshop

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/recovery"
	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/receipt"
)

// BudgetConfig configures the token bucket that limits the retries and hedges of one
// caller at one service.
type BudgetConfig struct {
	// Percent is the number of retries and hedges allowed per 100 first attempts, unless
	// the call sets RetryPercent.
	Percent float64 `json:"percent"`
	// MinPerSecond is the number of tokens added per second regardless of attempts, for
	// callers with few calls.
	MinPerSecond float64 `json:"min_per_second"`
	// StartTokens is the size of the budget at the first call. MaxTokens is its
	// maximum.
	StartTokens float64 `json:"start_tokens"`
	MaxTokens   float64 `json:"max_tokens"`
}

// RetryClientConfig holds the settings of a RetryClient.
type RetryClientConfig struct {
	Budget BudgetConfig `json:"budget"`
	Health HealthConfig `json:"health"`
	// MaxTries bounds the tries of one call, including hedges.
	MaxTries int `json:"max_tries"`
	// HedgeMS is the delay before a hedge while too few latencies are known.
	// MinHedgeMS is the minimum delay afterwards. Both are in milliseconds.
	HedgeMS    int `json:"hedge_ms"`
	MinHedgeMS int `json:"min_hedge_ms"`
}

// DefaultRetryClientConfig returns the default settings.
func DefaultRetryClientConfig() RetryClientConfig {
	return RetryClientConfig{
		Budget: BudgetConfig{
			Percent:      10,
			MinPerSecond: 0.2,
			StartTokens:  2,
			MaxTokens:    20,
		},
		Health: HealthConfig{
			Failures: 2,
			RetestMS: 10 * 1000,
		},
		MaxTries:   3,
		HedgeMS:    200,
		MinHedgeMS: 5,
	}
}

// Check records invalid values in p.
func (cfg RetryClientConfig) Check(p *settings.Problems) {
	p.Add(cfg.Budget.Percent >= 0 && cfg.Budget.Percent <= 100, "budget.percent", cfg.Budget.Percent, "a number from 0 to 100")
	p.Add(cfg.Budget.MinPerSecond >= 0, "budget.min_per_second", cfg.Budget.MinPerSecond, "a number that is not below 0")
	p.Add(cfg.Budget.MaxTokens >= 1, "budget.max_tokens", cfg.Budget.MaxTokens, "a number that is not below 1")
	p.Positive("health.failures", cfg.Health.Failures)
	p.Positive("health.retest_ms", cfg.Health.RetestMS)
	p.Positive("max_tries", cfg.MaxTries)
	p.Positive("hedge_ms", cfg.HedgeMS)
	p.Positive("min_hedge_ms", cfg.MinHedgeMS)
}

// Server is one backend server of a service.
type Server struct {
	// Name is the server's name or address. It identifies the server in errors and
	// for health tracking.
	Name    string
	Service Service
	// Admits reports whether the server takes calls now. A server that does not is skipped
	// without using the retry budget. A nil Admits means that it does.
	Admits func() bool
}

func (s Server) admits() bool { return s.Admits == nil || s.Admits() }

// Call is one call to a service by a caller.
type Call struct {
	Caller  string
	Service string
	Request Request
	// Servers are the backend servers that may take the call, the best one first.
	Servers []Server
	// Timeout bounds the whole call including its retries. If zero, only the context
	// does.
	Timeout time.Duration
	// RetryPercent is the number of retries and hedges allowed per 100 first attempts.
	// If zero, BudgetConfig.Percent applies.
	RetryPercent float64
	// Tries bounds the tries of a repeatable call, each on another server. If zero,
	// RetryClientConfig.MaxTries applies.
	Tries int
	// AdmitsRepeat reports whether another try may be sent now, a hedge if hedge is set. A
	// nil AdmitsRepeat means that it may.
	AdmitsRepeat func(hedge bool) bool
	// RetryErrors makes a repeatable call retry answers with status 500, too.
	RetryErrors bool
	// Route is the name of the route. The client learns by route how often the retry of an answer with status 500
	// succeeds.
	Route string
	// Busy reports whether the places of all servers are taken. It is nil if the servers don't report enough to
	// tell; then hedges and retries don't depend on it.
	Busy func() bool
}

func (c Call) admitsRepeat(hedge bool) bool { return c.AdmitsRepeat == nil || c.AdmitsRepeat(hedge) }

// maxTries returns the maximum number of tries of a repeatable call.
func (c *RetryClient) maxTries(call Call) int {
	if call.Tries > 0 {
		return call.Tries
	}
	return c.deps.Config.MaxTries
}

// RetryClientDeps holds the dependencies of a RetryClient.
type RetryClientDeps struct {
	Config RetryClientConfig
	// Metrics counts retries and hedges. It may be nil.
	Metrics *metrics.Metrics
	// Retries replaces the budgets per caller and service by one budget per service.
	// It may be nil.
	Retries RetryBudget
}

// RetryBudget limits the retries and hedges at each service. *intake.SharedRetryBudget
// implements it.
type RetryBudget interface {
	// RecordFirstAttempt records the first attempt of a request and adds to the budget
	// of its service.
	RecordFirstAttempt(service string)
	// Take reports whether the budget of the service allows a number of repeated calls,
	// and takes them from the budget if so.
	Take(service string, calls int) bool
}

// RetryClient sends calls to the servers of a service. It retries and hedges them
// within the retry budget of each caller and service. It is safe for concurrent use.
type RetryClient struct {
	deps   RetryClientDeps
	states retryStates
	health healthTracker
	// repeats are the results of retries of answers with status 500.
	repeats repeatStats
}

// NewRetryClient returns a client whose budgets hold BudgetConfig.StartTokens each.
func NewRetryClient(deps RetryClientDeps) *RetryClient {
	return &RetryClient{
		deps:   deps,
		health: healthTracker{cfg: deps.Config.Health},
	}
}

var (
	errNoServer        = errors.New("no server for the service")
	errBudgetExhausted = errors.New("retry budget exhausted")
)

// CallOnce sends a call that must not be repeated. It tries another server only if
// the call didn't start on the previous one.
func (c *RetryClient) CallOnce(ctx context.Context, sent receipt.Sent, call Call) receipt.Outcome {
	ctx, cancel := withTimeout(ctx, call.Timeout)
	defer cancel()
	call.Servers = c.health.suspectsLast(call.Servers)
	state := c.startCall(call)
	reason := receipt.Reason{
		Code: receipt.CodeNoServer,
		Step: receipt.StepCall,
		Err:  errNoServer,
	}
	n := 0
	for _, server := range call.Servers {
		if n == c.deps.Config.MaxTries {
			break
		}
		if !server.admits() {
			continue
		}
		if n > 0 && !call.admitsRepeat(false) {
			break
		}
		if n > 0 && !c.takeRetry(state, call.Request.Attempt, call.Service, "retry") {
			reason.Err = errors.Join(errBudgetExhausted, reason.Err)
			break
		}
		result := c.sendTry(ctx, state, call, server, n)
		if result.err == nil {
			return result.outcome()
		}
		reason = result.reason()
		if isOwnRefusal(result.err) {
			break
		}
		if !result.isNotStarted() {
			return sent.Unknown(reason)
		}
		n++
	}
	return sent.Declined(reason)
}

// CallRepeatable sends a call that may be repeated. It retries failed tries, and sends
// a hedge if no answer arrives within the 95th percentile of recent latencies.
func (c *RetryClient) CallRepeatable(ctx context.Context, unsent receipt.Unsent, call Call) receipt.Outcome {
	if len(call.Servers) == 0 {
		return unsent.Refuse(receipt.Reason{
			Code: receipt.CodeNoServer,
			Step: receipt.StepPlace,
			Err:  errNoServer,
		})
	}
	ctx, cancel := withTimeout(ctx, call.Timeout)
	defer cancel()
	call.Servers = c.health.suspectsLast(call.Servers)
	hedged := &hedgedCall{
		client:  c,
		call:    call,
		untried: call.Servers,
		state:   c.startCall(call),
		results: make(chan tryResult, c.maxTries(call)),
	}
	first, ok := hedged.nextServer()
	if !ok {
		return unsent.Refuse(receipt.Reason{
			Code: receipt.CodeNoServer,
			Step: receipt.StepPlace,
			Err:  errNoServer,
		})
	}
	return hedged.run(ctx, unsent.Send(), first)
}

func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// startCall records the first attempt of a call and returns the state of its caller and
// service.
func (c *RetryClient) startCall(call Call) *retryState {
	percent := call.RetryPercent
	if percent == 0 {
		percent = c.deps.Config.Budget.Percent
	}
	state := c.states.get(call.Caller, call.Service)
	if c.deps.Retries != nil {
		c.deps.Retries.RecordFirstAttempt(call.Service)
		return state
	}
	state.recordFirstAttempt(time.Now(), percent/100, c.deps.Config.Budget)
	return state
}

// takeRetry reports whether the budget allows a retry or hedge, and takes it from the
// budget if so. kind is "retry" or "hedge", for logs and metrics.
func (c *RetryClient) takeRetry(state *retryState, callID, service, kind string) bool {
	ok := false
	if c.deps.Retries != nil {
		ok = c.deps.Retries.Take(service, 1)
	} else {
		ok = state.take(time.Now(), c.deps.Config.Budget)
	}
	if !ok {
		log.Warn().Str(event.Key, string(event.RetryRefused)).Str(event.ID, callID).Str("service", service).Str("kind", kind).
			Msg("retry budget exhausted")
	}
	detail := kind
	if !ok {
		detail = kind + "_over_budget"
	}
	c.count(detail)
	return ok
}

// count increments a counter of the client.
func (c *RetryClient) count(detail string) {
	if c.deps.Metrics != nil {
		c.deps.Metrics.Count("workshop", detail)
	}
}

// hedgeDelay returns the delay after which a hedge is sent for a slow call.
func (c *RetryClient) hedgeDelay(state *retryState) time.Duration {
	delay, ok := state.latencyQuantile(hedgeQuantile)
	if !ok {
		return time.Duration(c.deps.Config.HedgeMS) * time.Millisecond
	}
	return max(delay, time.Duration(c.deps.Config.MinHedgeMS)*time.Millisecond)
}

// sendTry sends try n of a call, counted from 0, and waits until it ends.
func (c *RetryClient) sendTry(ctx context.Context, state *retryState, call Call, server Server, n int) tryResult {
	req := call.Request
	if n > 0 {
		req.Attempt = fmt.Sprintf("%s-%d", req.Attempt, n)
	}
	start := time.Now()
	log.Debug().Str(event.Key, string(event.Call)).Str(event.ID, call.Request.Attempt).Str("service", call.Service).
		Str("server", server.Name).Int("try", n+1).Msg("call sent")
	answer, err := callContained(ctx, server.Service, req)
	c.logFailure(call, server, n, answer, err, time.Since(start))
	switch {
	case isOwnRefusal(err):
	case err == nil:
		state.recordLatency(time.Since(start))
		c.health.recordAnswer(server.Name)
	case call.Busy != nil && isRefusal(err):
		// A busy server refuses calls, and takes the next ones a moment later.
	case !errors.Is(err, context.Canceled):
		c.health.recordFailure(server.Name)
	}
	return tryResult{
		server: server.Name,
		answer: answer,
		err:    err,
	}
}

// callContained calls a service. A panic is an error that doesn't state whether the call was
// run.
func callContained(ctx context.Context, service Service, req Request) (answer Answer, err error) {
	defer recovery.Contain("call service", func(panicked error) { err = panicked })
	return service.Call(ctx, req)
}

// logFailure logs a try that got no answer or a server error. Tries that were cancelled, or
// that were refused before they were sent, aren't logged.
func (c *RetryClient) logFailure(call Call, server Server, n int, answer Answer, err error, took time.Duration) {
	if errors.Is(err, context.Canceled) || isOwnRefusal(err) || err == nil && answer.Status < http.StatusInternalServerError {
		return
	}
	entry := log.Warn().Str(event.Key, string(event.CallFailed)).Str(event.ID, call.Request.Attempt).Str("service", call.Service).
		Str("server", server.Name).Int("try", n+1).Int64("took_ms", took.Milliseconds())
	if err != nil {
		entry.Str("error", err.Error()).Msg("call failed")
		return
	}
	entry.Int("status", answer.Status).Msg("call answered with a server error")
}
