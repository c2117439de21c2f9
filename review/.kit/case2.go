package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["2"] = lateWriteOfEarlierLife }

// lateWriteOfEarlierLife starts a worker again under its id, and drains it. The last write of its earlier
// life, which got no answer from the store, is executed after it has reported that it is draining.
func lateWriteOfEarlierLife(l *lab) ([]string, error) {
	d, err := l.deploy(2, 4, 1, 1, manifest(2))
	if err != nil {
		return nil, err
	}
	end := make(chan struct{})
	var wg sync.WaitGroup
	var got answers
	traffic := func() {
		for n := 1; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(66 * time.Millisecond):
			}
			wg.Go(func() {
				if c, err := l.dial(fmt.Sprintf("client%d", n), d.front[0]); err == nil {
					got.add(c.do(newStream(prefixQuote, 20, 20), timeBudget))
					c.close()
				}
			})
		}
	}
	wg.Go(traffic)
	x := d.engines[3]
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	until := func(s float64) { time.Sleep(time.Until(began.Add(time.Duration(s * float64(time.Second))))) }
	earlier := x.currentEntry()
	l.record("%s: writes its entry, born %v; the store loses its answer", x.id, earlier["born"])
	if l.trouble {
		wg.Go(func() {
			until(5.95)
			l.store.putJSON(topicServers, x.id, earlier)
			l.record("%s: the write of 5.95 s ago, born %v, is executed", x.id, earlier["born"])
		})
	}
	until(0.5)
	x.stop()
	until(2.25)
	if err := x.startAgain(); err != nil {
		return nil, err
	}
	until(4.2)
	x.setState("draining")
	drainingAt := time.Now()
	until(7.6)
	x.stop()
	until(9)
	close(end)
	wg.Wait()
	var broken []string
	for _, r := range x.requests() {
		late := r.at.Sub(drainingAt)
		if late <= drainMS*time.Millisecond {
			continue
		}
		result := "no answer"
		for _, a := range got.list {
			if a.attempt == r.attempt {
				result = a.describe()
			}
		}
		broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.2f s after the store had acknowledged that it is draining; the client got: %s",
			r.attempt, x.id, late.Seconds(), result))
	}
	return broken, nil
}
