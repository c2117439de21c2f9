package receipt

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"github.com/balsamlock/balsamlock/common/invariant"
	"github.com/balsamlock/balsamlock/common/prooftest"
)

// permitOps sends and refuses copies of a permit in any order, to simulate incorrect
// use.
type permitOps struct {
	permits []Unsent
	// started is set when the work was sent, notRun when it was reported as not run.
	started bool
	notRun  bool
}

// send sends the work unless Send panics.
func (p *permitOps) send(permit Unsent) {
	defer func() { _ = recover() }()
	permit.Send()
	p.started = true
}

func (p *permitOps) refuse(permit Unsent) {
	_, notRun := permit.Refuse(Reason{Code: CodeOverloaded}).(NotRun)
	p.notRun = p.notRun || notRun
}

// TestProofNotRunIsTrue checks that work is never reported as not run if it has started
// or starts later, in whatever order copies of its permit are sent and refused.
func TestProofNotRunIsTrue(t *testing.T) {
	prooftest.Run(t, prooftest.Row{
		Promise:  "not run is true",
		Failures: "refusals and sends of copied permits in any order",
	}, 20, func(c *qt.C, _ uint64) {
		defer invariant.SetHandler(nil)()
		log.DefaultLogger.SetLevel(log.PanicLevel)
		defer log.DefaultLogger.SetLevel(log.InfoLevel)
		rapid.Check(c.TB.(*testing.T), func(t *rapid.T) {
			p := &permitOps{permits: []Unsent{NewAttempt("a")}}
			t.Repeat(map[string]func(*rapid.T){
				"copy": func(*rapid.T) { p.permits = append(p.permits, p.permits[0]) },
				"send": func(t *rapid.T) {
					p.send(rapid.SampledFrom(p.permits).Draw(t, "permit"))
				},
				"refuse": func(t *rapid.T) {
					p.refuse(rapid.SampledFrom(p.permits).Draw(t, "permit"))
				},
				"": func(t *rapid.T) {
					if p.started && p.notRun {
						t.Fatal("work was started and reported as not run")
					}
				},
			})
		})
	})
}
