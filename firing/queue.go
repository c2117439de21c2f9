package firing

import (
	"context"

	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/receipt"
)

// FairQueue adapts the weighted fair queue of package intake to Queue.
type FairQueue struct {
	queue *intake.Queue
	// weight returns the weight of a caller in the active routing document.
	weight func(caller string) int
}

// NewFairQueue returns a queue for a Runner. weight returns the weight of a caller.
func NewFairQueue(queue *intake.Queue, weight func(caller string) int) *FairQueue {
	return &FairQueue{
		queue:  queue,
		weight: weight,
	}
}

// Enter waits until it is the request's turn to be placed.
func (q *FairQueue) Enter(ctx context.Context, req Request, limits WaitLimits) (Turn, *receipt.Reason) {
	priority := req.Priority
	if limits.TargetUnmeetable {
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
		ExpiresAt:  limits.RefuseAt,
	})
	if reason != nil {
		return nil, reason
	}
	return turn, nil
}

// BacklogQueue adapts the backlog of package intake to Queue.
type BacklogQueue struct{ backlog *intake.Backlog }

// NewBacklogQueue returns a queue for a Runner.
func NewBacklogQueue(backlog *intake.Backlog) *BacklogQueue { return &BacklogQueue{backlog: backlog} }

// Enter waits until it is the request's turn to be placed.
func (q *BacklogQueue) Enter(ctx context.Context, req Request, limits WaitLimits) (Turn, *receipt.Reason) {
	turn, reason := q.backlog.Enter(ctx, intake.Job{
		Class:       req.Class,
		Rank:        req.Rank,
		Team:        req.Team,
		Cost:        req.cost(),
		DueAt:       limits.RefuseAt,
		LatestStart: limits.LatestStart,
		RunTime:     req.RunTime,
		Begun:       req.Begun,
		Version:     req.Version,
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
