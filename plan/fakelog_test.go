package plan_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/ledger"
	"github.com/balsamlock/balsamlock/plan"
	"github.com/balsamlock/balsamlock/plan/planpb"
)

var errResponseLost = errors.New("response lost")

// fakeLog is an in-memory log with fault injection. It keeps all records,
// including expired ones, in appended, so that acceptedDocuments can evaluate
// them.
type fakeLog struct {
	mu       sync.Mutex
	rng      *rand.Rand
	appended []ledger.Record
	oldest   ledger.Offset
	// retention is the age at which records expire; zero keeps all records.
	retention time.Duration
	latency   time.Duration
	down      bool
	// lossRate is the fraction of appends whose response is lost. A third of
	// these append the record immediately, a third later, and a third never.
	lossRate  float64
	reads     int
	bytesRead int
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		latency: 5 * time.Millisecond,
	}
}

func (l *fakeLog) update(change func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) expire() {
	for l.retention > 0 && int(l.oldest) < len(l.appended) && time.Since(l.appended[l.oldest].At) > l.retention {
		l.oldest++
	}
}

func (l *fakeLog) appendRecord(payload []byte) ledger.Offset {
	l.appended = append(l.appended, ledger.Record{
		Offset:  ledger.Offset(len(l.appended)),
		At:      time.Now(),
		Payload: payload,
	})
	return ledger.Offset(len(l.appended) - 1)
}

func (l *fakeLog) simulateNetwork(ctx context.Context) error {
	l.mu.Lock()
	down, d := l.down, l.latency
	l.mu.Unlock()
	if down {
		return fmt.Errorf("log: %w", ledger.ErrUnavailable)
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *fakeLog) Append(ctx context.Context, _ ledger.Stream, payload []byte) (ledger.Offset, error) {
	if err := l.simulateNetwork(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng.Float64() >= l.lossRate {
		return l.appendRecord(payload), nil
	}
	switch l.rng.IntN(3) {
	case 0:
		l.appendRecord(payload)
	case 1:
		time.AfterFunc(time.Duration(l.rng.IntN(5000))*time.Millisecond, func() {
			l.update(func(l *fakeLog) { l.appendRecord(payload) })
		})
	}
	return 0, errResponseLost
}

func (l *fakeLog) Read(ctx context.Context, _ ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	if err := l.simulateNetwork(ctx); err != nil {
		return ledger.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	l.reads++
	page := ledger.Page{
		Oldest: l.oldest,
		End:    ledger.Offset(len(l.appended)),
	}
	from = max(from, l.oldest)
	if from < page.End {
		page.Records = append(page.Records, l.appended[from:min(page.End, from+ledger.Offset(limit))]...)
	}
	for _, record := range page.Records {
		l.bytesRead += len(record.Payload)
	}
	return page, nil
}

var _ ledger.Log = (*fakeLog)(nil)

// acceptedDocuments evaluates every record ever appended and returns the
// accepted documents. It shares only the validation of documents with the code
// under test: the first valid document on the current base wins.
func (l *fakeLog) acceptedDocuments() []plan.Accepted {
	l.mu.Lock()
	defer l.mu.Unlock()
	var accepted []plan.Accepted
	base := ""
	for _, record := range l.appended {
		id, document, ok := decodeValidProposal(record.Payload)
		if !ok || document.Base != base {
			continue
		}
		base = document.Digest()
		accepted = append(accepted, plan.Accepted{
			Version:  plan.Version(record.Offset),
			RecordID: id,
			Digest:   base,
			Base:     document.Base,
		})
	}
	return accepted
}

// decodeValidProposal decodes a payload. It returns false unless the payload is
// a proposal with a valid document.
func decodeValidProposal(payload []byte) (id string, document plan.Document, ok bool) {
	var record planpb.Record
	if proto.Unmarshal(payload, &record) != nil || record.GetProposal() == nil {
		return "", plan.Document{}, false
	}
	r, err := gzip.NewReader(bytes.NewReader(record.GetProposal().GetDocument()))
	if err != nil {
		return "", plan.Document{}, false
	}
	raw, err := io.ReadAll(r)
	if err != nil {
		return "", plan.Document{}, false
	}
	document, findings := plan.Validate(raw)
	return record.GetId(), document, len(findings) == 0
}

// switchLog forwards to a log that can be replaced.
type switchLog struct {
	mu  sync.Mutex
	log ledger.Log
}

func (s *switchLog) set(log ledger.Log) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = log
}

func (s *switchLog) get() ledger.Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log
}

func (s *switchLog) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	return s.get().Append(ctx, stream, payload)
}

func (s *switchLog) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	return s.get().Read(ctx, stream, from, limit)
}
