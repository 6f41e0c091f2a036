package entry

import (
	"sync"
	"time"
)

const (
	// overdueAfter is how much later than a peer the watch may tell a
	// configuration.
	overdueAfter = 200 * time.Millisecond
	// hurryPause is the least time between two hurried reads.
	hurryPause = time.Second
)

// overdue notices from the peers' messages that a configuration is in force
// which this process's own watch has not told.
type overdue struct {
	// hurry has the operators' keys read at once.
	hurry chan struct{}

	mu sync.Mutex
	// newest is the newest version heard of, since when it was first heard.
	newest int64
	since  time.Duration
	// hurriedAt is the time of the latest hurried read; hurried says that there
	// was one.
	hurriedAt time.Duration
	hurried   bool
}

func newOverdue() *overdue {
	return &overdue{hurry: make(chan struct{}, 1)}
}

// heard notes a peer's version beside the one in force here, and says whether it
// asked for a read.
func (o *overdue) heard(now time.Duration, version, inForce int64) bool {
	if version <= inForce {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.newest <= inForce {
		o.since = now
	}
	o.newest = max(o.newest, version)
	if now-o.since < overdueAfter || (o.hurried && now-o.hurriedAt < hurryPause) {
		return false
	}
	o.hurried, o.hurriedAt = true, now
	select {
	case o.hurry <- struct{}{}:
	default:
	}
	return true
}
