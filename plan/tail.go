package plan

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan/planpb"
)

// tailLog lets a new reader start near the end of the documents stream. It
// presents the stream as if it began at the newest snapshot from which the
// accepted document can be derived. The amount of data that a new instance
// reads then does not grow with the log's retention.
type tailLog struct {
	ledger.Log
	readLimit int

	mu     sync.Mutex
	found  bool
	start  ledger.Offset
	search tailSearch
}

var _ ledger.Log = (*tailLog)(nil)

// tailSearch is the progress of the search for a snapshot. It resumes after a
// failed read, so that a slow platform only delays it.
type tailSearch struct {
	started bool
	// oldest is the first retained offset.
	oldest ledger.Offset
	// end is the offset from which on all records have been scanned.
	end ledger.Offset
	// bestAsOf is the highest offset covered by a valid snapshot found so far,
	// -1 for none.
	bestAsOf ledger.Offset
}

// isUsable reports whether all records after the best snapshot are retained.
func (s tailSearch) isUsable() bool { return s.bestAsOf >= 0 && s.bestAsOf >= s.oldest-1 }

// Read reads from the start that the search found. It searches again after a
// gap, and when the stream ends before the start.
func (l *tailLog) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	start, found := l.foundStart()
	if found && from >= start {
		page, err := l.Log.Read(ctx, stream, from, limit)
		if err != nil {
			return page, err
		}
		if page.Oldest <= from && page.End >= start {
			page.Oldest = max(page.Oldest, start)
			return page, nil
		}
	}
	start, err := l.findStart(ctx, stream)
	if err != nil {
		return ledger.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, max(start, from), limit)
	page.Oldest = max(page.Oldest, start)
	return page, err
}

func (l *tailLog) foundStart() (ledger.Offset, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.start, l.found
}

// findStart reads pages backward from the end until it finds a snapshot after
// which no record has been dropped.
func (l *tailLog) findStart(ctx context.Context, stream ledger.Stream) (ledger.Offset, error) {
	s, err := l.startSearch(ctx, stream)
	for err == nil && s.end > s.oldest && !s.isUsable() {
		s, err = l.scanBackward(ctx, stream, s)
		l.saveSearch(s)
	}
	if err != nil {
		return 0, err
	}
	start := s.oldest
	if s.isUsable() {
		start = s.bestAsOf + 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.found = true
	l.start = start
	l.search = tailSearch{}
	return start, nil
}

// startSearch returns the search in progress, or a new one from the end of the
// stream.
func (l *tailLog) startSearch(ctx context.Context, stream ledger.Stream) (tailSearch, error) {
	l.mu.Lock()
	s := l.search
	l.mu.Unlock()
	if s.started {
		return s, nil
	}
	page, err := l.Log.Read(ctx, stream, 0, 1)
	if err != nil {
		return tailSearch{}, fmt.Errorf("read bounds of %s: %w", stream, err)
	}
	s = tailSearch{
		started:  true,
		oldest:   page.Oldest,
		end:      page.End,
		bestAsOf: -1,
	}
	l.saveSearch(s)
	return s, nil
}

func (l *tailLog) saveSearch(s tailSearch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.search = s
}

// scanBackward scans the page before the records scanned so far. On an error it
// returns the search to resume from. If the stream now ends before s.end, the
// search starts over.
func (l *tailLog) scanBackward(ctx context.Context, stream ledger.Stream, s tailSearch) (tailSearch, error) {
	from := max(s.oldest, s.end-ledger.Offset(l.readLimit))
	for next := from; next < s.end; {
		page, err := l.Log.Read(ctx, stream, next, int(s.end-next))
		if err != nil {
			return s, fmt.Errorf("read tail of %s from offset %d: %w", stream, next, err)
		}
		if page.End < s.end || len(page.Records) == 0 {
			return tailSearch{}, fmt.Errorf("read tail of %s from offset %d: stream ends at %d", stream, next, page.End)
		}
		for _, record := range page.Records {
			s.bestAsOf = max(s.bestAsOf, bestSnapshotOffset(record, s.bestAsOf))
		}
		s.oldest = page.Oldest
		next = page.Records[len(page.Records)-1].Offset + 1
	}
	s.end = from
	return s, nil
}

// bestSnapshotOffset returns the offset that the record's snapshot covers if
// the snapshot is valid and that offset is higher than best, and best
// otherwise.
func bestSnapshotOffset(record ledger.Record, best ledger.Offset) ledger.Offset {
	var decoded planpb.Record
	if proto.Unmarshal(record.Payload, &decoded) != nil {
		return best
	}
	body := decoded.GetSnapshot()
	asOf := ledger.Offset(body.GetAsOf())
	if body == nil || asOf <= best || asOf >= record.Offset {
		return best
	}
	if _, err := decodeSnapshot(body); err != nil {
		return best
	}
	return asOf
}
