package enginefake

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

const (
	// bytesPerToken is the number of bytes in each token.
	bytesPerToken = 4
	// minAnswerTokens and maxAnswerTokens bound the length of an answer that is
	// not truncated by a token limit.
	minAnswerTokens = 8
	maxAnswerTokens = 128
	// tokenLetters is the number of letters in a token, which ends with a
	// space.
	tokenLetters = bytesPerToken - 1
)

// CountTokens returns the number of tokens in a text.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// Answer returns the complete answer to a prompt. The answer is deterministic,
// and a smaller maxTokens yields a prefix of the same text.
func Answer(model, version, prompt string, maxTokens int) string {
	seed := hashAnswerInputs(model, version, prompt)
	length := min(seed.naturalLength(), max(maxTokens, 0))
	var text strings.Builder
	text.Grow(length * bytesPerToken)
	for i := range length {
		text.WriteString(seed.token(i))
	}
	return text.String()
}

// answerSeed is a hash of model, weights version and prompt that determines
// the answer.
type answerSeed uint64

// hashAnswerInputs returns the seed of an answer. Each input is prefixed with
// its length, so that inputs with equal concatenations don't collide.
func hashAnswerInputs(model, version, prompt string) answerSeed {
	hasher := xxhash.New()
	for _, input := range []string{model, version, prompt} {
		_, _ = hasher.WriteString(strconv.Itoa(len(input)) + ":")
		_, _ = hasher.WriteString(input)
	}
	return answerSeed(hasher.Sum64())
}

// naturalLength returns the number of tokens in the answer without a token
// limit.
func (s answerSeed) naturalLength() int {
	return minAnswerTokens + int(uint64(s)%(maxAnswerTokens-minAnswerTokens+1))
}

// token returns the answer's token at an index.
func (s answerSeed) token(index int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(uint64(s), 16) + "/" + strconv.Itoa(index))
	letters := make([]byte, tokenLetters, bytesPerToken)
	for i := range letters {
		letters[i] = 'a' + byte(hash%26)
		hash /= 26
	}
	return string(append(letters, ' '))
}

// qualifiedModelName returns the name of a model with its adapter, if any, as
// Answer expects it.
func qualifiedModelName(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

// hashBlockContent returns the content hash of the block at the end of prompt,
// a prefix of the request's prompt.
func hashBlockContent(req *engine.Request, prompt string) uint64 {
	return uint64(hashAnswerInputs(qualifiedModelName(req.Model, req.Adapter), req.WeightsVersion, prompt))
}
