package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["4"] = silentWhileStopping }

// silentWhileStopping stops one of six instances while three of its streams run on an engine whose memory runs
// out. The engine preempts them, and would go on with them when the streams of other clients have ended. An empty
// engine is there to which two of them move.
func silentWhileStopping(l *lab) ([]string, error) {
	const (
		oldPrompt, oldEvents = 9900, 124
		newEvents            = 100
		// fullStep is the time of 72 steps with 8 requests and 80,000 tokens of context.
		fullStep = 53 * time.Millisecond
	)
	d, err := l.deploy(3, 1, 1, 6, manifest(2))
	if err != nil {
		return nil, err
	}
	d.engines[0].preempts = true
	d.engines[0].gap = func(string, int) time.Duration { return fullStep }
	// The shares of the retry budget are dealt out.
	time.Sleep(4 * time.Second)
	stopped, other := d.front[3], d.front[4]
	var got answers
	var wg sync.WaitGroup
	send := func(name string, g *gateway, prompt, events int, keep bool) error {
		c, err := l.dial(name, g)
		if err != nil {
			return err
		}
		req := newStream(prefixDraft, events, events)
		req.header[headerTokens] = strings.Replace(req.header[headerTokens], "5200,", fmt.Sprint(prompt)+",", 1)
		wg.Go(func() {
			if a := c.do(req, timeBudget); keep {
				got.add(a)
			}
		})
		return nil
	}
	if l.trouble {
		for n := range 5 {
			if err := send(fmt.Sprintf("other%d", n+1), other, oldPrompt, oldEvents, false); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	for n := range 3 {
		if err := send(fmt.Sprintf("client%d", n+1), stopped, 5200, newEvents, true); err != nil {
			return nil, err
		}
	}
	time.Sleep(700 * time.Millisecond)
	// An empty engine is added, so that streams can go on elsewhere.
	added, err := l.newWorker("i-decode2", drafts, "decode", 12)
	if err != nil {
		return nil, err
	}
	d.engines = append(d.engines, added)
	time.Sleep(300 * time.Millisecond)
	stopAt := time.Now()
	l.signal(stopped, syscall.SIGTERM)
	wg.Wait()
	settle()
	var broken []string
	for _, a := range got.list {
		if text := d.lost(a, stopAt); text != "" {
			broken = append(broken, text)
		}
	}
	return broken, nil
}
