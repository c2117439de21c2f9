package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small site glasnet-ops, from which the settings are rendered.
const (
	graceSeconds = 8
	drainMS      = 2500
	applyMS      = 2500
	contactMS    = 4000
	heartbeatMS  = 1200
	memoryMB     = 134
	retryRatio   = 0.2
	retrySlack   = 52
	retryWindowS = 10
)

// lab holds the processes and stand-ins of one run.
type lab struct {
	trouble bool
	root    string
	tmp     string
	began   time.Time
	store   *store

	mu       sync.Mutex
	out      *os.File
	gateways []*gateway
	closers  []func()
}

func newLab(dir string, trouble bool) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l := &lab{
		trouble: trouble,
		root:    root,
		tmp:     tmp,
		began:   time.Now(),
		out:     out,
	}
	l.store = newStore()
	l.store.address, err = l.serve(l.store)
	if err != nil {
		return nil, err
	}
	l.record("disruption: %t", trouble)
	return l, nil
}

// record writes a line with the time since the start to record.txt.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves a handler on a free loopback port and returns its address.
func (l *lab) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	l.closers = append(l.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (l *lab) close() {
	for _, g := range l.gateways {
		g.kill()
	}
	for _, c := range l.closers {
		c()
	}
	for _, g := range l.gateways {
		_ = g.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.tmp)
	}
}

// gateway is one balsamlock-gateway process.
type gateway struct {
	name   string
	listen string
	ready  string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	// exitedAt and state are set when exited is closed.
	exitedAt time.Time
	state    string
}

// startGateway starts a gateway with the command of the deploy file and waits until it is ready.
func (l *lab) startGateway(name string) (*gateway, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		name:   name,
		listen: fmt.Sprintf("127.0.0.1:%d", ports[0]),
		ready:  fmt.Sprintf("127.0.0.1:%d", ports[1]),
		exited: make(chan struct{}),
	}
	settings := filepath.Join(l.tmp, name+".json")
	if err := l.renderSettings(settings, g, ports[2], ports[3]); err != nil {
		return nil, err
	}
	words, err := l.deployCommand(settings)
	if err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(l.tmp, name+".log")); err != nil {
		return nil, err
	}
	g.cmd = exec.Command(words[0], words[1:]...)
	g.cmd.Dir = l.root
	g.cmd.Stdout = g.log
	g.cmd.Stderr = g.log
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	l.gateways = append(l.gateways, g)
	go func() {
		_ = g.cmd.Wait()
		g.exitedAt = time.Now()
		g.state = g.cmd.ProcessState.String()
		l.record("%s: process ended: %s", name, g.state)
		close(g.exited)
	}()
	l.record("%s: started %s, serves %s", name, filepath.Base(words[0]), g.listen)
	return g, l.awaitReady(g)
}

func (l *lab) awaitReady(g *gateway) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				l.record("%s: ready", g.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s was not ready within 15 s", g.name)
}

func (l *lab) signal(g *gateway, sig syscall.Signal) {
	l.record("%s: send %s", g.name, sig)
	_ = g.cmd.Process.Signal(sig)
}

func (g *gateway) kill() {
	select {
	case <-g.exited:
	default:
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// deployCommand returns the command of the deploy file with another settings file.
func (l *lab) deployCommand(settings string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(l.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	match := runLine.FindSubmatch(raw)
	if match == nil {
		return nil, errors.New("deploy/system.toml has no run line")
	}
	words := strings.Fields(strings.ReplaceAll(string(match[1]), "/etc/balsamlock/settings.toml", settings))
	words[0] = filepath.Join(l.root, words[0])
	return words, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// renderSettings renders deploy/gateway.json.tmpl as the platform does.
func (l *lab) renderSettings(path string, g *gateway, metricsPort, peerPort int) error {
	raw, err := os.ReadFile(filepath.Join(l.root, "deploy", "gateway.json.tmpl"))
	if err != nil {
		return err
	}
	fields := map[string]any{
		"node":                  g.name,
		"zone":                  zone,
		"region":                region,
		"zones":                 map[string]string{zone: region},
		"listen.front":          g.listen,
		"listen.ready":          g.ready,
		"ip":                    "127.0.0.1",
		"port-range.0":          metricsPort,
		"port-range.1":          peerPort,
		"platform.addr":         l.store.address,
		"platform.parts":        8,
		"limits.memory-mb":      memoryMB,
		"bounds.grace-s":        graceSeconds,
		"bounds.apply-ms":       applyMS,
		"bounds.drain-ms":       drainMS,
		"bounds.retry-ratio":    retryRatio,
		"bounds.retry-slack":    retrySlack,
		"bounds.retry-window-s": retryWindowS,
	}
	var missing []string
	rendered := placeholder.ReplaceAllStringFunc(string(raw), func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value, ok := fields[parts[1]]
		if !ok {
			missing = append(missing, parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if len(missing) > 0 {
		return fmt.Errorf("the template of the settings has unknown fields: %s", strings.Join(missing, ", "))
	}
	return os.WriteFile(path, []byte(rendered), 0o600)
}

// freePorts returns ports that are free now.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		_, port, _ := net.SplitHostPort(listener.Addr().String())
		number, _ := strconv.Atoi(port)
		ports = append(ports, number)
	}
	return ports, nil
}
