package crew

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlock/balsamlock/ledger"
)

const (
	// segmentBytes is the payload of a TCP segment. packetHeaderBytes is the size of
	// its headers.
	segmentBytes      = 1448
	packetHeaderBytes = 52
)

// wireCost is the cost of messages in addition to their payload.
type wireCost struct {
	// RequestBytes and ReplyBytes are the sizes of the HTTP headers of a call between
	// peers.
	RequestBytes int `json:"request_bytes"`
	ReplyBytes   int `json:"reply_bytes"`
	// PollBytes is the size of a complete poll of a load report, in both directions.
	PollBytes int `json:"poll_bytes"`
	// CallMicros is the CPU time of a call and PollMicros that of a poll, in
	// microseconds. Both include the two ends.
	CallMicros float64 `json:"call_us"`
	PollMicros float64 `json:"poll_us"`
	// ConnectionBytes is the memory of both ends of an idle connection.
	ConnectionBytes float64 `json:"connection_bytes"`
}

// meter counts what one instance sends and receives.
type meter struct {
	bytes    atomic.Int64
	messages atomic.Int64
	polls    atomic.Int64
	seconds  [maxMeteredSeconds]atomic.Int64
}

// maxMeteredSeconds is the time during which a meter also counts bytes per second.
const maxMeteredSeconds = 900

// traffic counts what all instances send and receive.
type traffic struct {
	cost   wireCost
	start  time.Time
	meters sync.Map // host to *meter

	messages    atomic.Int64
	crossRegion atomic.Int64
	polls       atomic.Int64
	lists       atomic.Int64
	listBytes   atomic.Int64
}

// wireBytes returns the size of n bytes on the wire, including packet headers.
func wireBytes(n int) int {
	packets := (n+segmentBytes-1)/segmentBytes + 1
	return n + packets*packetHeaderBytes
}

func (t *traffic) meter(host string) *meter {
	found, ok := t.meters.Load(host)
	if !ok {
		found, _ = t.meters.LoadOrStore(host, &meter{})
	}
	return found.(*meter)
}

func (t *traffic) add(host string, n int) {
	m := t.meter(host)
	m.bytes.Add(int64(n))
	second := int(time.Since(t.start) / time.Second)
	if second >= 0 && second < maxMeteredSeconds {
		m.seconds[second].Add(int64(n))
	}
}

// count counts a message at both ends.
func (t *traffic) count(from, to location, n int, reply bool) {
	header := t.cost.RequestBytes
	if reply {
		header = t.cost.ReplyBytes
	}
	n = wireBytes(n + header)
	t.messages.Add(1)
	for _, host := range []string{from.host, to.host} {
		t.add(host, n)
		t.meter(host).messages.Add(1)
	}
	if from.region != to.region {
		t.crossRegion.Add(int64(n))
	}
}

func (t *traffic) countPoll(s location) {
	t.polls.Add(1)
	t.add(s.host, wireBytes(t.cost.PollBytes/2)*2)
	t.meter(s.host).messages.Add(2)
	t.meter(s.host).polls.Add(1)
}

func (t *traffic) countList(s location, entries []ledger.ListedInstance) {
	raw, _ := json.Marshal(entries[:min(len(entries), 20)])
	n := wireBytes(len(raw) * len(entries) / max(min(len(entries), 20), 1))
	t.lists.Add(1)
	t.listBytes.Add(int64(n))
	t.add(s.host, n)
	t.meter(s.host).messages.Add(2)
}

// total returns the sum of a counter over all instances.
func (t *traffic) total(of func(m *meter) int64) int64 {
	var sum int64
	t.meters.Range(func(_, m any) bool {
		sum += of(m.(*meter))
		return true
	})
	return sum
}
