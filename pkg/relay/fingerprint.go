package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net"
	"strings"
)

// fingerprintBytes is the length of a fingerprint. It is long enough that a caller can't
// search for a request that has the fingerprint of another account's one.
const fingerprintBytes = 8

// requestFingerprint identifies what a request asks of a target: a request that comes
// again has the same fingerprint, at any process, whatever its ID, key and other headers
// are. Targets see the account of a request and not its key.
func (q *request) requestFingerprint() string {
	digest := sha256.New()
	for _, field := range []string{q.accountName(), q.r.Method, hostName(q.r.Host), q.r.RequestURI} {
		writeField(digest, []byte(field))
	}
	writeField(digest, q.body)
	return hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// writeField adds a field with its length, which separates it from the next one.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// Writes to a hash don't fail.
	_, _ = digest.Write(length[:])
	_, _ = digest.Write(field)
}

// hostName returns the host in lower case and without a port, as routes are matched.
func hostName(hostPort string) string {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		host = hostPort
	}
	return strings.ToLower(host)
}
