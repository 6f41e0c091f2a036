package enginefake

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// maxFirstTokenTimes bounds the kept times to first token.
const maxFirstTokenTimes = 1 << 18

// Stats are the engine's own counters, over all its boots.
type Stats struct {
	// Executions counts the requests that were taken to run, by the part of
	// their id before '#'.
	Executions map[string]int `json:"executions"`
	// PoisonedHits counts cached blocks used by a request with another salt
	// or other content. It must stay 0.
	PoisonedHits int `json:"poisoned_hits"`
	// UsageBySalt counts true tokens by cache salt.
	UsageBySalt map[string]engine.Usage `json:"usage_by_salt"`
	// PrefilledTokens counts computed prompt tokens, CachedTokens those taken
	// from the cache.
	PrefilledTokens int `json:"prefilled_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	// RecomputedTokens counts computed prompt tokens of blocks that an engine
	// with the same Seen had computed before.
	RecomputedTokens int `json:"recomputed_tokens"`
	// ImportedBlocks counts blocks imported; EvictedBlocks those evicted.
	ImportedBlocks int `json:"imported_blocks"`
	EvictedBlocks  int `json:"evicted_blocks"`
	// Cancelled counts requests ended by a cancel.
	Cancelled int `json:"cancelled"`
	// TimesToFirstToken are the times from arrival to first token.
	TimesToFirstToken []time.Duration `json:"first_tokens_ns"`
}

// newStats returns empty counters.
func newStats() Stats {
	return Stats{Executions: map[string]int{}, UsageBySalt: map[string]engine.Usage{}}
}

// clone returns a copy that shares nothing.
func (s *Stats) clone() Stats {
	out := *s
	out.Executions = maps.Clone(s.Executions)
	out.UsageBySalt = maps.Clone(s.UsageBySalt)
	out.TimesToFirstToken = append([]time.Duration(nil), s.TimesToFirstToken...)
	return out
}

// baseID is the part of an attempt's id that all attempts share.
func baseID(id string) string {
	base, _, _ := strings.Cut(id, "#")
	return base
}

// seenKey is a block with its content.
type seenKey struct {
	key     blockKey
	content uint64
}

// ComputedBlocks remembers every block that engines have computed.
type ComputedBlocks struct {
	mu     sync.Mutex
	blocks map[seenKey]struct{}
}

// NewComputedBlocks returns an empty Seen.
func NewComputedBlocks() *ComputedBlocks {
	return &ComputedBlocks{blocks: map[seenKey]struct{}{}}
}

// add notes a block and says whether it was known.
func (s *ComputedBlocks) add(key blockKey, content uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := seenKey{key, content}
	_, known := s.blocks[k]
	s.blocks[k] = struct{}{}
	return known
}
