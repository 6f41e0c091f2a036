package entry

import (
	"math/rand/v2"
	"time"
)

const (
	// operatorWatchTimeout and memberWatchTimeout are the durations of one watch
	// call on the operators' keys and on the keys that the entry processes write,
	// while no peer is heard. They bound the time until the process detects a
	// watch that the store has dropped without an error.
	operatorWatchTimeout = 1300 * time.Millisecond
	memberWatchTimeout   = 3 * time.Second
	// watchExtensionPerPeer is the time by which each heard peer extends the
	// longest watch call, up to maxWatchTimeout.
	watchExtensionPerPeer = 150 * time.Millisecond
	maxWatchTimeout       = 25 * time.Second
	// memberIntervalPerMember determines the minimum interval between the starts of
	// two calls on the keys that the entry processes write: it is multiplied by the
	// number of members, up to maxMemberInterval. The interval batches the changes
	// of a fleet whose processes all start at the same time.
	memberIntervalPerMember = 20 * time.Millisecond
	maxMemberInterval       = 2 * time.Second
	// targetWatchTimeout is the duration of one watch call on the target entries.
	targetWatchTimeout = time.Second
	// hubTargetFraction and targetFraction determine the minimum interval between
	// the starts of two calls on the target entries, which change continuously, as
	// fractions of the time within which a draining target must get no more
	// requests. The rest of the time is left for a slow call. A group's hub reads
	// the entries more often and tells the other processes of draining targets.
	hubTargetFraction = 0.5
	targetFraction    = 0.8
)

// targetWatchInterval returns the minimum interval between the starts of two calls
// on the target entries.
func (e *Entry) targetWatchInterval() time.Duration {
	fraction := targetFraction
	if e.members.isHub() || e.members.heardCount() == 0 {
		fraction = hubTargetFraction
	}
	return time.Duration(fraction * float64(e.settings.DrainBound))
}

// watchTimeout returns the duration of the next watch call on keys that peers
// follow as well. A process that hears no peer uses the shortest one, isolated.
//
// With peers, a change that a dropped watch misses becomes known as soon as one
// of the processes restarts its watch, since peers report the versions that they
// have. Calls may therefore last longer the more peers are heard. The duration is
// random, because a change ends the watches of all processes at the same time:
// equal durations would make them all miss the changes until the same moment.
func watchTimeout(isolated time.Duration, heardPeers int, random func(n time.Duration) time.Duration) time.Duration {
	longest := min(maxWatchTimeout, isolated+time.Duration(heardPeers)*watchExtensionPerPeer)
	if longest <= isolated {
		return isolated
	}
	return isolated + random(longest-isolated)
}

func (m *memberList) operatorWatchTimeout() time.Duration {
	return watchTimeout(operatorWatchTimeout, m.heardCount(), rand.N[time.Duration])
}

// memberWatchInterval returns the minimum interval between the starts of two calls
// on the keys that the entry processes write.
func (m *memberList) memberWatchInterval() time.Duration {
	return min(maxMemberInterval, time.Duration(m.processCount())*memberIntervalPerMember)
}

func (m *memberList) memberWatchTimeout() time.Duration {
	return watchTimeout(memberWatchTimeout, m.heardCount(), rand.N[time.Duration])
}
