package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The settings and the load are those of glasnet-ops: 6 machines, and about 72 plain requests a second with a time budget
// of 3 s and work of 60 ms on average, 450 ms at most.
const (
	graceMachines = 6
	graceBefore   = 8
	graceAfter    = 4
	requestBudget = 3 * time.Second
	graceClients  = 432
)

type planned struct {
	node  *gateway
	at    time.Time
	grace time.Duration
}

// graceCase shortens grace-s in the settings, announces that with SIGHUP, and then stops and starts the machines in
// turn. Without the trouble, grace-s stays as it was.
func graceCase(trouble bool) bool {
	st := startStore()
	st.put("keyed.op", "config", manifest(3, []map[string]any{
		route("order", "/order/", "unsafe", "desk", 3000),
		route("lookup", "/lookup/", "safe", "desk", 3000),
	}, "desk"))
	var servers []*server
	for _, name := range []string{"i-01", "i-02", "i-03"} {
		servers = append(servers, startServer(st, "desk", name, 6, func(*http.Request) time.Duration {
			return min(time.Duration(60*(0.4+rand.ExpFloat64()*0.6)*float64(time.Millisecond)), 450*time.Millisecond)
		}))
	}
	var nodes []*gateway
	for n := range graceMachines {
		g := newGateway(fmt.Sprintf("front-%d", n+1), st, graceBefore, 2500, 2500)
		nodes = append(nodes, g)
		g.start()
	}
	for _, g := range nodes {
		g.awaitReady()
	}
	b := startBalancer(nodes)

	var mu sync.Mutex
	var all []*attempt
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range graceClients {
		clients.Go(func() {
			var c *channel
			for {
				// Channels stay idle for less than four fifths of idle-timeout-ms.
				select {
				case <-time.After(4*time.Second + rand.N(4*time.Second)):
				case <-stop:
					return
				}
				if c == nil || !c.isOpen() {
					var err error
					if c, err = openChannel(b.node()); err != nil {
						c = nil
						continue
					}
				}
				method, path := http.MethodPost, "/order/1"
				if rand.IntN(10) < 3 {
					method, path = http.MethodGet, "/lookup/1"
				}
				a, again := c.send(method, path, requestBudget)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if !again {
					c = nil
				}
			}
		})
	}
	time.Sleep(5 * time.Second)

	grace := graceBefore
	if trouble {
		grace = graceAfter
	}
	for _, g := range nodes {
		g.settings["grace_ms"] = grace * 1000
		g.write()
		note("settings of %s: grace-s %d", g.name, grace)
		g.signal(syscall.SIGHUP)
	}
	time.Sleep(6 * time.Second)

	var stops []planned
	for _, g := range nodes {
		p := planned{node: g, at: time.Now(), grace: time.Duration(grace) * time.Second}
		stops = append(stops, p)
		g.signal(syscall.SIGTERM)
		exited := g.exited
		select {
		case <-exited:
		case <-time.After(p.grace):
			g.signal(syscall.SIGKILL)
			<-exited
		}
		time.Sleep(500 * time.Millisecond)
		g.start()
		g.awaitReady()
		// The next stop begins when the machines are in touch again.
		time.Sleep(5 * time.Second)
	}
	close(stop)
	clients.Wait()
	return judgeLost(stops, all, servers)
}

// judgeLost applies LOST around planned work: the process has read a whole request, it was passed on to a server, and the
// channel ended without a complete answer.
func judgeLost(stops []planned, all []*attempt, servers []*server) bool {
	lost, answered := 0, 0
	for _, a := range all {
		if a.status != 0 {
			answered++
			continue
		}
		ran := 0
		for _, s := range servers {
			ran += s.runsOf(a.id)
		}
		for _, p := range stops {
			if a.node != p.node || ran == 0 || a.endedAt.Before(p.at) || a.sentAt.After(p.at.Add(p.grace+time.Second)) {
				continue
			}
			after := a.sentAt.Sub(p.at)
			if after <= 3*time.Second && a.endedAt.Sub(p.at) >= p.grace*5/6 {
				note("%s isn't counted: sent %v after SIGTERM, its server was at work in the last sixth", a.id, after)
				continue
			}
			note("LOST: %s, sent to %s %v after SIGTERM, was passed on to a server; its channel ended %v after SIGTERM",
				a.id, a.node.name, after, a.endedAt.Sub(p.at))
			lost++
		}
	}
	note("%d requests, %d answered, %d lost around planned work", len(all), answered, lost)
	return lost == 0
}
