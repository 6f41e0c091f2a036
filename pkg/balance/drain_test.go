package balance

import (
	"math"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestFillLevel guards against unseen work that is lost, counted twice or given to targets
// that are not the fastest.
func TestFillLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slopes := make([]slope, rapid.IntRange(1, 50).Draw(t, "targets"))
		lowest := math.Inf(1)
		for i := range slopes {
			slopes[i] = slope{start: rapid.Float64Range(0, 1000).Draw(t, "start"), tokensPerMS: rapid.Float64Range(5, 200).Draw(t, "rate")}
			lowest = min(lowest, slopes[i].start)
		}
		tokens := rapid.Float64Range(0, 1e6).Draw(t, "tokens")
		level := fillLevel(slopes, tokens)
		filled := 0.0
		for _, s := range slopes {
			filled += max(0, level-s.start) * s.tokensPerMS
		}
		if level < lowest || math.Abs(filled-tokens) > 1e-6*(1+tokens) {
			t.Fatalf("level %v fills %v of %v tokens", level, filled, tokens)
		}
	})
}

// TestDelayModel guards against a fixed delay or a slope that is wrong or without bounds.
func TestDelayModel(t *testing.T) {
	t.Run("is right on average, and for all work if its factor is 1", rapid.MakeCheck(func(t *rapid.T) {
		fixed := rapid.Float64Range(2, 100).Draw(t, "fixed")
		factor := rapid.OneOf(rapid.Just(1.0), rapid.Float64Range(0.7, 1.5)).Draw(t, "factor")
		var m delayModel
		expected := 50.0
		for i := range 1000 {
			work := float64(5 + 37*i%200)
			m.add(time.Duration(i)*5*time.Millisecond, work, fixed+factor*work, expected)
			a, c := m.coefficients()
			expected = a + c*work
		}
		gotFixed, gotFactor := m.coefficients()
		if gotFactor < min(1, factor)-0.05 || gotFactor > max(1, factor)+0.05 {
			t.Fatalf("factor %v, want it between 1 and %v", gotFactor, factor)
		}
		for _, work := range []float64{m.x / m.weight, 5, 200} {
			got, want := gotFixed+gotFactor*work, fixed+factor*work
			if isMean := work != 5 && work != 200; (isMean || factor == 1) && math.Abs(got-want) > 1+0.03*want {
				t.Fatalf("work of %v ms: delay %v, want %v", work, got, want)
			}
		}
	}))
	t.Run("stays within its bounds", rapid.MakeCheck(func(t *rapid.T) {
		var m delayModel
		now := time.Duration(0)
		for range rapid.IntRange(0, 30).Draw(t, "samples") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "pause"))
			work, delay := rapid.Float64Range(1e-3, 1e4).Draw(t, "work"), rapid.Float64Range(-100, 1e4).Draw(t, "delay")
			m.add(now, work, delay, rapid.Float64Range(0, 1e4).Draw(t, "expected"))
			fixed, factor := m.coefficients()
			if !(fixed >= minFixedDelayMS && fixed <= maxFixedDelayMS && factor >= minWorkFactor && factor <= maxWorkFactor) {
				t.Fatalf("fixed %v factor %v", fixed, factor)
			}
		}
	}))
}

// TestPeerDrain guards against samples of peers that are counted twice, or lost when a
// report leaves them out.
func TestPeerDrain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBalancer("dc0")
		latest := map[string]decayedSums{}
		now := time.Second
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause"))
			peer := "p" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "peer"))
			load := TargetLoad{InFlight: 1}
			if rapid.Bool().Draw(t, "has sums") {
				load.Drain = DrainSums{Tokens: rapid.Float64Range(minReportedTokens, 1e6).Draw(t, "tokens"), MS: rapid.Float64Range(minReportedMS, 1e4).Draw(t, "ms")}
				latest[peer] = decayedSums{sums: load.Drain, at: now}
			}
			report(b, now, peer, load)
		}
		var want DrainSums
		for _, d := range latest {
			want = want.plus(d.current(now))
		}
		got := b.fleetTarget(KeyOf("e0")).peerDrain.current(now)
		if math.Abs(got.Tokens-want.Tokens) > 1e-3+1e-6*want.Tokens || math.Abs(got.MS-want.MS) > 1e-3+1e-6*want.MS {
			t.Fatalf("sums %v, want %v", got, want)
		}
	})
}

// TestDrainRate guards against a rate that follows a single sample, or that ignores what
// peers and cancelled requests show.
func TestDrainRate(t *testing.T) {
	Convey("Given a process that sends prompts to a target", t, func() {
		b, targets := newBalancer("dc0"), engines(1)
		b.SetAdaptive(true)
		s, stats := b.targetState(targets[0].Boot()), b.serviceStats("s")
		rate := func(now time.Duration) float64 { return s.drainRate(now, stats.drainRate(now)) }
		send := func(now time.Duration) *TrackedRequest {
			req := newRequest("", 0, 4000)
			req.SharedParts = nil
			choice, _ := b.Pick(now, req, targets)
			return b.Begin(now, req, &choice)
		}
		now := time.Second
		Convey("first bytes lead to the rate at which it processes them", func() {
			for range 50 {
				tracked := send(now)
				now += 15*time.Millisecond + 100*time.Millisecond
				tracked.RecordFirstByte(now)
				tracked.End(now, Succeeded)
			}
			So(rate(now), ShouldBeBetween, 30, 50)
		})
		Convey("a process reports its own samples to its peers", func() {
			for range 10 {
				tracked := send(now)
				now += 400 * time.Millisecond
				tracked.RecordFirstByte(now)
				tracked.End(now, Succeeded)
			}
			other := newBalancer("dc0")
			other.SetAdaptive(true)
			So(b.LocalLoads(now)[KeyOf("e0")].Drain.isZero(), ShouldBeTrue)
			b.ShareDrain(true)
			other.targetState(targets[0].Boot())
			for range drainReportCycle {
				other.SetPeerLoads(now, "peer", b.LocalLoads(now))
			}
			So(other.fleetTarget(KeyOf("e0")).peerDrain.current(now).MS, ShouldBeGreaterThan, 0)
		})
		Convey("requests that are cancelled after more than the expected time lower it", func() {
			for range 10 {
				tracked := send(now)
				now += 400 * time.Millisecond
				tracked.End(now, Cancelled)
			}
			So(rate(now), ShouldBeLessThan, 0.5*initialPrefillRate)
		})
		Convey("requests that are cancelled earlier show nothing", func() {
			for range 10 {
				send(now).End(now+5*time.Millisecond, Cancelled)
			}
			So(rate(now), ShouldEqual, initialPrefillRate)
		})
		Convey("samples of peers count like its own", func() {
			report(b, now, "p", TargetLoad{InFlight: 1, Drain: DrainSums{Tokens: 80_000, MS: 2000}})
			So(rate(now), ShouldBeBetween, 40, 50)
		})
	})
	Convey("A new run of a target begins with the rate of its service", t, func() {
		b, targets := newBalancer("dc0"), engines(1)
		rate := func() float64 {
			return b.targetState(targets[0].Boot()).drainRate(time.Second, b.serviceStats("s").drainRate(time.Second))
		}
		targets[0].StartUnixMS = 1
		So(rate(), ShouldEqual, initialPrefillRate)
		report(b, time.Second, "p", TargetLoad{InFlight: 1, Drain: DrainSums{Tokens: 80_000, MS: 2000}})
		So(rate(), ShouldBeLessThan, 50)
		targets[0].StartUnixMS = 2
		So(rate(), ShouldEqual, initialPrefillRate)
		report(b, time.Second, "p", TargetLoad{InFlight: 1, Drain: DrainSums{Tokens: 80_000, MS: 2000}})
		So(rate(), ShouldBeLessThan, 50)
	})
	Convey("Of two targets, the faster one is the primary target of more prefixes", t, func() {
		candidates := make([]candidate, 2)
		for i := range candidates {
			candidates[i] = candidate{hash: uint64(i+1) * 0x9e3779b97f4a7c15, state: &targetState{}, queue: queueEstimate{usualRate: 50 + 50*float64(i)}}
		}
		setSpeedClasses(candidates)
		fast := 0
		for id := range uint64(2000) {
			fast += highestWeight(rendezvousWeight(id, 5), candidates, nil)
		}
		So(float64(fast)/2000, ShouldBeBetween, 0.6, 0.73)
	})
}
