package plan

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/ledger"
)

// snapshotCheckInterval is the average time between checks whether a snapshot
// is due. A quarter of SnapshotAgeS is used instead if that is shorter.
const snapshotCheckInterval = 30 * time.Second

// appendTimeout is the timeout for appending a document or snapshot.
const appendTimeout = 5 * time.Second

// maintainSnapshots appends a snapshot of the newest document before the log
// drops the records that a new instance needs. All instances run it. When a
// snapshot is due, each instance waits for a random time and checks again, so
// that usually only one appends. Duplicate or late snapshots are harmless,
// since a snapshot stays valid.
func (f *Follower) maintainSnapshots(ctx context.Context) error {
	interval := min(snapshotCheckInterval, seconds(f.deps.Config.SnapshotAgeS)/4)
	for sleep(ctx, interval/2+jitter(interval)) {
		if !f.isSnapshotDue() {
			continue
		}
		if sleep(ctx, jitter(seconds(f.deps.Config.SnapshotSpreadS))) && f.isSnapshotDue() {
			f.appendSnapshot(ctx)
		}
	}
	return ctx.Err()
}

func (f *Follower) isSnapshotDue() bool {
	if !f.deps.AppendSnapshots || !f.reader.State().CaughtUp {
		return false
	}
	state := f.State()
	if !state.IsComplete() || state.snapshot.AsOf < 0 {
		return false
	}
	age := time.Since(state.lastSnapshot.appendedAt)
	return age >= seconds(f.deps.Config.SnapshotAgeS) || state.lastSnapshot.recordsSince >= f.deps.Config.SnapshotRecords
}

func (f *Follower) appendSnapshot(ctx context.Context) {
	snapshot := f.State().Snapshot()
	payload, err := encodeSnapshot(uuid.NewString(), snapshot)
	if err != nil {
		log.Error().Str("step", "snapshot").Err(err).Msg("failed to encode snapshot")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// An append whose response is lost is not verified: the follower reads the
	// log and checks whether a snapshot is still due.
	if _, err := f.deps.Log.Append(ctx, ledger.StreamDocuments, payload); err != nil {
		log.Warn().Str("step", "snapshot").Err(err).Msg("failed to append snapshot")
		return
	}
	f.reader.PollNow()
}
