package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The hosts and prefixes of the manifest.
const (
	host         = "ficu95.example"
	prefixDraft  = "/lohu930/"
	prefixQuote  = "/pufi791/"
	prefixOrder  = "/pule252/"
	prefixLookup = "/puxa403/"
)

// manifest returns a manifest like those of the small site, with further routes.
func manifest(version int, more ...map[string]any) map[string]any {
	routes := []map[string]any{
		route("r-draft", host, prefixDraft, "stream", drafts, 14000, 900, 2, true),
		route("r-quote", host, prefixQuote, "stream", drafts, 14000, 900, 1, false),
		route("r-order", host, prefixOrder, "unsafe", desk, 1500, 300, 1, false),
		route("r-lookup", host, prefixLookup, "safe", desk, 1500, 300, 2, false),
	}
	return map[string]any{
		"version": version,
		"routes":  append(routes, more...),
		"services": []map[string]any{
			{
				"name":        drafts,
				"health-path": "/healthz",
				"max-conns":   150,
				"proto":       "h1",
				"tls":         false,
				"engine": map[string]any{
					"slots": 12, "kv-tokens": kvTokens, "kv-token-bytes": 131072, "link-mbps": 4400000.0, "moves": true,
					"backups": true, "stride": tokensPerEvent, "most": 12, "kv-ttl-s": 0.5, "switch-s": 6.0, "pin-ms": 4000.0,
					"hold-ms": 2000.0, "models": []map[string]any{{"name": modelID}},
				},
			},
			{
				"name":        desk,
				"health-path": "/healthz",
				"max-conns":   96,
				"proto":       "h1",
				"tls":         false,
			},
		},
		"limits": map[string]any{
			"max-header-bytes":  16384,
			"max-body-bytes":    4194304,
			"header-timeout-ms": 3000,
			"idle-timeout-ms":   15000,
		},
	}
}

func route(name, host, prefix, kind, service string, timeoutMS, goalMS, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name":       name,
		"host":       host,
		"prefix":     prefix,
		"kind":       kind,
		"timeout-ms": timeoutMS,
		"goal-ms":    goalMS,
		"priority":   1,
		"service":    service,
		"attempts":   attempts,
	}
	if kind == "stream" {
		r["sticky"] = true
		r["resumable"] = resumable
		r["gap-goal-ms"] = 300
	}
	return r
}

// request is one client attempt.
type request struct {
	attempt string
	method  string
	target  string
	header  map[string]string
	body    string
}

// answer is what a client got.
type answer struct {
	request
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if no head of an answer arrived.
	status int
	header http.Header
	body   string
	// whole is set if the answer is complete. err is how its channel ended otherwise.
	whole bool
	err   error
	// keep is set if the channel may be used for another request.
	keep bool
}

// describe returns the answer as a line of the record.
func (a answer) describe() string {
	switch {
	case a.whole:
		return fmt.Sprintf("%d, complete, %d bytes", a.status, len(a.body))
	case a.status != 0:
		return fmt.Sprintf("%d, cut after %d bytes: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("no answer: %v", a.err)
}

var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// channel is a client's connection.
type channel struct {
	lab    *lab
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

func (l *lab) dial(name string, g *gateway) (*channel, error) {
	conn, err := net.DialTimeout("tcp", g.listen, time.Second)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.closers = append(l.closers, func() { _ = conn.Close() })
	l.mu.Unlock()
	return &channel{
		lab:    l,
		name:   name,
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends a request and reads its answer, for at most patience.
func (c *channel) do(req request, patience time.Duration) (a answer) {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", req.method, req.target, host, headerAttempt, req.attempt)
	for name, value := range req.header {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if req.method == http.MethodPost {
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.body))
	}
	b.WriteString("\r\n" + req.body)
	a = answer{
		request: req,
		sentAt:  time.Now(),
	}
	c.lab.record("%s: %s %s %s: sent", c.name, req.attempt, req.method, req.target)
	defer func() {
		a.endedAt = time.Now()
		c.lab.record("%s: %s: %s", c.name, req.attempt, a.describe())
	}()
	_ = c.conn.SetDeadline(a.sentAt.Add(patience))
	if _, a.err = io.WriteString(c.conn, b.String()); a.err != nil {
		return a
	}
	httpReq, _ := http.NewRequest(req.method, "http://"+host, nil)
	resp, err := http.ReadResponse(c.reader, httpReq)
	if err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	a.header = resp.Header
	raw, err := io.ReadAll(resp.Body)
	a.body = string(raw)
	a.whole = err == nil
	a.err = err
	a.keep = a.whole && !resp.Close
	return a
}

// newStream returns a request for a stream of about the given number of events.
func newStream(prefix string, events, hintEvents int) request {
	attempt := newAttempt()
	return request{
		attempt: attempt,
		method:  http.MethodPost,
		target:  prefix + "2f",
		header: map[string]string{
			headerModel:    modelID,
			headerTokens:   fmt.Sprintf("5200,%d", 130*tokensPerEvent),
			headerParts:    fmt.Sprintf("5c1e07a2:200,%s:5000", attempt),
			headerHint:     fmt.Sprint(hintEvents * tokensPerEvent),
			headerDeadline: "14000",
			headerEvents:   fmt.Sprint(events),
		},
		body: "window condition report",
	}
}

// newOrder returns a request that must not run more than once.
func newOrder(target string) request {
	return request{
		attempt: newAttempt(),
		method:  http.MethodPost,
		target:  target,
		header:  map[string]string{headerDeadline: "3000"},
		body:    "lead came, 40 pieces",
	}
}
