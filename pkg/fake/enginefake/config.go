package enginefake

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// Config sets up one engine. The zero value of a field means its default.
type Config struct {
	// Address is the listener's host:port; default a free loopback port.
	Address string
	// Seed drives the loss of cache events.
	Seed uint64
	// Models are in memory after each start; default none.
	Models []engine.LoadedModel
	// InitialRole is the first role.
	InitialRole string

	// StepTokenBudget is the token budget of a step; default 2048.
	StepTokenBudget int
	// PrefillTokensPerSecond is the prefill speed; default 20000.
	PrefillTokensPerSecond float64
	// MinStepDuration is the least time of a step; default 10ms.
	MinStepDuration time.Duration
	// MaxRunning bounds the requests in the batch; default 64.
	MaxRunning int
	// ChunkTokens is the number of tokens in a chunk after the first; default 1.
	ChunkTokens int

	// BlockTokens is the block size of the load report and of imports; default 2000.
	BlockTokens int
	// TotalBlocks is the size of the prefix cache; default 1024.
	TotalBlocks int
	// ImportTimePerBlock is the cost of an imported block; default 5ms.
	ImportTimePerBlock time.Duration
	// ComputedBlocks collects blocks over several engines, for RecomputedTokens; default
	// one of the engine's own.
	ComputedBlocks *ComputedBlocks
	// BlockStore, when set, receives a copy of each stored block.
	BlockStore *BlockStore

	// HeartbeatInterval is the interval of heartbeats; default 200ms.
	HeartbeatInterval time.Duration
	// StreamRetention is how long an ended stream can be resumed; default 30s.
	StreamRetention time.Duration

	// EventDelay is how late cache events are delivered.
	EventDelay time.Duration
	// EventLoss is the share of cache events that is never delivered, 0 to 1.
	EventLoss float64
	// EventRetention bounds the event log; default 8192 entries.
	EventRetention int
	// LoadReportDelay is the age of a load report.
	LoadReportDelay time.Duration

	// LoadTime gives the time that weights take to load; default 300ms.
	LoadTime func(weightsVersion string) time.Duration
	// OnRequestEnd takes each request that ends, finished or not; nil for none. It must
	// not block.
	OnRequestEnd func(EndedRequest)
	// IgnoreFencing makes the engine obey orders with an old fencing number.
	IgnoreFencing bool
}

// EndedRequest is one request's true usage.
type EndedRequest struct {
	// RequestID is the part of the request's id that its attempts share.
	RequestID string
	CacheSalt string
	// ArrivedAt is when the engine took the request.
	ArrivedAt time.Time
	Usage     engine.Usage
}

// defaultLoadTime is the time to load weights when Config doesn't say.
const defaultLoadTime = 300 * time.Millisecond

// withDefaults fills in the defaults.
func (c Config) withDefaults() Config {
	orString(&c.Address, "127.0.0.1:0")
	orDefault(&c.StepTokenBudget, 2048)
	orDefault(&c.PrefillTokensPerSecond, 20000)
	orDefault(&c.MinStepDuration, 10*time.Millisecond)
	orDefault(&c.MaxRunning, 64)
	orDefault(&c.ChunkTokens, 1)
	orDefault(&c.BlockTokens, 2000)
	orDefault(&c.TotalBlocks, 1024)
	orDefault(&c.ImportTimePerBlock, 5*time.Millisecond)
	orDefault(&c.HeartbeatInterval, 200*time.Millisecond)
	orDefault(&c.StreamRetention, 30*time.Second)
	orDefault(&c.EventRetention, 8192)
	if c.ComputedBlocks == nil {
		c.ComputedBlocks = NewComputedBlocks()
	}
	if c.LoadTime == nil {
		c.LoadTime = func(string) time.Duration { return defaultLoadTime }
	}
	return c
}

// orDefault replaces a zero or negative number.
func orDefault[N int | float64 | time.Duration](field *N, value N) {
	if *field <= 0 {
		*field = value
	}
}

// orString replaces an empty string.
func orString(field *string, value string) {
	if *field == "" {
		*field = value
	}
}
