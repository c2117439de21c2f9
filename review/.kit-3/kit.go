package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	headerID          = "Balsamlock-Attempt-Id"
	headerSeal        = "Balsamlock-Response-Seal"
	headerNotExecuted = "Balsamlock-Not-Executed"
)

// journal writes what was sent, answered and run to record.txt and the standard output.
type journal struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (j *journal) log(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment: a store, workers and gateways.
type site struct {
	*journal
	dir      string
	store    *store
	gateways []*gateway
	record   *os.File
}

func newSite(recordPath string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{
		journal: &journal{out: io.MultiWriter(record, os.Stdout), start: time.Now()},
		dir:     dir,
		store:   st,
		record:  record,
	}, nil
}

func (s *site) close() {
	for _, g := range s.gateways {
		g.kill()
	}
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// gateway is a balsamlock-gateway process.
type gateway struct {
	site    *site
	name    string
	cmd     *exec.Cmd
	listen  string
	ready   string
	metrics string
	log     string
	exited  chan struct{}
	err     error
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startGateway starts a gateway with the settings that the template renders for a small deployment, and changes of them.
func (s *site) startGateway(name string, changes map[string]any) (*gateway, error) {
	g := &gateway{
		site:    s,
		name:    name,
		listen:  freeAddress(),
		ready:   freeAddress(),
		metrics: freeAddress(),
		log:     filepath.Join(s.dir, name+".log"),
	}
	settings := map[string]any{
		"instance":       name,
		"data_centre":    "randstad-a",
		"region":         "randstad",
		"regions":        map[string]string{"randstad-a": "randstad", "oost-a": "oost", "randstad-b": "randstad"},
		"listen":         g.listen,
		"ready_listen":   g.ready,
		"metrics_listen": g.metrics,
		"peer_listen":    freeAddress(),
		"store":          s.store.addr,
		"store_parts":    partsPerTopic,
		"memory_mb":      134,
		"grace_ms":       8000,
		"apply_ms":       2500,
		"drain_ms":       2500,
		"retries":        map[string]any{"ratio": 0.2, "slack": 52, "window_ms": 10000, "reserve": 0.25},
	}
	maps.Copy(settings, changes)
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, g)
	return g, g.start(file)
}

func (g *gateway) start(file string) error {
	program := os.Getenv("GATEWAY")
	if program == "" {
		program = "target/balsamlock-gateway"
	}
	out, err := os.Create(g.log)
	if err != nil {
		return err
	}
	g.cmd = exec.Command(program, "--settings", file)
	g.cmd.Stdout, g.cmd.Stderr = out, out
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func() {
		g.err = g.cmd.Wait()
		close(g.exited)
	}()
	return nil
}

func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

var errNotReady = errors.New("the gateway did not get ready")

func (g *gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// request is a request as a worker has read it.
type request struct {
	*http.Request
	body []byte
	id   string
	// n is the number of the request on its connection, from 1.
	n int
	// reader reads the connection after the request.
	reader *bufio.Reader
}

// worker is a server that writes its answers byte by byte.
type worker struct {
	site    *site
	id      string
	addr    string
	service string
	stage   string
	slots   int
	born    int64
	seq     int
	state   string
	l       net.Listener
	// handle writes the answer to a request. It returns false to close the connection.
	handle func(w *worker, c net.Conn, r request) bool
}

func (s *site) startWorker(id, service, stage string, handle func(w *worker, c net.Conn, r request) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		site: s, id: id, addr: l.Addr().String(), service: service, stage: stage, slots: 6,
		born: time.Now().UnixMilli(), state: "ready", l: l, handle: handle,
	}
	go w.serve()
	w.beat()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			w.beat()
		}
	}()
	return w, nil
}

func (w *worker) beat() {
	w.seq++
	entry := map[string]any{
		"service": w.service, "addr": w.addr, "zone": "randstad-a", "version": "v1", "slots": w.slots,
		"state": w.state, "cold-left-ms": 0, "seq": w.seq, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"] = w.stage
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	raw, _ := json.Marshal(entry)
	w.site.store.put("keyed.servers", w.id, raw)
}

func (w *worker) serve() {
	for {
		c, err := w.l.Accept()
		if err != nil {
			return
		}
		go w.serveConn(c)
	}
}

func (w *worker) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("Balsamlock-Expect-Instance"); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nBalsamlock-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		}
		if !w.handle(w, c, request{Request: r, body: body, id: r.Header.Get(headerID), n: n, reader: reader}) {
			return
		}
	}
}

// response is an answer as a client has read it.
type response struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r response) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("status %d, seal %q, body %q", r.status, r.header.Get(headerSeal), shorten(r.body))
}

func shorten(b []byte) string {
	if len(b) > 60 {
		return string(b[:60]) + "..."
	}
	return string(b)
}

// client sends requests on one kept connection.
type client struct {
	address string
	c       net.Conn
	reader  *bufio.Reader
}

func (cl *client) do(method, host, path, id string, deadlineMS int, extra string, body []byte) response {
	if cl.c == nil {
		c, err := net.DialTimeout("tcp", cl.address, time.Second)
		if err != nil {
			return response{err: err}
		}
		cl.c, cl.reader = c, bufio.NewReader(c)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nBalsamlock-Deadline-Ms: %d\r\n", method, path, host, headerID, id, deadlineMS)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString(extra + "\r\n")
	b.Write(body)
	_ = cl.c.SetDeadline(time.Now().Add(time.Duration(deadlineMS)*time.Millisecond + 2*time.Second))
	r := response{}
	if _, r.err = cl.c.Write(b.Bytes()); r.err == nil {
		var resp *http.Response
		if resp, r.err = http.ReadResponse(cl.reader, &http.Request{Method: method}); r.err == nil {
			r.status, r.header = resp.StatusCode, resp.Header
			r.body, r.err = io.ReadAll(resp.Body)
			if resp.Close {
				cl.close()
			}
		}
	}
	if r.err != nil {
		cl.close()
	}
	return r
}

func (cl *client) close() {
	if cl.c != nil {
		_ = cl.c.Close()
		cl.c = nil
	}
}

// manifest returns the operator's manifest of a small deployment.
func manifest(version int) []byte {
	m := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-order", "host": "ficu95.example", "prefix": "/order/", "kind": "unsafe", "timeout-ms": 3000, "goal-ms": 300, "priority": 2, "service": "desk", "attempts": 1},
			map[string]any{"name": "r-lookup", "host": "ficu95.example", "prefix": "/lookup/", "kind": "safe", "timeout-ms": 3000, "goal-ms": 300, "priority": 2, "service": "desk", "attempts": 2},
			map[string]any{"name": "r-survey", "host": "ficu95.example", "prefix": "/survey/", "kind": "stream", "timeout-ms": 14000, "goal-ms": 900, "priority": 1, "service": "models", "attempts": 2, "sticky": true, "resumable": true, "gap-goal-ms": 300},
			map[string]any{"name": "r-quote", "host": "ficu95.example", "prefix": "/quote/", "kind": "stream", "timeout-ms": 14000, "goal-ms": 900, "priority": 1, "service": "models", "attempts": 1, "sticky": true, "resumable": false, "gap-goal-ms": 300},
		},
		"services": []any{
			map[string]any{"name": "models", "health-path": "/healthz", "max-conns": 150, "proto": "h1", "tls": false, "engine": map[string]any{
				"slots": 12, "kv-tokens": 85406, "kv-token-bytes": 131072, "link-mbps": 4400000.0, "moves": true, "backups": true, "stride": 1, "most": 12,
				"kv-ttl-s": 0.5, "switch-s": 6.0, "pin-ms": 4000.0, "hold-ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "desk", "health-path": "/healthz", "max-conns": 96, "proto": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	raw, _ := json.Marshal(m)
	return raw
}

// countsOf returns how often each id occurs, for the record.
func countsOf(ids []string) string {
	counts := map[string]int{}
	for _, id := range ids {
		counts[id]++
	}
	var parts []string
	for id, n := range counts {
		if n > 1 {
			parts = append(parts, fmt.Sprintf("%s x%d", id, n))
		}
	}
	return strings.Join(parts, ", ")
}
