// Package steward implements the exchange of engine loads between the entry instances
// of a region. Each instance learns the load that the others put on the engines sooner
// than from the reports of the engines themselves.
//
// One instance, the steward, is chosen by rendezvous hashing and sums the loads that the
// others send. All of its state is soft: no capacity is reserved in it. If the steward is
// lost, or two instances act as steward, the loads are merely out of date for a short
// time. Slots are reserved at the engines, which refuse a reservation when they are full.
//
// # Usage
//
//	hub := steward.NewHub()
//	client := steward.NewClient(steward.Deps{Usage: placer, Hub: hub, ...})
//	go client.Run(ctx)
package steward

import (
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/quotation"
)

// reportTTL is the age at which the load that an instance sent is dropped.
const reportTTL = time.Second

// Hub sums the loads that instances send. It is safe for concurrent use.
type Hub struct {
	mu      sync.Mutex
	reports map[string]report
	totals  map[string]quotation.Usage
}

type report struct {
	usages     []quotation.Usage
	receivedAt time.Time
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{
		reports: map[string]report{},
		totals:  map[string]quotation.Usage{},
	}
}

// Update replaces the load of an instance and returns the sum of the loads of all
// others.
func (h *Hub) Update(instance string, usages []quotation.Usage, now time.Time) []quotation.Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expireLocked(now)
	h.addLocked(h.reports[instance].usages, -1)
	others := make([]quotation.Usage, 0, len(h.totals))
	for _, total := range h.totals {
		if !total.IsZero() {
			others = append(others, total)
		}
	}
	h.addLocked(usages, 1)
	h.reports[instance] = report{
		usages:     usages,
		receivedAt: now,
	}
	return others
}

func (h *Hub) expireLocked(now time.Time) {
	for instance, r := range h.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			h.addLocked(r.usages, -1)
			delete(h.reports, instance)
		}
	}
}

func (h *Hub) addLocked(usages []quotation.Usage, sign int64) {
	for _, usage := range usages {
		total := h.totals[usage.Address].Add(usage, sign)
		total.Address = usage.Address
		if total.IsZero() {
			delete(h.totals, usage.Address)
			continue
		}
		h.totals[usage.Address] = total
	}
}
