// Package streamorigin remembers which software version of a service's targets began each
// stream, so that a stream that its caller resumes at another process continues at a target
// of the same version.
//
// The process that begins a stream tells a few others, its witnesses, which any process can
// name from the stream's key and the list of processes. A process that doesn't know a stream
// asks them.
//
// The package is independent of the transport.
package streamorigin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/baobabhub/baobabhub/pkg/fieldhash"
)

const (
	// witnessCount is the number of processes that are told of a stream. Three of them
	// seldom end together with the process that began it.
	witnessCount = 3
	// maxStreams bounds the streams that are remembered.
	maxStreams = 10_000
	// streamTTL is the time for which a stream is remembered. It exceeds the time in which
	// callers resume a stream.
	streamTTL = time.Minute
)

// Key identifies a stream by the request that brought its first event.
type Key uint64

// NewKey returns the key of a stream. Request IDs come from callers, so that two accounts or
// two services may have the same one.
func NewKey(account, service, requestID string) Key {
	return Key(fieldhash.Sum([]byte(account), []byte(service), []byte(requestID)))
}

// Witnesses returns the processes that are told of a stream, out of all processes. Processes
// that list the same members name the same ones, and mostly so if their lists differ.
func Witnesses(key Key, members []string) []string {
	type ranked struct {
		member string
		rank   uint64
	}
	ranks := make([]ranked, 0, len(members))
	for _, member := range members {
		ranks = append(ranks, ranked{member, memberRank(key, member)})
	}
	slices.SortFunc(ranks, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	witnesses := make([]string, 0, witnessCount)
	for _, r := range ranks[:min(witnessCount, len(ranks))] {
		witnesses = append(witnesses, r.member)
	}
	return witnesses
}

// memberRank returns the rank of a member among the witnesses of a stream; the lowest ranks
// are chosen.
func memberRank(key Key, member string) uint64 {
	digest := xxhash.NewWithSeed(uint64(key))
	// Writes to a hash don't fail.
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Table holds the streams that a process knows. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	streams *lru.Cache[Key, origin]
}

// origin is where a stream began.
type origin struct {
	version string
	at      time.Duration
}

// New returns an empty Table.
func New() *Table {
	streams, err := lru.New[Key, origin](maxStreams)
	if err != nil {
		panic(err)
	}
	return &Table{streams: streams}
}

// Record records the software version that began a stream. The first record of a stream
// stays, since its caller has events of that version.
func (t *Table) Record(now time.Duration, key Key, version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.streams.Peek(key); ok && now-known.at <= streamTTL {
		return
	}
	t.streams.Add(key, origin{version: version, at: now})
}

// Version returns the software version that began a stream, if that is known.
func (t *Table) Version(now time.Duration, key Key) (version string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.streams.Peek(key)
	if !ok || now-found.at > streamTTL {
		return "", false
	}
	return found.version, true
}
