package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/common/settings"
	"github.com/balsamlock/balsamlock/ledger/ledgerpb"
)

var (
	// ErrNotAppended means that the items are not in the log and will not be appended.
	ErrNotAppended = errors.New("item not appended")
	// ErrUncertain means that the items may be in the log or may still be appended.
	ErrUncertain = errors.New("item may have been appended")
)

// BatcherConfig configures a Batcher. Times are in milliseconds.
type BatcherConfig struct {
	Follower FollowerConfig `json:"follower"`
	// MaxBatchBytes is the maximum size of the items in one append, in bytes.
	MaxBatchBytes int `json:"max_batch_bytes"`
	// MaxQueueBytes is the maximum size of the queued items, in bytes.
	MaxQueueBytes int `json:"max_queue_bytes"`
	// MaxInFlight is the maximum number of concurrent appends.
	MaxInFlight int `json:"max_in_flight"`
	// AppendTimeoutMS is the timeout of one append.
	AppendTimeoutMS int `json:"append_timeout_ms"`
	// ReadBackMS is how long a batch is searched for in the log before its append is
	// retried.
	ReadBackMS int `json:"read_back_ms"`
	// CommitTimeoutMS is the maximum time from the first append of a batch until it is
	// read back.
	CommitTimeoutMS int `json:"commit_timeout_ms"`
	// AppendsPerSecond is the append rate that all writers of the stream share. It is the
	// stream's part of the log's rate limit.
	AppendsPerSecond float64 `json:"appends_per_second"`
}

// DefaultBatcherConfig returns the default configuration.
func DefaultBatcherConfig() BatcherConfig {
	return BatcherConfig{
		Follower:         DefaultFollowerConfig(),
		MaxBatchBytes:    256 << 10,
		MaxQueueBytes:    8 << 20,
		MaxInFlight:      4,
		AppendTimeoutMS:  1500,
		ReadBackMS:       500,
		CommitTimeoutMS:  4000,
		AppendsPerSecond: 150,
	}
}

// Check reports invalid values to p.
func (cfg BatcherConfig) Check(p *settings.Problems) {
	cfg.Follower.Check(p)
	p.Positive("max_batch_bytes", cfg.MaxBatchBytes)
	p.Positive("max_queue_bytes", cfg.MaxQueueBytes)
	p.Positive("max_in_flight", cfg.MaxInFlight)
	p.Positive("append_timeout_ms", cfg.AppendTimeoutMS)
	p.Positive("read_back_ms", cfg.ReadBackMS)
	p.Add(cfg.CommitTimeoutMS >= cfg.AppendTimeoutMS, "commit_timeout_ms", cfg.CommitTimeoutMS, "a time not below append_timeout_ms")
	p.Add(cfg.AppendsPerSecond > 0, "appends_per_second", cfg.AppendsPerSecond, "a number greater than 0")
}

// Entry is one item of a batch that was read from the log.
type Entry struct {
	// Offset is the offset of the batch, and Index is the index of the item in the batch.
	// Together they define the order of all items of a stream.
	Offset Offset
	Index  int
	// At is the time of the append by the clock of the log.
	At time.Time
	// Writer is the id of the instance that wrote the batch.
	Writer string
	Item   []byte
}

// EntryHandler processes the entries of a stream. Its methods are called from one
// goroutine. The same batch may be in the log twice, because appends are retried. The
// first occurrence counts.
type EntryHandler interface {
	// Restart drops all state that was built from earlier entries.
	Restart(reason RestartReason, oldest Offset)
	// Apply processes the entries of one record in order.
	Apply(entries []Entry)
}

// BatcherDeps are the dependencies of a Batcher.
type BatcherDeps struct {
	Log    Log
	Stream Stream
	// Writer is the id of this instance. Each start has a new id.
	Writer  string
	Handler EntryHandler
	Config  BatcherConfig
}

// batch is a set of items that are appended in one record.
type batch struct {
	sequence uint64
	items    [][]byte
	bytes    int
	done     chan struct{}
	offset   Offset
	err      error
}

// Batcher appends the items of many requests in batches, and reads each batch back before
// it reports success.
type Batcher struct {
	deps     BatcherDeps
	follower *Follower
	limiter  *rateLimiter
	// notify wakes the append loop if a batch is queued.
	notify chan struct{}
	// slots limits the number of concurrent appends.
	slots chan struct{}

	mu          sync.Mutex
	queue       []*batch
	queuedBytes int
	sequence    uint64
	// readBacks holds a channel for each batch that is being committed, by sequence. It
	// receives the offset when the batch is read back.
	readBacks map[uint64]chan Offset
}

// NewBatcher returns a batcher. It appends items while Run runs.
func NewBatcher(deps BatcherDeps) *Batcher {
	b := &Batcher{
		deps:      deps,
		limiter:   newRateLimiter(deps.Config.AppendsPerSecond),
		notify:    make(chan struct{}, 1),
		slots:     make(chan struct{}, deps.Config.MaxInFlight),
		readBacks: map[uint64]chan Offset{},
	}
	b.follower = NewFollower(FollowerDeps{
		Log:     deps.Log,
		Stream:  deps.Stream,
		Handler: b,
		Config:  deps.Config.Follower,
	})
	return b
}

// State returns the state of the follower.
func (b *Batcher) State() FollowerState { return b.follower.State() }

// Follower returns the follower of the stream.
func (b *Batcher) Follower() *Follower { return b.follower }

// Run follows the stream and appends batches until the context ends.
func (b *Batcher) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	stop := func(error) { cancel() }
	group.Add(func() error { return b.follower.Run(ctx) }, stop)
	group.Add(func() error { return b.appendLoop(ctx) }, stop)
	return group.Run()
}

// Submit appends the items in one batch. It returns the offset of the batch after the
// batch was read back and its entries were applied. Errors match ErrNotAppended or
// ErrUncertain.
func (b *Batcher) Submit(ctx context.Context, items ...[]byte) (Offset, error) {
	pending, err := b.enqueue(items)
	if err != nil {
		return 0, err
	}
	select {
	case <-pending.done:
		return pending.offset, pending.err
	case <-ctx.Done():
		return 0, fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrUncertain, ctx.Err())
	}
}

func (b *Batcher) enqueue(items [][]byte) (*batch, error) {
	size := 0
	for _, item := range items {
		size += len(item)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queuedBytes > 0 && b.queuedBytes+size > b.deps.Config.MaxQueueBytes {
		return nil, fmt.Errorf("append to %s: queue is full with %d bytes: %w", b.deps.Stream, b.queuedBytes, ErrNotAppended)
	}
	last := b.openBatch(size)
	last.items = append(last.items, items...)
	last.bytes += size
	b.queuedBytes += size
	select {
	case b.notify <- struct{}{}:
	default:
	}
	return last, nil
}

// openBatch returns the last queued batch if it has capacity for size more bytes, or a
// new one.
func (b *Batcher) openBatch(size int) *batch {
	if n := len(b.queue); n > 0 && b.queue[n-1].bytes+size <= b.deps.Config.MaxBatchBytes {
		return b.queue[n-1]
	}
	b.sequence++
	last := &batch{
		sequence: b.sequence,
		done:     make(chan struct{}),
	}
	b.queue = append(b.queue, last)
	return last
}

// dequeue removes and returns the oldest batch of the queue. It returns nil if the queue
// is empty.
func (b *Batcher) dequeue() *batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return nil
	}
	first := b.queue[0]
	b.queue = b.queue[1:]
	b.queuedBytes -= first.bytes
	return first
}

// Restart calls the handler's Restart.
func (b *Batcher) Restart(reason RestartReason, oldest Offset) {
	b.deps.Handler.Restart(reason, oldest)
}

// Apply decodes the batches in the records, passes their entries to the handler and
// completes the commits of this writer's batches.
func (b *Batcher) Apply(records []Record) {
	for _, record := range records {
		var decoded ledgerpb.Batch
		if err := proto.Unmarshal(record.Payload, &decoded); err != nil {
			log.Error().Str("step", "decode").Str("stream", string(b.deps.Stream)).
				Int64("offset", int64(record.Offset)).Err(err).Msg("skipped invalid record")
			continue
		}
		b.deps.Handler.Apply(toEntries(record, &decoded))
		b.limiter.observeWriter(decoded.GetWriter(), time.Now())
		if decoded.GetWriter() == b.deps.Writer {
			b.notifyReadBack(decoded.GetSequence(), record.Offset)
		}
	}
}

// ReadEntries reads the entries of the record at the given offset from the log.
func (b *Batcher) ReadEntries(ctx context.Context, offset Offset) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, millis(b.deps.Config.Follower.ReadTimeoutMS))
	defer cancel()
	page, err := b.deps.Log.Read(ctx, b.deps.Stream, offset, 1)
	if err != nil {
		return nil, fmt.Errorf("read %s at offset %d: %w", b.deps.Stream, offset, err)
	}
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return nil, fmt.Errorf("read %s: no record at offset %d", b.deps.Stream, offset)
	}
	var decoded ledgerpb.Batch
	if err := proto.Unmarshal(page.Records[0].Payload, &decoded); err != nil {
		return nil, fmt.Errorf("read %s at offset %d: %w", b.deps.Stream, offset, err)
	}
	return toEntries(page.Records[0], &decoded), nil
}

func toEntries(record Record, decoded *ledgerpb.Batch) []Entry {
	entries := make([]Entry, 0, len(decoded.GetItems()))
	for i, item := range decoded.GetItems() {
		entries = append(entries, Entry{
			Offset: record.Offset,
			Index:  i,
			At:     record.At,
			Writer: decoded.GetWriter(),
			Item:   item,
		})
	}
	return entries
}

func (b *Batcher) notifyReadBack(sequence uint64, offset Offset) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if observed, ok := b.readBacks[sequence]; ok {
		observed <- offset
		delete(b.readBacks, sequence)
	}
}

var _ Handler = (*Batcher)(nil)
