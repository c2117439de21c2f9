package standin

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
)

// Register adds an instance to the list or renews it. If ttl isn't 0, the entry
// expires unless it is renewed within ttl. A leaving instance stays leaving.
func (p *Platform) Register(ctx context.Context, instance ledger.ListedInstance, ttl time.Duration) error {
	const call = "register"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	if instance.ID == "" || instance.Address == "" {
		return fmt.Errorf("register: %w: id and address are required", ledger.ErrRefused)
	}
	if instance.State == "" {
		instance.State = ledger.InstanceLive
	}
	p.register(instance, ttl)
	return p.faults.applyAfter(ctx, call)
}

func (p *Platform) register(instance ledger.ListedInstance, ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if old, ok := p.registered[instance.ID]; ok && old.instance.State == ledger.InstanceLeaving {
		instance.State = ledger.InstanceLeaving
	}
	entry := registration{instance: instance}
	if ttl > 0 {
		entry.expiresAt = now.Add(ttl)
	}
	p.registered[instance.ID] = entry
	p.pendingChanges = append(p.pendingChanges, listChange{
		visibleAt: p.visibleAt(now),
		id:        instance.ID,
		present:   true,
		instance:  instance,
		expiresAt: entry.expiresAt,
	})
	p.applyVisibleChanges(now)
}

func (p *Platform) visibleAt(now time.Time) time.Time {
	return now.Add(time.Duration(p.cfg.ListLagMS) * time.Millisecond)
}

// MarkLeaving marks an instance as leaving permanently. It ignores unknown ids.
func (p *Platform) MarkLeaving(ctx context.Context, id string) error {
	const call = "leaving"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	p.mu.Lock()
	entry, ok := p.registered[id]
	if ok {
		entry.instance.State = ledger.InstanceLeaving
		p.registered[id] = entry
		now := time.Now()
		p.pendingChanges = append(p.pendingChanges, listChange{
			visibleAt: p.visibleAt(now),
			id:        id,
			present:   true,
			instance:  entry.instance,
			expiresAt: entry.expiresAt,
		})
	}
	p.mu.Unlock()
	return p.faults.applyAfter(ctx, call)
}

// Deregister removes an instance from the list.
func (p *Platform) Deregister(ctx context.Context, id string) error {
	const call = "deregister"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	p.mu.Lock()
	delete(p.registered, id)
	p.pendingChanges = append(p.pendingChanges, listChange{
		visibleAt: p.visibleAt(time.Now()),
		id:        id,
	})
	p.mu.Unlock()
	return p.faults.applyAfter(ctx, call)
}

// List returns the instances as of ListLagMS ago, ordered by id.
func (p *Platform) List(ctx context.Context) ([]ledger.ListedInstance, error) {
	const call = "list"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return nil, err
	}
	if err := sleep(ctx, time.Duration(p.cfg.ReadMS)*time.Millisecond); err != nil {
		return nil, err
	}
	if err := p.faults.applyAfter(ctx, call); err != nil {
		return nil, err
	}
	return p.list(), nil
}

func (p *Platform) list() []ledger.ListedInstance {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.applyVisibleChanges(now)
	lag := time.Duration(p.cfg.ListLagMS) * time.Millisecond
	instances := make([]ledger.ListedInstance, 0, len(p.listed))
	for id, entry := range p.listed {
		if !entry.expiresAt.IsZero() && now.After(entry.expiresAt.Add(lag)) {
			delete(p.listed, id)
			continue
		}
		instances = append(instances, entry.instance)
	}
	slices.SortFunc(instances, func(a, b ledger.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// applyVisibleChanges applies the pending changes that are visible at now to the
// list.
func (p *Platform) applyVisibleChanges(now time.Time) {
	n := 0
	for n < len(p.pendingChanges) && !p.pendingChanges[n].visibleAt.After(now) {
		c := p.pendingChanges[n]
		n++
		if !c.present {
			delete(p.listed, c.id)
			continue
		}
		p.listed[c.id] = registration{
			instance:  c.instance,
			expiresAt: c.expiresAt,
		}
	}
	p.pendingChanges = p.pendingChanges[n:]
}
