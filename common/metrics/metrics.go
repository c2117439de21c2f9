// Package metrics implements counters, gauges and latency histograms that are published
// by expvar.
//
// There is one histogram per quantity, caller and class, each with a lock of its own, so
// that callers don't contend for a lock. The histograms of a class over all callers are
// merged when they are read.
//
// # Usage
//
//	m := metrics.New("entry")
//	m.Count("refused", "limited")
//	m.Observe(metrics.TimeToFirstToken, "studio-a", "completion", 312*time.Millisecond)
package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantity is the quantity that a histogram measures, in milliseconds.
type Quantity string

// The quantities that are measured per caller and class.
const (
	TimeToFirstToken Quantity = "time_to_first_token_ms"
	TimePerToken     Quantity = "time_per_token_ms"
	QueueTime        Quantity = "queue_time_ms"
	CallTime         Quantity = "call_time_ms"
)

const (
	minUnits           = 1
	maxUnits           = 10 * 60 * 1000 * 10 // 10 minutes
	significantFigures = 1
	unitsPerMS         = 10 // histogram values are tenths of a millisecond
)

type seriesKey struct {
	quantity Quantity
	caller   string
	class    string
}

type series struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Metrics is a set of counters, gauges and histograms. It is safe for concurrent use.
type Metrics struct {
	counters sync.Map // string to *atomic.Int64
	gauges   sync.Map // string to func() any
	series   sync.Map // seriesKey to *series
}

// New returns an empty set. If name isn't empty, the set is published under that name by
// expvar. The name must be unique in the process.
func New(name string) *Metrics {
	m := &Metrics{}
	if name != "" {
		expvar.Publish(name, m)
	}
	return m
}

// Count increments the counter of a kind and detail.
func (m *Metrics) Count(kind, detail string) { m.Add(kind, detail, 1) }

// Add adds n to the counter of a kind and detail.
func (m *Metrics) Add(kind, detail string, n int64) {
	key := kind + "." + detail
	v, ok := m.counters.Load(key)
	if !ok {
		v, _ = m.counters.LoadOrStore(key, new(atomic.Int64))
	}
	v.(*atomic.Int64).Add(n)
}

// Counter returns the value of a counter, or 0 if nothing was counted.
func (m *Metrics) Counter(kind, detail string) int64 {
	v, ok := m.counters.Load(kind + "." + detail)
	if !ok {
		return 0
	}
	return v.(*atomic.Int64).Load()
}

// Gauge registers read, which returns the current value of a gauge. It must be safe for
// concurrent use.
func (m *Metrics) Gauge(name string, read func() any) { m.gauges.Store(name, read) }

// Observe records a duration for a caller and class. Durations above 10 minutes are
// recorded as 10 minutes.
func (m *Metrics) Observe(quantity Quantity, caller, class string, d time.Duration) {
	key := seriesKey{
		quantity: quantity,
		caller:   caller,
		class:    class,
	}
	v, ok := m.series.Load(key)
	if !ok {
		v, _ = m.series.LoadOrStore(key, &series{histogram: newHistogram()})
	}
	s := v.(*series)
	value := min(max(int64(d/(time.Millisecond/unitsPerMS)), minUnits), maxUnits)
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.histogram.RecordValue(value)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minUnits, maxUnits, significantFigures)
}

// Summary holds the percentiles of a histogram. All but Count are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func summarize(h *hdrhistogram.Histogram) Summary {
	percentile := func(p float64) float64 {
		return float64(h.ValueAtQuantile(p)) / unitsPerMS
	}
	return Summary{
		Count: h.TotalCount(),
		P50:   percentile(50),
		P95:   percentile(95),
		P99:   percentile(99),
		Max:   float64(h.Max()) / unitsPerMS,
	}
}

// Report is a snapshot of a set.
type Report struct {
	Counters map[string]int64 `json:"counters"`
	Gauges   map[string]any   `json:"gauges"`
	// Callers maps quantity, caller and class to summaries.
	Callers map[Quantity]map[string]map[string]Summary `json:"callers"`
	// Classes maps quantity and class to summaries over all callers.
	Classes map[Quantity]map[string]Summary `json:"classes"`
}

// Report returns a snapshot of the set.
func (m *Metrics) Report() Report {
	report := Report{
		Counters: map[string]int64{},
		Gauges:   map[string]any{},
		Callers:  map[Quantity]map[string]map[string]Summary{},
		Classes:  map[Quantity]map[string]Summary{},
	}
	m.counters.Range(func(key, v any) bool {
		report.Counters[key.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	m.gauges.Range(func(key, read any) bool {
		report.Gauges[key.(string)] = read.(func() any)()
		return true
	})
	m.reportSeries(&report)
	return report
}

func (m *Metrics) reportSeries(report *Report) {
	totals := map[Quantity]map[string]*hdrhistogram.Histogram{}
	m.series.Range(func(k, v any) bool {
		key, s := k.(seriesKey), v.(*series)
		if report.Callers[key.quantity] == nil {
			report.Callers[key.quantity] = map[string]map[string]Summary{}
			totals[key.quantity] = map[string]*hdrhistogram.Histogram{}
		}
		if report.Callers[key.quantity][key.caller] == nil {
			report.Callers[key.quantity][key.caller] = map[string]Summary{}
		}
		total := totals[key.quantity][key.class]
		if total == nil {
			total = newHistogram()
			totals[key.quantity][key.class] = total
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		report.Callers[key.quantity][key.caller][key.class] = summarize(s.histogram)
		total.Merge(s.histogram)
		return true
	})
	for quantity, classes := range totals {
		report.Classes[quantity] = map[string]Summary{}
		for class, total := range classes {
			report.Classes[quantity][class] = summarize(total)
		}
	}
}

// String implements expvar.Var. It returns the set as JSON.
func (m *Metrics) String() string {
	raw, err := json.Marshal(m.Report())
	if err != nil {
		return "{}"
	}
	return string(raw)
}

var _ expvar.Var = (*Metrics)(nil)
