package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWatchesLostAtOnce answers a change that the watches of all processes miss,
// right after an earlier change has ended all of them at the same time.
func TestWatchesLostAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	draw := func(n time.Duration) time.Duration { return time.Duration(random.Int64N(int64(n))) }
	// The limits leave at least half a second of the time within which a
	// configuration must be in force at that size, for the peers' messages.
	limits := map[int]time.Duration{
		1: 1500 * time.Millisecond, 2: 1500 * time.Millisecond, 5: 2 * time.Second,
		24: 2500 * time.Millisecond, 103: 3500 * time.Millisecond, 406: 3500 * time.Millisecond, 1000: 3500 * time.Millisecond,
	}
	Convey("Whatever the size of the fleet, one process restarts its watch in time", t, func() {
		for processes, limit := range limits {
			for range 200 {
				first := maxWatchTimeout
				for range processes {
					first = min(first, watchTimeout(operatorWatchTimeout, processes-1, draw))
				}
				So(first, ShouldBeLessThan, limit)
			}
		}
	})
	Convey("The calls of a process do not become more frequent as the fleet grows", t, func() {
		mean := func(processes int) time.Duration {
			sum := time.Duration(0)
			for range 1000 {
				sum += watchTimeout(operatorWatchTimeout, processes-1, draw)
			}
			return sum / 1000
		}
		So(mean(103), ShouldBeGreaterThan, 2*mean(5))
		So(mean(1000), ShouldBeGreaterThanOrEqualTo, mean(103))
	})
	Convey("A process that hears no peer does not rely on peers", t, func() {
		So(watchTimeout(operatorWatchTimeout, 0, draw), ShouldEqual, operatorWatchTimeout)
	})
}
