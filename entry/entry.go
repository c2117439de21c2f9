// Package entry assembles an entry instance: the callers' API, the peers' RPC
// and the operators' pages, with the controllers that keep the routing document,
// the membership and the claims current.
//
// # Usage
//
//	instance, err := entry.New(entry.Deps{
//		Config:  cfg,
//		Network: entry.TCP{},
//	})
//	if err != nil {
//		return err
//	}
//	g.Add(instance.Run, instance.Stop)
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/common/event"
	"github.com/balsamlock/balsamlock/common/metrics"
	"github.com/balsamlock/balsamlock/common/peerkey"
	"github.com/balsamlock/balsamlock/common/transport"
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/draft"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/order"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/reclaim"
	"github.com/balsamlock/balsamlock/steward"
)

// Deps are what an instance needs from outside.
type Deps struct {
	Config  Config
	Network Network
	// Metrics may be nil; the set is then published by expvar as "entry".
	Metrics *metrics.Metrics
}

// Instance is one entry instance.
type Instance struct {
	cfg      Config
	id       string
	network  Network
	metrics  *metrics.Metrics
	outbound *http.Client
	peers    *http.Client
	platform *ledger.Client
	tracker  *reclaim.Tracker
	engines  *engines
	cancels  *reclaim.Canceller
	gate     *counter.RequestTracker
	document *plan.Follower
	members  *crew.Membership
	book     *quotation.Placer
	hub      *steward.Hub
	shares   *shares
	limiter  *intake.Limiter
	queue    *intake.Queue
	retries  *intake.RetryBudget
	runner   *firing.Runner
	orders   *order.Executor
	desk     *draft.Manager
	services *services
	foremen  *foremen
	stop     chan struct{}
	stopOnce sync.Once
}

// New returns an instance that works once Run is called.
func New(deps Deps) (*Instance, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("name instance: %w", err)
	}
	if deps.Metrics == nil {
		deps.Metrics = metrics.New("entry")
	}
	outbound := transport.NewClientWithDial(deps.Network.Dial)
	i := &Instance{
		cfg:      deps.Config,
		id:       id.String(),
		network:  deps.Network,
		metrics:  deps.Metrics,
		outbound: outbound,
		peers:    &http.Client{Transport: peerkey.Transport(deps.Config.PeerKey, outbound.Transport)},
		gate:     counter.NewRequestTracker(),
		stop:     make(chan struct{}),
	}
	i.platform = ledger.NewClient(ledger.ClientDeps{
		Address: i.cfg.Platform,
		HTTP:    i.outbound,
	})
	i.tracker = reclaim.NewTracker()
	i.engines = newEngines(i.outbound, i.tracker, i.engineLeaving)
	i.assemble()
	return i, nil
}

// ID returns the instance's id, unique for each start.
func (i *Instance) ID() string { return i.id }

// Run serves until Stop is called and everything in progress has ended, or
// until a part fails.
func (i *Instance) Run() error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	defer i.outbound.CloseIdleConnections()
	var g run.Group
	i.addServers(&g, listeners)
	i.addControllers(&g)
	g.Add(i.awaitStop, i.Stop)
	log.Info().Str(event.Key, string(event.Start)).Str(event.Instance, i.id).
		Str("data_centre", i.cfg.DataCentre).
		Str("listen", i.cfg.Listen).
		Msg("instance started")
	return g.Run()
}

// Stop begins a graceful shutdown; Run returns once it is done.
func (i *Instance) Stop(error) {
	i.stopOnce.Do(func() { close(i.stop) })
}

func (i *Instance) isStopping() bool {
	select {
	case <-i.stop:
		return true
	default:
		return false
	}
}

// awaitStop waits for Stop and then lets what is in progress end before the
// group stops the servers and controllers.
func (i *Instance) awaitStop() error {
	<-i.stop
	ctx, cancel := context.WithTimeout(context.Background(), i.cfg.shutdownTimeout())
	defer cancel()
	i.shutDown(ctx)
	return nil
}

func (i *Instance) shutDown(ctx context.Context) {
	begin := time.Now()
	log.Info().Str(event.Key, string(event.Stop)).Str(event.Instance, i.id).
		Int64("in_progress", i.gate.Active()).
		Msg("stopping")
	i.leave(ctx)
	left := i.gate.Drain(ctx)
	drafts := i.desk.Drain(ctx)
	orders := i.orders.Drain(ctx)
	log.Info().Str(event.Key, string(event.Stopped)).Str(event.Instance, i.id).
		Int64("requests_cut", left).
		Int("drafts_left", drafts).
		Int("orders_unrecorded", orders).
		Dur("took", time.Since(begin)).
		Msg("shut down")
}

// leave tells the peers and the platform that no new work is taken.
func (i *Instance) leave(ctx context.Context) {
	if err := i.members.Leave(ctx); err != nil {
		log.Warn().Str("step", "leave").Err(err).Msg("not all peers told")
	}
	if err := i.platform.MarkLeaving(ctx, i.id); err != nil {
		log.Warn().Str("step", "leave").Str("peer", i.cfg.Platform).Err(err).Msg("platform not told")
	}
}

type listeners struct {
	callers, peers, operators net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var all listeners
	for _, each := range []struct {
		address  string
		listener *net.Listener
	}{
		{
			address:  i.cfg.Listen,
			listener: &all.callers,
		},
		{
			address:  i.cfg.PeerListen,
			listener: &all.peers,
		},
		{
			address:  i.cfg.OperatorListen,
			listener: &all.operators,
		},
	} {
		listener, err := i.network.Listen(each.address)
		if err != nil {
			all.close()
			return listeners{}, fmt.Errorf("listen: %w", err)
		}
		*each.listener = listener
	}
	return all, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (i *Instance) addServers(g *run.Group, l listeners) {
	i.addServer(g, l.callers, i.callersHandler())
	i.addServer(g, l.peers, peerkey.Require(i.cfg.PeerKey, i.peersHandler()))
	i.addServer(g, l.operators, i.operatorsHandler())
}

func (i *Instance) addServer(g *run.Group, listener net.Listener, handler http.Handler) {
	server := newServer(handler)
	g.Add(func() error {
		return server.Serve(listener)
	}, func(error) { closeServer(server) })
}

// closeServer lets answers that were handed to net/http reach the connections:
// the gate opens when a handler returns, which is before its last bytes are out.
func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

func (i *Instance) addControllers(g *run.Group) {
	for _, controller := range i.controllers() {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error {
			return controller(ctx)
		}, func(error) { cancel() })
	}
}
