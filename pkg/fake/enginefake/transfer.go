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

// pathExports takes an engine.ImportRequest by POST and answers with the leading
// blocks that are there.
const pathExports = "/v1/exports"

// exportTimeout bounds the fetch of blocks for an import.
const exportTimeout = 10 * time.Second

// storedBlock is a block on its way between engines and stores.
type storedBlock struct {
	Version string `json:"version"`
	Salt    string `json:"salt"`
	Hash    uint64 `json:"hash"`
	Content uint64 `json:"content"`
}

// exported returns the leading blocks of a transfer that lookup finds.
func exported(t engine.ImportRequest, lookup func(blockKey) (storedBlock, bool)) []storedBlock {
	blocks := []storedBlock{}
	for _, hash := range t.BlockHashes {
		b, ok := lookup(blockKey{version: t.WeightsVersion, salt: t.CacheSalt, hash: hash})
		if !ok {
			break
		}
		blocks = append(blocks, b)
	}
	return blocks
}

// export returns the leading blocks of a transfer in this engine's cache.
func (e *Engine) export(t engine.ImportRequest) []storedBlock {
	e.mu.Lock()
	defer e.mu.Unlock()
	return exported(t, func(key blockKey) (storedBlock, bool) {
		b, ok := e.cache.blocks[key]
		if !ok {
			return storedBlock{}, false
		}
		return storedBlock{Version: key.version, Salt: b.salt, Hash: key.hash, Content: b.content}, true
	})
}

// importBlocks fetches blocks and stores them after their cost in time.
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
		stored.salt = b.Salt
		e.stats.ImportedBlocks++
		e.noteStored(stored, evicted)
	}
	e.flushChange()
	return len(blocks), nil
}

// fetchBlocks asks the source of a transfer for its blocks.
func fetchBlocks(ctx context.Context, t engine.ImportRequest) ([]storedBlock, error) {
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
	var blocks []storedBlock
	if err := json.NewDecoder(resp.Body).Decode(&blocks); err != nil {
		return nil, errors.Trace(err)
	}
	return blocks, nil
}

// BlockStore is a KV cache store: an exporter of every block that engines with it
// in their Config have computed.
type BlockStore struct {
	mu     sync.Mutex
	blocks map[blockKey]storedBlock
}

// NewBlockStore returns an empty store. Serve it by HTTP as the http.Handler that
// it is; its address is then a Transfer's source.
func NewBlockStore() *BlockStore {
	return &BlockStore{blocks: map[blockKey]storedBlock{}}
}

// put adds a block.
func (s *BlockStore) put(b storedBlock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks[blockKey{version: b.Version, salt: b.Salt, hash: b.Hash}] = b
}

// ServeHTTP implements http.Handler for exports.
func (s *BlockStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var t engine.ImportRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, exported(t, func(key blockKey) (storedBlock, bool) {
		b, ok := s.blocks[key]
		return b, ok
	}))
}
