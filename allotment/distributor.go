package allotment

import (
	"context"
	"sync"
	"time"
)

// Root is an Issuer that answers concurrent requests.
type Root struct {
	mu     sync.Mutex
	issuer *Issuer
	now    func() time.Time
}

// NewRoot returns the parent of the distributors. Now returns the time by a clock that
// also counts the time of suspensions.
func NewRoot(issuer *Issuer, now func() time.Time) *Root {
	return &Root{
		issuer: issuer,
		now:    now,
	}
}

// Start lets the issuer create amounts at once, with the levels of the one before.
func (r *Root) Start(levels map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.issuer.Start(levels, r.now())
}

// Levels returns the levels of the issuer's buckets by team.
func (r *Root) Levels() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuer.Levels()
}

// Ask answers a distributor.
func (r *Root) Ask(_ context.Context, request Request) (Reply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.issuer.Ask(request, r.now()), nil
}

// Distributor grants what it holds to the instances of a data centre.
type Distributor struct {
	holder *Holder
	now    func() time.Time

	mu       sync.Mutex
	children children
}

// NewDistributor returns a distributor that asks the issuer until the context is done.
func NewDistributor(ctx context.Context, deps Deps) *Distributor {
	d := &Distributor{
		now:      deps.Now,
		children: newChildren(instanceMemory),
	}
	deps.Distributor = true
	deps.Children = d.state
	d.holder = NewHolder(ctx, deps)
	return d
}

// Holder returns the holder of the distributor's own balances.
func (d *Distributor) Holder() *Holder { return d.holder }

func (d *Distributor) state() ChildState {
	d.mu.Lock()
	defer d.mu.Unlock()
	absent := d.children.withheld(d.now())
	return ChildState{
		Members: d.children.members(),
		Absent:  absent,
		Parts:   d.children.totalPart(),
	}
}

// Ask answers an instance. Requests that wait are passed on to the issuer if the
// distributor holds too little.
func (d *Distributor) Ask(ctx context.Context, r Request) (Reply, error) {
	d.mu.Lock()
	d.children.record(r, d.now())
	members := max(len(d.children.byName), 1)
	d.mu.Unlock()
	if r.Leaves {
		return Reply{}, nil
	}
	d.holder.KeepAlive()
	reply := Reply{Grants: make([]Grant, len(r.Needs))}
	var wg sync.WaitGroup
	for n, need := range r.Needs {
		wg.Go(func() { reply.Grants[n] = d.grant(ctx, need) })
	}
	wg.Wait()
	link := d.holder.Link()
	reply.All = link.all
	if _, ok := link.Source(d.now()).(FromParent); ok {
		d.mu.Lock()
		reply.Part = d.children.assignPart(r.Child, link.part/float64(members), link.part)
		d.mu.Unlock()
	}
	return reply, nil
}

// grant serves the requests that wait, and then the expected ones.
func (d *Distributor) grant(ctx context.Context, need Need) Grant {
	grant := Grant{Team: need.Team}
	draws := make([]Draw, len(need.Waiting))
	errs := make([]error, len(need.Waiting))
	var wg sync.WaitGroup
	for n, cost := range need.Waiting {
		wg.Go(func() { draws[n], errs[n] = d.holder.acquire(ctx, need.Team, need.Limit, cost, childWait) })
	}
	wg.Wait()
	for n, draw := range draws {
		grant.Lots = append(grant.Lots, draw.Lots...)
		if errs[n] != nil {
			grant.Retry = max(grant.Retry, retryOf(errs[n]))
		}
	}
	if grant.Retry == 0 && need.Prefetch > 0 {
		grant.Lots = append(grant.Lots, d.holder.Prefetch(need.Team, need.Limit, need.Prefetch).Lots...)
	}
	return grant
}

var (
	_ Parent = (*Root)(nil)
	_ Parent = (*Distributor)(nil)
)
