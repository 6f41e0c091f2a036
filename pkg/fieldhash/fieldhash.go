// Package fieldhash hashes a list of fields, of which callers choose some.
package fieldhash

import (
	"crypto/sha256"
	"encoding/binary"
)

// Sum returns a hash of the fields in their order. It is cryptographic, so that a caller
// can't search for fields that have the same hash as those of another caller. Each field is
// hashed with its length, which separates it from the next one.
func Sum(fields ...[]byte) uint64 {
	digest := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		// Writes to a hash don't fail.
		_, _ = digest.Write(length[:])
		_, _ = digest.Write(field)
	}
	return binary.BigEndian.Uint64(digest.Sum(nil))
}
