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

// appendLoop commits the queued batches until the context ends. Then it fails the batches
// that are still queued.
func (b *Batcher) appendLoop(ctx context.Context) error {
	var wg sync.WaitGroup
	defer b.failQueued(ctx)
	defer wg.Wait()
	for {
		if err := b.waitForAppend(ctx); err != nil {
			return err
		}
		next := b.dequeue()
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

// waitForAppend waits for a queued batch, a free slot and the rate limiter. The batch
// stays in the queue meanwhile, so that more items can be added until it can be sent.
func (b *Batcher) waitForAppend(ctx context.Context) error {
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
	if err := b.limiter.wait(ctx); err != nil {
		<-b.slots
		return fmt.Errorf("wait for rate limiter of %s: %w", b.deps.Stream, err)
	}
	return nil
}

func (b *Batcher) failQueued(ctx context.Context) {
	for next := b.dequeue(); next != nil; next = b.dequeue() {
		next.fail(fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrNotAppended, ctx.Err()))
	}
}

func (bt *batch) fail(err error) {
	bt.err = err
	close(bt.done)
}

func (bt *batch) succeed(offset Offset) {
	bt.offset = offset
	close(bt.done)
}

// commit retries the append of a batch until it is read back. If the result of an append
// is unknown, the batch is first searched for in the log. Retries have the same sequence,
// so that readers can recognize duplicates.
func (b *Batcher) commit(ctx context.Context, bt *batch) {
	b.notifyIfQueued()
	payload, err := b.encode(bt)
	if err != nil {
		bt.fail(fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrNotAppended, err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, millis(b.deps.Config.CommitTimeoutMS))
	defer cancel()
	observed := b.registerReadBack(bt.sequence)
	defer b.removeReadBack(bt.sequence)
	mayBeAppended := false
	for {
		sent, err := b.appendOnce(ctx, payload)
		mayBeAppended = mayBeAppended || sent
		offset, ok := b.awaitReadBack(ctx, observed, sent, err == nil)
		if ok {
			bt.succeed(offset)
			return
		}
		if ctx.Err() != nil {
			bt.fail(b.commitError(mayBeAppended, errors.Join(err, ctx.Err())))
			return
		}
	}
}

// notifyIfQueued wakes the append loop if more batches are queued.
func (b *Batcher) notifyIfQueued() {
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

func (b *Batcher) encode(bt *batch) ([]byte, error) {
	return proto.Marshal(&ledgerpb.Batch{
		Writer:   b.deps.Writer,
		Sequence: bt.sequence,
		Items:    bt.items,
	})
}

func (b *Batcher) registerReadBack(sequence uint64) <-chan Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	observed := make(chan Offset, 1)
	b.readBacks[sequence] = observed
	return observed
}

func (b *Batcher) removeReadBack(sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.readBacks, sequence)
}

// appendOnce sends one append. sent reports whether it may have taken effect.
func (b *Batcher) appendOnce(ctx context.Context, payload []byte) (sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, millis(b.deps.Config.AppendTimeoutMS))
	defer cancel()
	_, err = b.deps.Log.Append(ctx, b.deps.Stream, payload)
	switch {
	case err == nil:
		b.limiter.speedUp()
		return true, nil
	case errors.Is(err, ErrRefused):
		b.limiter.slowDown()
		return false, err
	case errors.Is(err, ErrUnavailable):
		return false, err
	default:
		return true, err
	}
}

// awaitReadBack waits until the batch is read back and returns its offset. It returns
// false if the context ends or, for an append that wasn't acknowledged, after ReadBackMS.
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

func (b *Batcher) commitError(mayBeAppended bool, err error) error {
	if mayBeAppended {
		return fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrUncertain, err)
	}
	return fmt.Errorf("append to %s: %w: %w", b.deps.Stream, ErrNotAppended, err)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
