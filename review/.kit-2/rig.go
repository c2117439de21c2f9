// Command rig plays the cases of review/ against real processes of the gateway on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	note("could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	endProcesses()
	os.Exit(exitNotRun)
}

// The record of a run, with the seconds since its start.
var (
	recordMu   sync.Mutex
	recordFile *os.File
	started    = time.Now()
)

func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%9.3f  "+format+"\n", append([]any{time.Since(started).Seconds()}, args...)...)
	}
}

// Ports are below those that the kernel gives to outgoing channels, which could take the port of a machine that is
// restarting.
const (
	firstPort = 12000
	lastPort  = 28000
)

// usedPorts are the ports that freeAddress returned.
var usedPorts = map[int]bool{}

func freeAddress() string {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		return l.Addr().String()
	}
}

// server is a stand-in of a worker of a plain service.
type server struct {
	name    string
	service string
	address string
	slots   int
	born    int64
	// answer, if set, replaces the usual answer to a request that was run.
	answer func(w http.ResponseWriter, r *http.Request)
	// work is the time that a request takes.
	work func(r *http.Request) time.Duration

	mu     sync.Mutex
	state  string
	seq    int
	active int
	// runs holds the number of runs by attempt, ended when the last run of an attempt ended.
	runs map[string]int
}

func startServer(st *store, service, name string, slots int, work func(r *http.Request) time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &server{
		name:    name,
		service: service,
		address: l.Addr().String(),
		slots:   slots,
		born:    time.Now().UnixMilli(),
		work:    work,
		state:   "ready",
		runs:    map[string]int{},
	}
	go func() { _ = http.Serve(l, s) }()
	go func() {
		for ; ; time.Sleep(1200 * time.Millisecond) {
			s.register(st)
		}
	}()
	return s
}

func (s *server) register(st *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	raw, err := json.Marshal(map[string]any{
		"service": s.service, "addr": s.address, "zone": "a", "version": "1", "slots": s.slots,
		"state": s.state, "cold-left-ms": 0, "seq": s.seq, "born": s.born,
	})
	check(err)
	st.put("keyed.servers", s.name, raw)
}

func (s *server) runsOf(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[attempt]
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Balsamlock-Attempt-Id")
	s.mu.Lock()
	s.active++
	load := fmt.Sprintf("%d,0,%d", s.active, s.slots)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	w.Header().Set("Balsamlock-Server-Load", load)
	if r.URL.Path == "/healthz" {
		w.Header().Set("Balsamlock-Instance-Id", s.name)
		return
	}
	w.Header().Set("Balsamlock-Attempt-Id", id)
	if want := r.Header.Get("Balsamlock-Expect-Instance"); want != "" && want != s.name {
		w.Header().Set("Balsamlock-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	note("%s runs %s", s.name, id)
	timer := time.NewTimer(s.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		note("%s drops %s: its channel has closed", s.name, id)
		return
	}
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	w.Header().Set("Balsamlock-Response-Seal", "seal."+s.name+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.name, id)
}

// gateway is a process of the gateway.
type gateway struct {
	name     string
	file     string
	settings map[string]any
	front    string
	ready    string
	cmd      *exec.Cmd
	exited   chan struct{}
}

var (
	processMu sync.Mutex
	processes = map[*exec.Cmd]bool{}
	tempDir   string
)

func endProcesses() {
	processMu.Lock()
	defer processMu.Unlock()
	for cmd := range processes {
		_ = cmd.Process.Kill()
	}
	for range 100 {
		if len(processes) == 0 {
			break
		}
		processMu.Unlock()
		time.Sleep(20 * time.Millisecond)
		processMu.Lock()
	}
	_ = os.RemoveAll(tempDir)
}

// newGateway renders settings as deploy/gateway.json.tmpl does.
func newGateway(name string, st *store, graceS, applyMS, drainMS int) *gateway {
	g := &gateway{
		name:  name,
		file:  filepath.Join(tempDir, name+".json"),
		front: freeAddress(),
		ready: freeAddress(),
	}
	g.settings = map[string]any{
		"instance": name, "data_centre": "a", "region": "r", "regions": map[string]string{"a": "r"},
		"listen": g.front, "ready_listen": g.ready, "metrics_listen": freeAddress(), "peer_listen": freeAddress(),
		"store": st.address, "store_parts": partitions, "memory_mb": 134, "grace_ms": graceS * 1000,
		"apply_ms": applyMS, "drain_ms": drainMS,
		"retries": map[string]any{"ratio": 0.2, "slack": 52, "window_ms": 10000, "reserve": 0.25},
	}
	g.write()
	return g
}

// write places the settings at their location in one step.
func (g *gateway) write() {
	raw, err := json.Marshal(g.settings)
	check(err)
	check(os.WriteFile(g.file+".new", raw, 0o600))
	check(os.Rename(g.file+".new", g.file))
}

func (g *gateway) start() {
	binary := os.Getenv("GATEWAY")
	if binary == "" {
		binary = "target/balsamlock-gateway"
	}
	g.cmd = exec.Command(binary, "--settings", g.file)
	logFile, err := os.Create(g.file + ".log")
	check(err)
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	check(g.cmd.Start())
	cmd, exited := g.cmd, make(chan struct{})
	g.exited = exited
	processMu.Lock()
	processes[cmd] = true
	processMu.Unlock()
	go func() {
		_ = cmd.Wait()
		processMu.Lock()
		delete(processes, cmd)
		processMu.Unlock()
		note("process of %s has ended: %v", g.name, cmd.ProcessState)
		close(exited)
	}()
}

func (g *gateway) signal(s syscall.Signal) {
	note("%s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s)
}

// isReady asks once, as the platform does.
func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady() {
	for range 200 {
		if g.isReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	if raw, err := os.ReadFile(g.file + ".log"); err == nil {
		note("log of %s:\n%s", g.name, raw)
	}
	fail("%s was not ready within 10 s", g.name)
}

// manifest is the operator's configuration.
func manifest(version int, routes []map[string]any, services ...string) []byte {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health-path": "/healthz", "max-conns": 200})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
		},
	})
	check(err)
	return raw
}

func route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout-ms": timeoutMS, "goal-ms": 300,
		"priority": 2, "service": service, "attempts": 2,
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(trouble bool) bool{
		"grace": graceCase,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	var err error
	recordFile, err = os.Create(os.Args[2])
	check(err)
	tempDir, err = os.MkdirTemp("", "review2-")
	check(err)
	trouble := true
	if value, set := os.LookupEnv("TROUBLE"); set {
		n, err := strconv.Atoi(value)
		trouble = err != nil || n != 0
	}
	note("case %s, trouble %v", os.Args[1], trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fail("ended by a signal")
	}()
	limit := time.AfterFunc(110*time.Second, func() { fail("the case took too long") })
	held := run(trouble)
	limit.Stop()
	endProcesses()
	if !held {
		note("the rule was broken")
		os.Exit(exitBroken)
	}
	note("the rule held")
	os.Exit(exitHeld)
}
