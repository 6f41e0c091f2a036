package enginefake

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// errDuplicate is returned for a request whose id the engine has already
// accepted.
const errDuplicate = errors.ConstError("request id used before")

// job is an accepted request with its stream.
type job struct {
	// req has its Prompt and AnswerPrefix cleared, because retained streams
	// would otherwise use much memory.
	req       engine.Request
	arrivedAt time.Time
	seed      answerSeed
	// contentHashes are the content hashes of the full blocks of the prompt.
	contentHashes []uint64
	// blocks are the pinned blocks of the prompt computed so far.
	blocks []*block
	// promptTokens is the prompt's length, including AnswerPrefix. cachedTokens
	// is the part found in the cache, and prefilledTokens the part that is
	// cached or computed so far.
	promptTokens, cachedTokens, prefilledTokens int
	// answerTokens is the answer's length, including AnswerPrefix, and
	// decodedTokens the part decoded so far.
	answerTokens, decodedTokens int
	// stopsNaturally is true if MaxTokens doesn't truncate the answer.
	stopsNaturally bool

	chunks []engine.Chunk
	// pendingText is the decoded text of the next chunk.
	pendingText strings.Builder
	// pendingTokens is the number of tokens in pendingText.
	pendingTokens int
	done          bool
	// cancelled is true for a cancelled request, whose stream has no final
	// chunk.
	cancelled bool
	endedAt   time.Time
	changed   notifier
}

// newJob returns a job for a request that is valid in the engine's current
// state. The caller holds e.mu.
func (e *Engine) newJob(req engine.Request) (*job, error) {
	if _, used := e.jobs[req.ID]; used {
		return nil, errors.Trace(errDuplicate)
	}
	if !e.hasModel(req.Model, req.WeightsVersion, req.Adapter) {
		return nil, errors.WithType(errors.Errorf("%s %s is not loaded", req.Model, req.WeightsVersion), engine.ErrRejected)
	}
	if req.ID == "" || req.MaxTokens <= 0 || req.BlockTokens <= 0 || req.AnswerPrefixTokens < 0 {
		return nil, errors.WithType(errors.New("malformed request"), engine.ErrRejected)
	}
	j := &job{req: req, arrivedAt: time.Now()}
	j.seed = hashAnswerInputs(qualifiedModelName(req.Model, req.Adapter), req.WeightsVersion, req.Prompt)
	j.answerTokens = min(j.seed.naturalLength(), req.MaxTokens)
	j.stopsNaturally = j.answerTokens == j.seed.naturalLength()
	j.decodedTokens = min(req.AnswerPrefixTokens, j.answerTokens)
	j.promptTokens = CountTokens(req.Prompt) + req.AnswerPrefixTokens
	fullBlocks := min(len(req.BlockHashes), len(req.Prompt)/(req.BlockTokens*bytesPerToken))
	if fullBlocks > e.cfg.TotalBlocks {
		return nil, errors.WithType(errors.New("prompt exceeds the cache"), engine.ErrRejected)
	}
	for i := range fullBlocks {
		end := (i + 1) * req.BlockTokens * bytesPerToken
		j.contentHashes = append(j.contentHashes, hashBlockContent(&req, req.Prompt[:end]))
	}
	j.req.Prompt, j.req.AnswerPrefix = "", ""
	return j, nil
}

// blockKey returns the cache key of the prompt's block i.
func (j *job) blockKey(i int) blockKey {
	return blockKey{version: j.req.WeightsVersion, salt: j.req.CacheSalt, hash: j.req.BlockHashes[i]}
}

// decodeToken decodes the next answer token. It emits a chunk after the first
// token, after the last one and whenever chunkTokens tokens are pending.
func (j *job) decodeToken(chunkTokens int) {
	if j.decodedTokens < j.answerTokens {
		j.pendingText.WriteString(j.seed.token(j.decodedTokens))
		j.pendingTokens++
		j.decodedTokens++
	}
	last := j.decodedTokens >= j.answerTokens
	if last || len(j.chunks) == 0 || j.pendingTokens >= chunkTokens {
		j.emitChunk(last)
	}
}

// emitChunk appends a chunk of the pending tokens. The last chunk ends the job.
func (j *job) emitChunk(last bool) {
	chunk := engine.Chunk{
		Seq:    uint64(len(j.chunks)) + 1,
		Text:   j.pendingText.String(),
		Tokens: j.pendingTokens,
	}
	j.pendingText.Reset()
	j.pendingTokens = 0
	if last {
		chunk.FinishReason = "length"
		if j.stopsNaturally {
			chunk.FinishReason = "stop"
		}
		chunk.Usage = j.usage()
		j.done = true
		j.endedAt = time.Now()
	}
	j.chunks = append(j.chunks, chunk)
	j.changed.broadcast()
}

// usage returns the token counts of the job so far.
func (j *job) usage() *engine.Usage {
	return &engine.Usage{
		PromptTokens:     j.promptTokens,
		CachedTokens:     j.cachedTokens,
		CompletionTokens: j.decodedTokens - min(j.req.AnswerPrefixTokens, j.answerTokens),
	}
}
