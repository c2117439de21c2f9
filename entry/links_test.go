package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/plan"
)

// remoteEnginesSystem has an entry instance in each of two regions, but engines in one
// region only.
const remoteEnginesSystem = `
platform platform  10.0.0.1:7000
engine   prefill-o 10.0.3.1:9000 oost-a     prefill
engine   decode-o  10.0.3.2:9000 oost-a     decode
entry    e1        10.0.1.9      randstad-a
entry    e2        10.0.3.9      oost-a
`

// countCompletions requests n completions through e1, whose region has no engines. It
// returns how many were served, which takes engines of the other region.
func (s *system) countCompletions(c *qt.C, n int, prompt string) int {
	completed := 0
	for i := range n {
		text, resp := s.complete(c.Context(), "e1", callerKey("vecht"), fmt.Sprintf("%d %s", i, prompt), 5)
		if resp.status == http.StatusOK && text != "" {
			completed++
		}
	}
	return completed
}

func TestCrossRegionTrafficFollowsDocument(t *testing.T) {
	withSystem(t, remoteEnginesSystem, func(c *qt.C, s *system) {
		c.Check(s.countCompletions(c, 3, "without a link"), qt.Equals, 0)
		s.document.Links = []plan.Link{{
			From:          "randstad",
			To:            "oost",
			MbitPerSecond: 30,
		}}
		s.setLimits("vecht", plan.Limits{})
		c.Check(s.countCompletions(c, 3, "over the link"), qt.Equals, 3)
		// e1's share is 10 kB, of which the first requests used about 2 kB.
		s.setLimits("vecht", plan.Limits{CrossRegionMBPerDay: 0.02})
		longPrompt := strings.Repeat("intake note ", 250)
		c.Check(s.countCompletions(c, 6, longPrompt), qt.Equals, 2)
	})
}

func TestUncollectedDraftsPerCallerAreLimited(t *testing.T) {
	withSystem(t, twoInstanceSystem, func(c *qt.C, s *system) {
		s.setLimits("vecht", plan.Limits{Drafts: 2})
		accepted := 0
		for i := range 4 {
			body := fmt.Sprintf(`{"model":%q,"prompt":"Quotation %d","max_tokens":5}`, model, i)
			resp := s.send(c.Context(), http.MethodPost, s.url("e1", "/v1/drafts"), callerKey("vecht"), nil, body)
			switch resp.status {
			case http.StatusAccepted:
				accepted++
			default:
				c.Check(resp.status, qt.Equals, http.StatusTooManyRequests, qt.Commentf("%s", resp.body))
			}
		}
		c.Check(accepted, qt.Equals, 2)
	})
}
