package quotation

import (
	"time"

	"github.com/balsamlock/balsamlock/crew"
)

// ServiceCall is one call to a server of a plain service, from its start to its end.
type ServiceCall struct {
	ranker      *ServiceRanker
	load        *serviceLoad
	server      string
	incarnation uint64
	spec        CallSpec
	startedAt   time.Time
	// work is the expected work, wait the expected time until the call runs, both when it started.
	work      time.Duration
	wait      time.Duration
	roundTrip time.Duration
	// blame is what the end of the call has added to the server's error rate.
	blame float64
}

// CallResult is how a call ended: CallAnswered, CallErred, CallRefused, CallFailed or CallAbandoned.
//
//sumtype:decl
type CallResult interface{ isCallResult() }

type (
	// CallAnswered is a response that says nothing against the server.
	CallAnswered struct{}
	// CallErred is a response with status 500, which may be due to the request.
	CallErred struct{}
	// CallRefused is a response that states that the call was not run.
	CallRefused struct{}
	// CallFailed is any other failure.
	CallFailed struct{}
	// CallAbandoned is a call that was cancelled before a response arrived.
	CallAbandoned struct{}
)

func (CallAnswered) isCallResult()  {}
func (CallErred) isCallResult()     {}
func (CallRefused) isCallResult()   {}
func (CallFailed) isCallResult()    {}
func (CallAbandoned) isCallResult() {}

// Start records the start of a call from a data centre to a server.
func (r *ServiceRanker) Start(server crew.Server, dataCentre, region string, spec CallSpec, now time.Time) *ServiceCall {
	r.Begin(server.Name)
	l := r.load(server.Name)
	call := &ServiceCall{
		ranker:      r,
		load:        l,
		server:      server.Name,
		incarnation: server.Incarnation,
		spec:        spec,
		startedAt:   now,
		work:        r.work.of(spec),
		roundTrip:   roundTripTime(&server, dataCentre, region),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cost := l.costOf(server.Incarnation)
	if cost == nil {
		return call
	}
	factor := cost.fit.factor(cost.slowdownAtTime(now))
	call.wait = cost.queueTime(factor, call.work, cost.slots(server.Slots), now)
	cost.calls = append(cost.calls, call)
	return call
}

// Report records the load that the server reported in its response.
func (c *ServiceCall) Report(report ServiceReport) {
	c.ranker.Report(c.server, report.calls(), report.At)
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if cost := c.load.costOf(c.incarnation); cost != nil {
		cost.recordReport(report, report.At.Add(-c.roundTrip/2))
	}
}

// Withdraw records that the call was not sent after all.
func (c *ServiceCall) Withdraw() {
	c.ranker.Withdraw(c.server)
	c.end(func(*serverCost) {})
}

// End records the end of the call.
func (c *ServiceCall) End(result CallResult, now time.Time) {
	took := now.Sub(c.startedAt)
	failed := true
	switch result.(type) {
	case CallAnswered, CallAbandoned:
		failed = false
	case CallErred, CallRefused, CallFailed:
	}
	c.ranker.End(c.server, took, failed)
	usual := c.ranker.errors.observe(c.spec.Route, result)
	var work time.Duration
	c.end(func(cost *serverCost) { work = cost.recordEnd(c, result, usual, now) })
	if work > 0 {
		c.ranker.work.observe(c.spec, work)
	}
}

// Absolve takes back an error that a repeat at another server also got.
func (c *ServiceCall) Absolve() {
	c.end(func(cost *serverCost) {
		cost.errorRate -= c.blame
		c.blame = 0
	})
}

// end removes the call from those in flight and updates the server's state, unless the server has restarted.
func (c *ServiceCall) end(update func(*serverCost)) {
	c.load.mu.Lock()
	defer c.load.mu.Unlock()
	if cost := c.load.costOf(c.incarnation); cost != nil {
		cost.remove(c)
		update(cost)
	}
}
