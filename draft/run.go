package draft

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/receipt"
)

// step names a point between two steps of a draft.
type step string

// The points at which an instance may be stopped.
const (
	stepAccept    step = "before the acceptance"
	stepAccepted  step = "accepted"
	stepRun       step = "before the run"
	stepResult    step = "before the result"
	stepEnded     step = "result recorded"
	stepAdopt     step = "before the adoption"
	stepDeliver   step = "before the delivery"
	stepDelivered step = "delivery recorded"
)

// errNotOwner means that another instance owns the draft, or that it is done.
var errNotOwner = errors.New("fenced: this instance doesn't own the draft")

// runDraft runs a draft once. It is planned again until it has a result.
func (d *Manager) runDraft(next start) {
	ctx, cancel := d.bounded(context.Background(), millis(d.deps.Config.LifetimeMS))
	defer cancel()
	d.mu.Lock()
	d.running[next.draft].cancel = cancel
	d.fence(next.draft)
	d.mu.Unlock()
	err := d.tryRun(ctx, next)
	if err != nil && !errors.Is(err, errNotOwner) {
		log.Warn().Str("step", "run").Str("request", next.draft.String()).Err(err).Msg("draft will run again")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, next.draft)
	delete(d.retry, next.draft)
	if err != nil && !errors.Is(err, errNotOwner) {
		d.retry[next.draft] = time.Now().Add(millis(d.deps.Config.RetryMS))
	}
}

func (d *Manager) tryRun(ctx context.Context, next start) error {
	found, err := d.ownedDraft(next)
	if err != nil {
		return err
	}
	payload, err := d.loadRequest(ctx, next.draft, found.accepted)
	if err != nil {
		return err
	}
	req, err := decodeRequest(payload)
	if err != nil {
		return d.end(ctx, next, "", receipt.Reason{Code: receipt.CodeInvalidRequest, Step: receipt.StepMatch})
	}
	req.ID = next.draft.String()
	req.Epoch = next.epoch
	d.probe(stepRun)
	runCtx, cancel := context.WithTimeout(ctx, millis(d.deps.Config.RunTimeoutMS))
	defer cancel()
	outcome, text := d.deps.Runner.Run(runCtx, req)
	d.probe(stepResult)
	if _, err := d.ownedDraft(next); err != nil {
		return err
	}
	return d.conclude(ctx, next, outcome, text)
}

// loadRequest returns a draft's request, from memory if it is there.
func (d *Manager) loadRequest(ctx context.Context, key id, accepted *draftpb.Accepted) ([]byte, error) {
	d.mu.Lock()
	owned, ok := d.owning[key]
	d.mu.Unlock()
	if ok {
		return owned.payload, nil
	}
	payload, err := d.load(ctx, key, accepted.GetRequest())
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owningBytes()+len(payload) <= d.deps.Config.MaxMemoryBytes {
		d.owning[key] = work{
			accepted: accepted,
			payload:  payload,
		}
	}
	return payload, nil
}

// owningBytes returns the size of the requests of running drafts in memory.
func (d *Manager) owningBytes() int {
	n := 0
	for _, owned := range d.owning {
		n += len(owned.payload)
	}
	return n
}

// ownedDraft returns a draft that this instance owns in an epoch.
func (d *Manager) ownedDraft(next start) (draft, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.table.drafts[next.draft]
	if found == nil || found.result != nil || found.owner != d.deps.Instance || found.epoch != next.epoch {
		return draft{}, errNotOwner
	}
	return *found, nil
}

// conclude records the result of a run. A run that failed is done again unless
// it can't ever succeed: a generation may be repeated.
func (d *Manager) conclude(ctx context.Context, next start, outcome receipt.Outcome, text string) error {
	var reason receipt.Reason
	switch outcome := outcome.(type) {
	case receipt.Answered:
		return d.end(ctx, next, text, receipt.Reason{})
	case receipt.NotRun:
		reason = outcome.Reason()
	case receipt.Unknown:
		reason = outcome.Reason()
	case receipt.Cut:
		reason = outcome.Reason
	}
	if isFinal(reason.Code) {
		return d.end(ctx, next, "", reason)
	}
	return fmt.Errorf("run: %w", reason)
}

// isFinal tells whether a refusal would come again.
func isFinal(code receipt.Code) bool {
	switch code {
	case receipt.CodeInvalidRequest, receipt.CodeNotFound, receipt.CodeForbidden, receipt.CodeTooLarge:
		return true
	}
	return false
}

// end offers the result to the log until it is in or this instance is fenced.
func (d *Manager) end(ctx context.Context, next start, text string, reason receipt.Reason) error {
	for {
		if _, err := d.ownedDraft(next); err != nil {
			return nil
		}
		if err := d.tryEnd(ctx, next, text, reason); err == nil {
			d.probe(stepEnded)
			return nil
		}
		if !pause(ctx, recordPause) {
			return ctx.Err()
		}
	}
}

func (d *Manager) tryEnd(ctx context.Context, next start, text string, reason receipt.Reason) error {
	blob, err := d.store(ctx, next.draft, []byte(text))
	if err != nil {
		return err
	}
	raw, err := encode(next.draft, &draftpb.Record{Body: &draftpb.Record_Result{Result: &draftpb.Result{
		Epoch: next.epoch,
		Text:  blob,
		Code:  string(reason.Code),
		Step:  string(reason.Step),
	}}})
	if err != nil {
		return err
	}
	_, err = d.batcher.Submit(ctx, raw)
	return err
}

// storeAgain returns a snapshot whose payloads are stored anew.
func (d *Manager) storeAgain(ctx context.Context, key id, kept *draftpb.Kept) (*draftpb.Kept, error) {
	fresh := proto.CloneOf(kept)
	if request := fresh.GetAccepted().GetRequest(); len(request.GetParts()) > 0 {
		payload, err := d.loadRequest(ctx, key, kept.GetAccepted())
		if err != nil {
			return nil, err
		}
		if fresh.Accepted.Request, err = d.store(ctx, key, payload); err != nil {
			return nil, err
		}
	}
	if text := fresh.GetResult().GetText(); len(text.GetParts()) > 0 {
		payload, err := d.load(ctx, key, text)
		if err != nil {
			return nil, err
		}
		if fresh.Result.Text, err = d.store(ctx, key, payload); err != nil {
			return nil, err
		}
	}
	return fresh, nil
}
