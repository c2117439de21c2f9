package standin

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamlock/balsamlock/ledger"
)

// PlatformConfig configures a stand-in platform.
type PlatformConfig struct {
	// AppendsPerSecond is the rate limit of appends to all streams, and AppendBurst its
	// burst.
	AppendsPerSecond float64 `json:"appends_per_second"`
	AppendBurst      int     `json:"append_burst"`
	// AppendMS is the duration of an append. ReadMS is the duration of a read of a
	// stream or of the instance list.
	AppendMS int64 `json:"append_ms"`
	ReadMS   int64 `json:"read_ms"`
	// RetentionMS is how long records are kept. If it is 0, they are kept forever.
	// RetentionRecords is the maximum number of records in each stream.
	RetentionMS      int64 `json:"retention_ms"`
	RetentionRecords int   `json:"retention_records"`
	MaxRecordBytes   int   `json:"max_record_bytes"`
	// ListLagMS is the delay after which a change is visible in the instance list.
	ListLagMS int64 `json:"list_lag_ms"`
	// WeightBytesPerSecond is the bandwidth of the weight store, and WeightBytes the
	// size of one model or adapter.
	WeightBytesPerSecond float64 `json:"weight_bytes_per_second"`
	WeightBytes          int64   `json:"weight_bytes"`
}

// DefaultPlatformConfig returns the configuration of a platform with 400 appends
// per second.
func DefaultPlatformConfig() PlatformConfig {
	return PlatformConfig{
		AppendsPerSecond:     400,
		AppendBurst:          100,
		AppendMS:             3,
		ReadMS:               2,
		RetentionMS:          3600000,
		RetentionRecords:     200000,
		MaxRecordBytes:       8 << 20,
		ListLagMS:            1000,
		WeightBytesPerSecond: 1e9,
		WeightBytes:          1e9,
	}
}

// maxReadRecords is the maximum number of records in one page of a stream.
const maxReadRecords = 5000

type logStream struct {
	oldest  ledger.Offset
	records []ledger.Record
}

type listChange struct {
	visibleAt time.Time
	id        string
	present   bool
	// instance and expiresAt are set if present is true. If expiresAt is zero, the entry
	// doesn't expire.
	instance  ledger.ListedInstance
	expiresAt time.Time
}

type registration struct {
	instance  ledger.ListedInstance
	expiresAt time.Time
}

// Platform is a stand-in for the platform's log, instance list and weight
// store. It is safe for concurrent use.
type Platform struct {
	cfg     PlatformConfig
	faults  *Faults
	limiter *rate.Limiter
	weights *Link

	mu             sync.Mutex
	streams        map[ledger.Stream]*logStream
	appends        int64
	pendingChanges []listChange
	listed         map[string]registration
	registered     map[string]registration
}

// NewPlatform returns an empty platform.
func NewPlatform(cfg PlatformConfig) *Platform {
	return &Platform{
		cfg:        cfg,
		faults:     NewFaults(),
		limiter:    rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendBurst),
		weights:    NewLink(cfg.WeightBytesPerSecond),
		streams:    map[ledger.Stream]*logStream{},
		listed:     map[string]registration{},
		registered: map[string]registration{},
	}
}

// Faults returns the platform's fault rules.
func (p *Platform) Faults() *Faults { return p.faults }

// Appends returns the number of appends that took effect.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

func (p *Platform) applyFaultsBefore(ctx context.Context, call string) error {
	err := p.faults.applyBefore(ctx, call)
	switch {
	case errors.Is(err, errRefused):
		return fmt.Errorf("%s: %w", call, ledger.ErrRefused)
	case errors.Is(err, errOutage):
		return fmt.Errorf("%s: %w", call, ledger.ErrUnavailable)
	}
	return err
}

// Append appends a record to a stream and returns its offset. The record takes
// effect after half of AppendMS, so an append that fails later may have taken effect.
func (p *Platform) Append(ctx context.Context, stream ledger.Stream, payload []byte) (ledger.Offset, error) {
	const call = "append"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return 0, err
	}
	if len(payload) > p.cfg.MaxRecordBytes || stream == "" {
		return 0, fmt.Errorf("append: %w: at most %d bytes", ledger.ErrRefused, p.cfg.MaxRecordBytes)
	}
	if !p.limiter.Allow() {
		return 0, fmt.Errorf("append: %w: over %g appends a second", ledger.ErrRefused, p.cfg.AppendsPerSecond)
	}
	halfDelay := time.Duration(p.cfg.AppendMS) * time.Millisecond / 2
	if err := sleep(ctx, halfDelay); err != nil {
		return 0, err
	}
	offset := p.append(stream, payload)
	if err := sleep(ctx, halfDelay); err != nil {
		return 0, err
	}
	return offset, p.faults.applyAfter(ctx, call)
}

func (p *Platform) append(stream ledger.Stream, payload []byte) ledger.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[stream]
	if s == nil {
		s = &logStream{}
		p.streams[stream] = s
	}
	offset := s.end()
	s.records = append(s.records, ledger.Record{
		Offset:  offset,
		At:      time.Now(),
		Payload: slices.Clone(payload),
	})
	p.appends++
	p.applyRetention(s)
	return offset
}

func (s *logStream) end() ledger.Offset {
	return s.oldest + ledger.Offset(len(s.records))
}

// applyRetention drops the records beyond the retention limits.
func (p *Platform) applyRetention(s *logStream) {
	drop := max(0, len(s.records)-p.cfg.RetentionRecords)
	if p.cfg.RetentionMS > 0 {
		limit := time.Now().Add(-time.Duration(p.cfg.RetentionMS) * time.Millisecond)
		for drop < len(s.records) && s.records[drop].At.Before(limit) {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.oldest += ledger.Offset(drop)
}

// Read returns up to limit records of a stream, starting at an offset.
func (p *Platform) Read(ctx context.Context, stream ledger.Stream, from ledger.Offset, limit int) (ledger.Page, error) {
	const call = "read"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return ledger.Page{}, err
	}
	if err := sleep(ctx, time.Duration(p.cfg.ReadMS)*time.Millisecond); err != nil {
		return ledger.Page{}, err
	}
	page := p.read(stream, from, limit)
	if err := p.faults.applyAfter(ctx, call); err != nil {
		return ledger.Page{}, err
	}
	return page, nil
}

func (p *Platform) read(stream ledger.Stream, from ledger.Offset, limit int) ledger.Page {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[stream]
	if s == nil {
		return ledger.Page{}
	}
	p.applyRetention(s)
	page := ledger.Page{
		Oldest: s.oldest,
		End:    s.end(),
	}
	first := int(max(from-s.oldest, 0))
	if first >= len(s.records) {
		return page
	}
	last := min(len(s.records), first+min(max(limit, 0), maxReadRecords))
	page.Records = slices.Clone(s.records[first:last])
	return page
}

// Trim drops the records before an offset, as if their retention had expired.
func (p *Platform) Trim(stream ledger.Stream, before ledger.Offset) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[stream]
	if s == nil || before <= s.oldest {
		return
	}
	n := min(int(before-s.oldest), len(s.records))
	s.records = s.records[n:]
	s.oldest += ledger.Offset(n)
}

// FetchWeights returns once the weight store has delivered the weights. Concurrent
// fetches are delivered one after the other.
func (p *Platform) FetchWeights(ctx context.Context, model, version string) error {
	const call = "weights"
	if err := p.applyFaultsBefore(ctx, call); err != nil {
		return err
	}
	if model == "" || version == "" {
		return fmt.Errorf("weights: %w: model and version are required", ledger.ErrRefused)
	}
	if err := p.weights.Transfer(ctx, nil, p.cfg.WeightBytes); err != nil {
		return err
	}
	return p.faults.applyAfter(ctx, call)
}

// WeightBytesSent returns the number of bytes requested from the weight store,
// including those not yet delivered.
func (p *Platform) WeightBytesSent() int64 { return p.weights.Sent() }

var (
	_ ledger.Log       = (*Platform)(nil)
	_ ledger.Instances = (*Platform)(nil)
	_ ledger.Registry  = (*Platform)(nil)
	_ WeightFetcher    = (*Platform)(nil)
)
