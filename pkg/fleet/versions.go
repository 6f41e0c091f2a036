package fleet

import (
	"cmp"
	"slices"
	"time"
)

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

// Announce records a version that was announced at the given time, and reports
// whether it is newer than all known ones. A process that learns of a version
// late records the earliest time that it is told.
func (h *VersionHistory) Announce(at time.Duration, version int64) bool {
	isNewest := version > h.Newest()
	i, known := slices.BinarySearchFunc(h.announcements, version, func(a versionAnnouncement, v int64) int { return cmp.Compare(a.version, v) })
	if known {
		h.announcements[i].announcedAt = min(h.announcements[i].announcedAt, at)
		return false
	}
	h.announcements = slices.Insert(h.announcements, i, versionAnnouncement{version: version, announcedAt: at})
	if len(h.announcements) > maxAnnouncements {
		h.announcements = slices.Delete(h.announcements, 0, 1)
	}
	return isNewest
}

// Latest calls fn with the newest announced versions, at most n, and the times of
// their announcements.
func (h *VersionHistory) Latest(n int, fn func(version int64, announcedAt time.Duration)) {
	for _, a := range h.announcements[max(0, len(h.announcements)-n):] {
		fn(a.version, a.announcedAt)
	}
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
