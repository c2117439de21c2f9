package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["3"] = doubleSlash }

// doubleSlash adds a route for all paths of the host. Clients use it with paths that begin with two slashes,
// as clients do that join a base address and a path.
func doubleSlash(l *lab) ([]string, error) {
	d, err := l.deploy(1, 1, 1, 1, manifest(2))
	if err != nil {
		return nil, err
	}
	targets := []string{"/panels/7", "//panels/7", "//panels/7?from=2026", "//admin.example/orders"}
	if l.trouble {
		l.record("the store has acknowledged version 5 with a route for the prefix /")
		l.store.putJSON(topicOperator, "config", manifest(5, route("r-all", host, "/", "unsafe", desk, 1500, 300, 1, false)))
	}
	time.Sleep(applyMS * time.Millisecond)
	sent := map[string]string{}
	for _, target := range targets {
		c, err := l.dial("client", d.front[0])
		if err != nil {
			return nil, err
		}
		req := newOrder(target)
		sent[req.attempt] = http.MethodPost + " " + target
		c.do(req, 3*time.Second)
		c.close()
	}
	var broken []string
	for _, r := range d.services[0].requests() {
		if want := sent[r.attempt]; want != r.line {
			broken = append(broken, fmt.Sprintf("UNASKED: %s: the client sent %q for host %s, %s ran %q for host %s", r.attempt, want, host, r.worker, r.line, r.host))
		}
	}
	return broken, nil
}
