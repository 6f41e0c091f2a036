package fleet

import "time"

// maxVersionHistory bounds the versions that a VersionHistory remembers.
const maxVersionHistory = 32

// VersionHistory is when the weights versions of one model were named. The zero
// value is empty. It is not safe for concurrent use.
type VersionHistory struct {
	named []namedVersion
}

type namedVersion struct {
	version int64
	at      time.Duration
}

// Announce notes a version and says whether it is the newest so far.
func (h *VersionHistory) Announce(now time.Duration, version int64) bool {
	if version <= h.Newest() {
		return false
	}
	if len(h.named) == maxVersionHistory {
		h.named = append(h.named[:0], h.named[1:]...)
	}
	h.named = append(h.named, namedVersion{version: version, at: now})
	return true
}

// Newest returns the newest version; 0 when none was named.
func (h *VersionHistory) Newest() int64 {
	if len(h.named) == 0 {
		return 0
	}
	return h.named[len(h.named)-1].version
}

// Staleness returns for how long a version has been out of date; 0 when it isn't.
func (h *VersionHistory) Staleness(now time.Duration, version int64) time.Duration {
	for _, named := range h.named {
		if named.version > version {
			return now - named.at
		}
	}
	return 0
}
