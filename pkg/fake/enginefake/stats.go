package enginefake

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// maxTimesToFirstToken limits the number of recorded times to first token.
const maxTimesToFirstToken = 1 << 18

// Stats holds the engine's counters since Start. A crash doesn't reset them.
type Stats struct {
	// Executions counts the accepted requests by the part of their id before
	// '#', which all attempts share.
	Executions map[string]int `json:"executions"`
	// PoisonedHits counts cache hits on blocks that were computed with a
	// different salt or from different content. It must stay 0.
	PoisonedHits int `json:"poisoned_hits"`
	// UsageBySalt counts the tokens of ended requests by cache salt.
	UsageBySalt map[string]engine.Usage `json:"usage_by_salt"`
	// PrefilledTokens counts the prompt tokens that were computed, and
	// CachedTokens those found in the cache.
	PrefilledTokens int `json:"prefilled_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	// RecomputedTokens counts the computed prompt tokens of blocks that an
	// engine with the same Config.ComputedBlocks had computed before.
	RecomputedTokens int `json:"recomputed_tokens"`
	// ImportedBlocks and EvictedBlocks count the blocks added by imports and
	// removed by eviction or unloading.
	ImportedBlocks int `json:"imported_blocks"`
	EvictedBlocks  int `json:"evicted_blocks"`
	// Cancelled counts the cancelled requests.
	Cancelled int `json:"cancelled"`
	// TimesToFirstToken are the times from a request's arrival to its first
	// token.
	TimesToFirstToken []time.Duration `json:"first_tokens_ns"`
}

// newStats returns empty counters.
func newStats() Stats {
	return Stats{Executions: map[string]int{}, UsageBySalt: map[string]engine.Usage{}}
}

// clone returns a deep copy.
func (s *Stats) clone() Stats {
	out := *s
	out.Executions = maps.Clone(s.Executions)
	out.UsageBySalt = maps.Clone(s.UsageBySalt)
	out.TimesToFirstToken = append([]time.Duration(nil), s.TimesToFirstToken...)
	return out
}

// baseRequestID returns the part of an attempt's id that all attempts of the
// request share.
func baseRequestID(id string) string {
	base, _, _ := strings.Cut(id, "#")
	return base
}

// computedBlock identifies a computed block by its key and content.
type computedBlock struct {
	key         blockKey
	contentHash uint64
}

// ComputedBlocks is the set of all blocks that the engines sharing it have
// computed. It is safe for concurrent use.
type ComputedBlocks struct {
	mu     sync.Mutex
	blocks map[computedBlock]struct{}
}

// NewComputedBlocks returns an empty set.
func NewComputedBlocks() *ComputedBlocks {
	return &ComputedBlocks{blocks: map[computedBlock]struct{}{}}
}

// record adds a block and reports whether it was already present.
func (s *ComputedBlocks) record(key blockKey, contentHash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	computed := computedBlock{key, contentHash}
	_, present := s.blocks[computed]
	s.blocks[computed] = struct{}{}
	return present
}
