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
	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/receipt"
)

// BudgetConfig bounds the retries and hedges of one caller at one service.
type BudgetConfig struct {
	// Percent is the number of retries and hedges for each 100 first tries,
	// where a call names none.
	Percent float64 `json:"percent"`
	// MinPerSecond is earned without any try, for callers with few calls.
	MinPerSecond float64 `json:"min_per_second"`
	// StartTokens are there at the first call, MaxTokens at most at any time.
	StartTokens float64 `json:"start_tokens"`
	MaxTokens   float64 `json:"max_tokens"`
}

// RetryClientConfig are the settings of a Caller.
type RetryClientConfig struct {
	Budget BudgetConfig `json:"budget"`
	Health HealthConfig `json:"health"`
	// MaxTries bounds the tries of one call, hedges included.
	MaxTries int `json:"max_tries"`
	// HedgeMS is the time before a hedge until enough latencies are known,
	// MinHedgeMS the shortest, in milliseconds.
	HedgeMS    int `json:"hedge_ms"`
	MinHedgeMS int `json:"min_hedge_ms"`
}

// DefaultRetryClientConfig returns the defaults.
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

// Check reports wrong values.
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
	// Name is the server's name or address, for errors.
	Name    string
	Service Service
}

// Call is one call of a service by a caller.
type Call struct {
	Caller  string
	Service string
	Request Request
	// Servers are the backend servers that may take it, the best first.
	Servers []Server
	// Timeout bounds the whole call with its retries; zero leaves it to the
	// context.
	Timeout time.Duration
	// RetryPercent is the caller's budget, zero for the configured one.
	RetryPercent float64
	// Tries bounds the servers that may run the call, zero for the configured
	// number.
	Tries int
	// RetryErrors also retries repeatable calls that a server answered with 500.
	RetryErrors bool
}

// maxTries bounds the tries of a call.
func (c *RetryClient) maxTries(call Call) int {
	if call.Tries > 0 {
		return call.Tries
	}
	return c.deps.Config.MaxTries
}

// RetryClientDeps are the dependencies of a Caller.
type RetryClientDeps struct {
	Config RetryClientConfig
	// Metrics counts retries and hedges; may be nil.
	Metrics *metrics.Metrics
	// Retries replaces the budgets of the callers by one for each service; may be
	// nil.
	Retries Retries
}

// Retries is a budget of retries by service.
type Retries interface {
	// First records a call.
	First(service string)
	// Take spends a retry and tells whether the budget allows it.
	Take(service string) bool
}

// RetryClient sends calls to the servers of a service, with retries and hedges
// within the budget of each caller and service. It is safe for concurrent use.
type RetryClient struct {
	deps     RetryClientDeps
	accounts accounts
	health   health
}

// NewRetryClient returns a caller whose budgets are as at the first call.
func NewRetryClient(deps RetryClientDeps) *RetryClient {
	return &RetryClient{
		deps:   deps,
		health: health{cfg: deps.Config.Health},
	}
}

var (
	errNoServer = errors.New("no server for the service")
	errBudget   = errors.New("retry budget spent")
)

// CallOnce sends a call that may not be repeated. Another server is tried only
// when one says that the call did not start.
func (c *RetryClient) CallOnce(ctx context.Context, sent receipt.Sent, call Call) receipt.Outcome {
	ctx, cancel := withTimeout(ctx, call.Timeout)
	defer cancel()
	call.Servers = c.health.order(call.Servers)
	spent := c.begin(call)
	reason := receipt.Reason{
		Code: receipt.CodeNoServer,
		Step: receipt.StepCall,
		Err:  errNoServer,
	}
	for n, server := range call.Servers[:min(len(call.Servers), c.deps.Config.MaxTries)] {
		if n > 0 && !c.spend(spent, call.Request.Attempt, call.Service, "retry") {
			reason.Err = errors.Join(errBudget, reason.Err)
			break
		}
		result := c.try(ctx, spent, call, server, n)
		if result.err == nil {
			return result.answered()
		}
		reason = result.reason()
		if !result.notStarted() {
			return sent.Unknown(reason)
		}
	}
	return sent.Declined(reason)
}

// CallRepeatable sends a call that may be repeated: it is retried when a try fails, and
// hedged when one takes longer than the recent 95th percentile.
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
	call.Servers = c.health.order(call.Servers)
	race := &race{
		caller:  c,
		call:    call,
		account: c.begin(call),
		results: make(chan result, c.maxTries(call)),
	}
	return race.run(ctx, unsent.Send())
}

func withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// begin books the first try of a call.
func (c *RetryClient) begin(call Call) *account {
	percent := call.RetryPercent
	if percent == 0 {
		percent = c.deps.Config.Budget.Percent
	}
	a := c.accounts.of(call.Caller, call.Service)
	if c.deps.Retries != nil {
		c.deps.Retries.First(call.Service)
		return a
	}
	a.first(time.Now(), percent/100, c.deps.Config.Budget)
	return a
}

// spend takes a retry or hedge from the budget.
func (c *RetryClient) spend(a *account, id, service, kind string) bool {
	ok := false
	if c.deps.Retries != nil {
		ok = c.deps.Retries.Take(service)
	} else {
		ok = a.take(time.Now(), c.deps.Config.Budget)
	}
	if !ok {
		log.Warn().Str(event.Key, string(event.RetryRefused)).Str(event.ID, id).Str("service", service).Str("kind", kind).
			Msg("retry budget spent")
	}
	if c.deps.Metrics != nil {
		detail := kind
		if !ok {
			detail = kind + "_over_budget"
		}
		c.deps.Metrics.Count("workshop", detail)
	}
	return ok
}

// hedgeAfter returns the time after which a slow call is sent a second time.
func (c *RetryClient) hedgeAfter(a *account) time.Duration {
	after, ok := a.quantile(hedgeQuantile)
	if !ok {
		return time.Duration(c.deps.Config.HedgeMS) * time.Millisecond
	}
	return max(after, time.Duration(c.deps.Config.MinHedgeMS)*time.Millisecond)
}

// try sends one try and waits for its end.
func (c *RetryClient) try(ctx context.Context, a *account, call Call, server Server, n int) result {
	req := call.Request
	if n > 0 {
		req.Attempt = fmt.Sprintf("%s-%d", req.Attempt, n)
	}
	began := time.Now()
	log.Debug().Str(event.Key, string(event.Call)).Str(event.ID, call.Request.Attempt).Str("service", call.Service).
		Str("server", server.Name).Int("try", n+1).Msg("call sent")
	answer, err := server.Service.Call(ctx, req)
	c.logFailure(call, server, n, answer, err, time.Since(began))
	switch {
	case err == nil:
		a.observe(time.Since(began))
		c.health.answered(server.Name)
	case !errors.Is(err, context.Canceled):
		c.health.failed(server.Name)
	}
	return result{
		server: server.Name,
		answer: answer,
		err:    err,
	}
}

// logFailure writes why a try has no answer to pass on, or only a failure.
func (c *RetryClient) logFailure(call Call, server Server, n int, answer Answer, err error, took time.Duration) {
	if errors.Is(err, context.Canceled) || err == nil && answer.Status < http.StatusInternalServerError {
		return
	}
	line := log.Warn().Str(event.Key, string(event.CallFailed)).Str(event.ID, call.Request.Attempt).Str("service", call.Service).
		Str("server", server.Name).Int("try", n+1).Int64("took_ms", took.Milliseconds())
	if err != nil {
		line.Str("error", err.Error()).Msg("call failed")
		return
	}
	line.Int("status", answer.Status).Msg("call answered with a failure")
}

// result is the end of one try.
type result struct {
	server string
	answer Answer
	err    error
}

func (r result) answered() receipt.Answered {
	return receipt.Answered{
		Status:      r.answer.Status,
		ContentType: r.answer.Header.Get("Content-Type"),
		Header:      r.answer.Header,
		Body:        r.answer.Body,
	}
}

func (r result) notStarted() bool {
	var notStarted *NotStartedError
	return errors.As(r.err, &notStarted)
}

// isFailure tells whether another server may do better: no answer came, or one
// that says that the server can't serve now.
func (r result) isFailure(call Call) bool {
	if r.err != nil {
		return true
	}
	switch r.answer.Status {
	case http.StatusInternalServerError:
		return call.RetryErrors
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (r result) reason() receipt.Reason {
	code := receipt.CodeAnswerLost
	switch {
	case r.notStarted():
		code = receipt.CodeServerFailed
	case errors.Is(r.err, context.DeadlineExceeded):
		code = receipt.CodeDeadline
	case errors.Is(r.err, context.Canceled):
		code = receipt.CodeCancelled
	}
	return receipt.Reason{
		Code: code,
		Step: receipt.StepCall,
		Peer: r.server,
		Err:  r.err,
	}
}
