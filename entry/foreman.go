package entry

import (
	"context"
	"time"

	"github.com/oklog/run"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/foreman"
	"github.com/balsamlock/balsamlock/ledger"
)

// documentFreshFor is the age of the last read of the documents stream up to
// which the document in force counts as the newest.
const documentFreshFor = 10 * time.Second

// foremen carry out what the routing document wants of the engines.
type foremen struct {
	instance *Instance
	board    *foreman.ClaimTable
	follower *ledger.Follower
}

func newForemen(i *Instance) *foremen {
	board := foreman.NewClaimTable(i.cfg.Foreman)
	return &foremen{
		instance: i,
		board:    board,
		follower: ledger.NewFollower(ledger.FollowerDeps{
			Log:     i.platform,
			Stream:  ledger.StreamControl,
			Handler: board,
			Config:  ledger.DefaultFollowerConfig(),
		}),
	}
}

// run works until the context ends.
func (f *foremen) run(ctx context.Context) error {
	controller := foreman.NewController(f.instance.cfg.Foreman, foreman.Deps{
		Instance: f.instance.id,
		Claims:   f.board,
		Follower: f.follower,
		Log:      f.instance.platform,
		Targets:  f,
		Members:  f,
		Metrics:  f.instance.metrics,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, actor := range []func(context.Context) error{f.follower.Run, controller.Run} {
		g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

// Issuers returns the live instances of the data centre.
func (f *foremen) Issuers() []string { return f.instance.members.LiveInstances() }

// Targets returns the live engines of the data centre and what the document in
// force wants of them.
func (f *foremen) Targets() (targets []foreman.Target, document ledger.Offset, fresh bool) {
	current := f.instance.document.Current()
	if current == nil {
		return nil, 0, false
	}
	for _, server := range f.instance.members.View().Servers() {
		line, ok := current.Index.Server(server.Name)
		if !ok || server.State != crew.StateLive || server.DataCentre != f.instance.cfg.DataCentre {
			continue
		}
		wanted, ok := foreman.DesiredStateOf(current.Index, line)
		if !ok {
			continue
		}
		targets = append(targets, foreman.Target{
			Name:          server.Name,
			ChecksFencing: line.ChecksFencing,
			Desired:       wanted,
			Engine:        f.instance.engines.Engine(server.Address),
			Reported:      server.Load,
		})
	}
	fresh = f.instance.document.Stream().Fresh(time.Now(), documentFreshFor)
	return targets, ledger.Offset(current.Accepted.Version), fresh
}

var (
	_ foreman.Targets = (*foremen)(nil)
	_ foreman.Members = (*foremen)(nil)
)
