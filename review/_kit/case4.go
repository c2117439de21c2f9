package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["4"] = stopTwice }

// stopTwice sends a second SIGTERM to an instance that is stopping.
func stopTwice(l *lab) ([]string, error) {
	d, err := l.deploy(1, 2, 1, 1, manifest(2))
	if err != nil {
		return nil, err
	}
	var got answers
	var wg sync.WaitGroup
	for n := range 6 {
		c, err := l.dial(fmt.Sprintf("client%d", n+1), d.front[0])
		if err != nil {
			return nil, err
		}
		wg.Go(func() { got.add(c.do(newStream(prefixDraft, 70, 70), timeBudget)) })
	}
	time.Sleep(time.Second)
	stopAt := time.Now()
	l.signal(d.front[0], syscall.SIGTERM)
	if l.trouble {
		time.Sleep(time.Second)
		l.signal(d.front[0], syscall.SIGTERM)
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
