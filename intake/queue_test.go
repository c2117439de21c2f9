package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/intake"
	"github.com/balsamlock/balsamlock/receipt"
)

// occupy enters a first request, whose turn is granted immediately, so that later
// requests wait.
func occupy(c *qt.C, q *intake.Queue) *intake.Turn {
	turn, reason := q.Enter(c.Context(), intake.Entry{Caller: "first"})
	c.Assert(reason == nil, qt.IsTrue)
	return turn
}

// enterAsync enters a request from a goroutine. It sends the caller's name to order
// when the turn is granted, followed by the code if the request is refused.
func enterAsync(c *qt.C, q *intake.Queue, entry intake.Entry, order chan<- string) {
	go func() {
		turn, reason := q.Enter(context.Background(), entry)
		if reason != nil {
			order <- entry.Caller + " " + string(reason.Code)
			return
		}
		order <- entry.Caller
		turn.Placed()
	}()
	synctest.Wait()
}

func TestQueueIsFairByWeightAndCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		first := occupy(c, q)
		order := make(chan string, 100)
		for range 30 {
			enterAsync(c, q, intake.Entry{Caller: "greedy", Cost: 1000, Weight: 1}, order)
		}
		for range 10 {
			enterAsync(c, q, intake.Entry{Caller: "light", Cost: 1000, Weight: 1}, order)
			enterAsync(c, q, intake.Entry{Caller: "heavy", Cost: 1000, Weight: 2}, order)
		}
		first.Placed()
		synctest.Wait()
		counts := map[string]int{}
		for range 20 {
			counts[<-order]++
		}
		c.Assert(counts["light"] >= 4 && counts["light"] <= 6, qt.IsTrue, qt.Commentf("%v", counts))
		c.Assert(counts["heavy"] >= 9, qt.IsTrue, qt.Commentf("%v", counts))
	})
}

func TestQueueServesHigherPriorityFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		first := occupy(c, q)
		order := make(chan string, 10)
		enterAsync(c, q, intake.Entry{Caller: "low", Priority: 1}, order)
		enterAsync(c, q, intake.Entry{Caller: "high", Priority: 5}, order)
		first.Placed()
		synctest.Wait()
		c.Assert(<-order, qt.Equals, "high")
		c.Assert(<-order, qt.Equals, "low")
	})
}

func TestQueueRefusesExpiredRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		first := occupy(c, q)
		order := make(chan string, 10)
		enterAsync(c, q, intake.Entry{Caller: "lookup", ExpiresAt: time.Now().Add(100 * time.Millisecond)}, order)
		enterAsync(c, q, intake.Entry{Caller: "draft"}, order)
		time.Sleep(time.Second)
		c.Assert(<-order, qt.Equals, "lookup "+string(receipt.CodeOverloaded))
		c.Assert(q.Waiting(), qt.Equals, 1)
		first.Close()
		c.Assert(<-order, qt.Equals, "draft")
	})
}

func TestQueueWithoutCapacityWaitsForWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		turn := occupy(c, q)
		order := make(chan string, 10)
		enterAsync(c, q, intake.Entry{Caller: "second"}, order)
		started := time.Now()
		go func() {
			time.Sleep(5 * time.Millisecond)
			q.Wake()
		}()
		c.Assert(turn.Wait(c.Context(), time.Second) == nil, qt.IsTrue)
		c.Assert(time.Since(started), qt.Equals, 5*time.Millisecond)
		turn.Placed()
		c.Assert(<-order, qt.Equals, "second")
	})
}

func TestQueueRemovesCancelledRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		first := occupy(c, q)
		ctx, stop := context.WithCancel(c.Context())
		done := make(chan *receipt.Reason, 1)
		go func() {
			_, reason := q.Enter(ctx, intake.Entry{Caller: "gone"})
			done <- reason
		}()
		synctest.Wait()
		stop()
		c.Assert((<-done).Code, qt.Equals, receipt.CodeCancelled)
		c.Assert(q.Waiting(), qt.Equals, 0)
		first.Close()
	})
}

func TestPartitionUnblocksWhenTheBlockingTurnCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		entry := intake.Entry{
			Caller: "a",
			Weight: 1,
			Cost:   1,
		}
		head, reason := q.Enter(t.Context(), entry)
		c.Assert(reason == nil, qt.IsTrue)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		go func() {
			_ = head.Wait(ctx, time.Second)
			head.Close()
		}()
		synctest.Wait()
		began := time.Now()
		longCtx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		next, reason := q.Enter(longCtx, entry)
		c.Assert(reason == nil, qt.IsTrue)
		c.Assert(time.Since(began), qt.Equals, 10*time.Millisecond)
		next.Close()
	})
}

func TestQueueTreatsCallerOverItsShareAsBestEffort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		place := func(caller string) *intake.Turn {
			turn, reason := q.Enter(c.Context(), intake.Entry{
				Caller: caller,
				Cost:   100,
			})
			c.Assert(reason == nil, qt.IsTrue)
			turn.Placed()
			return turn
		}
		for _, caller := range []string{"a", "b", "c", "d", "e"} {
			c.Assert(place(caller).BestEffort(), qt.IsFalse)
		}
		c.Assert(place("greedy").BestEffort(), qt.IsFalse)
		for range 20 {
			place("greedy")
		}
		c.Assert(place("greedy").BestEffort(), qt.IsTrue)
		c.Assert(place("f").BestEffort(), qt.IsFalse)
		time.Sleep(20 * time.Second)
		c.Assert(place("greedy").BestEffort(), qt.IsFalse)
	})
}
