package demo_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/standin"
)

const (
	model       = "drafting-models"
	callerKey   = "process-test-caller-key"
	operatorKey = "process-test-operator-key"
	// waitTimeout is the timeout of requests and of every wait for a condition. It only
	// determines how long a failing test takes.
	waitTimeout = 60 * time.Second
)

// binDir is the directory of the programs, which are built once for all tests.
var binDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "balsamlock-demo")
	if err != nil {
		fmt.Println("create directory:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/balsamlock-entry", "../cmd/balsamlock-standin", "../cmd/balsamlock-ctl")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// cluster is a set of processes that listen on the addresses of a random /24 loopback
// network. The parameter host of its methods is the last byte of an address.
type cluster struct {
	c         *qt.C
	dir       string
	netPrefix string // the first three bytes of the addresses
	processes map[string]*exec.Cmd
	client    *http.Client
}

// newCluster starts a platform, three engines, a service and the entry instances e1 and e2,
// and waits until both serve completions. The processes are killed when the test ends.
func newCluster(t *testing.T) *cluster {
	c := qt.New(t)
	cl := &cluster{
		c:         c,
		dir:       t.TempDir(),
		netPrefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
		processes: map[string]*exec.Cmd{},
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.Cleanup(cl.close)
	cl.startStandin("platform", 1, "platform", "")
	cl.waitFor("platform", func() bool { return cl.get(cl.addr(1), "/v1/instances").status == http.StatusOK })
	cl.startStandin("prefill-a", 11, "engine", `"engine_options": {"role": "prefill", "models": ["drafting-models@1"]}`)
	cl.startStandin("decode-a", 12, "engine", `"engine_options": {"role": "decode", "models": ["drafting-models@1"]}`)
	cl.startStandin("decode-b", 22, "engine", `"engine_options": {"role": "decode", "models": ["drafting-models@1"]}`)
	cl.startStandin("desk-a", 31, "service", `"service_options": {"call_ms": 1500}`)
	cl.startEntry("e1", 101)
	cl.startEntry("e2", 102)
	cl.publish()
	for _, host := range []int{101, 102} {
		cl.waitFor("first completion", func() bool { return cl.complete(host, "Survey", 3).status == http.StatusOK })
	}
	return cl
}

func (cl *cluster) addr(host int) string { return fmt.Sprintf("%s.%d:9000", cl.netPrefix, host) }

// startProcess writes the settings file of a program and starts the program with it.
func (cl *cluster) startProcess(name, program, settings string) {
	file := filepath.Join(cl.dir, name+".json")
	cl.c.Assert(os.WriteFile(file, []byte(settings), 0o600), qt.IsNil)
	logs, err := os.OpenFile(filepath.Join(cl.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cl.c.Assert(err, qt.IsNil)
	defer logs.Close()
	cmd := exec.Command(filepath.Join(binDir, program), "--settings", file)
	cmd.Stderr = logs
	cl.c.Assert(cmd.Start(), qt.IsNil)
	cl.processes[name] = cmd
}

func (cl *cluster) startStandin(name string, host int, kind, options string) {
	platform := ""
	if kind != "platform" {
		platform = fmt.Sprintf(`, "platform": %q`, cl.addr(1))
	}
	if options != "" {
		options = ", " + options
	}
	cl.startProcess(name, "balsamlock-standin", fmt.Sprintf(
		`{"servers": [{"kind": %q, "name": %q, "listen": %q, "data_centre": "randstad-a"%s%s}]}`,
		kind, name, cl.addr(host), platform, options))
}

func (cl *cluster) startEntry(name string, host int) {
	cl.startProcess(name, "balsamlock-entry", fmt.Sprintf(`{
  "listen": "%[1]s.%[2]d:9000", "peer_listen": "%[1]s.%[2]d:9001", "operator_listen": "%[1]s.%[2]d:9002",
  "data_centre": "randstad-a", "region": "randstad", "platform": "%[1]s.1:9000",
  "peer_key": "process-test-peer-key", "operator_key": %[3]q,
  "crew": {"peers": ["%[1]s.101:9001", "%[1]s.102:9001"]}}`, cl.netPrefix, host, operatorKey))
}

// publish publishes the routing document with balsamlock-ctl.
func (cl *cluster) publish() {
	sum := sha256.Sum256([]byte(callerKey))
	server := func(name string, host int, kind plan.ServerKind, pool, service string) plan.Server {
		slots := 0
		if kind == plan.KindEngine {
			slots = 20
		}
		return plan.Server{
			Name:       name,
			Address:    cl.addr(host),
			DataCentre: "randstad-a",
			Kind:       kind,
			Pool:       pool,
			Service:    service,
			Slots:      slots,
		}
	}
	pool := func(role string) plan.Pool {
		return plan.Pool{
			Name:       role,
			Model:      model,
			DataCentre: "randstad-a",
			Role:       role,
		}
	}
	document := plan.Document{
		FormatVersion: plan.FormatVersion,
		Regions: []plan.Region{{
			Name:        "randstad",
			DataCentres: []string{"randstad-a"},
		}},
		Models: []plan.Model{{
			Name:            model,
			Version:         "1",
			FirstTokenMS:    460,
			PerTokenMS:      27,
			MaxPromptTokens: 32000,
			MaxOutputTokens: 2000,
			KVBytesPerToken: 131072,
		}},
		Services: []plan.Service{{
			Name: "workshop-desk",
			Calls: []plan.Call{
				{
					Name:       "lookup",
					Method:     http.MethodGet,
					PathPrefix: "/panels",
					Repeatable: true,
					DeadlineMS: 2000,
				},
				{
					Name:       "order",
					Method:     http.MethodPost,
					PathPrefix: "/orders",
					DeadlineMS: 5000,
				},
			},
		}},
		Pools: []plan.Pool{pool("prefill"), pool("decode")},
		Servers: []plan.Server{
			server("prefill-a", 11, plan.KindEngine, "prefill", ""),
			server("decode-a", 12, plan.KindEngine, "decode", ""),
			server("decode-b", 22, plan.KindEngine, "decode", ""),
			server("desk-a", 31, plan.KindService, "", "workshop-desk"),
		},
		Callers: []plan.Caller{{
			Name:      "vecht",
			KeySHA256: []string{hex.EncodeToString(sum[:])},
			Priority:  5,
			Weight:    100,
			Models:    []string{"*"},
			Services:  []string{"*"},
		}},
	}
	file := filepath.Join(cl.dir, "routing.json")
	cl.c.Assert(os.WriteFile(file, document.Encode(), 0o600), qt.IsNil)
	ctl := exec.Command(filepath.Join(binDir, "balsamlock-ctl"), "--platform", cl.addr(1), "publish", file)
	out, err := ctl.CombinedOutput()
	cl.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
}

func (cl *cluster) signal(name string, signal syscall.Signal) {
	cl.c.Assert(cl.processes[name].Process.Signal(signal), qt.IsNil)
}

// kill sends SIGKILL to a process and waits until it has exited.
func (cl *cluster) kill(name string) {
	cl.signal(name, syscall.SIGKILL)
	_ = cl.processes[name].Wait()
	delete(cl.processes, name)
}

// close kills all processes and logs the end of their logs if the test failed.
func (cl *cluster) close() {
	for _, cmd := range cl.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	if !cl.c.Failed() {
		return
	}
	files, _ := filepath.Glob(filepath.Join(cl.dir, "*.log"))
	for _, file := range files {
		raw, _ := os.ReadFile(file)
		cl.c.Logf("%s:\n%s", filepath.Base(file), raw[max(0, len(raw)-3000):])
	}
}

// waitFor waits until the condition holds.
func (cl *cluster) waitFor(what string, condition func() bool) {
	cl.c.Helper()
	const pollInterval = 50 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for deadline := time.Now().Add(waitTimeout); !condition(); <-ticker.C {
		if time.Now().After(deadline) {
			cl.c.Fatalf("timed out after %s waiting for %s", waitTimeout, what)
		}
	}
}

// reply is the outcome of a request: a response or an error.
type reply struct {
	status int
	body   string
	err    error
}

func (cl *cluster) do(ctx context.Context, method, address, path, key, body string) reply {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	cl.c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+callerKey)
	if key != "" {
		r.Header["Idempotency-Key"] = []string{key}
	}
	resp, err := cl.client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return reply{
		status: resp.StatusCode,
		body:   string(raw),
		err:    err,
	}
}

func (cl *cluster) get(address, path string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return cl.do(ctx, http.MethodGet, address, path, "", "")
}

// complete requests a completion from the entry instance on a host.
func (cl *cluster) complete(host int, prompt string, maxTokens int) reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, maxTokens)
	return cl.do(ctx, http.MethodPost, cl.addr(host), "/v1/completions", "", body)
}

// order sends an order with an idempotency key to the entry instance on a host.
func (cl *cluster) order(ctx context.Context, host int, key string) reply {
	return cl.do(ctx, http.MethodPost, cl.addr(host), "/services/workshop-desk/orders", key, `{"cames":40}`)
}

// countRuns returns how often the service ran the order with the key.
func (cl *cluster) countRuns(key string) int {
	response := cl.get(cl.addr(31), "/runs")
	cl.c.Assert(response.status, qt.Equals, http.StatusOK)
	runs := map[string]int{}
	cl.c.Assert(json.NewDecoder(bytes.NewBufferString(response.body)).Decode(&runs), qt.IsNil)
	return runs[key]
}

// setFaults replaces the fault rules of a stand-in. Without rules, it injects no faults.
func (cl *cluster) setFaults(host int, rules ...standin.Rule) {
	raw, err := json.Marshal(map[string][]standin.Rule{"rules": append([]standin.Rule{}, rules...)})
	cl.c.Assert(err, qt.IsNil)
	response := cl.do(context.Background(), http.MethodPost, cl.addr(host), "/faults", "", string(raw))
	cl.c.Assert(response.status < http.StatusBadRequest, qt.IsTrue, qt.Commentf("%d %s %v", response.status, response.body, response.err))
}

// countHoldings returns the number of memory holdings of all engines.
func (cl *cluster) countHoldings() int {
	count := 0
	for _, host := range []int{11, 12, 22} {
		engine := kiln.NewClient(kiln.ClientDeps{
			Address: cl.addr(host),
			HTTP:    cl.client,
		})
		holdings, err := engine.Holdings(context.Background())
		cl.c.Assert(err, qt.IsNil)
		count += len(holdings)
	}
	return count
}

// wantText returns the expected text of a completion.
func wantText(prompt string, maxTokens int) string {
	return strings.Join(standin.Answer(model, prompt, maxTokens), "")
}
