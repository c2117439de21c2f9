//go:build !race

package quotation_test

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/crew"
	"github.com/balsamlock/balsamlock/quotation"
)

// Guards against ranking that makes the stack of each request's goroutine grow for as long as the request runs.
func TestRankNeedsLittleStack(t *testing.T) {
	c := qt.New(t)
	var servers []*crew.Server
	for i := range 40 {
		servers = append(servers, &crew.Server{
			Name:       fmt.Sprintf("w%d", i),
			DataCentre: "a",
			Slots:      1 + i%7,
		})
	}
	ranker := quotation.NewServiceRanker()
	rank := func(i int) { ranker.Rank(servers, "a", "r", fmt.Sprint(i), time.Now()) }
	// The first goroutines may get stacks that are in use already.
	stackPerGoroutine(rank)
	bytes := stackPerGoroutine(rank)
	c.Check(bytes <= 6<<10, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}

// stackPerGoroutine returns the bytes of stack that a goroutine holds after a call of f.
func stackPerGoroutine(f func(i int)) uint64 {
	const goroutines = 500
	var called, done sync.WaitGroup
	release := make(chan struct{})
	before := stackBytes()
	called.Add(goroutines)
	for i := range goroutines {
		done.Go(func() {
			f(i)
			called.Done()
			<-release
		})
	}
	called.Wait()
	used := stackBytes() - before
	close(release)
	done.Wait()
	return used / goroutines
}

func stackBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.StackInuse
}
