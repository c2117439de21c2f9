package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["5"] = requestWithoutTokenCount }

// requestWithoutTokenCount sends, as the first request of a route, one that states no number of tokens. The
// instance is stopped later, and its clients go on using kept channels.
func requestWithoutTokenCount(l *lab) ([]string, error) {
	d, err := l.deploy(2, 3, 1, 1, manifest(2))
	if err != nil {
		return nil, err
	}
	front := d.front[0]
	c, err := l.dial("odd", front)
	if err != nil {
		return nil, err
	}
	odd := newStream(prefixDraft, 10, 10)
	if l.trouble {
		delete(odd.header, headerTokens)
	}
	if a := c.do(odd, timeBudget); !a.whole {
		return nil, fmt.Errorf("first request: %s", a.describe())
	}
	c.close()
	// Usual traffic: three drafts a second, for 10 s.
	var usual sync.WaitGroup
	for n := range 30 {
		usual.Go(func() {
			if c, err := l.dial(fmt.Sprintf("usual%d", n+1), front); err == nil {
				c.do(newStream(prefixDraft, 50+5*(n%9), 70), timeBudget)
				c.close()
			}
		})
		time.Sleep(333 * time.Millisecond)
	}
	usual.Wait()
	var kept []*channel
	for n := range 18 {
		c, err := l.dial(fmt.Sprintf("kept%d", n+1), front)
		if err != nil {
			return nil, err
		}
		if a := c.lookup(); !a.keep {
			return nil, fmt.Errorf("look-up before the stop: %s", a.describe())
		}
		kept = append(kept, c)
	}
	stopAt := time.Now()
	l.signal(front, syscall.SIGTERM)
	var got answers
	var wg sync.WaitGroup
	for n, c := range kept {
		wg.Go(func() { got.add(c.do(newStream(prefixDraft, 50+5*(n%9), 70), timeBudget)) })
		time.Sleep(333 * time.Millisecond)
	}
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
