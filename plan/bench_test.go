package plan_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"runtime"
	"testing"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
)

// sizedDocument returns a valid document with the given numbers of callers and
// engines, five models and five data centres.
func sizedDocument(callers, engines int) plan.Document {
	const models, dataCentres = 5, 5
	d := plan.Document{FormatVersion: plan.FormatVersion}
	for i := range models {
		d.Models = append(d.Models, plan.Model{
			Name:            fmt.Sprintf("model-%d", i),
			Version:         "1",
			FirstTokenMS:    460,
			PerTokenMS:      27,
			MaxPromptTokens: 32000,
			MaxOutputTokens: 8000,
			KVBytesPerToken: 131072,
		})
	}
	for i := range dataCentres {
		region := i % 2
		if len(d.Regions) <= region {
			d.Regions = append(d.Regions, plan.Region{Name: fmt.Sprintf("region-%d", region)})
		}
		d.Regions[region].DataCentres = append(d.Regions[region].DataCentres, fmt.Sprintf("place-%d", i))
	}
	for i := range models * dataCentres * 2 {
		d.Pools = append(d.Pools, plan.Pool{
			Name:       fmt.Sprintf("pool-%d", i),
			Model:      fmt.Sprintf("model-%d", i%models),
			DataCentre: fmt.Sprintf("place-%d", i/models%dataCentres),
			Role:       []string{plan.RolePrefill, plan.RoleDecode}[i/(models*dataCentres)],
		})
	}
	for i := range engines {
		pool := d.Pools[i%len(d.Pools)]
		d.Servers = append(d.Servers, plan.Server{
			Name:       fmt.Sprintf("engine-%d", i),
			Address:    fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250+1),
			DataCentre: pool.DataCentre,
			Kind:       plan.KindEngine,
			Pool:       pool.Name,
			Slots:      20,
		})
	}
	for i := range callers {
		sum := sha256.Sum256([]byte(fmt.Sprint(i)))
		d.Callers = append(d.Callers, plan.Caller{
			Name:      fmt.Sprintf("caller-%d", i),
			KeySHA256: []string{hex.EncodeToString(sum[:])},
			Priority:  i % 10,
			Weight:    100,
			Models:    []string{fmt.Sprintf("model-%d", i%models)},
			Limits: plan.Limits{
				RequestsPerSecond: 20,
				TokensPerSecond:   40000,
				Concurrent:        40,
			},
		})
	}
	return d
}

var sizes = []struct{ callers, engines int }{{500, 98}, {1000, 195}, {2000, 390}, {4000, 780}}

// BenchmarkAccept measures what an instance does for a new document: decode,
// check, digest and index.
func BenchmarkAccept(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("callers=%d", size.callers), func(b *testing.B) {
			document := sizedDocument(size.callers, size.engines)
			payload, err := plan.EncodeProposal("id", document)
			if err != nil {
				b.Fatal(err)
			}
			record := ledger.Record{Payload: payload}
			b.ReportAllocs()
			for b.Loop() {
				state, result := plan.ApplyRecord(plan.NewState().WithStart(0), record)
				if _, ok := result.(plan.ProposalAccepted); !ok {
					b.Fatalf("%+v", result)
				}
				plan.NewIndex(state.Snapshot().Document)
			}
			b.ReportMetric(float64(len(payload)), "record-bytes")
			b.ReportMetric(float64(len(document.Encode())), "document-bytes")
		})
	}
}

// BenchmarkIndexMemory measures the heap size of a document and its index.
func BenchmarkIndexMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("callers=%d", size.callers), func(b *testing.B) {
			raw := sizedDocument(size.callers, size.engines).Encode()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&before)
			document, err := plan.Decode(raw)
			if err != nil {
				b.Fatal(err)
			}
			index := plan.NewIndex(document)
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(index)
			runtime.KeepAlive(raw)
		})
	}
}

// BenchmarkCallerByKey measures the lookup of a caller in the request path.
func BenchmarkCallerByKey(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("callers=%d", size.callers), func(b *testing.B) {
			index := plan.NewIndex(sizedDocument(size.callers, size.engines))
			for b.Loop() {
				if _, ok := index.CallerByKey("77"); !ok {
					b.Fatal("no caller")
				}
			}
		})
	}
}
