package recovery_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/recovery"
)

func TestContain(t *testing.T) {
	c := qt.New(t)
	var contained error
	func() {
		defer recovery.Contain("work", func(err error) { contained = err })
		panic("odd entry")
	}()
	var panicErr *recovery.PanicError
	c.Assert(errors.As(contained, &panicErr), qt.IsTrue)
	c.Assert(contained, qt.ErrorMatches, "work: panic: odd entry")
	func() {
		defer recovery.Contain("work", func(error) { c.Error("there was no panic") })
	}()
}

func TestLoopContinuesAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		calls := 0
		want := errors.New("done")
		start := time.Now()
		err := recovery.Loop(c.Context(), "follow", func(context.Context) error {
			calls++
			if calls < 4 {
				panic("odd entry")
			}
			return want
		})
		c.Assert(err, qt.Equals, want)
		c.Assert(calls, qt.Equals, 4)
		c.Assert(time.Since(start), qt.Equals, 3*time.Second)

		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		defer cancel()
		c.Assert(recovery.Loop(ctx, "follow", func(context.Context) error { panic("always") }), qt.IsNil)
	})
}
