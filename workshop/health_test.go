package workshop

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/receipt"
)

func TestHangingServerIsTriedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		hangs := true
		first := &fakeService{delay: func(int) time.Duration {
			if hangs {
				return time.Hour
			}
			return time.Millisecond
		}}
		second := &fakeService{delay: fixedDelay(time.Millisecond)}
		client := newTestClient()
		const lookups = 30
		for range lookups {
			start := time.Now()
			_, ok := callRepeatable(client, newCall("desk", first, second)).(receipt.Answered)
			c.Assert(ok, qt.IsTrue)
			c.Assert(time.Since(start) < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			time.Sleep(time.Second)
		}
		tried, _ := first.counts()
		c.Assert(tried >= 3 && tried <= 6, qt.IsTrue, qt.Commentf("the hanging server was tried %d times", tried))
		hangs = false
		time.Sleep(time.Minute)
		callRepeatable(client, newCall("desk", first, second))
		before, _ := second.counts()
		for range lookups {
			callRepeatable(client, newCall("desk", first, second))
		}
		after, _ := second.counts()
		c.Assert(after, qt.Equals, before, qt.Commentf("the recovered server is still tried last"))
	})
}
