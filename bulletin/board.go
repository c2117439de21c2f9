package bulletin

import (
	"context"
	"sync"

	"github.com/balsamlock/balsamlock/bulletin/bulletinpb"
	"github.com/balsamlock/balsamlock/common/uptime"
)

// Board holds what this instance has read itself, and serves it to the others. It is safe
// for concurrent use.
type Board struct {
	mu      sync.Mutex
	reports map[Log]Report
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{reports: map[Log]Report{}} }

// Record adds a read of a log to its report. It reports whether the read begins another series,
// so that the report asserts nothing of earlier reads any more.
func (b *Board) Record(log Log, read Extent) (beginsSeries bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.reports[log]
	b.reports[log] = before.With(read)
	return !before.isContinuedBy(read)
}

// Put replaces the report of a log.
func (b *Board) Put(log Log, report Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[log] = report
}

// Forget drops what was read of a log, because this instance doesn't read all of it any
// more.
func (b *Board) Forget(log Log) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reports, log)
}

// Read returns what this instance has read.
func (b *Board) Read(context.Context, *bulletinpb.ReadRequest) (*bulletinpb.ReadReply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := uptime.Now()
	reply := &bulletinpb.ReadReply{}
	for log, report := range b.reports {
		if report.AsOf.IsZero() {
			continue
		}
		reply.Reports = append(reply.Reports, &bulletinpb.Report{
			Log:     string(log),
			Checked: report.Checked,
			Changed: report.Changed,
			AgeMs:   1 + report.Age(now).Milliseconds(),
			Era:     report.Era,
		})
	}
	return reply, nil
}

var _ bulletinpb.Bulletin = (*Board)(nil)
