package enginefake

import "container/list"

// blockKey identifies a cached block.
type blockKey struct {
	version string
	salt    string
	hash    uint64
}

// block is one cached block.
type block struct {
	key blockKey
	// originSalt and contentHash come from the request that computed the block.
	originSalt  string
	contentHash uint64
	pinCount    int
	// element is the block's element in blockCache.evictable, nil while the
	// block is pinned.
	element *list.Element
}

// blockCache is a prefix cache of limited size with least-recently-used
// eviction of the blocks that no request has pinned.
type blockCache struct {
	capacity int
	blocks   map[blockKey]*block
	// evictable lists the blocks without pins, least recently used first.
	evictable *list.List
}

// newBlockCache returns an empty cache with a capacity in blocks.
func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, blocks: map[blockKey]*block{}, evictable: list.New()}
}

// freeBlocks returns the number of blocks that can be stored without an
// eviction.
func (c *blockCache) freeBlocks() int {
	return c.capacity - len(c.blocks)
}

// allocatableBlocks returns the number of blocks that are free or evictable.
func (c *blockCache) allocatableBlocks() int {
	return c.freeBlocks() + c.evictable.Len()
}

// pin prevents the eviction of a block until the matching unpin.
func (c *blockCache) pin(b *block) {
	b.pinCount++
	if b.element != nil {
		c.evictable.Remove(b.element)
		b.element = nil
	}
}

// unpin removes one pin. A block whose last pin is removed becomes the most
// recently used one.
func (c *blockCache) unpin(b *block) {
	b.pinCount--
	if b.pinCount == 0 && c.blocks[b.key] == b {
		b.element = c.evictable.PushBack(b)
	}
}

// store adds an unpinned block. It returns the block and the one evicted to
// make room for it, if any. If the cache is full and every block is pinned, it
// adds nothing and returns nil for both.
func (c *blockCache) store(key blockKey, contentHash uint64) (stored, evicted *block) {
	if c.freeBlocks() == 0 {
		if evicted = c.evict(); evicted == nil {
			return nil, nil
		}
	}
	stored = &block{key: key, originSalt: key.salt, contentHash: contentHash}
	stored.element = c.evictable.PushBack(stored)
	c.blocks[key] = stored
	return stored, evicted
}

// evict removes and returns the least recently used unpinned block, or returns
// nil if every block is pinned.
func (c *blockCache) evict() *block {
	oldest := c.evictable.Front()
	if oldest == nil {
		return nil
	}
	b := oldest.Value.(*block)
	c.remove(b)
	return b
}

// remove removes a block from the cache. Requests that have pinned it keep
// their reference to it.
func (c *blockCache) remove(b *block) {
	if b.element != nil {
		c.evictable.Remove(b.element)
		b.element = nil
	}
	delete(c.blocks, b.key)
}
