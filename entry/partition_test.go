package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/common/prooftest"
	"github.com/balsamlock/balsamlock/counter"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/receipt"
	"github.com/balsamlock/balsamlock/standin"
	"github.com/balsamlock/balsamlock/workshop"
)

// twoRegionSystem has engines, a service and an entry instance in each of two regions.
const twoRegionSystem = `
platform platform  10.0.0.1:7000
engine   prefill-a 10.0.1.1:9000 randstad-a prefill
engine   decode-a  10.0.1.2:9000 randstad-a decode
service  desk-a    10.0.1.3:9000 randstad-a
engine   prefill-o 10.0.3.1:9000 oost-a     prefill
engine   decode-o  10.0.3.2:9000 oost-a     decode
service  desk-o    10.0.3.3:9000 oost-a
entry    e1        10.0.1.9      randstad-a
entry    e2        10.0.3.9      oost-a
`

const (
	// detectionTime is the time within which all instances detect a partition or its
	// end.
	detectionTime = 10 * time.Second
	// partitionDuration is the duration of a partition.
	partitionDuration = time.Minute
)

var (
	randstadHosts = []string{"10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.9"}
	oostHosts     = []string{"10.0.3.1", "10.0.3.2", "10.0.3.3", "10.0.3.9"}
)

// checkServes checks that completions and lookups succeed through an entry instance.
func (s *system) checkServes(c *qt.C, name string) {
	c.Helper()
	prompt := fmt.Sprintf("Survey over %s at %d", name, time.Now().UnixNano())
	text, resp := s.complete(c.Context(), name, callerKey("vecht"), prompt, 10)
	c.Check(text, qt.Equals, expectedText(prompt, 10), qt.Commentf("%d %s %v", resp.status, resp.body, resp.err))
	lookup := s.send(c.Context(), http.MethodGet, s.url(name, "/services/workshop-desk/panels/7"), callerKey("vecht"), nil, "")
	c.Check(lookup.status, qt.Equals, http.StatusOK, qt.Commentf("%s", lookup.body))
}

// sendOrder sends a new order. It returns its key, the response and the error of a
// refusal.
func (s *system) sendOrder(c *qt.C, name string) (string, response, counter.ErrorDetail) {
	key := newKey()
	header := map[string]string{workshop.HeaderIdempotencyKey: key}
	resp := s.send(c.Context(), http.MethodPost, s.url(name, "/services/workshop-desk/orders"), callerKey("vecht"), header, `{"cames":40}`)
	var refusal counter.ErrorBody
	if resp.status != http.StatusOK {
		c.Check(json.Unmarshal(resp.body, &refusal), qt.IsNil)
	}
	return key, resp, refusal.Error
}

func (s *system) checkOrderRuns(c *qt.C, name string) {
	c.Helper()
	key, resp, _ := s.sendOrder(c, name)
	c.Check(resp.status, qt.Equals, http.StatusOK, qt.Commentf("%s", resp.body))
	c.Check(s.countRuns(key), qt.Equals, 1)
}

func (s *system) checkOrderRefused(c *qt.C, name string) {
	c.Helper()
	key, _, refusal := s.sendOrder(c, name)
	c.Check(refusal.Code, qt.Equals, receipt.CodeLogUnavailable)
	c.Check(refusal.Ran, qt.Equals, counter.NotRun)
	c.Check(s.countRuns(key), qt.Equals, 0)
}

func (s *system) countRuns(key string) int {
	runs := 0
	for _, service := range s.services {
		runs += service.Runs()[key]
	}
	return runs
}

// submitDraft submits a draft and returns its id. It returns "" if the draft was
// refused, and checks that the refusal states that it was not run.
func (s *system) submitDraft(c *qt.C, name string) string {
	c.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"Quotation over %s","max_tokens":20}`, model, name)
	resp := s.send(c.Context(), http.MethodPost, s.url(name, "/v1/drafts"), callerKey("vecht"), nil, body)
	if resp.status != http.StatusAccepted {
		var refusal counter.ErrorBody
		c.Check(json.Unmarshal(resp.body, &refusal), qt.IsNil)
		c.Check(refusal.Error.Ran, qt.Equals, counter.NotRun, qt.Commentf("%d %s", resp.status, resp.body))
		return ""
	}
	var got struct{ ID string }
	c.Check(json.Unmarshal(resp.body, &got), qt.IsNil)
	return got.ID
}

func (s *system) checkDraftArrives(c *qt.C, entryName, id, from string) {
	c.Helper()
	header := map[string]string{counter.HeaderCollectKey: "mine"}
	expected := expectedText("Quotation over "+from, 20)
	arrived := s.eventually(draftTimeout, func() bool {
		resp := s.send(c.Context(), http.MethodPost, s.url(entryName, "/v1/drafts/"+id+"/collect"), callerKey("vecht"), header, "")
		return string(resp.body) == expected
	})
	c.Check(arrived, qt.IsTrue, qt.Commentf("draft %s through %s", id, entryName))
}

// checkDocumentReaches publishes a new document and checks that it becomes the current
// one of the named instances in time.
func (s *system) checkDocumentReaches(c *qt.C, names ...string) {
	c.Helper()
	s.document.Callers[1].Weight++
	published, ok := s.tryPublish().(plan.Published)
	c.Assert(ok, qt.IsTrue)
	for _, name := range names {
		reached := s.eventually(5*time.Second, func() bool {
			return s.status(name).Document.Digest == published.Accepted.Digest
		})
		c.Check(reached, qt.IsTrue, qt.Commentf("document at %s", name))
	}
}

// changeLinks applies change to each pair of hosts. It closes idle connections, so that
// the client notices the change.
func changeLinks(s *system, as, bs []string, change func(a, b string)) {
	for _, a := range as {
		for _, b := range bs {
			change(a, b)
		}
	}
	s.client.CloseIdleConnections()
}

func (s *system) awaitOrderReadiness(c *qt.C) {
	for _, name := range s.entryNames() {
		s.await(time.Minute, "readiness for orders at "+name, func() bool {
			_, resp, _ := s.sendOrder(c, name)
			return resp.status == http.StatusOK
		})
	}
}

// TestProofCutOffs checks each cell of the operators' table of cut-offs, which states
// what works during each kind of partition.
func TestProofCutOffs(t *testing.T) {
	rows := map[string]func(c *qt.C, s *system){
		"platform down for all": func(c *qt.C, s *system) {
			digest := s.status("e1").Document.Digest
			end := setFault(s.platform.Faults(), standin.Rule{Kind: standin.FaultOutage})
			time.Sleep(detectionTime)
			id := ""
			for _, name := range s.entryNames() {
				s.checkServes(c, name)
				s.checkOrderRefused(c, name)
				id = s.submitDraft(c, name)
				c.Check(s.status(name).Document.Digest, qt.Equals, digest)
			}
			time.Sleep(partitionDuration)
			s.checkServes(c, "e1")
			end()
			time.Sleep(detectionTime)
			s.checkDraftArrives(c, "e1", id, "e2")
			s.awaitOrderReadiness(c)
		},
		"one data centre cut from the platform": func(c *qt.C, s *system) {
			s.network.Partition(s.entries["e1"].host, platformHost)
			time.Sleep(detectionTime)
			s.checkServes(c, "e1")
			s.checkServes(c, "e2")
			s.checkOrderRefused(c, "e1")
			s.checkOrderRuns(c, "e2")
			if id := s.submitDraft(c, "e1"); id != "" {
				s.checkDraftArrives(c, "e2", id, "e1")
			}
			s.checkDraftArrives(c, "e2", s.submitDraft(c, "e2"), "e2")
			s.checkDocumentReaches(c, "e1", "e2")
			time.Sleep(partitionDuration)
			s.network.Heal(s.entries["e1"].host, platformHost)
			time.Sleep(detectionTime)
			s.awaitOrderReadiness(c)
		},
		"region cut from region": func(c *qt.C, s *system) {
			changeLinks(s, randstadHosts, oostHosts, s.network.Partition)
			time.Sleep(detectionTime)
			for _, name := range s.entryNames() {
				s.checkServes(c, name)
				s.checkOrderRuns(c, name)
				s.checkDraftArrives(c, name, s.submitDraft(c, name), name)
			}
			s.checkDocumentReaches(c, s.entryNames()...)
			time.Sleep(partitionDuration)
			changeLinks(s, randstadHosts, oostHosts, s.network.Heal)
			time.Sleep(detectionTime)
			id := s.submitDraft(c, "e1")
			s.checkDraftArrives(c, "e2", id, "e1")
		},
	}
	for name, run := range rows {
		t.Run(name, func(t *testing.T) {
			prooftest.Run(t, prooftest.Row{
				Promise:  "cut-offs",
				Failures: name + " for a minute: generations, look-ups, orders, drafts, documents",
			}, 1, func(c *qt.C, _ uint64) {
				withSystemForSeed(c, twoRegionSystem, func(c *qt.C, s *system) {
					s.awaitOrderReadiness(c)
					run(c, s)
				})
			})
		})
	}
}
