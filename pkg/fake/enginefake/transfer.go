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

// pathExports is the path that accepts an engine.ImportRequest by POST and
// returns its blocks up to the first one that is missing.
const pathExports = "/v1/exports"

// exportTimeout limits the time to fetch the blocks of an import request.
const exportTimeout = 10 * time.Second

// exportedBlock is the JSON form of a block in an export.
type exportedBlock struct {
	Version string `json:"version"`
	Salt    string `json:"salt"`
	Hash    uint64 `json:"hash"`
	Content uint64 `json:"content"`
}

// leadingBlocks returns the blocks of an import request up to the first one
// that lookup doesn't find.
func leadingBlocks(request engine.ImportRequest, lookup func(blockKey) (exportedBlock, bool)) []exportedBlock {
	blocks := []exportedBlock{}
	for _, hash := range request.BlockHashes {
		b, ok := lookup(blockKey{version: request.WeightsVersion, salt: request.CacheSalt, hash: hash})
		if !ok {
			break
		}
		blocks = append(blocks, b)
	}
	return blocks
}

// exportBlocks returns the blocks of an import request up to the first one that
// is not in the engine's cache.
func (e *Engine) exportBlocks(request engine.ImportRequest) []exportedBlock {
	e.mu.Lock()
	defer e.mu.Unlock()
	return leadingBlocks(request, func(key blockKey) (exportedBlock, bool) {
		b, ok := e.cache.blocks[key]
		if !ok {
			return exportedBlock{}, false
		}
		return exportedBlock{Version: key.version, Salt: b.originSalt, Hash: key.hash, Content: b.contentHash}, true
	})
}

// importBlocks fetches the blocks of an import request and, after the simulated
// import time, stores them in the cache. It returns the number of leading
// blocks that are then in the cache.
func (e *Engine) importBlocks(ctx context.Context, request engine.ImportRequest) (int, error) {
	boot := e.Boot()
	blocks, err := fetchBlocks(ctx, request)
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
		key := blockKey{version: b.Version, salt: request.CacheSalt, hash: b.Hash}
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

// fetchBlocks requests the blocks of an import request from its source.
func fetchBlocks(ctx context.Context, request engine.ImportRequest) ([]exportedBlock, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	body, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.SourceAddress+pathExports, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpResponse, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if httpResponse.StatusCode != http.StatusOK {
		return nil, errors.Errorf("export: status %d", httpResponse.StatusCode)
	}
	var blocks []exportedBlock
	if err := json.NewDecoder(httpResponse.Body).Decode(&blocks); err != nil {
		return nil, errors.Trace(err)
	}
	return blocks, nil
}

// BlockStore is a KV cache store shared by engines. It exports all blocks that
// the engines with this store in their Config have computed and cached.
type BlockStore struct {
	mu     sync.Mutex
	blocks map[blockKey]exportedBlock
}

// NewBlockStore returns an empty store. An HTTP server with the store as its
// handler can be the source of an engine.ImportRequest.
func NewBlockStore() *BlockStore {
	return &BlockStore{blocks: map[blockKey]exportedBlock{}}
}

// put adds or replaces a block.
func (s *BlockStore) put(b exportedBlock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocks[blockKey{version: b.Version, salt: b.Salt, hash: b.Hash}] = b
}

// ServeHTTP implements http.Handler. It handles every request like a POST to
// pathExports.
func (s *BlockStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request engine.ImportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, leadingBlocks(request, func(key blockKey) (exportedBlock, bool) {
		b, ok := s.blocks[key]
		return b, ok
	}))
}
