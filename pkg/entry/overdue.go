package entry

import (
	"sync"
	"time"
)

const (
	// watchLagTolerance is the time by which this process's watch may lag
	// behind a peer's before a relist is requested.
	watchLagTolerance = 200 * time.Millisecond
	// minRelistInterval is the minimum interval between requested relists.
	minRelistInterval = time.Second
)

// overdueConfigDetector detects from the peers' messages that this process's
// watch has missed a newer configuration, and requests a relist.
type overdueConfigDetector struct {
	// relist requests an immediate relist of the operators' keys.
	relist chan struct{}

	mu sync.Mutex
	// newestVersion is the newest version that a peer has reported. newerSince
	// is the time at which peers first reported a version newer than the one in
	// force here.
	newestVersion int64
	newerSince    time.Duration
	// lastRelistAt is the time of the latest relist request. It is valid only
	// if relistRequested is set.
	lastRelistAt    time.Duration
	relistRequested bool
}

func newOverdueConfigDetector() *overdueConfigDetector {
	return &overdueConfigDetector{relist: make(chan struct{}, 1)}
}

// recordVersion compares a peer's configuration version with the one in force
// here and reports whether it requested a relist.
func (d *overdueConfigDetector) recordVersion(now time.Duration, version, inForce int64) bool {
	if version <= inForce {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.newestVersion <= inForce {
		d.newerSince = now
	}
	d.newestVersion = max(d.newestVersion, version)
	if now-d.newerSince < watchLagTolerance || (d.relistRequested && now-d.lastRelistAt < minRelistInterval) {
		return false
	}
	d.relistRequested, d.lastRelistAt = true, now
	select {
	case d.relist <- struct{}{}:
	default:
	}
	return true
}
