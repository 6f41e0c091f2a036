package enginefake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// pathExports accepts an engine.ImportRequest by POST and returns its blocks up to
// the first one that is missing.
const pathExports = "/v1/exports"

// exportTimeout limits the time to fetch the blocks of an import.
const exportTimeout = 10 * time.Second

// exportedBlock is the JSON form of a block in an export.
type exportedBlock struct {
	Version string `json:"version"`
	Salt    string `json:"salt"`
	Hash    uint64 `json:"hash"`
	Content uint64 `json:"content"`
}

// leadingBlocks returns the blocks of a transfer up to the first one that
// lookup doesn't find.
func leadingBlocks(t engine.ImportRequest, lookup func(blockKey) (exportedBlock, bool)) []exportedBlock {
	blocks := []exportedBlock{}
	for _, hash := range t.BlockHashes {
		b, ok := lookup(blockKey{version: t.WeightsVersion, salt: t.CacheSalt, hash: hash})
		if !ok {
			break
		}
		blocks = append(blocks, b)
	}
	return blocks
}

// exportBlocks returns the blocks of a transfer up to the first one that is not
// in the engine's cache.
func (e *Engine) exportBlocks(t engine.ImportRequest) []exportedBlock {
	e.mu.Lock()
	defer e.mu.Unlock()
	return leadingBlocks(t, func(key blockKey) (exportedBlock, bool) {
		b, ok := e.cache.blocks[key]
		if !ok {
			return exportedBlock{}, false
		}
		return exportedBlock{Version: key.version, Salt: b.originSalt, Hash: key.hash, Content: b.contentHash}, true
	})
}

// importBlocks fetches the blocks of a transfer and stores them after the
// simulated import time. It returns the number of leading blocks that are then
// in the cache.
func (e *Engine) importBlocks(ctx context.Context, t engine.ImportRequest) (int, error) {
	boot := e.Boot()
	blocks, err := fetchBlocks(ctx, t)
	if err != nil {
		return 0, err
	}
	timer := time.NewTimer(time.Duration(len(blocks)) * e.cfg.ImportTimePerBlock)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return 0, errors.Trace(ctx.Err())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return 0, errors.New("engine restarted")
	}
	for i, b := range blocks {
		key := blockKey{version: b.Version, salt: t.CacheSalt, hash: b.Hash}
		if _, present := e.cache.blocks[key]; present {
			continue
		}
		stored, evicted := e.cache.store(key, b.Content)
		if stored == nil {
			e.flushChange()
			return i, nil
		}
		stored.originSalt = b.Salt
		e.stats.ImportedBlocks++
		e.recordStored(stored, evicted)
	}
	e.flushChange()
	return len(blocks), nil
}

// fetchBlocks requests the blocks of a transfer from its source.
func fetchBlocks(ctx context.Context, t engine.ImportRequest) ([]exportedBlock, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	body, err := json.Marshal(t)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.SourceAddress+pathExports, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("export: status %d", resp.StatusCode)
	}
	var blocks []exportedBlock
	if err := json.NewDecoder(resp.Body).Decode(&blocks); err != nil {
		return nil, errors.Trace(err)
	}
	return blocks, nil
}

// BlockStore is a KV cache store. It exports all blocks that engines with this store
// in their Config have computed and cached.
type BlockStore struct {
	mu     sync.Mutex
	blocks map[blockKey]exportedBlock
}

// NewBlockStore returns an empty store. An HTTP server with the store as its handler
// can be the source of an engine.ImportRequest.
func NewBlockStore() *BlockStore {
	return &BlockStore{blocks: map[blockKey]exportedBlock{}}
}

// put adds or replaces a block.
func (s *BlockStore) put(b exportedBlock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks[blockKey{version: b.Version, salt: b.Salt, hash: b.Hash}] = b
}

// ServeHTTP implements http.Handler. It handles every request as an export.
func (s *BlockStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var t engine.ImportRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, leadingBlocks(t, func(key blockKey) (exportedBlock, bool) {
		b, ok := s.blocks[key]
		return b, ok
	}))
}
