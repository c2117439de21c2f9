package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["1"] = stopWhileWaiting }

// stopWhileWaiting stops an instance while one of four engines leaves. Clients with kept channels go on
// sending short drafts to the instance. Soon after the streams that began before have moved to the other
// engines, these are full, and drafts wait in the instance.
func stopWhileWaiting(l *lab) ([]string, error) {
	const (
		longClients, longEvents = 18, 130
		shortEvents             = 14
		// stopAfter is the time from the start of the long drafts to the SIGTERM. They last 6.1 s.
		stopAfter = 1150 * time.Millisecond
	)
	d, err := l.deploy(2, 4, 1, 2, manifest(2))
	if err != nil {
		return nil, err
	}
	first, second := d.front[0], d.front[1]
	// Usual traffic of the first instance, from which it learns how long short drafts last.
	var usual sync.WaitGroup
	for n := range 24 {
		usual.Go(func() {
			if c, err := l.dial(fmt.Sprintf("usual%d", n+1), first); err == nil {
				c.do(newStream(prefixDraft, shortEvents, shortEvents), timeBudget)
				c.close()
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	usual.Wait()
	var kept []*channel
	for n := range 26 {
		c, err := l.dial(fmt.Sprintf("kept%d", n+1), first)
		if err != nil {
			return nil, err
		}
		if a := c.lookup(); !a.keep {
			return nil, fmt.Errorf("look-up before the stop: %s", a.describe())
		}
		kept = append(kept, c)
	}
	// Usual traffic of the second instance.
	end := make(chan struct{})
	var long sync.WaitGroup
	longSince := time.Now()
	for n := range longClients {
		long.Go(func() { sendLongDrafts(l, fmt.Sprintf("long%d", n+1), second, longEvents, end) })
	}
	time.Sleep(time.Until(longSince.Add(stopAfter)))
	if l.trouble {
		d.engines[3].setState("draining")
	}
	stopAt := time.Now()
	l.signal(first, syscall.SIGTERM)
	var got answers
	var wg sync.WaitGroup
	for _, c := range kept {
		wg.Go(func() { got.add(c.do(newStream(prefixDraft, shortEvents, shortEvents), timeBudget)) })
		time.Sleep(250 * time.Millisecond)
	}
	wg.Wait()
	close(end)
	long.Wait()
	settle()
	var broken []string
	for _, a := range got.list {
		if text := d.lost(a, stopAt); text != "" {
			broken = append(broken, text)
		}
	}
	return broken, nil
}

// sendLongDrafts sends one draft after the other until end is closed.
func sendLongDrafts(l *lab, name string, g *gateway, events int, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		default:
		}
		c, err := l.dial(name, g)
		if err != nil {
			return
		}
		a := c.do(newStream(prefixDraft, events, events), timeBudget)
		c.close()
		if a.status == http.StatusServiceUnavailable {
			time.Sleep(time.Second)
		}
	}
}
