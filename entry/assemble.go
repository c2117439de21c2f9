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

// controller keeps one part of the state current until its context ends.
type controller func(ctx context.Context) error

// assemble connects the parts.
func (i *Instance) assemble() {
	i.assembleState()
	i.assemblePlacement()
	i.assembleWork()
}

// assembleState makes what keeps the routing document and the members current.
func (i *Instance) assembleState() {
	i.document = plan.NewFollower(plan.Deps{
		Log:             i.platform,
		Peers:           plan.NewPeerClient(i.peers),
		AppendSnapshots: true,
		Config:          i.cfg.Plan,
		OnChange:        i.useDocument,
	})
	i.services = newServices(i)
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
		OnCacheEvents: i.cacheEvents,
		Holds:         i.tracker.Held,
		Metrics:       i.metrics,
	})
}

// assemblePlacement makes what decides whether, when and where requests run.
func (i *Instance) assemblePlacement() {
	i.shares = &shares{members: i.members}
	i.book = quotation.NewPlacer(quotation.Deps{
		Servers: &fleet{members: i.members},
		Links: &links{
			index:  i.index,
			shares: i.shares,
			home:   i.cfg.Region,
		},
		Config: i.cfg.Quotation,
	})
	i.hub = steward.NewHub()
	i.foremen = newForemen(i)
	i.limiter = intake.NewLimiter(i.shares)
	i.queue = intake.NewQueue(intake.QueueConfig{})
	i.retries = intake.NewRetryBudget(i.retryPercent)
}

// assembleWork makes what runs generations, drafts and orders.
func (i *Instance) assembleWork() {
	i.cancels = reclaim.NewCanceller(i.cfg.Reclaim, reclaim.CancellerDeps{
		Engines: i.near(),
		Metrics: i.metrics,
	})
	i.runner = firing.NewRunner(firing.Deps{
		Engines: i.engines,
		Placer: &placer{
			Placer:  i.book,
			members: i.members,
			foremen: i.foremen,
			region:  i.cfg.Region,
		},
		Queue: firing.NewFairQueue(i.queue, i.weight),
		Canceller: &canceller{
			queue:   i.cancels,
			tracker: i.tracker,
		},
		Retries:  i.retries,
		Metrics:  i.metrics,
		Instance: i.id,
		Config:   i.cfg.Firing,
	})
	i.desk = draft.NewManager(draft.Deps{
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

// useDocument passes a document that came in force on to membership.
func (i *Instance) useDocument(current *plan.Current) {
	i.members.UseRouting(crew.RoutingOf(current.Document))
}

// index returns the routing document in force, nil before the first.
func (i *Instance) index() *plan.Index {
	current := i.document.Current()
	if current == nil {
		return nil
	}
	return current.Index
}

// reporter returns what reports the load of a backend server.
func (i *Instance) reporter(server *crew.Server) crew.Reporter {
	if server.Service != "" {
		return serviceReporter{client: i.services.client(server.Address)}
	}
	return i.engines.Engine(server.Address)
}

// engineLeaving passes on that an engine refused work because it is leaving,
// which may be the first news of it.
func (i *Instance) engineLeaving(address string) {
	for _, server := range i.members.View().Servers() {
		if server.Address == address {
			i.members.ReportLeaving(server.Name, 0)
		}
	}
}

func (i *Instance) cacheEvents(server string, events []kiln.CacheEvent) {
	if s, ok := i.members.View().Server(server); ok {
		i.book.ApplyCacheEvents(s.Address, events)
	}
}

// controllers are the parts that work beside requests.
func (i *Instance) controllers() []controller {
	return []controller{
		ended(i.document.Run),
		ended(i.members.Run),
		ended(i.orders.Run),
		ended(i.desk.Run),
		i.wakeQueue,
		ended(i.foremen.run),
		ended(i.cancels.Run),
		ended(i.keepAlive().Run),
		ended(i.sweeper().Run),
		ended(i.stewardClient().Run),
		i.announce,
	}
}

// near returns the engines of the instance's own data centre.
func (i *Instance) near() *nearEngines {
	return &nearEngines{
		engines:    i.engines,
		members:    i.members,
		dataCentre: i.cfg.DataCentre,
	}
}

func (i *Instance) keepAlive() *reclaim.KeepAlive {
	return reclaim.NewKeepAlive(i.cfg.Reclaim, reclaim.KeepAliveDeps{
		Instance: i.id,
		Tracker:  i.tracker,
		Engines:  i.near(),
		Metrics:  i.metrics,
	})
}

func (i *Instance) sweeper() *reclaim.Sweeper {
	return reclaim.NewSweeper(i.cfg.Reclaim, reclaim.SweeperDeps{
		Instance: i.id,
		Members:  i.members,
		Engines:  i.near(),
		Owners:   i.members,
		Metrics:  i.metrics,
	})
}

// ended turns the end of a controller's context into a plain end.
func ended(run controller) controller {
	return func(ctx context.Context) error {
		err := run(ctx)
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	}
}

// announce keeps the instance on the platform's list.
func (i *Instance) announce(ctx context.Context) error {
	ledger.KeepRegistered(ctx, i.platform, ledger.ListedInstance{
		ID:          i.id,
		Kind:        "entry",
		Address:     i.cfg.PeerListen,
		DataCentre:  i.cfg.DataCentre,
		State:       ledger.InstanceLive,
		Incarnation: uint64(time.Now().UnixMilli()),
	}, time.Duration(i.cfg.ListTTLMS)*time.Millisecond)
	return nil
}

func (i *Instance) callersHandler() http.Handler {
	return counter.New(counter.Deps{
		Index:      i.index,
		DataCentre: i.cfg.DataCentre,
		Admission:  &admission{limiter: i.limiter},
		Generator:  i.runner,
		Services:   i.services,
		Drafts:     drafts{Manager: i.desk},
		Tracker:    i.gate,
		Metrics:    i.metrics,
		Config:     i.cfg.Counter,
	})
}

func (i *Instance) peersHandler() http.Handler {
	mux := http.NewServeMux()
	members := crewpb.NewCrewServer(i.members)
	mux.Handle(members.PathPrefix(), members)
	loads := stewardpb.NewStewardServer(i.hub)
	mux.Handle(loads.PathPrefix(), loads)
	documents := plan.NewService(i.document)
	mux.Handle(documents.PathPrefix(), documents)
	holders := draftpb.NewHolderServer(i.desk)
	mux.Handle(holders.PathPrefix(), holders)
	return mux
}
