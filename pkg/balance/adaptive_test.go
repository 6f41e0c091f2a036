package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// simPrompt returns the number of tokens of a random prompt.
func (s *fleetSim) simPrompt() int64 { return 500 + s.random.Int64N(3000) }

// setAdaptive switches on learned rates and delays, and gives the engines the speeds that
// were seen in one service.
func (s *fleetSim) setAdaptive() {
	for _, b := range s.processes {
		b.SetAdaptive(true)
	}
	for i, e := range s.engines {
		e.speed = []float64{0.7, 0.7, 1.7}[i%3]
	}
}

// since drops all results, so that the following ones are of one period.
func (s *fleetSim) since(now time.Duration) {
	s.run(now)
	s.results, s.timedOut = nil, 0
	for _, e := range s.engines {
		e.received = 0
	}
}

// calibration returns the mean expected time to the first byte and the mean observed one.
func (s *fleetSim) calibration() (expected, observed time.Duration) {
	for _, r := range s.results {
		expected += r.expected / time.Duration(len(s.results))
		observed += r.observed / time.Duration(len(s.results))
	}
	return expected, observed
}

// TestAdaptiveBurst guards against expected times that are several times too low under
// load, and against processes that all choose the same targets by old reports.
func TestAdaptiveBurst(t *testing.T) {
	for _, c := range []struct {
		processes int
		interval  time.Duration
	}{{4, 100 * time.Millisecond}, {24, 100 * time.Millisecond}, {103, 300 * time.Millisecond}} {
		Convey("With targets whose speeds differ by a factor of 2.4", t, func() {
			s := newFleetSim(c.processes, 45, c.interval)
			s.setAdaptive()
			s.offer(500, 5500*time.Millisecond, s.simPrompt)
			s.since(2500 * time.Millisecond)
			s.run(3500 * time.Millisecond)
			expected, observed := s.calibration()
			So(float64(expected)/float64(observed), ShouldBeBetween, 0.75, 1.33)

			s.offer(750, 5500*time.Millisecond, s.simPrompt)
			s.since(4500 * time.Millisecond)
			s.run(5500 * time.Millisecond)
			expected, observed = s.calibration()
			So(float64(expected)/float64(observed), ShouldBeBetween, 0.6, 1.66)
			So(observed, ShouldBeLessThan, 250*time.Millisecond)
			used, most, total := 0, 0, 0
			for _, e := range s.engines {
				total += e.received
				most = max(most, e.received)
				if e.received > 0 {
					used++
				}
			}
			So(used, ShouldEqual, 45)
			So(45*most, ShouldBeLessThan, 3*total)
		})
	}
	Convey("With more work than the targets can do, the expected times follow the queues", t, func() {
		s := newFleetSim(24, 45, 100*time.Millisecond)
		s.setAdaptive()
		s.offer(1800, 4*time.Second, s.simPrompt)
		s.since(2500 * time.Millisecond)
		s.run(3500 * time.Millisecond)
		expected, observed := s.calibration()
		So(observed, ShouldBeGreaterThan, 200*time.Millisecond)
		So(float64(expected)/float64(observed), ShouldBeBetween, 0.7, 1.43)
	})
}

// TestAdaptiveCrash guards against targets that are overloaded while others idle after a
// third of them is gone.
func TestAdaptiveCrash(t *testing.T) {
	Convey("After a third of the targets is gone, the others share the work", t, func() {
		s := newFleetSim(24, 45, 100*time.Millisecond)
		s.setAdaptive()
		s.offer(700, 4*time.Second, s.simPrompt)
		s.run(2 * time.Second)
		s.listed = s.listed[15:]
		s.since(2500 * time.Millisecond)
		s.run(3500 * time.Millisecond)
		_, observed := s.calibration()
		So(observed, ShouldBeLessThan, 200*time.Millisecond)
		for _, e := range s.engines[15:] {
			So(e.received, ShouldBeGreaterThan, 0)
		}
	})
}

// TestUnevenDataCentres guards against requests that queue at the near targets while those of
// other data centres are idle, and against transfers that gain nothing.
func TestUnevenDataCentres(t *testing.T) {
	run := func(callerShare float64) (remoteShare float64, observed time.Duration) {
		s := newFleetSim(24, 45, 100*time.Millisecond)
		for _, b := range s.processes {
			b.SetAdaptive(true)
		}
		s.setDataCentres(callerShare)
		s.offer(500, 5*time.Second, s.simPrompt)
		s.since(3 * time.Second)
		s.remote = 0
		s.run(5 * time.Second)
		_, observed = s.calibration()
		return float64(s.remote) / float64(len(s.results)), observed
	}
	Convey("With callers in the same proportions as targets, requests stay in their data centre", t, func() {
		remote, _ := run(0.34)
		So(remote, ShouldBeLessThan, 0.02)
	})
	Convey("With most callers in one of three data centres, it uses the others' targets before its own queue", t, func() {
		remote, observed := run(0.8)
		So(remote, ShouldBeBetween, 0.05, 0.5)
		So(observed, ShouldBeLessThan, 78*time.Millisecond)
	})
}
