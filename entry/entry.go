// Package entry assembles a router instance, called an entry instance. An instance
// serves the HTTP API for callers, the RPC services for its peers and the HTTP
// endpoints for operators. It runs the background tasks that track the routing
// document, the membership and the state of the engines.
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

// Deps holds the dependencies of an Instance.
type Deps struct {
	Config  Config
	Network Network
	// Metrics may be nil. New then creates a set that expvar publishes as "entry".
	Metrics *metrics.Metrics
}

// Instance is an entry instance.
type Instance struct {
	cfg         Config
	id          string
	network     Network
	metrics     *metrics.Metrics
	outbound    *http.Client
	peers       *http.Client
	platform    *ledger.Client
	tracker     *reclaim.Tracker
	engines     *engineClients
	canceller   *reclaim.Canceller
	requests    *counter.RequestTracker
	document    *plan.Follower
	members     *crew.Membership
	placer      *quotation.Placer
	hub         *steward.Hub
	limitShares *evenShares
	limiter     *intake.Limiter
	queue       *intake.Queue
	retryBudget *intake.RetryBudget
	runner      *firing.Runner
	orders      *order.Executor
	drafts      *draft.Manager
	services    *serviceCaller
	reconciler  *engineReconciler
	stop        chan struct{}
	stopOnce    sync.Once
}

// New returns an instance. It does nothing until Run is called.
func New(deps Deps) (*Instance, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("generate instance id: %w", err)
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
		requests: counter.NewRequestTracker(),
		stop:     make(chan struct{}),
	}
	i.platform = ledger.NewClient(ledger.ClientDeps{
		Address: i.cfg.Platform,
		HTTP:    i.outbound,
	})
	i.tracker = reclaim.NewTracker()
	i.engines = newEngineClients(i.outbound, i.tracker, i.onEngineLeaving)
	i.assemble()
	return i, nil
}

// ID returns the id of the instance. Each restart of the process has a new id.
func (i *Instance) ID() string { return i.id }

// Run serves until Stop is called and the graceful shutdown is complete, or until a
// server or a controller fails.
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

// Stop starts a graceful shutdown and returns immediately. Run returns when the
// shutdown is complete. The argument is ignored; it makes Stop usable as an
// interrupt function of a run.Group.
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

// awaitStop waits for Stop and for the work in progress. When it returns, the run
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
		Int64("in_progress", i.requests.Active()).
		Msg("stopping")
	i.leave(ctx)
	requestsCut := i.requests.Drain(ctx)
	drafts := i.drafts.Drain(ctx)
	orders := i.orders.Drain(ctx)
	log.Info().Str(event.Key, string(event.Stopped)).Str(event.Instance, i.id).
		Int64("requests_cut", requestsCut).
		Int("drafts_left", drafts).
		Int("orders_unrecorded", orders).
		Dur("took", time.Since(begin)).
		Msg("shutdown complete")
}

// leave announces to the peers and the platform that the instance takes no new work.
func (i *Instance) leave(ctx context.Context) {
	if err := i.members.Leave(ctx); err != nil {
		log.Warn().Str("step", "leave").Err(err).Msg("announcing the shutdown to the peers failed")
	}
	if err := i.platform.MarkLeaving(ctx, i.id); err != nil {
		log.Warn().Str("step", "leave").Str("peer", i.cfg.Platform).Err(err).Msg("marking the instance as leaving on the platform failed")
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
	i.addServer(g, l.callers, i.callerHandler())
	i.addServer(g, l.peers, peerkey.Require(i.cfg.PeerKey, i.peerHandler()))
	i.addServer(g, l.operators, i.operatorHandler())
}

func (i *Instance) addServer(g *run.Group, listener net.Listener, handler http.Handler) {
	server := newServer(handler)
	g.Add(func() error {
		return server.Serve(transport.RetryAccepts(listener))
	}, func(error) { closeServer(server) })
}

// closeServer shuts down a server after its responses have been written. A request is
// no longer tracked when its handler returns, but net/http may still have to write the
// last bytes of its response.
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
