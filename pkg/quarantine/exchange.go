package quarantine

import (
	"slices"
	"time"
)

const (
	// maxStored bounds the records that Snapshot returns.
	maxStored = 256
	// newsTTL is the time for which News returns what this process has observed.
	newsTTL = 500 * time.Millisecond
	// minStoredCrashes is the number of open crashes from which a suspect's crashes must
	// be in the store.
	minStoredCrashes = 2
	// maxNewsCrashes bounds the crashes in the records that News returns.
	maxNewsCrashes = 100
)

// News returns the suspects of which this process has observed something within newsTTL,
// for the other processes, and one of the others that are quarantined, at random, for those
// that have missed it. What it learned from others is not passed on otherwise, which bounds
// the messages. The most relevant suspects come first.
func (t *Table) News(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Record
	repeated := false
	for suspect, state := range t.states {
		_, quarantined := t.quarantined[suspect]
		isRecent := now.Sub(state.observedAt) <= newsTTL
		if isRecent || (quarantined && !repeated) {
			repeated = repeated || !isRecent
			news = append(news, state.record(suspect))
		}
	}
	slices.SortFunc(news, compareRelevance)
	crashes := 0
	for i := range news {
		crashes += len(news[i].Crashes)
		if crashes > maxNewsCrashes {
			return news[:i]
		}
	}
	return news
}

// Snapshot returns the records that must outlast the processes, the most relevant ones
// first.
func (t *Table) Snapshot() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.snapshot()
}

// snapshot is like Snapshot. The caller must hold t.mu.
func (t *Table) snapshot() []Record {
	records := t.records()
	slices.SortFunc(records, compareRelevance)
	return records[:min(maxStored, len(records))]
}

// Missing reports whether the given records, merged into this table before, lack any
// fact of Snapshot that matters to a process that knows nothing else: an open crash of a
// suspect with minStoredCrashes of them or a trial of it, or that an open crash of a suspect
// that has as many in the records is cleared.
func (t *Table) Missing(records []Record) bool {
	held := make(map[Suspect]*Record, len(records))
	for i := range records {
		held[records[i].Suspect] = &records[i]
	}
	for _, record := range t.Snapshot() {
		stored, ok := held[record.Suspect]
		if !ok {
			stored = &Record{}
		}
		if record.hasMoreThan(stored) {
			return true
		}
	}
	return false
}
