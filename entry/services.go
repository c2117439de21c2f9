package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/order"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/receipt"
	"github.com/balsamlock/balsamlock/workshop"
)

// services runs calls of plain services: repeatable ones with retries and
// hedges, others through the book of orders.
type services struct {
	instance *Instance
	caller   *workshop.RetryClient
	clients  sync.Map // address to *workshop.Client
}

func newServices(i *Instance) *services {
	return &services{
		instance: i,
		caller: workshop.NewRetryClient(workshop.RetryClientDeps{
			Config:  i.cfg.Workshop,
			Metrics: i.metrics,
		}),
	}
}

// Call runs one call.
func (s *services) Call(ctx context.Context, call counter.ServiceCall) receipt.Outcome {
	work := s.workOf(call)
	unsent := receipt.NewAttempt(call.Request)
	if call.Call.Repeatable {
		return s.caller.CallRepeatable(ctx, unsent, work)
	}
	if len(work.Servers) == 0 {
		return unsent.Refuse(receipt.Reason{
			Code:       receipt.CodeNoServer,
			Step:       receipt.StepPlace,
			RetryAfter: time.Second,
		})
	}
	return s.instance.orders.Do(ctx, order.Request{
		Attempt: call.Request,
		Caller:  call.Caller.Name(),
		Key:     call.Key,
		Service: call.Service,
		Call:    call.Call.Name,
		Digest:  order.Digest([]byte(call.Service), []byte(call.Call.Method), []byte(call.Path), []byte(call.Query), call.Body),
		Timeout: work.Timeout,
	}, func(ctx context.Context, sent receipt.Sent) receipt.Outcome {
		return s.caller.CallOnce(ctx, sent, work)
	})
}

func (s *services) workOf(call counter.ServiceCall) workshop.Call {
	return workshop.Call{
		Caller:  call.Caller.Name(),
		Service: call.Service,
		Request: workshop.Request{
			Method:  call.Call.Method,
			Path:    call.Path,
			Query:   call.Query,
			Header:  call.Header,
			Body:    call.Body,
			Attempt: call.Request,
			Key:     call.Key,
		},
		Servers:      s.servers(call.Service, call.Caller),
		Timeout:      time.Duration(call.Call.DeadlineMS) * time.Millisecond,
		RetryPercent: call.Caller.Limits().RetryPercent,
	}
}

// servers returns the backend servers that may take new work from a caller:
// those of the own data centre first, then those of the own region.
func (s *services) servers(service string, caller *plan.Grant) []workshop.Server {
	view := s.instance.members.View()
	var near, region, far []workshop.Server
	for _, server := range view.Services(service) {
		if !view.MayPlace(server.Name) || !s.allowed(server, caller) {
			continue
		}
		entry := workshop.Server{
			Name:    server.Address,
			Service: s.client(server.Address),
		}
		switch {
		case server.DataCentre == s.instance.cfg.DataCentre:
			near = append(near, entry)
		case server.Region == s.instance.cfg.Region:
			region = append(region, entry)
		default:
			far = append(far, entry)
		}
	}
	return slices.Concat(near, region, far)
}

func (s *services) allowed(server *crew.Server, caller *plan.Grant) bool {
	index := s.instance.index()
	if index == nil {
		return false
	}
	line, ok := index.Server(server.Name)
	return ok && caller.AllowsServer(line)
}

func (s *services) client(address string) *workshop.Client {
	if client, ok := s.clients.Load(address); ok {
		return client.(*workshop.Client)
	}
	client, _ := s.clients.LoadOrStore(address, workshop.NewClient(workshop.ClientDeps{
		Address: address,
		HTTP:    s.instance.outbound,
	}))
	return client.(*workshop.Client)
}

// serviceReporter tells membership what a plain service reports.
type serviceReporter struct{ client *workshop.Client }

// Load asks the service for its load.
func (r serviceReporter) Load(ctx context.Context) (kiln.LoadReport, error) {
	report, err := r.client.Load(ctx)
	if err != nil {
		return kiln.LoadReport{}, err
	}
	return kiln.LoadReport{
		At:        report.At,
		Leaving:   report.Leaving,
		Slots:     report.Max,
		SlotsUsed: report.InFlight,
	}, nil
}

var (
	_ counter.Services = (*services)(nil)
	_ crew.Reporter    = serviceReporter{}
)
