package console_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/html"

	"github.com/balsamlock/balsamlock/console"
	"github.com/balsamlock/balsamlock/operator"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/standin"
)

const operatorKey = "an-operators-key-of-tests"

// handlerTransport is an http.RoundTripper that passes requests to handlers by host
// instead of using the network.
type handlerTransport map[string]http.Handler

// RoundTrip returns the response of the host's handler.
func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := t[r.URL.Host]
	if !ok {
		return nil, fmt.Errorf("no handler for host %s", r.URL.Host)
	}
	if r.Body == nil {
		r.Body = http.NoBody
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// harness runs a platform, an instance's operators' endpoint and any number of
// consoles.
type harness struct {
	c        *qt.C
	platform *standin.Platform
	follower *plan.Follower
	hosts    handlerTransport
}

// runWithVirtualTime runs a test with the fake clock of synctest.
func runWithVirtualTime(t *testing.T, body func(c *qt.C, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		body(c, newHarness(c))
	})
}

const instanceAddress = "10.0.0.1:9000"

func newHarness(c *qt.C) *harness {
	h := &harness{
		c:        c,
		platform: standin.NewPlatform(standin.DefaultPlatformConfig()),
		hosts:    handlerTransport{},
	}
	h.follower = h.startFollower()
	h.hosts[instanceAddress] = operator.NewHandler(operator.HandlerDeps{
		Key: operatorKey,
		Status: func() operator.Status {
			return operator.Status{
				DataCentre: "randstad-a",
				State:      operator.StateServing,
				Document:   operator.DocumentStatusOf(h.follower),
			}
		},
	})
	return h
}

func (h *harness) startFollower() *plan.Follower {
	cfg := plan.DefaultConfig()
	follower := plan.NewFollower(plan.Deps{
		Log:    h.platform,
		Config: cfg,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	h.c.Cleanup(func() {
		cancel()
		<-done
	})
	h.c.Assert(follower.Sync(ctx), qt.IsNil)
	return follower
}

func (h *harness) publish(document plan.Document) plan.Accepted {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	outcome := plan.NewPublisher(h.platform, h.follower).Publish(ctx, document)
	published, ok := outcome.(plan.Published)
	h.c.Assert(ok, qt.IsTrue, qt.Commentf("%+v", outcome))
	return published.Accepted
}

// startConsole starts a console and returns its host.
func (h *harness) startConsole() string {
	cfg := console.DefaultConfig()
	cfg.OperatorKey = operatorKey
	cfg.SecureCookies = false
	cfg.Instances = []string{instanceAddress}
	c, err := console.New(console.Deps{
		Config:    cfg,
		Log:       h.platform,
		Follower:  h.startFollower(),
		Operators: operator.NewClient(operatorKey, &http.Client{Transport: h.hosts}),
	})
	h.c.Assert(err, qt.IsNil)
	host := fmt.Sprintf("10.0.1.%d:8090", len(h.hosts))
	h.hosts[host] = c.Handler()
	return host
}

func (h *harness) openBrowser() *browser { return newBrowser(h.c, "http://"+h.startConsole(), h.hosts) }

// signedInBrowser returns a browser that has logged in at a new console.
func (h *harness) signedInBrowser() *browser {
	b := h.openBrowser()
	b.get("/")
	b.fill("key", operatorKey)
	b.click("")
	h.c.Assert(b.status, qt.Equals, http.StatusOK)
	return b
}

func exampleDocument(c *qt.C) plan.Document {
	raw, err := os.ReadFile("../plan/testdata/glasnet.json")
	c.Assert(err, qt.IsNil)
	document, err := plan.Decode(raw)
	c.Assert(err, qt.IsNil)
	return document
}

func TestEditReviewAndPublish(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		first := h.publish(exampleDocument(c))
		b := h.signedInBrowser()
		b.get("/")
		b.click("start")
		b.click("list:callers")
		b.click("edit:callers:0")
		b.fill("weight", "7")
		b.fill("new_key", "a-new-key-of-some-length")
		b.click("save:callers:0")
		c.Assert(b.text, qt.Contains, "Saved in the draft: atelier-vecht.")
		c.Assert(h.follower.Version(), qt.Equals, first.Version)
		b.click("review")
		c.Assert(b.text, qt.Contains, "callers/atelier-vecht.weight")
		b.click("publish")
		c.Assert(b.text, qt.Contains, "The document has been accepted.")
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		c.Assert(h.follower.Wait(ctx, first.Version+1), qt.IsNil)
		index := h.follower.Current().Index
		grant, ok := index.CallerByKey("a-new-key-of-some-length")
		c.Assert(ok, qt.IsTrue)
		c.Assert(grant.Caller().Weight, qt.Equals, 7)
		b.get("/")
		c.Assert(b.text, qt.Contains, "is in force at 1 of 1 instances")
	})
}

func TestSaveWithoutEditsChangesNothing(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		b := h.signedInBrowser()
		b.click("start")
		for _, entry := range []string{"regions:0", "links:0", "models:0", "services:0", "pools:3", "servers:2", "servers:18", "callers:0", "callers:2"} {
			list, _, _ := strings.Cut(entry, ":")
			b.click("list:" + list)
			b.click("edit:" + entry)
			b.click("save:" + entry)
			c.Assert(b.text, qt.Contains, "Saved in the draft", qt.Commentf("entry %s", entry))
		}
		b.click("review")
		c.Assert(b.text, qt.Contains, "No changes.")
	})
}

func TestEditStartsWithNewestDocument(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		b := h.signedInBrowser()
		// The console has not polled the log since the login.
		next := h.follower.Current().Document.WithBase(h.follower.Current().Accepted.Digest)
		next.Callers = next.Callers[1:]
		h.publish(next)
		b.click("start")
		b.click("list:callers")
		c.Assert(b.text, qt.Contains, "atelier-dommel")
		c.Assert(b.text, qt.Not(qt.Contains), "atelier-vecht")
	})
}

func TestCreateFirstDocument(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		b := h.signedInBrowser()
		b.click("start")
		b.click("list:services")
		b.click("add:services")
		b.fill("name", "workshop-desk")
		b.fill("calls.0.name", "lookup")
		b.fill("calls.0.method", "GET")
		b.fill("calls.0.path_prefix", "/panels")
		b.fill("calls.0.deadline_ms", "1000")
		b.fill("calls.0.repeatable", "on")
		b.click("save:services:0")
		c.Assert(b.text, qt.Contains, "Saved in the draft: workshop-desk.")
		b.click("list:callers")
		b.click("add:callers")
		b.fill("name", "counter")
		b.fill("new_key", "the-key-of-the-counter")
		b.fill("priority", "5")
		b.fill("weight", "100")
		b.fill("services", "workshop-desk")
		b.click("save:callers:0")
		c.Assert(b.text, qt.Contains, "Saved in the draft: counter.")
		b.click("review")
		c.Assert(b.text, qt.Not(qt.Contains), "format_version")
		b.click("publish")
		c.Assert(b.text, qt.Contains, "The document has been accepted.")
	})
}

func TestFindingsAreShownAtInputs(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		b := h.signedInBrowser()
		b.click("start")
		b.click("list:servers")
		b.click("edit:servers:0")
		b.fill("address", "engine.local:80")
		b.fill("slots", "many")
		b.click("save:servers:0")
		c.Assert(b.status, qt.Equals, http.StatusUnprocessableEntity)
		c.Assert(invalidInputs(b), qt.DeepEquals, []string{"slots"})
		b.fill("slots", "20")
		b.click("save:servers:0")
		c.Assert(b.text, qt.Contains, "with findings that must be fixed")
		c.Assert(invalidInputs(b), qt.DeepEquals, []string{"address"})
		b.click("review")
		c.Assert(b.text, qt.Contains, "servers[0].address")
		c.Assert(hasButton(b, "publish"), qt.IsFalse)
	})
}

func invalidInputs(b *browser) []string {
	var names []string
	walk(b.root, func(n *html.Node) {
		if attr(n, "aria-invalid") == "true" {
			names = append(names, attr(n, "name"))
		}
	})
	return names
}

func hasButton(b *browser, value string) bool {
	found := false
	walk(b.root, func(n *html.Node) { found = found || (n.Data == "button" && attr(n, "value") == value) })
	return found
}

func TestConcurrentEditsAtTwoConsoles(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		browsers := []*browser{h.signedInBrowser(), h.signedInBrowser()}
		for i, b := range browsers {
			b.click("start")
			b.click("list:callers")
			b.click("remove:callers:" + []string{"0", "1"}[i])
			b.click("review")
		}
		first, second := browsers[0], browsers[1]
		first.click("publish")
		c.Assert(first.text, qt.Contains, "The document has been accepted.")
		second.click("publish")
		c.Assert(second.text, qt.Contains, "Another document has been accepted since this edit began")
		c.Assert(second.text, qt.Contains, "callers/atelier-vecht")
		c.Assert(hasButton(second, "publish"), qt.IsFalse)
		second.click("rebase")
		c.Assert(second.text, qt.Contains, "Your changes have been applied")
		second.click("publish")
		c.Assert(second.text, qt.Contains, "The document has been accepted.")
		time.Sleep(5 * time.Second)
		callers := h.follower.Current().Document.Callers
		c.Assert(callers, qt.HasLen, 1)
		c.Assert(callers[0].Name, qt.Equals, "counter")
	})
}

func TestRebaseReportsConflicts(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		b := h.signedInBrowser()
		b.click("start")
		b.click("list:callers")
		b.click("edit:callers:0")
		b.fill("weight", "7")
		b.click("save:callers:0")
		other := h.follower.Current().Document.WithBase(h.follower.Current().Accepted.Digest)
		other.Callers = append([]plan.Caller{}, other.Callers...)
		other.Callers[0].Priority = 1
		other.Callers[1].Priority = 2
		h.publish(other)
		b.click("review")
		b.click("rebase")
		c.Assert(b.text, qt.Contains, "your version would replace theirs: callers/atelier-vecht.")
		c.Assert(b.text, qt.Contains, "callers/atelier-vecht.priority")
		c.Assert(b.text, qt.Not(qt.Contains), "callers/atelier-dommel.priority")
		c.Assert(hasButton(b, "publish"), qt.IsTrue)
	})
}

func TestResumeAfterUnknownOutcome(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		b := h.signedInBrowser()
		b.click("start")
		b.click("list:callers")
		b.click("remove:callers:0")
		b.click("review")
		h.platform.Faults().Set(standin.Rule{
			Kind: standin.FaultStall,
			Call: "append",
		})
		b.click("publish")
		c.Assert(b.text, qt.Contains, "Outcome unknown")
		h.platform.Faults().Set(standin.Rule{
			Kind:  standin.FaultDropAnswer,
			Call:  "append",
			Count: 1,
		})
		b.click("ask")
		c.Assert(b.text, qt.Contains, "The document has been accepted.")
	})
}

func TestUnauthorizedRequestsAreRejected(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		h.publish(exampleDocument(c))
		b := h.openBrowser()
		b.get("/document")
		c.Assert(b.text, qt.Contains, "Operator key")
		b.fill("key", "not-the-key")
		b.click("")
		c.Assert(b.status, qt.Equals, http.StatusUnauthorized)
		b.post("/draft", url.Values{"go": {"start"}})
		c.Assert(b.text, qt.Contains, "Operator key")

		b = h.signedInBrowser()
		b.post("/draft", url.Values{
			"go":    {"start"},
			"token": {"forged"},
		})
		c.Assert(b.status, qt.Equals, http.StatusForbidden)
		b.get("/")
		policy := b.header.Get("Content-Security-Policy")
		c.Assert(policy, qt.Contains, "default-src 'none'")
		c.Assert(policy, qt.Not(qt.Contains), "unsafe")
		r, err := http.NewRequest(http.MethodPost, b.base+"/logout", nil)
		c.Assert(err, qt.IsNil)
		r.Header.Set("Sec-Fetch-Site", "cross-site")
		resp, err := b.client.Do(r)
		b.readResponse(resp, err)
		c.Assert(b.status, qt.Equals, http.StatusForbidden)
	})
}

func TestInputIsEscaped(t *testing.T) {
	runWithVirtualTime(t, func(c *qt.C, h *harness) {
		b := h.signedInBrowser()
		b.click("start")
		b.click("list:pools")
		b.click("add:pools")
		b.fill("name", `"><script>alert(1)</script>`)
		b.click("save:pools:0")
		c.Assert(b.status, qt.Equals, http.StatusUnprocessableEntity)
		walk(b.root, func(n *html.Node) { c.Assert(n.Data == "script", qt.IsFalse) })
	})
}
