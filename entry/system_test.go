package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/memnet"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/entry"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/standin"
)

const (
	model      = "drafting-models"
	callerHost = "10.0.99.1"
	// maxOutputTokens is the output limit of the model. An answer of this length takes
	// the engines some minutes.
	maxOutputTokens = 10000
	// firstIncarnation is the initial incarnation in both the platform's list and the
	// engines' own reports.
	firstIncarnation = 1
	// publishTimeout is the timeout for publishing a document.
	publishTimeout = 10 * time.Second
)

// twoInstanceSystem has two data centres in one region, each with its own engines,
// service and entry instance.
const twoInstanceSystem = `
platform platform  10.0.0.1:7000
engine   prefill-a 10.0.1.1:9000 randstad-a prefill
engine   decode-a  10.0.1.2:9000 randstad-a decode
engine   prefill-b 10.0.2.1:9000 randstad-b prefill
engine   decode-b  10.0.2.2:9000 randstad-b decode
service  desk-a    10.0.1.3:9000 randstad-a
service  desk-b    10.0.2.3:9000 randstad-b
entry    e1        10.0.1.9      randstad-a
entry    e2        10.0.2.9      randstad-b
`

// system is a complete system in one process: stand-ins for the backend servers and the
// platform, and entry instances. They communicate over an in-memory network.
type system struct {
	c         *qt.C
	network   *memnet.Network
	platform  *standin.Platform
	engines   map[string]*standin.Engine
	services  map[string]*standin.Service
	entries   map[string]*entryNode
	directory *standin.Directory
	document  plan.Document
	client    *http.Client
	closers   []func()
	wg        sync.WaitGroup
}

// entryNode is one entry instance of a system.
type entryNode struct {
	host     string
	cfg      entry.Config
	instance *entry.Instance
	metrics  *metrics.Metrics
	// ended is closed when the instance has ended. err is the result of its Run.
	ended chan struct{}
	err   error
}

// hostNetwork is the in-memory network as seen by one host.
type hostNetwork struct {
	network *memnet.Network
	ip      string
}

func (h hostNetwork) Listen(address string) (net.Listener, error) { return h.network.Listen(address) }

func (h hostNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return h.network.Dialer(h.ip)(ctx, network, address)
}

// withSystem runs a test in virtual time on the system described by a listing, after
// all its instances have loaded the routing document. Each line of the listing holds
// the kind, name and address of a component, followed by its data centre and role where
// they apply.
func withSystem(t *testing.T, listing string, test func(c *qt.C, s *system)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSystem(c, listing)
		defer s.close()
		s.publish()
		for _, name := range s.entryNames() {
			s.await(10*time.Second, "routing document at "+name, func() bool { return s.healthy(name) })
		}
		test(c, s)
	})
}

func newSystem(c *qt.C, listing string) *system {
	logs.reset()
	network := memnet.New()
	transport := &http.Transport{DialContext: network.Dialer(callerHost)}
	s := &system{
		c:         c,
		network:   network,
		engines:   map[string]*standin.Engine{},
		services:  map[string]*standin.Service{},
		entries:   map[string]*entryNode{},
		directory: standin.NewDirectory(),
		document:  baseDocument(),
		client:    &http.Client{Transport: transport},
	}
	s.closers = append(s.closers, transport.CloseIdleConnections)
	for line := range strings.Lines(strings.TrimSpace(listing)) {
		s.add(strings.Fields(line))
	}
	for _, name := range s.entryNames() {
		s.start(name)
	}
	return s
}

func (s *system) add(fields []string) {
	kind, name, address := fields[0], fields[1], fields[2]
	switch kind {
	case "platform":
		s.platform = standin.NewPlatform(standin.DefaultPlatformConfig())
		s.serve(address, s.platform.Handler())
	case "engine":
		s.addEngine(name, address, fields[3], fields[4])
	case "service":
		s.services[name] = standin.NewService(name, standin.DefaultServiceConfig())
		s.serve(address, s.services[name].Handler())
		s.register("service", name, address, fields[3])
		s.document.Servers = append(s.document.Servers, plan.Server{
			Name:       name,
			Address:    address,
			DataCentre: fields[3],
			Kind:       plan.KindService,
			Service:    "workshop-desk",
		})
	case "entry":
		s.entries[name] = &entryNode{
			host: address,
			cfg:  entryConfig(address, fields[3]),
		}
	default:
		s.c.Fatalf("listing: unknown kind %q", kind)
	}
}

func (s *system) addEngine(name, address, dataCentre, role string) {
	cfg := standin.DefaultEngineConfig()
	cfg.Role = roleOf(role)
	cfg.Models = []string{model + "@1"}
	engine := standin.NewEngine(cfg, standin.EngineDeps{
		Address:     address,
		Peers:       s.directory,
		Incarnation: firstIncarnation,
	})
	s.engines[name] = engine
	s.directory.Add(address, engine)
	s.serve(address, engine.Handler())
	s.register("engine", name, address, dataCentre)
	pool := role + "-" + dataCentre
	s.document.Servers = append(s.document.Servers, plan.Server{
		Name:          name,
		Address:       address,
		DataCentre:    dataCentre,
		Kind:          plan.KindEngine,
		Pool:          pool,
		Slots:         20,
		ChecksFencing: true,
	})
	for _, existing := range s.document.Pools {
		if existing.Name == pool {
			return
		}
	}
	s.document.Pools = append(s.document.Pools, plan.Pool{
		Name:       pool,
		Model:      model,
		DataCentre: dataCentre,
		Role:       role,
	})
}

func (s *system) register(kind, name, address, dataCentre string) {
	err := s.platform.Register(context.Background(), ledger.ListedInstance{
		ID:          name + "-1",
		Kind:        kind,
		Name:        name,
		Address:     address,
		DataCentre:  dataCentre,
		State:       ledger.InstanceLive,
		Incarnation: firstIncarnation,
	}, 0)
	s.c.Assert(err, qt.IsNil)
}

func (s *system) serve(address string, handler http.Handler) {
	listener, err := s.network.Listen(address)
	s.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	s.wg.Go(func() { _ = server.Serve(listener) })
	s.closers = append(s.closers, func() { _ = server.Close() })
}

// start starts an entry instance, also after it was stopped or killed. It does nothing
// if the instance is running.
func (s *system) start(name string) {
	n := s.entries[name]
	if n.ended != nil && !isClosed(n.ended) {
		return
	}
	n.metrics = metrics.New("")
	instance, err := entry.New(entry.Deps{
		Config: n.cfg,
		Network: hostNetwork{
			network: s.network,
			ip:      n.host,
		},
		Metrics: n.metrics,
	})
	s.c.Assert(err, qt.IsNil)
	n.instance = instance
	ended := make(chan struct{})
	n.ended = ended
	s.network.Reconnect(n.host)
	go func() {
		defer close(ended)
		n.err = instance.Run()
	}()
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// kill ends an instance as SIGKILL does. The instance is isolated first, so that its
// shutdown is not visible to other hosts.
func (s *system) kill(name string) {
	n := s.entries[name]
	s.network.Isolate(n.host)
	n.instance.Stop(nil)
	<-n.ended
}

// stop ends an instance as SIGTERM does, and checks that it ends without an error.
func (s *system) stop(name string) {
	n := s.entries[name]
	n.instance.Stop(nil)
	<-n.ended
	s.c.Assert(n.err, qt.IsNil)
}

func (s *system) close() {
	for _, n := range s.entries {
		n.instance.Stop(nil)
	}
	for _, n := range s.entries {
		select {
		case <-n.ended:
		case <-time.After(time.Minute):
			s.c.Errorf("instance %s did not end within a minute", n.host)
		}
	}
	for _, closer := range s.closers {
		closer()
	}
	s.wg.Wait()
}

func (s *system) entryNames() []string {
	names := make([]string, 0, len(s.entries))
	for i := range len(s.entries) {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	return names
}

// await waits until a condition holds. It fails the test after the timeout.
func (s *system) await(timeout time.Duration, condition string, holds func() bool) {
	s.c.Helper()
	if !s.eventually(timeout, holds) {
		s.c.Fatalf("timed out after %s waiting for %s", timeout, condition)
	}
}

// eventually polls a condition and reports whether it holds within the timeout.
func (s *system) eventually(timeout time.Duration, holds func() bool) bool {
	const period = 20 * time.Millisecond
	for end := time.Now().Add(timeout); !holds(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(period)
	}
	return true
}

func (s *system) healthy(name string) bool {
	n := s.entries[name]
	resp := s.send(context.Background(), http.MethodGet, "http://"+n.cfg.OperatorListen+"/health", "", nil, "")
	return resp.err == nil && resp.status == http.StatusOK
}

// publish publishes the document and checks that it is accepted.
func (s *system) publish() {
	s.c.Helper()
	outcome := s.tryPublish()
	published, ok := outcome.(plan.Published)
	s.c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", outcome))
	s.document.Base = published.Accepted.Digest
}

// tryPublish publishes the document as an operator does, based on the latest accepted
// document.
func (s *system) tryPublish() plan.Outcome {
	follower := plan.NewFollower(plan.Deps{
		Log:    s.platform,
		Config: plan.DefaultConfig(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	document := s.document
	if follower.Sync(ctx) == nil && follower.Current() != nil {
		document.Base = follower.Current().Accepted.Digest
	}
	outcome := plan.NewPublisher(s.platform, follower).Publish(ctx, document)
	cancel()
	<-done
	return outcome
}

// status returns an instance's status, as reported to operators. It returns the zero
// value on an error.
func (s *system) status(name string) operator.Status {
	n := s.entries[name]
	client := operator.NewClient(n.cfg.OperatorKey, s.client)
	status, err := client.Status(context.Background(), n.cfg.OperatorListen)
	if err != nil {
		return operator.Status{}
	}
	return status
}

// describeState returns what the instances know of the backend servers and what the
// engines hold.
func (s *system) describeState() string {
	var b strings.Builder
	for name, n := range s.entries {
		fmt.Fprintf(&b, "%s: %d requests waiting\n", name, n.instance.Waiting())
		for _, server := range n.instance.View().Servers() {
			fmt.Fprintf(&b, "%s sees %s %s %+v\n", name, server.Name, server.State, server.Load)
		}
	}
	for name, engine := range s.engines {
		holdings, err := engine.Holdings(context.Background())
		fmt.Fprintf(&b, "%s holds %+v %v\n", name, holdings, err)
	}
	return b.String()
}
