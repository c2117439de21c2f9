package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/ledger/ledgerpb"
)

// write appends the queued batches at the pace of the log until the context
// ends, then fails what is still queued.
func (b *Batcher) write(ctx context.Context) error {
	var wg sync.WaitGroup
	defer b.failQueue(ctx)
	defer wg.Wait()
	for {
		if err := b.admit(ctx); err != nil {
			return err
		}
		next := b.take()
		if next == nil {
			<-b.slots
			continue
		}
		wg.Go(func() {
			defer func() { <-b.slots }()
			b.commit(ctx, next)
		})
	}
}

// admit waits for a queued batch, a free slot and the pace, so that a batch
// stays open for further items as long as it can't be sent anyway.
func (b *Batcher) admit(ctx context.Context) error {
	select {
	case <-b.notify:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := b.pace.wait(ctx); err != nil {
		<-b.slots
		return fmt.Errorf("pace of %s: %w", b.deps.Stream, err)
	}
	return nil
}

func (b *Batcher) failQueue(ctx context.Context) {
	for next := b.take(); next != nil; next = b.take() {
		next.fail(fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrNotAppended, ctx.Err()))
	}
}

func (n *batch) fail(err error) {
	n.err = err
	close(n.done)
}

func (n *batch) succeed(offset Offset) {
	n.offset = offset
	close(n.done)
}

// commit appends a batch until it is read back. An append whose answer is
// missing is looked for in the log before it is sent again under its id.
func (b *Batcher) commit(ctx context.Context, n *batch) {
	b.renotify()
	payload, err := b.encode(n)
	if err != nil {
		n.fail(fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrNotAppended, err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, millis(b.deps.Config.CommitTimeoutMS))
	defer cancel()
	observed := b.expect(n.sequence)
	defer b.forget(n.sequence)
	maybe := false
	for {
		sent, err := b.appendOnce(ctx, payload)
		maybe = maybe || sent
		offset, ok := b.awaitReadBack(ctx, observed, sent, err == nil)
		if ok {
			n.succeed(offset)
			return
		}
		if ctx.Err() != nil {
			n.fail(b.commitError(maybe, errors.Join(err, ctx.Err())))
			return
		}
	}
}

// renotify wakes the writer again when more batches are queued.
func (b *Batcher) renotify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return
	}
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

func (b *Batcher) encode(n *batch) ([]byte, error) {
	return proto.Marshal(&ledgerpb.Batch{
		Writer:   b.deps.Writer,
		Sequence: n.sequence,
		Items:    n.items,
	})
}

func (b *Batcher) expect(sequence uint64) <-chan Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	observed := make(chan Offset, 1)
	b.observed[sequence] = observed
	return observed
}

func (b *Batcher) forget(sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.observed, sequence)
}

// appendOnce sends one append. Sent tells that it may have taken effect.
func (b *Batcher) appendOnce(ctx context.Context, payload []byte) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, millis(b.deps.Config.AppendTimeoutMS))
	defer cancel()
	_, err = b.deps.Log.Append(ctx, b.deps.Stream, payload)
	switch {
	case err == nil:
		b.pace.accepted()
		return true, nil
	case errors.Is(err, ErrRefused):
		b.pace.refused()
		return false, err
	case errors.Is(err, ErrUnavailable):
		return false, err
	default:
		return true, err
	}
}

// awaitReadBack waits until the batch has been read back: after an append that
// was acknowledged as long as the context lasts, else for the read-back time.
func (b *Batcher) awaitReadBack(ctx context.Context, observed <-chan Offset, sent, acknowledged bool) (Offset, bool) {
	if sent {
		b.follower.PollNow()
	}
	var timeout <-chan time.Time
	if !acknowledged {
		timer := time.NewTimer(millis(b.deps.Config.ReadBackMS))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case offset := <-observed:
		return offset, true
	case <-timeout:
		return 0, false
	case <-ctx.Done():
		return 0, false
	}
}

func (b *Batcher) commitError(maybe bool, err error) error {
	if maybe {
		return fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrUncertain, err)
	}
	return fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrNotAppended, err)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
