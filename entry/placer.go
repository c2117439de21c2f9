package entry

import (
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/quotation"
)

// recheckAfter is the pause before a request is placed again whose engine has
// just been found to be leaving.
const recheckAfter = 20 * time.Millisecond

// placer places requests and checks, at the moment of handing out the work,
// that neither engine is known to be leaving, or about to change its role, by
// now.
type placer struct {
	*quotation.Placer
	members *crew.Membership
	foremen *foremen
	// region is the instance's own.
	region string
}

// MinReadyIn returns the least time until a request's KV cache could be at a
// decode engine.
func (p *placer) MinReadyIn(req quotation.Request, now time.Time) time.Duration {
	req.Region = p.region
	return p.Placer.MinReadyIn(req, now)
}

// Place decides where a request runs.
func (p *placer) Place(req quotation.Request, now time.Time) quotation.Decision {
	req.Region = p.region
	decision := p.Placer.Place(req, now)
	run, ok := decision.(quotation.Run)
	if !ok {
		return decision
	}
	view := p.members.View()
	if view.IsStale() {
		// Nothing is known against the engines themselves.
		return quotation.Wait{
			For:   recheckAfter,
			Stale: true,
		}
	}
	for _, worker := range []*quotation.Worker{run.Decode, run.Prefill} {
		if !view.MayPlace(worker.Name) || p.foremen.board.Draining(worker.Name) {
			// Placement turns to other engines until the view shows it.
			p.MarkFailed(worker.Address, now)
			return quotation.Wait{For: recheckAfter}
		}
	}
	return run
}

var _ firing.Placer = (*placer)(nil)
