// Package prefix computes a chain of salted hashes over the full cache blocks of
// a prompt. Each hash identifies the prefix of the prompt that ends with its block,
// for one client account, model, adapter and weights version.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// Salt returns the cache salt for a client account, model, adapter and weights
// version. The encoding is injective: each field is preceded by its length, so
// different inputs never have equal salts.
func Salt(account, model, adapter, weightsVersion string) string {
	const lengthPrefixBytes = 4 * len("1234:")
	salt := make([]byte, 0, len(account)+len(model)+len(adapter)+len(weightsVersion)+lengthPrefixBytes)
	for _, field := range [...]string{account, model, adapter, weightsVersion} {
		salt = strconv.AppendInt(salt, int64(len(field)), 10)
		salt = append(salt, ':')
		salt = append(salt, field...)
	}
	return string(salt)
}

// BlockBytes returns the number of prompt bytes in a cache block of blockTokens
// tokens, or 0 if either argument is not positive.
func BlockBytes(blockTokens int, bytesPerToken float64) int {
	if blockTokens <= 0 || bytesPerToken <= 0 {
		return 0
	}
	return max(1, int(float64(blockTokens)*bytesPerToken))
}

// Chain returns one hash for each full block of blockBytes bytes of prompt,
// first block first. Each hash is the SHA-256 of the salt, blockBytes and every
// prompt byte up to the end of its block, truncated to 64 bits. Bytes after the
// last full block are not hashed. Chain returns nil if there is no full block or
// blockBytes is not positive.
func Chain(salt string, prompt []byte, blockBytes int) []uint64 {
	if blockBytes <= 0 || len(prompt) < blockBytes {
		return nil
	}
	digest := sha256.New()
	var header [16]byte
	binary.BigEndian.PutUint64(header[:8], uint64(len(salt)))
	binary.BigEndian.PutUint64(header[8:], uint64(blockBytes))
	digest.Write(header[:])
	digest.Write([]byte(salt))

	chain := make([]uint64, 0, len(prompt)/blockBytes)
	sum := make([]byte, 0, sha256.Size)
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		digest.Write(prompt[:blockBytes])
		sum = digest.Sum(sum[:0])
		chain = append(chain, binary.BigEndian.Uint64(sum))
	}
	return chain
}
