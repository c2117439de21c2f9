package draft

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamlock/balsamlock/draft/draftpb"
	"github.com/balsamlock/balsamlock/firing"
	"github.com/balsamlock/balsamlock/kiln"
	"github.com/balsamlock/balsamlock/ledger"
)

func encode(d id, record *draftpb.Record) ([]byte, error) {
	if d != (id{}) {
		record.Id = d[:]
	}
	raw, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode draft record: %w", err)
	}
	return raw, nil
}

// encodeRequest leaves out what can be worked out from the prompt's text.
func encodeRequest(req firing.Request) ([]byte, error) {
	req.Prompt.Blocks = nil
	raw, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode draft: %w", err)
	}
	return raw, nil
}

func decodeRequest(raw []byte) (firing.Request, error) {
	var req firing.Request
	if err := json.Unmarshal(raw, &req); err != nil {
		return firing.Request{}, fmt.Errorf("decode draft: %w", err)
	}
	req.Prompt.Blocks = kiln.HashBlocks(req.Prompt.Text)
	return req, nil
}

// store makes a payload a blob, with parts in the log where it is too large
// for one record.
func (d *Manager) store(ctx context.Context, draft id, payload []byte) (*draftpb.Blob, error) {
	if len(payload) <= d.deps.Config.MaxInlineBytes {
		return &draftpb.Blob{Inline: payload}, nil
	}
	size := d.deps.Config.MaxPartBytes
	blob := &draftpb.Blob{Nonce: rand.Uint64()}
	for number := 0; len(payload) > 0; number++ {
		n := min(size, len(payload))
		offset, err := d.storePart(ctx, draft, &draftpb.Part{
			Nonce:  blob.GetNonce(),
			Number: uint32(number),
			Data:   payload[:n],
		})
		if err != nil {
			return nil, err
		}
		blob.Parts = append(blob.Parts, int64(offset))
		payload = payload[n:]
	}
	return blob, nil
}

func (d *Manager) storePart(ctx context.Context, draft id, part *draftpb.Part) (ledger.Offset, error) {
	raw, err := encode(draft, &draftpb.Record{Body: &draftpb.Record_Part{Part: part}})
	if err != nil {
		return 0, err
	}
	return d.batcher.Submit(ctx, raw)
}

// load reads a blob's payload.
func (d *Manager) load(ctx context.Context, draft id, blob *draftpb.Blob) ([]byte, error) {
	if len(blob.GetParts()) == 0 {
		return blob.GetInline(), nil
	}
	var payload []byte
	for number, offset := range blob.GetParts() {
		part, err := d.loadPart(ctx, draft, blob.GetNonce(), uint32(number), ledger.Offset(offset))
		if err != nil {
			return nil, err
		}
		payload = append(payload, part...)
	}
	return payload, nil
}

func (d *Manager) loadPart(ctx context.Context, draft id, nonce uint64, number uint32, offset ledger.Offset) ([]byte, error) {
	entries, err := d.batcher.ReadEntries(ctx, offset)
	if err != nil {
		return nil, fmt.Errorf("load part %d: %w", number, err)
	}
	for _, found := range entries {
		var record draftpb.Record
		if err := proto.Unmarshal(found.Item, &record); err != nil {
			continue
		}
		part := record.GetPart()
		if string(record.GetId()) == string(draft[:]) && part.GetNonce() == nonce && part.GetNumber() == number {
			return part.GetData(), nil
		}
	}
	return nil, fmt.Errorf("load part %d: not at offset %d", number, offset)
}

// record offers a record to the log until it is in, or the context or the desk
// ends.
func (d *Manager) record(ctx context.Context, raw []byte) {
	ctx, cancel := d.bounded(ctx, millis(d.deps.Config.LifetimeMS))
	defer cancel()
	for {
		if _, err := d.batcher.Submit(ctx, raw); err == nil {
			return
		}
		if !pause(ctx, recordPause) {
			return
		}
	}
}

// pause waits, and tells whether the context goes on.
func pause(ctx context.Context, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
