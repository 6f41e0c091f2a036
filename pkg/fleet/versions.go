package fleet

import "time"

// maxAnnouncements is the maximum number of versions in a VersionHistory.
const maxAnnouncements = 32

// VersionHistory records when the weights versions of one model were
// announced. The zero value is empty. It is not safe for concurrent use.
type VersionHistory struct {
	announcements []versionAnnouncement
}

type versionAnnouncement struct {
	version     int64
	announcedAt time.Duration
}

// Announce records an announced version and reports whether it is newer than
// all earlier ones.
func (h *VersionHistory) Announce(now time.Duration, version int64) bool {
	if version <= h.Newest() {
		return false
	}
	if len(h.announcements) == maxAnnouncements {
		h.announcements = append(h.announcements[:0], h.announcements[1:]...)
	}
	h.announcements = append(h.announcements, versionAnnouncement{version: version, announcedAt: now})
	return true
}

// Newest returns the newest announced version, or 0 if there is none.
func (h *VersionHistory) Newest() int64 {
	if len(h.announcements) == 0 {
		return 0
	}
	return h.announcements[len(h.announcements)-1].version
}

// Staleness returns the time since a version was superseded, or 0 if it is
// current.
func (h *VersionHistory) Staleness(now time.Duration, version int64) time.Duration {
	for _, announcement := range h.announcements {
		if announcement.version > version {
			return now - announcement.announcedAt
		}
	}
	return 0
}
