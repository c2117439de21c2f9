package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
)

// withSystemForSeed is withSystem for one seed of a proof.
func withSystemForSeed(c *qt.C, listing string, test func(c *qt.C, s *system)) {
	synctest.Test(c.TB.(*testing.T), func(t *testing.T) {
		c := qt.New(t)
		s := newSystem(c, listing)
		defer s.close()
		s.publish()
		for _, name := range s.entryNames() {
			s.await(10*time.Second, "routing document at "+name, func() bool { return s.healthy(name) })
		}
		test(c, s)
	})
}

// loadGenerator sends completions and counts their results.
type loadGenerator struct {
	s        *system
	mu       sync.Mutex
	complete int
	refused  int
	failures []string
	wg       sync.WaitGroup
}

// start sends n completions through an instance, each after a random delay of up to a
// second.
func (l *loadGenerator) start(c *qt.C, rng *rand.Rand, name string, n int) {
	for i := range n {
		delay := time.Duration(rng.IntN(1000)) * time.Millisecond
		tokens := 1 + rng.IntN(80)
		l.wg.Go(func() {
			time.Sleep(delay)
			prompt := fmt.Sprintf("Survey %d of %s", i, name)
			text, resp := l.s.complete(c.Context(), name, callerKey("vecht"), prompt, tokens)
			l.record(prompt, text, tokens, resp)
		})
	}
}

func (l *loadGenerator) record(prompt, text string, tokens int, resp response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case text == expectedText(prompt, tokens):
		l.complete++
	case resp.err == nil && resp.status == http.StatusServiceUnavailable:
		l.refused++
	default:
		l.failures = append(l.failures, fmt.Sprintf("%s: status %d, error %v, body %.200s", prompt, resp.status, resp.err, resp.body))
	}
}

func TestProofGracefulShutdownCutsNoRequest(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "graceful shutdown",
		Failures: "SIGTERM at any moment under load",
	}, 10, func(c *qt.C, seed uint64) {
		withSystemForSeed(c, twoInstanceSystem, func(c *qt.C, s *system) {
			rng := rand.New(rand.NewPCG(seed, 1))
			l := &loadGenerator{s: s}
			l.start(c, rng, "e1", 20)
			time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				s.stop("e1")
			}()
			l.wg.Wait()
			<-stopped
			// Requests after the shutdown get connection refused. Those before it get a
			// complete answer or a refusal.
			for _, failure := range l.failures {
				c.Check(failure, qt.Contains, "connection refused")
			}
			c.Check(l.complete+l.refused+len(l.failures), qt.Equals, 20)
		})
	})
}

func TestProofKilledInstanceLeavesOthersServing(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "own whole answer",
		Failures: "an entry instance killed under load",
	}, 10, func(c *qt.C, seed uint64) {
		withSystemForSeed(c, twoInstanceSystem, func(c *qt.C, s *system) {
			rng := rand.New(rand.NewPCG(seed, 2))
			l := &loadGenerator{s: s}
			l.start(c, rng, "e2", 20)
			time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
			s.kill("e1")
			l.wg.Wait()
			c.Check(l.failures, qt.HasLen, 0)
			c.Check(l.complete, qt.Equals, 20)
		})
	})
}
