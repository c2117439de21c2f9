package entry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
)

// reconcileTimeout is the time within which the engines must reach the state of a new
// document.
const reconcileTimeout = 2 * time.Minute

func (s *system) engineState(c *qt.C, name string) kiln.EngineState {
	state, err := s.engines[name].State(c.Context())
	c.Assert(err, qt.IsNil)
	return state
}

func TestEnginesFollowDocument(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		stop := make(chan struct{})
		served := make(chan int)
		go func() {
			n := 0
			for {
				select {
				case <-stop:
					served <- n
					return
				default:
				}
				prompt := fmt.Sprintf("Survey %d", n)
				text, resp := s.complete(c.Context(), "e1", callerKey("vecht"), prompt, 20)
				c.Check(text, qt.Equals, expectedText(prompt, 20), qt.Commentf("%d %s", resp.status, resp.body))
				n++
			}
		}()
		s.document.Models[0].Version = "2"
		for i := range s.document.Servers {
			if s.document.Servers[i].Name == "decode-b" {
				s.document.Servers[i].Pool = "prefill-randstad-b"
			}
		}
		s.publish()
		s.await(reconcileTimeout, "model version 2 on every engine", func() bool {
			for name := range s.engines {
				if !slices.Contains(s.engineState(c, name).Models, model+"@2") {
					return false
				}
			}
			return true
		})
		s.await(reconcileTimeout, "the role change of decode-b", func() bool {
			return s.engineState(c, "decode-b").Role == kiln.RolePrefill
		})
		close(stop)
		c.Check(<-served > 0, qt.IsTrue)
	})
}
