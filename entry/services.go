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

// serviceCaller runs calls of plain services. Repeatable calls are run with retries and
// hedging, all others as orders, at most once.
type serviceCaller struct {
	instance    *Instance
	retryClient *workshop.RetryClient
	clients     sync.Map // address to *workshop.Client
}

func newServiceCaller(i *Instance) *serviceCaller {
	return &serviceCaller{
		instance: i,
		retryClient: workshop.NewRetryClient(workshop.RetryClientDeps{
			Config:  i.cfg.Workshop,
			Metrics: i.metrics,
		}),
	}
}

// Call runs a call and returns its outcome.
func (s *serviceCaller) Call(ctx context.Context, call counter.ServiceCall) receipt.Outcome {
	outgoing := s.outgoingCall(call)
	unsent := receipt.NewAttempt(call.Request)
	if call.Call.Repeatable {
		return s.retryClient.CallRepeatable(ctx, unsent, outgoing)
	}
	if len(outgoing.Servers) == 0 {
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
		Timeout: outgoing.Timeout,
	}, func(ctx context.Context, sent receipt.Sent) receipt.Outcome {
		return s.retryClient.CallOnce(ctx, sent, outgoing)
	})
}

func (s *serviceCaller) outgoingCall(call counter.ServiceCall) workshop.Call {
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

// servers returns the backend servers of a service that may get new work from a caller.
// Those in the instance's own data centre are first, followed by those in its own region
// and all others.
func (s *serviceCaller) servers(service string, caller *plan.Grant) []workshop.Server {
	view := s.instance.members.View()
	var sameDataCentre, sameRegion, otherRegions []workshop.Server
	for _, server := range view.Services(service) {
		if !view.MayPlace(server.Name) || !s.isAllowed(server, caller) {
			continue
		}
		candidate := workshop.Server{
			Name:    server.Address,
			Service: s.client(server.Address),
		}
		switch {
		case server.DataCentre == s.instance.cfg.DataCentre:
			sameDataCentre = append(sameDataCentre, candidate)
		case server.Region == s.instance.cfg.Region:
			sameRegion = append(sameRegion, candidate)
		default:
			otherRegions = append(otherRegions, candidate)
		}
	}
	return slices.Concat(sameDataCentre, sameRegion, otherRegions)
}

func (s *serviceCaller) isAllowed(server *crew.Server, caller *plan.Grant) bool {
	index := s.instance.index()
	if index == nil {
		return false
	}
	spec, ok := index.Server(server.Name)
	return ok && caller.AllowsServer(spec)
}

func (s *serviceCaller) client(address string) *workshop.Client {
	if client, ok := s.clients.Load(address); ok {
		return client.(*workshop.Client)
	}
	client, _ := s.clients.LoadOrStore(address, workshop.NewClient(workshop.ClientDeps{
		Address: address,
		HTTP:    s.instance.outbound,
	}))
	return client.(*workshop.Client)
}

// serviceReporter adapts the load report of a plain service to membership.
type serviceReporter struct{ client *workshop.Client }

// Load reads the load of the service.
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
	_ counter.Services = (*serviceCaller)(nil)
	_ crew.Reporter    = serviceReporter{}
)
