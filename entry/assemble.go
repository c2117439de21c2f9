package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/crew/crewpb"
	"github.com/balsamlock/balsamlock/draft"
	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/order"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/quotation"
	"github.com/balsamlock/balsamlock/reclaim"
	"github.com/balsamlock/balsamlock/steward"
	"github.com/balsamlock/balsamlock/steward/stewardpb"
)

// controller is a background task. It runs until ctx is done.
type controller func(ctx context.Context) error

// assemble creates the components and connects them.
func (i *Instance) assemble() {
	i.assembleState()
	i.assemblePlacement()
	i.assembleWork()
}

// assembleState creates the components that track the routing document and the
// membership.
func (i *Instance) assembleState() {
	i.document = plan.NewFollower(plan.Deps{
		Log:             i.platform,
		Peers:           plan.NewPeerClient(i.peers),
		AppendSnapshots: true,
		Config:          i.cfg.Plan,
		OnChange:        i.useDocument,
	})
	i.services = newServiceCaller(i)
	i.members = crew.New(i.cfg.Crew, crew.Deps{
		Self: crew.Self{
			ID:         i.id,
			Address:    i.cfg.PeerListen,
			DataCentre: i.cfg.DataCentre,
			Region:     i.cfg.Region,
		},
		List:     i.platform,
		Reporter: i.reporter,
		Dial: func(address string) crewpb.Crew {
			return crewpb.NewCrewProtobufClient("http://"+address, i.peers)
		},
		DocumentVersion: func() uint64 { return uint64(i.document.Version()) },
		OnPeerVersion: func(address string, version uint64) {
			i.document.Advertised(address, plan.Version(version))
		},
		OnCacheEvents: i.onCacheEvents,
		Holds:         i.tracker.Held,
		Metrics:       i.metrics,
	})
}

// assemblePlacement creates admission control, queueing and placement.
func (i *Instance) assemblePlacement() {
	i.limitShares = &evenShares{members: i.members}
	i.placer = quotation.NewPlacer(quotation.Deps{
		Servers: &placementServers{members: i.members},
		Links: &linkLimiter{
			index:     i.index,
			shares:    i.limitShares,
			ownRegion: i.cfg.Region,
		},
		Config: i.cfg.Quotation,
	})
	i.hub = steward.NewHub()
	i.reconciler = newEngineReconciler(i)
	i.limiter = intake.NewLimiter(i.limitShares)
	i.queue = intake.NewQueue(intake.QueueConfig{})
	i.retryBudget = intake.NewRetryBudget(i.retryPercent)
}

// assembleWork creates the components that run generations, drafts and orders.
func (i *Instance) assembleWork() {
	i.canceller = reclaim.NewCanceller(i.cfg.Reclaim, reclaim.CancellerDeps{
		Engines: i.localEngines(),
		Metrics: i.metrics,
	})
	i.runner = firing.NewRunner(firing.Deps{
		Engines: i.engines,
		Placer: &checkedPlacer{
			Placer:     i.placer,
			members:    i.members,
			reconciler: i.reconciler,
			region:     i.cfg.Region,
		},
		Queue: firing.NewFairQueue(i.queue, i.queueWeight),
		Canceller: &trackingCanceller{
			queue:   i.canceller,
			tracker: i.tracker,
		},
		Retries:  i.retryBudget,
		Metrics:  i.metrics,
		Instance: i.id,
		Config:   i.cfg.Firing,
	})
	i.drafts = draft.NewManager(draft.Deps{
		Log:        i.platform,
		Instance:   i.id,
		DataCentre: i.cfg.DataCentre,
		Runner:     draftRunner{generator: i.runner},
		Peers:      draftPeers{instance: i},
		Limit:      i.draftLimit,
		Config:     i.cfg.Draft,
		Metrics:    i.metrics,
	})
	i.orders = order.NewExecutor(order.Deps{
		Log:      i.platform,
		Instance: i.id,
		Config:   i.cfg.Order,
		Metrics:  i.metrics,
	})
}

// useDocument passes a new routing document on to membership.
func (i *Instance) useDocument(current *plan.Current) {
	i.members.UseRouting(crew.RoutingOf(current.Document))
}

// index returns the index of the current routing document. It returns nil before
// the first document.
func (i *Instance) index() *plan.Index {
	current := i.document.Current()
	if current == nil {
		return nil
	}
	return current.Index
}

// reporter returns the client that reads the load of a backend server.
func (i *Instance) reporter(server *crew.Server) crew.Reporter {
	if server.Service != "" {
		return serviceReporter{client: i.services.client(server.Address)}
	}
	return i.engines.Engine(server.Address)
}

// onEngineLeaving reports to membership that an engine refused work because it is
// leaving. Membership may not know yet.
func (i *Instance) onEngineLeaving(address string) {
	for _, server := range i.members.View().Servers() {
		if server.Address == address {
			i.members.ReportLeaving(server.Name, 0)
		}
	}
}

func (i *Instance) onCacheEvents(server string, events []kiln.CacheEvent) {
	if s, ok := i.members.View().Server(server); ok {
		i.placer.ApplyCacheEvents(s.Address, events)
	}
}

// controllers returns the background tasks of the instance.
func (i *Instance) controllers() []controller {
	return []controller{
		ignoreCancelled(i.document.Run),
		ignoreCancelled(i.members.Run),
		ignoreCancelled(i.orders.Run),
		ignoreCancelled(i.drafts.Run),
		i.wakeQueue,
		ignoreCancelled(i.reconciler.run),
		ignoreCancelled(i.canceller.Run),
		ignoreCancelled(i.keepAlive().Run),
		ignoreCancelled(i.sweeper().Run),
		ignoreCancelled(i.stewardClient().Run),
		i.keepListed,
	}
}

// localEngines returns the engines in the instance's own data centre.
func (i *Instance) localEngines() *localEngines {
	return &localEngines{
		engineClients: i.engines,
		members:       i.members,
		dataCentre:    i.cfg.DataCentre,
	}
}

func (i *Instance) keepAlive() *reclaim.KeepAlive {
	return reclaim.NewKeepAlive(i.cfg.Reclaim, reclaim.KeepAliveDeps{
		Instance: i.id,
		Tracker:  i.tracker,
		Engines:  i.localEngines(),
		Metrics:  i.metrics,
	})
}

func (i *Instance) sweeper() *reclaim.Sweeper {
	return reclaim.NewSweeper(i.cfg.Reclaim, reclaim.SweeperDeps{
		Instance: i.id,
		Members:  i.members,
		Engines:  i.localEngines(),
		Owners:   i.members,
		Metrics:  i.metrics,
	})
}

// ignoreCancelled wraps a controller so that it returns nil instead of
// context.Canceled.
func ignoreCancelled(run controller) controller {
	return func(ctx context.Context) error {
		err := run(ctx)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}

// keepListed keeps the instance registered in the platform's instance list.
func (i *Instance) keepListed(ctx context.Context) error {
	ledger.KeepRegistered(ctx, i.platform, ledger.ListedInstance{
		ID:          i.id,
		Kind:        ledger.KindEntry,
		Address:     i.cfg.PeerListen,
		DataCentre:  i.cfg.DataCentre,
		State:       ledger.InstanceLive,
		Incarnation: uint64(time.Now().UnixMilli()),
	}, time.Duration(i.cfg.ListTTLMS)*time.Millisecond)
	return nil
}

func (i *Instance) callerHandler() http.Handler {
	return counter.New(counter.Deps{
		Index:      i.index,
		DataCentre: i.cfg.DataCentre,
		Admission:  &admission{limiter: i.limiter},
		Generator:  i.runner,
		Services:   i.services,
		Drafts:     callerDrafts{Manager: i.drafts},
		Tracker:    i.requests,
		Metrics:    i.metrics,
		Config:     i.cfg.Counter,
	})
}

func (i *Instance) peerHandler() http.Handler {
	mux := http.NewServeMux()
	members := crewpb.NewCrewServer(i.members)
	mux.Handle(members.PathPrefix(), members)
	usage := stewardpb.NewStewardServer(i.hub)
	mux.Handle(usage.PathPrefix(), usage)
	documents := plan.NewService(i.document)
	mux.Handle(documents.PathPrefix(), documents)
	holders := draftpb.NewHolderServer(i.drafts)
	mux.Handle(holders.PathPrefix(), holders)
	return mux
}
