package order

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/internal/faultlog"
	"github.com/balsamlock/balsamlock/ledger/ledgerpb"
	"github.com/balsamlock/balsamlock/receipt"
)

// loadTest submits orders at a constant rate to some instances that share a log with a
// limited append rate.
type loadTest struct {
	instances           int
	perSecond           int
	duration            time.Duration
	maxAppendsPerSecond int
	logLatency          time.Duration
	// dispatchRecord appends a second record before the work is sent. This is the cost of
	// an alternative design in which a claim can be taken over.
	dispatchRecord bool
}

// loadResult is the result of a load test.
type loadResult struct {
	answered  int
	offered   int
	appends   float64
	latencies []time.Duration
}

func (result loadResult) quantile(q float64) time.Duration {
	return result.latencies[int(q*float64(len(result.latencies)-1))]
}

func (l loadTest) run(t *testing.T) loadResult {
	var result loadResult
	synctest.Test(t, func(*testing.T) {
		log := faultlog.New(1, faultlog.Faults{
			Latency:             l.logLatency,
			MaxAppendsPerSecond: l.maxAppendsPerSecond,
		})
		s := newService(1)
		s.duration = 0
		cfg := DefaultConfig()
		var instances []*instance
		for n := range l.instances {
			instances = append(instances, startInstance(log, fmt.Sprintf("instance-%d", n), cfg))
		}
		time.Sleep(time.Second)
		before, start := log.Appends(), time.Now()
		result = l.offer(instances, s)
		for _, i := range instances {
			i.executor.Drain(context.Background())
		}
		result.appends = float64(log.Appends()-before) / time.Since(start).Seconds()
		for _, i := range instances {
			i.cancel()
			<-i.stopped
		}
	})
	slices.Sort(result.latencies)
	return result
}

func (l loadTest) offer(instances []*instance, s *service) loadResult {
	var result loadResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	r := rand.New(rand.NewPCG(1, 1))
	result.offered = int(l.duration.Seconds() * float64(l.perSecond))
	for n := range result.offered {
		key := newKey(r, time.Now())
		i := instances[n%len(instances)]
		wg.Go(func() {
			start := time.Now()
			outcome := l.order(i, s, key)
			mu.Lock()
			defer mu.Unlock()
			result.latencies = append(result.latencies, time.Since(start))
			if _, ok := outcome.(receipt.Answered); ok {
				result.answered++
			}
		})
		time.Sleep(time.Second / time.Duration(l.perSecond))
	}
	wg.Wait()
	return result
}

func (l loadTest) order(i *instance, s *service, key string) receipt.Outcome {
	send := s.dispatch(i, key)
	return i.executor.Do(context.Background(), Request{
		Attempt: key,
		Caller:  "studio-a",
		Key:     key,
		Timeout: 2 * time.Second,
	}, func(ctx context.Context, sent receipt.Sent) receipt.Outcome {
		if l.dispatchRecord {
			raw, _ := benchmarkClaim().encode()
			_, _ = i.executor.batcher.Submit(ctx, raw)
		}
		return send(ctx, sent)
	})
}

// TestOrdersShareAppends checks that the appends of all instances together stay below the
// rate limit of the log. It logs the figures of docs/design/orders.md.
func TestOrdersShareAppends(t *testing.T) {
	c := qt.New(t)
	for _, l := range []loadTest{
		{instances: 9, perSecond: 10},
		{instances: 9, perSecond: 300},
		{instances: 9, perSecond: 3000},
		{instances: 9, perSecond: 3000, dispatchRecord: true},
		{instances: 9, perSecond: 6000},
		{instances: 36, perSecond: 3000},
	} {
		l.duration = time.Second
		l.maxAppendsPerSecond = 300
		l.logLatency = 4 * time.Millisecond
		result := l.run(t)
		t.Logf("%d instances, %d orders/s, dispatch record %v: %d of %d answered, %.0f appends/s, p50 %v, p95 %v, p99 %v",
			l.instances, l.perSecond, l.dispatchRecord, result.answered, result.offered, result.appends, result.quantile(0.5), result.quantile(0.95), result.quantile(0.99))
		c.Check(result.answered, qt.Equals, result.offered)
		c.Check(result.appends < float64(l.maxAppendsPerSecond), qt.IsTrue, qt.Commentf("%.0f appends/s", result.appends))
		c.Check(result.quantile(0.95) < time.Second, qt.IsTrue, qt.Commentf("95th percentile %v", result.quantile(0.95)))
	}
}

func TestWindowMemoryPerKey(t *testing.T) {
	const keys = 12000
	c := qt.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := newWindow()
	r := rand.New(rand.NewPCG(1, 1))
	issued := time.Now()
	for range keys {
		var s keyHash
		for n := range s {
			s[n] = byte(r.Uint32())
		}
		w.applyClaim(s, issued, keyEntry{claim: r.Uint64()})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perKey := float64(after.HeapAlloc-before.HeapAlloc) / keys
	t.Logf("%.0f bytes for each of %d keys", perKey, w.size())
	c.Assert(perKey < 200, qt.IsTrue)
	runtime.KeepAlive(w)
}

// claimJSON is the claim record as JSON, for comparison with protobuf.
type claimJSON struct {
	Key    []byte `json:"key"`
	Claim  uint64 `json:"claim"`
	Issued int64  `json:"issued"`
	Digest uint64 `json:"digest"`
	Lease  int64  `json:"lease_ms"`
}

func benchmarkClaim() claim {
	return claim{
		key:    keyHash{1, 2, 3},
		issued: time.UnixMilli(1765000000000),
		id:     rand.Uint64(),
		digest: rand.Uint64(),
		lease:  10 * time.Second,
	}
}

func BenchmarkCodecProtobuf(b *testing.B) {
	c := benchmarkClaim()
	size := 0
	for b.Loop() {
		raw, _ := c.encode()
		size = len(raw)
		_, _ = decode(raw)
	}
	whole, _ := proto.Marshal(&ledgerpb.Batch{Items: [][]byte{make([]byte, size)}})
	b.ReportMetric(float64(len(whole)), "bytes/claim")
}

func BenchmarkCodecJSON(b *testing.B) {
	c := benchmarkClaim()
	size := 0
	for b.Loop() {
		raw, _ := json.Marshal(claimJSON{
			Key:    c.key[:],
			Claim:  c.id,
			Issued: c.issued.UnixMilli(),
			Digest: c.digest,
			Lease:  c.lease.Milliseconds(),
		})
		size = len(raw)
		var back claimJSON
		_ = json.Unmarshal(raw, &back)
	}
	b.ReportMetric(float64(size), "bytes/claim")
}
