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

// occupy takes the lane's turn, so that later entries wait.
func occupy(c *qt.C, q *intake.Queue) *intake.Turn {
	turn, reason := q.Enter(c.Context(), intake.Entry{Caller: "first"})
	c.Assert(reason == nil, qt.IsTrue)
	return turn
}

// enter lets an entry wait and reports its caller when it gets its turn.
func enter(c *qt.C, q *intake.Queue, entry intake.Entry, order chan<- string) {
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

func TestQueueSharesByWeightAndCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		first := occupy(c, q)
		order := make(chan string, 100)
		for range 30 {
			enter(c, q, intake.Entry{Caller: "hog", Cost: 1000, Weight: 1}, order)
		}
		for range 10 {
			enter(c, q, intake.Entry{Caller: "light", Cost: 1000, Weight: 1}, order)
			enter(c, q, intake.Entry{Caller: "heavy", Cost: 1000, Weight: 2}, order)
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
		enter(c, q, intake.Entry{Caller: "low", Priority: 1}, order)
		enter(c, q, intake.Entry{Caller: "high", Priority: 5}, order)
		first.Placed()
		synctest.Wait()
		c.Assert(<-order, qt.Equals, "high")
		c.Assert(<-order, qt.Equals, "low")
	})
}

func TestQueueRefusesEarlyWhatComesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		first := occupy(c, q)
		order := make(chan string, 10)
		enter(c, q, intake.Entry{Caller: "lookup", ExpiresAt: time.Now().Add(100 * time.Millisecond)}, order)
		enter(c, q, intake.Entry{Caller: "draft"}, order)
		time.Sleep(time.Second)
		c.Assert(<-order, qt.Equals, "lookup "+string(receipt.CodeOverloaded))
		c.Assert(q.Waiting(), qt.Equals, 1)
		first.Close()
		c.Assert(<-order, qt.Equals, "draft")
	})
}

func TestQueueWithoutRoomWaitsForAWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		turn := occupy(c, q)
		order := make(chan string, 10)
		enter(c, q, intake.Entry{Caller: "second"}, order)
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

func TestQueueForgetsTheCancelled(t *testing.T) {
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

func TestLaneOpensWhenTheWaitingHeadLeaves(t *testing.T) {
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
		begin := time.Now()
		patient, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		next, reason := q.Enter(patient, entry)
		c.Assert(reason == nil, qt.IsTrue)
		c.Assert(time.Since(begin), qt.Equals, 10*time.Millisecond)
		next.Close()
	})
}

func TestQueueMakesACallerOverItsSharePatient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		q := intake.NewQueue(intake.QueueConfig{})
		take := func(caller string) *intake.Turn {
			turn, reason := q.Enter(c.Context(), intake.Entry{
				Caller: caller,
				Cost:   100,
			})
			c.Assert(reason == nil, qt.IsTrue)
			turn.Placed()
			return turn
		}
		for _, caller := range []string{"a", "b", "c", "d", "e"} {
			c.Assert(take(caller).BestEffort(), qt.IsFalse)
		}
		c.Assert(take("hog").BestEffort(), qt.IsFalse)
		for range 20 {
			take("hog")
		}
		c.Assert(take("hog").BestEffort(), qt.IsTrue)
		c.Assert(take("f").BestEffort(), qt.IsFalse)
		time.Sleep(20 * time.Second)
		c.Assert(take("hog").BestEffort(), qt.IsFalse)
	})
}
