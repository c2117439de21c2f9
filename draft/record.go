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

func encodeRecord(draftID id, record *draftpb.Record) ([]byte, error) {
	if draftID != (id{}) {
		record.Id = draftID[:]
	}
	raw, err := proto.Marshal(record)
	if err != nil {
		return nil, fmt.Errorf("encode draft record: %w", err)
	}
	return raw, nil
}

// encodeRequest leaves out the block hashes of the prompt, which decodeRequest computes
// from its text.
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

// storeBlob returns a blob for a payload. A payload of more than MaxInlineBytes is
// first appended to the log in parts.
func (m *Manager) storeBlob(ctx context.Context, draftID id, payload []byte) (*draftpb.Blob, error) {
	if len(payload) <= m.deps.Config.MaxInlineBytes {
		return &draftpb.Blob{Inline: payload}, nil
	}
	size := m.deps.Config.MaxPartBytes
	blob := &draftpb.Blob{Nonce: rand.Uint64()}
	for number := 0; len(payload) > 0; number++ {
		n := min(size, len(payload))
		offset, err := m.storePart(ctx, draftID, &draftpb.Part{
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

func (m *Manager) storePart(ctx context.Context, draftID id, part *draftpb.Part) (ledger.Offset, error) {
	raw, err := encodeRecord(draftID, &draftpb.Record{Body: &draftpb.Record_Part{Part: part}})
	if err != nil {
		return 0, err
	}
	return m.batcher.Submit(ctx, raw)
}

// loadBlob returns the payload of a blob.
func (m *Manager) loadBlob(ctx context.Context, draftID id, blob *draftpb.Blob) ([]byte, error) {
	if len(blob.GetParts()) == 0 {
		return blob.GetInline(), nil
	}
	var payload []byte
	for number, offset := range blob.GetParts() {
		part, err := m.loadPart(ctx, draftID, blob.GetNonce(), uint32(number), ledger.Offset(offset))
		if err != nil {
			return nil, err
		}
		payload = append(payload, part...)
	}
	return payload, nil
}

func (m *Manager) loadPart(ctx context.Context, draftID id, nonce uint64, number uint32, offset ledger.Offset) ([]byte, error) {
	entries, err := m.batcher.ReadEntries(ctx, offset)
	if err != nil {
		return nil, fmt.Errorf("load part %d: %w", number, err)
	}
	for _, entry := range entries {
		var record draftpb.Record
		if err := proto.Unmarshal(entry.Item, &record); err != nil {
			continue
		}
		part := record.GetPart()
		if string(record.GetId()) == string(draftID[:]) && part.GetNonce() == nonce && part.GetNumber() == number {
			return part.GetData(), nil
		}
	}
	return nil, fmt.Errorf("load part %d: not found at offset %d", number, offset)
}

// appendWithRetry retries to append a record until it succeeds or the context or the
// Manager ends.
func (m *Manager) appendWithRetry(ctx context.Context, raw []byte) {
	ctx, cancel := m.withTimeout(ctx, millis(m.deps.Config.LifetimeMS))
	defer cancel()
	for {
		if _, err := m.batcher.Submit(ctx, raw); err == nil {
			return
		}
		if !sleep(ctx, appendRetryInterval) {
			return
		}
	}
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
