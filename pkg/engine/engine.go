// Package engine is the peer package for model engines: the narrow interface
// that an agent needs of its engine, and one HTTP and JSON adapter for it.
package engine

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of an Engine. Compare with errors.Is.
const (
	// ErrUnknownStream means that the engine holds no such stream.
	ErrUnknownStream = errors.ConstError("unknown stream")
	// ErrRejected means that the engine refused the request and did not run it.
	ErrRejected = errors.ConstError("engine rejected the request")
	// ErrStaleFencingToken means that the engine refused an order with an old fencing number.
	ErrStaleFencingToken = errors.ConstError("fencing number too old")
	// ErrConnectionLost means that a connection broke or went silent; the request may run.
	ErrConnectionLost = errors.ConstError("engine connection broken")
	// ErrNotSent means that no byte of the request left; it did not run.
	ErrNotSent = errors.ConstError("request not sent")
)

// Request is one prompt for an engine.
type Request struct {
	// ID is unique for each attempt; the engine knows the stream by it.
	ID string `json:"id"`
	// Model, WeightsVersion and Adapter name the weights that must answer.
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	Adapter        string `json:"adapter,omitempty"`
	// CacheSalt separates cached blocks of client accounts and versions.
	CacheSalt string `json:"cache_salt"`
	// BlockHashes are the salted hashes of the prompt's full blocks, in order.
	BlockHashes []uint64 `json:"block_hashes"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"block_tokens"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// AnswerPrefix is answer text already delivered; the engine goes on after it.
	AnswerPrefix string `json:"answer_prefix,omitempty"`
	// AnswerPrefixTokens is the token count of AnswerPrefix.
	AnswerPrefixTokens int `json:"answer_prefix_tokens,omitempty"`
	// MaxTokens bounds the whole answer, AnswerPrefix included.
	MaxTokens int `json:"max_tokens"`
	// Priority: greater runs earlier.
	Priority int `json:"priority,omitempty"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one numbered part of an answer.
type Chunk struct {
	// Seq is from 1, without gaps; 0 on a heartbeat.
	Seq uint64 `json:"seq"`
	// Text is the answer text of this chunk; Tokens its token count.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	// FinishReason is set on the last chunk: "stop" or "length".
	FinishReason string `json:"finish_reason,omitempty"`
	// Usage is set on the last chunk.
	Usage *Usage `json:"usage,omitempty"`
}

// Stream is an answer in progress. Recv returns io.EOF after the chunk with
// FinishReason, and ErrConnectionLost when the connection ended or fell silent before.
type Stream interface {
	Recv() (Chunk, error)
	Close() error
}

// CacheEvent is one numbered entry of the engine's cache event log.
type CacheEvent struct {
	// BootID changes each time the engine starts empty.
	BootID uint64 `json:"boot"`
	// Seq is from 1 in each boot, without gaps at the source.
	Seq uint64 `json:"seq"`
	// WeightsVersion of the blocks.
	WeightsVersion string `json:"weights_version,omitempty"`
	// Stored and Evicted are block hashes.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// EventStream delivers cache events. Recv returns a zero Seq for a heartbeat
// and ErrConnectionLost when the connection ended or fell silent.
type EventStream interface {
	Recv() (CacheEvent, error)
	Close() error
}

// LoadedModel is one model that an engine has in memory.
type LoadedModel struct {
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
}

// LoadReport is what an engine says of itself, with a lag.
type LoadReport struct {
	// BootID changes each time the engine starts empty.
	BootID uint64 `json:"boot"`
	// Running and Waiting count requests; QueuedPrefillTokens is their prefill left.
	Running             int `json:"running"`
	Waiting             int `json:"waiting"`
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// FreeBlocks and TotalBlocks describe the prefix cache.
	FreeBlocks  int `json:"free_blocks"`
	TotalBlocks int `json:"total_blocks"`
	// PrefillTokensPerSecond is the engine's own estimate; 0 when unknown.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// Models are those in memory; Loading names a version being loaded.
	Models  []LoadedModel `json:"models"`
	Loading string        `json:"loading,omitempty"`
	Role    string        `json:"role,omitempty"`
	// FencingToken is the highest fencing number that the engine has accepted; 0 for none.
	FencingToken uint64 `json:"fence"`
}

// OrderKind names an order to an engine.
type OrderKind string

// Kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells an engine to load or unload weights or to change its role.
type Order struct {
	// FencingToken grows with each coordinator epoch; an older one must be refused.
	FencingToken   uint64    `json:"fence"`
	Kind           OrderKind `json:"kind"`
	Model          string    `json:"model,omitempty"`
	WeightsVersion string    `json:"weights_version,omitempty"`
	Adapter        string    `json:"adapter,omitempty"`
	Role           string    `json:"role,omitempty"`
}

// ImportRequest asks an engine to import cached blocks from another engine or from
// the KV cache store.
type ImportRequest struct {
	// SourceAddress is the exporting engine's or store's address, host:port.
	SourceAddress  string   `json:"source_address"`
	WeightsVersion string   `json:"weights_version"`
	CacheSalt      string   `json:"cache_salt"`
	BlockHashes    []uint64 `json:"block_hashes"`
}

// Engine is one model engine. Every method honours ctx.
type Engine interface {
	// Generate starts a prompt. ErrNotSent and ErrRejected mean not run.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Resume reads a stream again from chunk number from.
	Resume(ctx context.Context, id string, from uint64) (Stream, error)
	// Cancel ends a stream and frees its place.
	Cancel(ctx context.Context, id string) error
	// CacheEvents follows the cache event log after an event number of a boot.
	CacheEvents(ctx context.Context, boot, after uint64) (EventStream, error)
	// LoadReport returns the engine's load report.
	LoadReport(ctx context.Context) (LoadReport, error)
	// SendOrder gives an order; ErrStaleFencingToken when its fencing number is too old.
	SendOrder(ctx context.Context, order Order) error
	// ImportBlocks copies cached blocks and returns how many leading ones arrived.
	ImportBlocks(ctx context.Context, transfer ImportRequest) (int, error)
}

// Timeouts of the HTTP adapter.
type Timeouts struct {
	// Dial bounds connecting.
	Dial time.Duration
	// Idle is the longest time without a chunk, event or heartbeat.
	Idle time.Duration
	// Call bounds the short calls.
	Call time.Duration
}
