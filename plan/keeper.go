package plan

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/balsamlock/balsamlock/ledger"
)

// keepInterval is the time between two looks at the age of the newest snapshot.
const keepInterval = 30 * time.Second

// appendTimeout bounds one append of a document or snapshot.
const appendTimeout = 5 * time.Second

// keep appends a snapshot of the newest document before the log drops what a
// fresh instance needs. Every instance does; each waits a random time and looks
// again, so that mostly one of them appends. Two snapshots, or a late one,
// change nothing, since a claim stays true.
func (f *Follower) keep(ctx context.Context) error {
	interval := min(keepInterval, seconds(f.deps.Config.SnapshotAgeS)/4)
	for sleep(ctx, interval/2+spread(interval)) {
		if !f.snapshotDue() {
			continue
		}
		if sleep(ctx, spread(seconds(f.deps.Config.SnapshotSpreadS))) && f.snapshotDue() {
			f.appendSnapshot(ctx)
		}
	}
	return ctx.Err()
}

func (f *Follower) snapshotDue() bool {
	if !f.deps.AppendSnapshots || !f.reader.State().CaughtUp {
		return false
	}
	state := f.State()
	if !state.IsComplete() || state.claim.AsOf < 0 {
		return false
	}
	age := time.Since(state.kept.at)
	return age >= seconds(f.deps.Config.SnapshotAgeS) || state.kept.records >= f.deps.Config.SnapshotRecords
}

func (f *Follower) appendSnapshot(ctx context.Context) {
	claim := f.State().Snapshot()
	payload, err := encodeSnapshot(uuid.NewString(), claim)
	if err != nil {
		log.Error().Str("step", "snapshot").Err(err).Msg("snapshot not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// A lost answer needs no read back: the follower sees whether a snapshot
	// is still due.
	if _, err := f.deps.Log.Append(ctx, ledger.StreamDocuments, payload); err != nil {
		log.Warn().Str("step", "snapshot").Err(err).Msg("snapshot not appended")
		return
	}
	f.reader.Poke()
}
