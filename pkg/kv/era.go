package kv

import "sync"

// A Store numbers its eras: the era rises by one each time the service has been
// restored from an older copy. Writes since that copy are gone, and the service
// assigns their revision numbers again. A Revision therefore holds the era in
// its high bits, so that revisions rise across a restore and a revision of an
// earlier era never equals one of a later era.
const (
	// revisionNumberBits is the number of low bits of a revision that hold the
	// service's own revision number. The remaining bits keep a revision below
	// 2^53 for the first 8,191 eras, so that it stays exact as a JSON number.
	revisionNumberBits = 40
	revisionNumberMask = 1<<revisionNumberBits - 1
)

// NewRevision returns the revision for the service's own revision number in an
// era. It returns 0, which stands for a key that does not exist, for number 0.
func NewRevision(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<revisionNumberBits | number&revisionNumberMask
}

// SplitRevision returns the era and the service's own revision number of a
// revision.
func SplitRevision(revision uint64) (era, number uint64) {
	return revision >> revisionNumberBits, revision & revisionNumberMask
}

// EraTracker holds the newest known era of a Store. Eras are learned from the
// service's answers and from peers, which may have received an answer while this
// process could not reach the service. It is safe for concurrent use.
type EraTracker struct {
	mu        sync.Mutex
	current   uint64
	listeners []func(era, previous uint64)
}

// Current returns the newest known era, or 0 before the first one is known.
func (t *EraTracker) Current() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// OnRestore adds a function that is called with each newer era and the one
// known before. The first known era does not count as newer. The function must
// not block.
func (t *EraTracker) OnRestore(fn func(era, previous uint64)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, fn)
}

// Observe records an era and calls the functions of OnRestore if it is newer
// than a known one.
func (t *EraTracker) Observe(era uint64) {
	t.mu.Lock()
	previous := t.current
	if era <= previous {
		t.mu.Unlock()
		return
	}
	t.current = era
	listeners := t.listeners
	t.mu.Unlock()
	if previous == 0 {
		return
	}
	for _, fn := range listeners {
		fn(era, previous)
	}
}
