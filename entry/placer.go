package entry

import (
	"time"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/quotation"
)

// recheckDelay is the delay before the placement of a request is retried because the view
// is stale or a chosen engine must not get new work.
const recheckDelay = 20 * time.Millisecond

// checkedPlacer is a quotation.Placer that checks the chosen engines against the latest
// view, because placement uses a snapshot. No engine gets work if it is known to be
// leaving or to be draining before a change of its role.
type checkedPlacer struct {
	*quotation.Placer
	members    *crew.Membership
	reconciler *engineReconciler
	// region is the instance's own region.
	region string
}

// MinReadyIn returns the minimum time until a decode engine has the request's KV cache,
// if nothing has to wait.
func (p *checkedPlacer) MinReadyIn(req quotation.Request, now time.Time) time.Duration {
	req.Region = p.region
	return p.Placer.MinReadyIn(req, now)
}

// Place decides where a request should run.
func (p *checkedPlacer) Place(req quotation.Request, now time.Time) quotation.Decision {
	req.Region = p.region
	decision := p.Placer.Place(req, now)
	run, ok := decision.(quotation.Run)
	if !ok {
		return decision
	}
	view := p.members.View()
	if view.IsStale() {
		// The engines themselves are not known to have failed, so they are not marked.
		return quotation.Wait{
			For:   recheckDelay,
			Stale: true,
		}
	}
	for _, worker := range []*quotation.Worker{run.Decode, run.Prefill} {
		if !view.MayPlace(worker.Name) || p.reconciler.claims.Draining(worker.Name) {
			// Placement avoids the engine until the snapshot shows its new state.
			p.MarkFailed(worker.Address, now)
			return quotation.Wait{For: recheckDelay}
		}
	}
	return run
}

var _ firing.Placer = (*checkedPlacer)(nil)
