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
	// maxOutput takes the engines some minutes.
	maxOutput = 10000
	// firstIncarnation is the one that both the platform's list and the
	// engines' own reports give at the start.
	firstIncarnation = 1
	// publishTimeout bounds an operator's publication.
	publishTimeout = 10 * time.Second
)

// smallSite has two data centres of one region, each with its own engines,
// service and entry instance.
const smallSite = `
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

// site is a whole system in one process: stand-ins and entry instances that
// talk over an in-memory network.
type site struct {
	c         *qt.C
	network   *memnet.Network
	platform  *standin.Platform
	engines   map[string]*standin.Engine
	services  map[string]*standin.Service
	entries   map[string]*node
	directory *standin.Directory
	document  plan.Document
	client    *http.Client
	closers   []func()
	running   sync.WaitGroup
}

// node is one entry instance of a site.
type node struct {
	host     string
	cfg      entry.Config
	instance *entry.Instance
	metrics  *metrics.Metrics
	// ended is closed once the instance has ended, with err.
	ended chan struct{}
	err   error
}

// host binds the in-memory network to one host.
type host struct {
	network *memnet.Network
	ip      string
}

func (h host) Listen(address string) (net.Listener, error) { return h.network.Listen(address) }

func (h host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return h.network.Dialer(h.ip)(ctx, network, address)
}

// withSite runs a test in virtual time on the site that a listing describes,
// once all its instances have the routing document in force.
func withSite(t *testing.T, listing string, test func(c *qt.C, s *site)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSite(c, listing)
		defer s.close()
		s.publish()
		for _, name := range s.entryNames() {
			s.await(10*time.Second, "document at "+name, func() bool { return s.healthy(name) })
		}
		test(c, s)
	})
}

func newSite(c *qt.C, listing string) *site {
	logs.reset()
	network := memnet.New()
	transport := &http.Transport{DialContext: network.Dialer(callerHost)}
	s := &site{
		c:         c,
		network:   network,
		engines:   map[string]*standin.Engine{},
		services:  map[string]*standin.Service{},
		entries:   map[string]*node{},
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

func (s *site) add(fields []string) {
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
		s.list("service", name, address, fields[3])
		s.document.Servers = append(s.document.Servers, plan.Server{
			Name:       name,
			Address:    address,
			DataCentre: fields[3],
			Kind:       plan.KindService,
			Service:    "workshop-desk",
		})
	case "entry":
		s.entries[name] = &node{
			host: address,
			cfg:  entryConfig(address, fields[3]),
		}
	default:
		s.c.Fatalf("site: unknown kind %q", kind)
	}
}

func (s *site) addEngine(name, address, dataCentre, role string) {
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
	s.list("engine", name, address, dataCentre)
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
	for _, known := range s.document.Pools {
		if known.Name == pool {
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

func (s *site) list(kind, name, address, dataCentre string) {
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

func (s *site) serve(address string, handler http.Handler) {
	listener, err := s.network.Listen(address)
	s.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: handler}
	s.running.Go(func() { _ = server.Serve(listener) })
	s.closers = append(s.closers, func() { _ = server.Close() })
}

// start starts an entry instance, anew after a kill, unless it runs.
func (s *site) start(name string) {
	n := s.entries[name]
	if n.ended != nil && !isClosed(n.ended) {
		return
	}
	n.metrics = metrics.New("")
	instance, err := entry.New(entry.Deps{
		Config: n.cfg,
		Network: host{
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

// kill ends an instance as SIGKILL does: from now on nothing leaves it and
// nothing reaches it.
func (s *site) kill(name string) {
	n := s.entries[name]
	s.network.Isolate(n.host)
	n.instance.Stop(nil)
	<-n.ended
}

// stop ends an instance as SIGTERM does.
func (s *site) stop(name string) {
	n := s.entries[name]
	n.instance.Stop(nil)
	<-n.ended
	s.c.Assert(n.err, qt.IsNil)
}

func (s *site) close() {
	for _, n := range s.entries {
		n.instance.Stop(nil)
	}
	for _, n := range s.entries {
		select {
		case <-n.ended:
		case <-time.After(time.Minute):
			s.c.Errorf("instance %s did not end", n.host)
		}
	}
	for _, closer := range s.closers {
		closer()
	}
	s.running.Wait()
}

func (s *site) entryNames() []string {
	names := make([]string, 0, len(s.entries))
	for i := range len(s.entries) {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	return names
}

// await polls until a condition holds.
func (s *site) await(limit time.Duration, what string, holds func() bool) {
	s.c.Helper()
	if !s.holdsWithin(limit, holds) {
		s.c.Fatalf("gave up after %s waiting for %s", limit, what)
	}
}

// holdsWithin tells whether a condition comes to hold in time.
func (s *site) holdsWithin(limit time.Duration, holds func() bool) bool {
	const period = 20 * time.Millisecond
	for end := time.Now().Add(limit); !holds(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(period)
	}
	return true
}

func (s *site) healthy(name string) bool {
	n := s.entries[name]
	answer := s.send(context.Background(), http.MethodGet, "http://"+n.cfg.OperatorListen+"/health", "", nil, "")
	return answer.err == nil && answer.status == http.StatusOK
}

// publish appends the document to the platform's log.
func (s *site) publish() {
	s.c.Helper()
	outcome := s.tryPublish()
	published, ok := outcome.(plan.Published)
	s.c.Assert(ok, qt.IsTrue, qt.Commentf("%#v", outcome))
	s.document.Base = published.Accepted.Digest
}

// tryPublish publishes the document on the accepted one, as an operator does.
func (s *site) tryPublish() plan.Outcome {
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

// status asks an instance's operators' endpoint.
func (s *site) status(name string) operator.Status {
	n := s.entries[name]
	client := operator.NewClient(n.cfg.OperatorKey, s.client)
	status, err := client.Status(context.Background(), n.cfg.OperatorListen)
	if err != nil {
		return operator.Status{}
	}
	return status
}

// picture describes what the instances see and what the engines hold.
func (s *site) picture() string {
	var b strings.Builder
	for name, n := range s.entries {
		fmt.Fprintf(&b, "%s: %d requests wait\n", name, n.instance.Waiting())
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
