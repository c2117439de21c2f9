// Package kiln holds the protocol of model engines and its clients: reservation
// of decode slots, prefill, KV cache transfer, decode, cancel, and orders to
// load models or change role.
//
// # Usage
//
//	slot, err := decode.Reserve(ctx, kiln.ReserveRequest{Attempt: id, Owner: owner, Tokens: n})
//	kv, err := prefill.Prefill(ctx, kiln.PrefillRequest{Attempt: id, Owner: owner, Prompt: prompt})
//	err = decode.Import(ctx, kiln.ImportRequest{Attempt: id, Owner: owner, Source: kv.Source, Handle: kv.Handle})
//	stream, err := decode.Decode(ctx, kiln.DecodeRequest{Attempt: id, Owner: owner, MaxTokens: 64})
//	for {
//		frame, err := stream.Next(ctx)
//		...
//	}
package kiln

import (
	"context"
	"time"
)

// PieceTokens is the number of tokens in one piece of engine memory.
const PieceTokens = 2000

// Role is the work an engine does.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
)

// Owner is the entry instance that is responsible for engine memory. A higher
// epoch of the same instance, or an adoption, replaces a lower one.
type Owner struct {
	// Instance is the id of the entry instance, unique for each start.
	Instance string `json:"instance"`
	// Epoch is the fencing number of the ownership of one request; 0 for
	// requests that are never adopted.
	Epoch uint64 `json:"epoch"`
}

// Prompt is the input of a generation.
type Prompt struct {
	// Text is what the caller sent. It never appears in logs.
	Text string `json:"text,omitempty"`
	// Tokens is the length of the prompt in tokens.
	Tokens int `json:"tokens"`
	// Blocks are chained content hashes of the prompt's prefix blocks, from the
	// start; see HashBlocks.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// ReserveRequest asks a decode engine for a slot and memory.
type ReserveRequest struct {
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
	// Model is the name of the model or adapter.
	Model string `json:"model"`
	// Tokens is the memory to set aside: prompt and output, in tokens.
	Tokens int `json:"tokens"`
	// Headroom is memory that must be free beside Tokens, without being set aside, for
	// the growth of what runs on the engine.
	Headroom int `json:"room,omitempty"`
	// Priority: a higher number goes first.
	Priority int `json:"priority"`
	// ReadyIn is the time until the KV cache is expected, in milliseconds. The
	// engine may count on the slot being unused until then.
	ReadyInMS int64 `json:"ready_in_ms"`
	// HoldMS is how long the reservation lives without a keep-alive.
	HoldMS int64 `json:"hold_ms"`
}

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  string `json:"attempt"`
	Owner    Owner  `json:"owner"`
	Model    string `json:"model"`
	Prompt   Prompt `json:"prompt"`
	Priority int    `json:"priority"`
	// Generated is the number of output tokens already delivered to the caller;
	// they are part of the context that is computed again.
	Generated int `json:"generated"`
	// Continuation is the text of those tokens. Like the prompt's text it never
	// appears in logs.
	Continuation string `json:"continuation,omitempty"`
}

// Sampling are the caller's wishes for the choice of tokens; nil leaves a value
// to the engine.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
}

// PrefillResult names an exported KV cache.
type PrefillResult struct {
	// Source is the IP:port of the engine that keeps the export.
	Source string `json:"source"`
	// Handle names the export on Source.
	Handle string `json:"handle"`
	// Computed and Cached are the numbers of tokens computed and found in the
	// prefix cache.
	Computed int `json:"computed"`
	Cached   int `json:"cached"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes"`
	// KeptMS is how long the export is kept, in milliseconds.
	KeptMS int64 `json:"kept_ms"`
}

// ImportRequest tells a decode engine to fetch an exported KV cache into the
// memory reserved for the attempt.
type ImportRequest struct {
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
	Source  string `json:"source"`
	Handle  string `json:"handle"`
}

// DecodeRequest starts or resumes the generation of an attempt. Resuming
// replaces the connection of an earlier stream of the same attempt.
type DecodeRequest struct {
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
	Model   string `json:"model"`
	// MaxTokens bounds the whole output, including tokens before From.
	MaxTokens int `json:"max_tokens"`
	// From is the index of the first token wanted.
	From     int      `json:"from"`
	Priority int      `json:"priority"`
	Sampling Sampling `json:"sampling"`
}

// Frame is one event of a decode stream.
type Frame struct {
	// Attempt binds the frame to the request it belongs to.
	Attempt string `json:"attempt"`
	// Index is the position of the token in the output, from 0.
	Index int `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
	// Last marks the final token; Finish tells why: "stop" or "length".
	Last   bool   `json:"last,omitempty"`
	Finish string `json:"finish,omitempty"`
}

// Stream delivers the frames of one decode.
type Stream interface {
	// Next waits for the next frame; io.EOF after the last one.
	Next(ctx context.Context) (Frame, error)
	// Close drops the connection. It does not cancel the generation.
	Close() error
}

// LoadReport is an engine's own account of its load. It arrives with a lag.
type LoadReport struct {
	// At is when the engine measured.
	At time.Time `json:"at"`
	// Incarnation grows with each start of the engine.
	Incarnation uint64 `json:"incarnation"`
	Role        Role   `json:"role"`
	// Leaving is set once the engine takes no new work.
	Leaving bool `json:"leaving"`
	// Slots and SlotsUsed count requests decoding or reserved.
	Slots     int `json:"slots"`
	SlotsUsed int `json:"slots_used"`
	// Pieces and PiecesUsed count memory of PieceTokens tokens each.
	Pieces     int `json:"pieces"`
	PiecesUsed int `json:"pieces_used"`
	// KVTokens and KVTokensUsed are the memory in tokens, of engines that tell it
	// exactly; KVTokens is 0 for the others.
	KVTokens     int `json:"kv_tokens,omitempty"`
	KVTokensUsed int `json:"kv_tokens_used,omitempty"`
	// QueuedTokens is the number of prompt tokens waiting for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// StepMS is the recent time of one decode step, in milliseconds.
	StepMS float64 `json:"step_ms"`
	// TokensPerSecond is the recent prefill rate.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Models are the models and adapters loaded, as name@version.
	Models []string `json:"models"`
}

// CacheEventKind tells what happened to a prefix block.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Events come late and
// with gaps in Sequence.
type CacheEvent struct {
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// Holding is engine memory held for an attempt.
type Holding struct {
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
	// Kind is "reservation", "export", "import" or "stream".
	Kind   string `json:"kind"`
	Pieces int    `json:"pieces"`
	// IdleMS is the time since the owner's last sign of life for it.
	IdleMS int64 `json:"idle_ms"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The orders an engine takes.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderUnload      OrderKind = "unload"
	OrderChangeRole  OrderKind = "change_role"
)

// OrderRequest changes what an engine serves.
type OrderRequest struct {
	Kind OrderKind `json:"kind"`
	// Model and Version name what to load.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    Role   `json:"role,omitempty"`
	// Fence is the fencing number; engines that check it refuse a lower one
	// than they have seen.
	Fence uint64 `json:"fence"`
}

// EngineState is what an engine serves, read back after an order.
type EngineState struct {
	Role        Role     `json:"role"`
	Models      []string `json:"models"`
	Fence       uint64   `json:"fence"`
	Incarnation uint64   `json:"incarnation"`
	// Applied counts the orders that took effect.
	Applied uint64 `json:"applied"`
}

// Engine is a model engine as the router sees it. Errors are *EngineError when
// the engine itself answered, and any other error when its answer is missing.
type Engine interface {
	Reserve(ctx context.Context, req ReserveRequest) error
	Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error)
	Import(ctx context.Context, req ImportRequest) error
	Decode(ctx context.Context, req DecodeRequest) (Stream, error)
	// Cancel frees everything held for the attempt. It is idempotent, and
	// refused as ErrFenced when the holder has a higher epoch.
	Cancel(ctx context.Context, attempt string, owner Owner) error
	// KeepAlive renews everything that the owner's instance holds.
	KeepAlive(ctx context.Context, instance string) error
	Holdings(ctx context.Context) ([]Holding, error)
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events after a sequence number.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, req OrderRequest) (EngineState, error)
	State(ctx context.Context) (EngineState, error)
}
