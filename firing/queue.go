package firing

import (
	"context"

	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/receipt"
)

// FairQueue is a Queue of intake's weighted fair queue.
type FairQueue struct {
	queue *intake.Queue
	// weight gives a caller's weight by the routing document in force.
	weight func(caller string) int
}

// NewFairQueue returns a queue for a Runner; weight gives a caller's weight.
func NewFairQueue(queue *intake.Queue, weight func(caller string) int) *FairQueue {
	return &FairQueue{
		queue:  queue,
		weight: weight,
	}
}

// Enter waits until it is the request's turn to be placed.
func (q *FairQueue) Enter(ctx context.Context, req Request, patience Patience) (Turn, *receipt.Reason) {
	priority := req.Priority
	if patience.TooLong {
		priority = 0
	}
	turn, reason := q.queue.Enter(ctx, intake.Entry{
		Caller:     req.Caller,
		Weight:     q.weight(req.Caller),
		Priority:   priority,
		Cost:       req.Prompt.Tokens + req.MaxTokens,
		Partition:  req.Model,
		BestEffort: req.Class == ClassDraft,
		Restricted: len(req.Pools) > 0 || len(req.Servers) > 0,
		ExpiresAt:  patience.Until,
	})
	if reason != nil {
		return nil, reason
	}
	return turn, nil
}

// BacklogQueue is a Queue of intake's backlog.
type BacklogQueue struct{ backlog *intake.Backlog }

// NewBacklogQueue returns a queue for a Runner.
func NewBacklogQueue(backlog *intake.Backlog) *BacklogQueue { return &BacklogQueue{backlog: backlog} }

// Enter waits until it is the request's turn to be placed.
func (q *BacklogQueue) Enter(ctx context.Context, req Request, patience Patience) (Turn, *receipt.Reason) {
	turn, reason := q.backlog.Enter(ctx, intake.Job{
		Class:       req.Class,
		Cost:        req.cost(),
		DueAt:       patience.Until,
		LatestStart: patience.Latest,
	})
	if reason != nil {
		return nil, reason
	}
	return turn, nil
}

var (
	_ Queue = (*FairQueue)(nil)
	_ Queue = (*BacklogQueue)(nil)
	_ Turn  = (*intake.JobTurn)(nil)
	_ Turn  = (*intake.Turn)(nil)
)
