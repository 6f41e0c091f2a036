package enginefake

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// Config configures one engine. A zero field selects its default.
type Config struct {
	// Address is the listen address, host:port; by default a free loopback
	// port.
	Address string
	// Seed seeds the random choice of cache events to drop.
	Seed uint64
	// Models are the models loaded after each start; by default none.
	Models []engine.LoadedModel
	// InitialRole is the engine's role after each start.
	InitialRole string

	// StepTokenBudget is the maximum number of tokens that a step processes;
	// default 2048.
	StepTokenBudget int
	// PrefillTokensPerSecond is the prefill throughput; default 20000.
	PrefillTokensPerSecond float64
	// MinStepDuration is the minimum duration of a step; default 10ms.
	MinStepDuration time.Duration
	// MaxRunning limits the number of requests in the batch; default 64.
	MaxRunning int
	// ChunkTokens is the number of tokens in a chunk; default 1. The first
	// chunk has one token, and the last one may have fewer than ChunkTokens.
	ChunkTokens int

	// BlockTokens is the number of tokens in a block; default 2000. The engine
	// itself uses the block size of each request.
	BlockTokens int
	// TotalBlocks is the capacity of the prefix cache in blocks; default 1024.
	TotalBlocks int
	// ImportTimePerBlock is the time that the import of one block takes;
	// default 5ms.
	ImportTimePerBlock time.Duration
	// ComputedBlocks records the computed blocks of all engines that share it,
	// for Stats.RecomputedTokens. By default, the engine records only its own.
	ComputedBlocks *ComputedBlocks
	// BlockStore, if set, receives a copy of each block that the engine
	// computes and caches.
	BlockStore *BlockStore

	// HeartbeatInterval is the interval between heartbeats; default 200ms.
	HeartbeatInterval time.Duration
	// StreamRetention is the time for which a stream can be resumed after its
	// end; default 30s.
	StreamRetention time.Duration

	// EventDelay is the delay before a cache event is delivered.
	EventDelay time.Duration
	// EventLoss is the fraction, 0 to 1, of cache events that are never
	// delivered.
	EventLoss float64
	// EventRetention limits the number of entries in the event log; default
	// 8192.
	EventRetention int
	// LoadReportDelay is the age of the load reports that the engine serves.
	LoadReportDelay time.Duration

	// LoadTime returns the time that a weights version or one of its adapters
	// takes to load; default 300ms.
	LoadTime func(weightsVersion string) time.Duration
	// OnRequestEnd, if set, is called for each request that finishes or is
	// cancelled. The engine is locked during the call, so it must not block.
	OnRequestEnd func(EndedRequest)
	// IgnoreFencing makes the engine accept orders with a stale fencing token.
	IgnoreFencing bool
}

// EndedRequest describes one request that has ended.
type EndedRequest struct {
	// RequestID is the part of the request's id that all its attempts share.
	RequestID string
	CacheSalt string
	// ArrivedAt is the time at which the engine accepted the request.
	ArrivedAt time.Time
	// Usage counts the tokens that the engine actually processed.
	Usage engine.Usage
}

// defaultLoadTime is the time to load weights or an adapter if Config.LoadTime
// is nil.
const defaultLoadTime = 300 * time.Millisecond

// withDefaults returns the configuration with its defaults filled in.
func (c Config) withDefaults() Config {
	setDefaultString(&c.Address, "127.0.0.1:0")
	setDefault(&c.StepTokenBudget, 2048)
	setDefault(&c.PrefillTokensPerSecond, 20000)
	setDefault(&c.MinStepDuration, 10*time.Millisecond)
	setDefault(&c.MaxRunning, 64)
	setDefault(&c.ChunkTokens, 1)
	setDefault(&c.BlockTokens, 2000)
	setDefault(&c.TotalBlocks, 1024)
	setDefault(&c.ImportTimePerBlock, 5*time.Millisecond)
	setDefault(&c.HeartbeatInterval, 200*time.Millisecond)
	setDefault(&c.StreamRetention, 30*time.Second)
	setDefault(&c.EventRetention, 8192)
	if c.ComputedBlocks == nil {
		c.ComputedBlocks = NewComputedBlocks()
	}
	if c.LoadTime == nil {
		c.LoadTime = func(string) time.Duration { return defaultLoadTime }
	}
	return c
}

// setDefault replaces a field that is zero or negative.
func setDefault[N int | float64 | time.Duration](field *N, value N) {
	if *field <= 0 {
		*field = value
	}
}

// setDefaultString replaces a field that is empty.
func setDefaultString(field *string, value string) {
	if *field == "" {
		*field = value
	}
}
