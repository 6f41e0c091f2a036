package enginefake

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// Config configures one engine. A zero field selects its default.
type Config struct {
	// Address is the listen address, host:port; default a free loopback port.
	Address string
	// Seed seeds the random choice of cache events to drop.
	Seed uint64
	// Models are the models loaded after each start; default none.
	Models []engine.LoadedModel
	// Role is the engine's role after each start.
	Role string

	// StepTokens is the token budget of a step; default 2048.
	StepTokens int
	// PrefillTokensPerSecond is the prefill throughput; default 20000.
	PrefillTokensPerSecond float64
	// DecodeStep is the minimum duration of a step; default 10ms.
	DecodeStep time.Duration
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
	// Seen records the computed blocks of all engines that share it, for
	// Stats.RecomputedTokens. By default, the engine records only its own.
	Seen *Seen
	// Store, if set, receives a copy of each block that the engine computes
	// and caches.
	Store *Store

	// Heartbeat is the interval between heartbeats; default 200ms.
	Heartbeat time.Duration
	// StreamRetention is the time for which a stream can be resumed after its
	// end; default 30s.
	StreamRetention time.Duration

	// EventDelay is the delay before a cache event is delivered.
	EventDelay time.Duration
	// EventLoss is the fraction of cache events that are never delivered, 0 to 1.
	EventLoss float64
	// EventRetention limits the entries in the event log; default 8192.
	EventRetention int
	// LoadLag is the age of the load reports that the engine serves.
	LoadLag time.Duration

	// LoadTime returns the time that a weights version or one of its adapters
	// takes to load; default 300ms.
	LoadTime func(weightsVersion string) time.Duration
	// OnEnd, if set, is called for each request that finishes or is cancelled.
	// The engine is locked during the call, so it must not block.
	OnEnd func(Ended)
	// IgnoreFence makes the engine accept orders with an outdated fencing number.
	IgnoreFence bool
}

// Ended describes one request that has ended.
type Ended struct {
	// RequestID is the part of the request's id that all its attempts share.
	RequestID string
	CacheSalt string
	// Arrived is the time at which the engine accepted the request.
	Arrived time.Time
	// Usage counts the tokens that the engine actually processed.
	Usage engine.Usage
}

// defaultLoadTime is the time to load weights or an adapter if Config.LoadTime
// is nil.
const defaultLoadTime = 300 * time.Millisecond

// withDefaults returns the configuration with its defaults filled in.
func (c Config) withDefaults() Config {
	setDefaultString(&c.Address, "127.0.0.1:0")
	setDefault(&c.StepTokens, 2048)
	setDefault(&c.PrefillTokensPerSecond, 20000)
	setDefault(&c.DecodeStep, 10*time.Millisecond)
	setDefault(&c.MaxRunning, 64)
	setDefault(&c.ChunkTokens, 1)
	setDefault(&c.BlockTokens, 2000)
	setDefault(&c.TotalBlocks, 1024)
	setDefault(&c.ImportTimePerBlock, 5*time.Millisecond)
	setDefault(&c.Heartbeat, 200*time.Millisecond)
	setDefault(&c.StreamRetention, 30*time.Second)
	setDefault(&c.EventRetention, 8192)
	if c.Seen == nil {
		c.Seen = NewSeen()
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
