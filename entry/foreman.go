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
func (r *engineReconciler) run(ctx context.Context) error {
	controller := foreman.NewController(r.instance.cfg.Foreman, foreman.Deps{
		Instance: r.instance.id,
		Claims:   r.claims,
		Follower: r.follower,
		Log:      r.instance.platform,
		Targets:  r,
		Members:  r,
		Metrics:  r.instance.metrics,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, task := range []func(context.Context) error{r.follower.Run, controller.Run} {
		g.Add(func() error { return task(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// LiveInstances returns the ids of the live instances in the data centre.
func (r *engineReconciler) LiveInstances() []string { return r.instance.members.LiveInstances() }

// Targets returns the live engines in the data centre with the state that the current
// document specifies for them, and the document's offset. fresh reports whether the
// current document counts as the newest one.
func (r *engineReconciler) Targets() (targets []foreman.Target, document ledger.Offset, fresh bool) {
	current := r.instance.document.Current()
	if current == nil {
		return nil, 0, false
	}
	for _, server := range r.instance.members.View().Servers() {
		spec, ok := current.Index.Server(server.Name)
		if !ok || server.State != crew.StateLive || server.DataCentre != r.instance.cfg.DataCentre {
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
			Engine:        r.instance.engines.Engine(server.Address),
			Reported:      server.Load,
		})
	}
	fresh = r.instance.document.Stream().Fresh(time.Now(), maxDocumentAge)
	return targets, ledger.Offset(current.Accepted.Version), fresh
}

var (
	_ foreman.Targets = (*engineReconciler)(nil)
	_ foreman.Members = (*engineReconciler)(nil)
)
