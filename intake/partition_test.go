package intake

import (
	"fmt"
	"testing"
)

// BenchmarkLane measures one request passing through a partition while each caller has
// one request waiting.
func BenchmarkLane(b *testing.B) {
	for _, callers := range []int{10, 400, 4000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			p := newPartition(QueueConfig{})
			names := make([]string, callers)
			for i := range names {
				names[i] = fmt.Sprint("caller-", i)
				p.enqueue(newTurn(p, names[i]))
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				p.enqueue(newTurn(p, names[i%callers]))
				p.placed(p.placing)
			}
		})
	}
}

func newTurn(p *partition, caller string) *Turn {
	return &Turn{
		partition: p,
		entry: Entry{
			Caller: caller,
			Cost:   1000,
		},
	}
}
