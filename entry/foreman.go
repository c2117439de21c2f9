package entry

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/ledger"
)

// maxDocumentAge is the maximum time since the last read of the documents stream for
// which the current document counts as the newest one.
const maxDocumentAge = 10 * time.Second

// engineReconciler brings the engines of the data centre to the state that the routing
// document specifies.
type engineReconciler struct {
	instance *Instance
	claims   *foreman.ClaimTable
	follower *ledger.Follower
}

func newEngineReconciler(i *Instance) *engineReconciler {
	claims := foreman.NewClaimTable(i.cfg.Foreman)
	return &engineReconciler{
		instance: i,
		claims:   claims,
		follower: ledger.NewFollower(ledger.FollowerDeps{
			Log:     i.platform,
			Stream:  ledger.StreamControl,
			Handler: claims,
			Config:  ledger.DefaultFollowerConfig(),
		}),
	}
}

// run runs the reconciler until ctx is done.
func (f *engineReconciler) run(ctx context.Context) error {
	controller := foreman.NewController(f.instance.cfg.Foreman, foreman.Deps{
		Instance: f.instance.id,
		Claims:   f.claims,
		Follower: f.follower,
		Log:      f.instance.platform,
		Targets:  f,
		Members:  f,
		Metrics:  f.instance.metrics,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, task := range []func(context.Context) error{f.follower.Run, controller.Run} {
		g.Add(func() error { return task(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// LiveInstances returns the ids of the live instances in the data centre.
func (f *engineReconciler) LiveInstances() []string { return f.instance.members.LiveInstances() }

// Targets returns the live engines in the data centre with the state that the current
// document specifies for them, and the document's offset. fresh reports whether the
// current document counts as the newest one.
func (f *engineReconciler) Targets() (targets []foreman.Target, document ledger.Offset, fresh bool) {
	current := f.instance.document.Current()
	if current == nil {
		return nil, 0, false
	}
	for _, server := range f.instance.members.View().Servers() {
		spec, ok := current.Index.Server(server.Name)
		if !ok || server.State != crew.StateLive || server.DataCentre != f.instance.cfg.DataCentre {
			continue
		}
		wanted, ok := foreman.DesiredStateOf(current.Index, spec)
		if !ok {
			continue
		}
		targets = append(targets, foreman.Target{
			Name:          server.Name,
			ChecksFencing: spec.ChecksFencing,
			Desired:       wanted,
			Engine:        f.instance.engines.Engine(server.Address),
			Reported:      server.Load,
		})
	}
	fresh = f.instance.document.Stream().Fresh(time.Now(), maxDocumentAge)
	return targets, ledger.Offset(current.Accepted.Version), fresh
}

var (
	_ foreman.Targets = (*engineReconciler)(nil)
	_ foreman.Members = (*engineReconciler)(nil)
)
