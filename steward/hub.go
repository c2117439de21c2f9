// Package steward lets the entry instances of a region tell each other the load
// that they put on its engines, faster than the engines report it themselves.
//
// One instance, chosen by rendezvous hashing, adds up what the others tell. All
// of its state is soft: nothing is promised by it, so that its loss, or two of
// them at once, only make the loads older for a moment. Slots are reserved at
// the engines, which refuse when they are full.
//
// # Usage
//
//	hub := steward.NewHub()
//	client := steward.NewClient(steward.Deps{Book: book, Hub: hub, ...})
//	go client.Run(ctx)
package steward

import (
	"sync"
	"time"

	"github.com/balsamlock/balsamlock/quotation"
)

// forgetAfter is the age at which what an instance told is dropped.
const forgetAfter = time.Second

// Hub adds up the loads that instances tell. It is safe for concurrent use.
type Hub struct {
	mu        sync.Mutex
	instances map[string]report
	totals    map[string]quotation.Usage
}

type report struct {
	usages []quotation.Usage
	at     time.Time
}

// NewHub returns an empty hub.
func NewHub() *Hub {
	return &Hub{
		instances: map[string]report{},
		totals:    map[string]quotation.Usage{},
	}
}

// Update takes an instance's load and returns that of all others.
func (h *Hub) Update(instance string, usages []quotation.Usage, now time.Time) []quotation.Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgetLocked(now)
	h.addLocked(h.instances[instance].usages, -1)
	others := make([]quotation.Usage, 0, len(h.totals))
	for _, total := range h.totals {
		if !total.IsZero() {
			others = append(others, total)
		}
	}
	h.addLocked(usages, 1)
	h.instances[instance] = report{
		usages: usages,
		at:     now,
	}
	return others
}

func (h *Hub) forgetLocked(now time.Time) {
	for instance, r := range h.instances {
		if now.Sub(r.at) > forgetAfter {
			h.addLocked(r.usages, -1)
			delete(h.instances, instance)
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
