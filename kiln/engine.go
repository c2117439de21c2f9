// Package kiln implements clients of model engines and defines their protocol:
// reservation of decode slots, prefill, KV cache transfer, decode, cancel, and orders
// that load models or change an engine's role.
//
// # Usage
//
//	err := decode.Reserve(ctx, kiln.ReserveRequest{Attempt: id, Owner: owner, Tokens: n})
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

// PieceTokens is the number of tokens in one piece, the unit of engine memory.
const PieceTokens = 2000

// Role is the work that an engine does.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
)

// Owner is the entry instance that owns engine memory. It is replaced by a higher epoch
// of the same instance, or by another instance that adopts the request.
type Owner struct {
	// Instance is the ID of the entry instance, unique for each of its starts.
	Instance string `json:"instance"`
	// Epoch is the fencing token of a request's ownership; 0 for requests that are
	// never adopted.
	Epoch uint64 `json:"epoch"`
}

// Prompt is the input of a generation.
type Prompt struct {
	// Text is the text that the caller sent. It must never appear in logs.
	Text string `json:"text,omitempty"`
	// Tokens is the length of the prompt in tokens.
	Tokens int `json:"tokens"`
	// Blocks holds the chained content hashes of the prompt's prefix blocks, from the
	// start; see HashBlocks.
	Blocks []uint64 `json:"blocks,omitempty"`
	// Parts are the ids of the parts that the prompt shares with other prompts, in order, if the caller
	// names them. OwnPart is the id of the last part, which belongs to the request itself.
	Parts   []string `json:"-"`
	OwnPart string   `json:"-"`
}

// ReserveRequest asks a decode engine to reserve a slot and memory.
type ReserveRequest struct {
	Attempt string `json:"attempt"`
	Owner   Owner  `json:"owner"`
	// Model is the name of the model or adapter.
	Model string `json:"model"`
	// Tokens is the memory to reserve for prompt and output, in tokens.
	Tokens int `json:"tokens"`
	// Headroom is the memory that must be free in addition to Tokens, in tokens. It is
	// not reserved, but left for the growth of other outputs on the engine.
	Headroom int `json:"room,omitempty"`
	// Priority orders the requests that wait; a higher number goes first.
	Priority int `json:"priority"`
	// ReadyInMS is the expected time until the KV cache arrives, in milliseconds. The
	// engine can rely on the slot being unused until then.
	ReadyInMS int64 `json:"ready_in_ms"`
	// HoldMS is the time after which the reservation expires without a keep-alive, in
	// milliseconds.
	HoldMS int64 `json:"hold_ms"`
}

// PrefillRequest asks a prefill engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	Attempt  string `json:"attempt"`
	Owner    Owner  `json:"owner"`
	Model    string `json:"model"`
	Prompt   Prompt `json:"prompt"`
	Priority int    `json:"priority"`
	// Generated is the number of output tokens already delivered to the caller. They
	// are part of the context that is recomputed.
	Generated int `json:"generated"`
	// Continuation is the text of those tokens. It must never appear in logs.
	Continuation string `json:"continuation,omitempty"`
	// Version is the version of the engine's software that must run it, or empty. The
	// client checks it.
	Version string `json:"-"`
}

// Sampling holds the caller's sampling parameters. If one is nil, the engine uses its
// default.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
}

// PrefillResult describes an exported KV cache.
type PrefillResult struct {
	// Source is the IP:port of the engine that holds the export.
	Source string `json:"source"`
	// Handle identifies the export on Source.
	Handle string `json:"handle"`
	// Computed is the number of tokens that were computed, and Cached the number that
	// were found in the prefix cache.
	Computed int `json:"computed"`
	Cached   int `json:"cached"`
	// Bytes is the size of the KV cache.
	Bytes int64 `json:"bytes"`
	// KeptMS is the time after which the export expires, in milliseconds.
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
	// MaxTokens limits the whole output, including the tokens before From.
	MaxTokens int `json:"max_tokens"`
	// From is the index of the first token to send.
	From     int      `json:"from"`
	Priority int      `json:"priority"`
	Sampling Sampling `json:"sampling"`
	// Version is the version of the engine's software that must run it, or empty. The
	// client checks it.
	Version string `json:"-"`
}

// Frame is one event of a decode stream.
type Frame struct {
	// Attempt identifies the attempt that the frame belongs to.
	Attempt string `json:"attempt"`
	// Index is the position of the token in the output, from 0.
	Index int `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
	// Last marks the final token, and Finish is the reason: "stop" or "length".
	Last   bool   `json:"last,omitempty"`
	Finish string `json:"finish,omitempty"`
}

// Stream delivers the frames of one decode.
type Stream interface {
	// Next waits for the next frame. It returns io.EOF after the last one.
	Next(ctx context.Context) (Frame, error)
	// Close closes the connection. It does not cancel the generation.
	Close() error
}

// LoadReport is an engine's report of its own load. It arrives with a delay.
type LoadReport struct {
	// At is when the engine measured its load.
	At time.Time `json:"at"`
	// Incarnation increases with each start of the engine.
	Incarnation uint64 `json:"incarnation"`
	Role        Role   `json:"role"`
	// Leaving is set once the engine accepts no new work.
	Leaving bool `json:"leaving"`
	// Slots is the number of decode slots, and SlotsUsed the number that are decoding
	// or reserved.
	Slots     int `json:"slots"`
	SlotsUsed int `json:"slots_used"`
	// Pieces and PiecesUsed are the memory in pieces of PieceTokens tokens.
	Pieces     int `json:"pieces"`
	PiecesUsed int `json:"pieces_used"`
	// KVTokens and KVTokensUsed are the memory in tokens, if the engine reports it
	// exactly; otherwise KVTokens is 0.
	KVTokens     int `json:"kv_tokens,omitempty"`
	KVTokensUsed int `json:"kv_tokens_used,omitempty"`
	// QueuedTokens is the number of prompt tokens waiting for prefill.
	QueuedTokens int `json:"queued_tokens"`
	// StepMS is the recent duration of one decode step, in milliseconds.
	StepMS float64 `json:"step_ms"`
	// TokensPerSecond is the recent prefill rate.
	TokensPerSecond float64 `json:"tokens_per_second"`
	// Models holds the loaded models and adapters, as name@version.
	Models []string `json:"models"`
}

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache. Events arrive late, and some are
// lost, which leaves gaps in Sequence.
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
	// IdleMS is the time since the owner last used or renewed the holding, in
	// milliseconds.
	IdleMS int64 `json:"idle_ms"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderUnload      OrderKind = "unload"
	OrderChangeRole  OrderKind = "change_role"
)

// OrderRequest changes what an engine serves.
type OrderRequest struct {
	Kind OrderKind `json:"kind"`
	// Model and Version identify the model or adapter.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Role    Role   `json:"role,omitempty"`
	// Fence is the fencing token. Engines that check it refuse an order with a lower
	// token than one they have seen.
	Fence uint64 `json:"fence"`
}

// EngineState holds an engine's role and models. It is read back after an order.
type EngineState struct {
	Role        Role     `json:"role"`
	Models      []string `json:"models"`
	Fence       uint64   `json:"fence"`
	Incarnation uint64   `json:"incarnation"`
	// Applied counts the orders that took effect.
	Applied uint64 `json:"applied"`
}

// Engine is a model engine. Its methods return an *EngineError if the engine refused the
// call, a *NotSentError if the call could not be sent, and any other error if there was no
// valid response. With the first two, the call had no effect.
type Engine interface {
	Reserve(ctx context.Context, req ReserveRequest) error
	Prefill(ctx context.Context, req PrefillRequest) (PrefillResult, error)
	Import(ctx context.Context, req ImportRequest) error
	// Decode starts or resumes a generation. The caller must close the stream. The error
	// may be a *ResponseError if the engine accepted the request and then failed it.
	Decode(ctx context.Context, req DecodeRequest) (Stream, error)
	// Cancel frees everything held for the attempt. It is idempotent. The engine
	// refuses it with ErrFenced if the holding has a higher epoch.
	Cancel(ctx context.Context, attempt string, owner Owner) error
	// KeepAlive renews everything that the engine holds for the instance.
	KeepAlive(ctx context.Context, instance string) error
	Holdings(ctx context.Context) ([]Holding, error)
	Load(ctx context.Context) (LoadReport, error)
	// Events returns the cache events after a sequence number.
	Events(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, req OrderRequest) (EngineState, error)
	State(ctx context.Context) (EngineState, error)
}
