// Package streamorigin remembers which software version of a service's targets began each
// stream, so that a stream that its caller resumes at another process continues at a target
// of the same version.
//
// Two facts prove where a stream began, and nothing else does: what the process that began it
// has told a few others, its witnesses, and a record in the store of all versions that may have
// begun one. The process tells its witnesses of a stream once the service has several versions;
// any process can name them from the stream's key and the list of processes. That a process
// doesn't know a stream, or a version, proves nothing.
//
// The package is independent of the transport.
package streamorigin

import (
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
	// candidateCount is the number of processes among which its witnesses are for one that
	// doesn't know which process began it.
	candidateCount = witnessCount + 1
	// maxStreams bounds the streams that are remembered.
	maxStreams = 10_000
	// streamTTL is the time for which a stream is remembered. It exceeds the time in which
	// callers resume a stream.
	streamTTL = 10 * time.Minute
)

// Key identifies a stream by the request that brought its first event.
type Key uint64

// NewKey returns the key of a stream. Request IDs come from callers, so that two accounts or
// two services may have the same one.
func NewKey(account, service, requestID string) Key {
	return Key(fieldhash.Sum([]byte(account), []byte(service), []byte(requestID)))
}

// Witnesses returns the processes that are told of a stream, out of all processes but the one
// that begins it. Processes that list the same members name the same ones, and mostly so if
// their lists differ.
func Witnesses(key Key, others []string) []string { return lowestRanked(key, others, witnessCount) }

// Candidates returns the processes of which some are the witnesses of a stream, out of all
// processes.
func Candidates(key Key, members []string) []string {
	return lowestRanked(key, members, candidateCount)
}

// lowestRanked returns the members with the lowest ranks, the lowest one first.
func lowestRanked(key Key, members []string, count int) []string {
	lowest := make([]string, 0, count+1)
	ranks := make([]uint64, 0, count+1)
	for _, member := range members {
		rank := memberRank(key, member)
		i, _ := slices.BinarySearch(ranks, rank)
		if i == count {
			continue
		}
		lowest, ranks = slices.Insert(lowest, i, member), slices.Insert(ranks, i, rank)
		if len(lowest) > count {
			lowest, ranks = lowest[:count], ranks[:count]
		}
	}
	return lowest
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
	streams *lru.Cache[Key, *origin]
	// holdTime is the longest time for which callers hold a stream.
	holdTime time.Duration
	// self is the name of this process, and members holds the runs of the others by name.
	self    string
	members map[string]string
	// toldOnce holds the streams of which the witnesses have been told once, the oldest first.
	toldOnce []toldStream
}

// origin is where a stream began.
type origin struct {
	software Software
	at       time.Duration
	// untold is set for a stream that this process began or resumed, until it tells the
	// witnesses or the stream has ended.
	untold bool
	// hasEnded is set once the caller has received the whole stream.
	hasEnded bool
}

// Origin names the software version that began a stream.
type Origin struct {
	Key     Key
	Version string
	// Age is the time since the stream began, or was resumed.
	Age time.Duration
}

// defaultHoldTime is the longest time for which callers hold a stream until it is set.
const defaultHoldTime = time.Minute

// New returns an empty Table.
func New() *Table {
	streams, err := lru.New[Key, *origin](maxStreams)
	if err != nil {
		panic(err)
	}
	return &Table{streams: streams, holdTime: defaultHoldTime}
}

// Len returns the number of streams that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streams.Len()
}

// SetHoldTime sets the longest time for which callers hold a stream.
func (t *Table) SetHoldTime(holdTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdTime = holdTime
}

// Record records the software version that began a stream, as a peer tells it. The first
// record of a stream stays, since its caller has events of that version.
func (t *Table) Record(now time.Duration, told Origin) {
	t.add(now, told.Key, &origin{software: Software{Version: told.Version}, at: now - told.Age})
}

// Begin records the software version that begins a stream at this process, or that began one
// which its caller resumes here. The witnesses don't know it yet.
func (t *Table) Begin(now time.Duration, key Key, software Software) {
	t.add(now, key, &origin{software: software, at: now, untold: true})
}

func (t *Table) add(now time.Duration, key Key, o *origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.streams.Peek(key); ok && now-known.at <= streamTTL {
		return
	}
	t.streams.Add(key, o)
}

// SetEnded records that the caller has received the whole stream, so that nobody has to know it.
func (t *Table) SetEnded(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.streams.Peek(key); ok {
		known.hasEnded, known.untold = true, false
	}
}

// SetTold records that the witnesses of a stream are told now. It reports whether they had not been
// told.
func (t *Table) SetTold(now time.Duration, key Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.streams.Peek(key)
	if !ok || !known.untold {
		return false
	}
	t.setTold(now, key, known)
	return true
}

// setTold records that the witnesses of a stream are told now. The caller must hold t.mu.
func (t *Table) setTold(now time.Duration, key Key, known *origin) {
	known.untold = false
	t.toldOnce = append(t.toldOnce, toldStream{key: key, at: now})
}

// TakeUntold returns the streams of a service of which the witnesses have to be told now that
// it has several versions.
func (t *Table) TakeUntold(now time.Duration, service string) []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	var untold []Origin
	for _, key := range t.streams.Keys() {
		known, _ := t.streams.Peek(key)
		if !known.untold || known.software.Service != service || now-known.at > streamTTL {
			continue
		}
		untold = append(untold, known.origin(now, key))
		t.setTold(now, key, known)
	}
	return untold
}

// Version returns the software version that began a stream, if that is known.
func (t *Table) Version(now time.Duration, key Key) (version string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.streams.Peek(key)
	if !ok || now-found.at > streamTTL {
		return "", false
	}
	return found.software.Version, true
}
