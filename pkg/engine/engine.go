// Package engine defines the interface between an agent and its model engine, and
// an HTTP client that implements it.
package engine

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors returned by an Engine. Compare them with errors.Is.
const (
	// ErrUnknownStream is returned when the engine has no stream with the given ID.
	ErrUnknownStream = errors.ConstError("unknown stream")
	// ErrRejected is returned when the engine rejected the request and did not run it.
	ErrRejected = errors.ConstError("engine rejected the request")
	// ErrStaleFencingToken is returned when the engine rejected an order with a stale
	// fencing token.
	ErrStaleFencingToken = errors.ConstError("fencing number too old")
	// ErrConnectionLost is returned when a connection was lost or timed out; the request
	// may have run or may still be running.
	ErrConnectionLost = errors.ConstError("engine connection lost")
	// ErrNotSent is returned when no byte of the request was sent, so that the engine
	// did not run it.
	ErrNotSent = errors.ConstError("request not sent")
)

// Request asks an engine to complete one prompt.
type Request struct {
	// ID is unique for each attempt and identifies the stream at the engine.
	ID string `json:"id"`
	// Model, WeightsVersion and Adapter identify the weights to use.
	Model          string `json:"model"`
	WeightsVersion string `json:"weights_version"`
	Adapter        string `json:"adapter,omitempty"`
	// CacheSalt separates the cached blocks of different client accounts and versions.
	CacheSalt string `json:"cache_salt"`
	// BlockHashes are the salted hashes of the prompt's full blocks, in order.
	BlockHashes []uint64 `json:"block_hashes"`
	// BlockTokens is the number of tokens in a block.
	BlockTokens int `json:"block_tokens"`
	// Prompt is the text to complete.
	Prompt string `json:"prompt"`
	// AnswerPrefix is the part of the answer that the caller already has; the engine
	// continues after it.
	AnswerPrefix string `json:"answer_prefix,omitempty"`
	// AnswerPrefixTokens is the number of tokens in AnswerPrefix.
	AnswerPrefixTokens int `json:"answer_prefix_tokens,omitempty"`
	// MaxTokens limits the whole answer, including AnswerPrefix.
	MaxTokens int `json:"max_tokens"`
	// Priority orders requests; higher values run first.
	Priority int `json:"priority,omitempty"`
}

// Usage holds the token counts of one request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// Chunk is one numbered part of an answer.
type Chunk struct {
	// Seq starts at 1 and increases without gaps; it is 0 in a heartbeat.
	Seq uint64 `json:"seq"`
	// Text is the answer text in this chunk, and Tokens its number of tokens.
	Text   string `json:"text,omitempty"`
	Tokens int    `json:"tokens,omitempty"`
	// FinishReason is "stop" or "length" in the last chunk and empty in the others.
	FinishReason string `json:"finish_reason,omitempty"`
	// Usage is set only in the last chunk.
	Usage *Usage `json:"usage,omitempty"`
}

// Stream receives the chunks of an answer as the engine generates them. Recv returns
// io.EOF after the chunk with FinishReason, and ErrConnectionLost if the connection
// ended or timed out before that chunk.
type Stream interface {
	Recv() (Chunk, error)
	Close() error
}

// CacheEvent is one numbered entry of the engine's cache event log.
type CacheEvent struct {
	// BootID identifies a run of the engine; it changes whenever the engine starts with
	// an empty cache.
	BootID uint64 `json:"boot"`
	// Seq starts at 1 in each boot and is assigned without gaps; it is 0 in a heartbeat.
	Seq uint64 `json:"seq"`
	// WeightsVersion is the version of the weights that computed the blocks.
	WeightsVersion string `json:"weights_version,omitempty"`
	// Stored and Evicted are the hashes of the blocks added to and removed from the cache.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// EventStream receives cache events. Recv returns an event with Seq 0 for a
// heartbeat, and ErrConnectionLost if the connection ended or timed out.
type EventStream interface {
	Recv() (CacheEvent, error)
	Close() error
}

// LoadedModel describes a model that an engine has in memory.
type LoadedModel struct {
	Model          string   `json:"model"`
	WeightsVersion string   `json:"weights_version"`
	Adapters       []string `json:"adapters,omitempty"`
}

// LoadReport describes the load and the loaded models of an engine. It lags behind
// the engine's current state.
type LoadReport struct {
	// BootID identifies a run of the engine; it changes whenever the engine starts with
	// an empty cache.
	BootID uint64 `json:"boot"`
	// Running and Waiting count requests; QueuedPrefillTokens is the number of prompt
	// tokens that the engine still has to prefill for them.
	Running             int `json:"running"`
	Waiting             int `json:"waiting"`
	QueuedPrefillTokens int `json:"queued_prefill_tokens"`
	// FreeBlocks and TotalBlocks count the blocks of the prefix cache.
	FreeBlocks  int `json:"free_blocks"`
	TotalBlocks int `json:"total_blocks"`
	// PrefillTokensPerSecond is the engine's estimate of its prefill rate; 0 if unknown.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// Models lists the models in memory; Loading is the weights version being loaded.
	Models  []LoadedModel `json:"models"`
	Loading string        `json:"loading,omitempty"`
	Role    string        `json:"role,omitempty"`
	// FencingToken is the highest fencing token that the engine has accepted, or 0 if
	// none.
	FencingToken uint64 `json:"fence"`
}

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order instructs an engine to load or unload weights or to change its role.
type Order struct {
	// FencingToken increases with each coordinator epoch. The engine must reject an
	// order whose fencing token is lower than one it has already accepted.
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
	// SourceAddress is the host:port of the engine or store that exports the blocks.
	SourceAddress  string   `json:"source_address"`
	WeightsVersion string   `json:"weights_version"`
	CacheSalt      string   `json:"cache_salt"`
	BlockHashes    []uint64 `json:"block_hashes"`
}

// Engine is the interface of a model engine. Every method observes the
// cancellation and deadline of ctx.
type Engine interface {
	// Generate starts a request and returns its answer as a stream. If it returns
	// ErrNotSent or ErrRejected, the request did not run.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Resume reopens the stream with the given ID, starting at the chunk with Seq from.
	Resume(ctx context.Context, id string, from uint64) (Stream, error)
	// Cancel ends a stream and releases its resources at the engine.
	Cancel(ctx context.Context, id string) error
	// CacheEvents streams the cache events that follow the event with the given boot and
	// with Seq after.
	CacheEvents(ctx context.Context, boot, after uint64) (EventStream, error)
	// LoadReport returns the engine's load report.
	LoadReport(ctx context.Context) (LoadReport, error)
	// SendOrder sends an order. It returns ErrStaleFencingToken if the order's fencing
	// token is too low.
	SendOrder(ctx context.Context, order Order) error
	// ImportBlocks copies cached blocks into the engine. It returns how many blocks
	// arrived without a gap, counted from the first one in req.BlockHashes.
	ImportBlocks(ctx context.Context, req ImportRequest) (int, error)
}

// Timeouts holds the timeouts of the HTTP client.
type Timeouts struct {
	// Dial limits the time to connect.
	Dial time.Duration
	// Idle is the longest time that a stream may go without a chunk, event or
	// heartbeat.
	Idle time.Duration
	// Call limits each request whose response is not a stream.
	Call time.Duration
}
