package tokenrate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

var account = &fleet.Account{Name: "a", TokensPerSecond: 1000, Burst: 1000}

// silentAfter is how long a peer of these tests may say nothing.
const silentAfter = 500 * time.Millisecond

func lookup(name string) (*fleet.Account, bool) { return account, name == account.Name }

func TestTake(t *testing.T) {
	Convey("Given a limiter of a deployment's first start", t, func() {
		l := New(true)
		Convey("the burst passes at once, and the rate after it", func() {
			So(l.Admit(0, account, 1000).Admitted, ShouldBeTrue)
			refused := l.Admit(0, account, 500)
			So(refused.Admitted, ShouldBeFalse)
			So(refused.RetryAfter, ShouldEqual, 500*time.Millisecond)
			So(l.Admit(500*time.Millisecond, account, 500).Admitted, ShouldBeTrue)
		})
		Convey("a request above the burst passes once the bucket is full, and leaves a debt", func() {
			So(l.Admit(0, account, 3000).Admitted, ShouldBeTrue)
			So(l.Admit(time.Second, account, 1).Admitted, ShouldBeFalse)
			So(l.Admit(2100*time.Millisecond, account, 1).Admitted, ShouldBeTrue)
		})
		Convey("tokens of a request that has not run come back", func() {
			l.Admit(0, account, 1000)
			l.Refund(0, account, 1000)
			So(l.Admit(0, account, 1000).Admitted, ShouldBeTrue)
		})
		Convey("an account without a limit is always admitted", func() {
			So(l.Admit(0, &fleet.Account{Name: "free"}, 1e12).Admitted, ShouldBeTrue)
		})
	})
	Convey("A restarted process starts empty and takes the level that a peer tells", t, func() {
		l := New(false)
		l.SetPeers(0, []string{"peer"}, silentAfter)
		So(l.Admit(0, account, 100).Admitted, ShouldBeFalse)
		l.ApplyReport(10*time.Millisecond, "peer", "b", map[string]Usage{"a": {Admitted: 5, Level: 700}}, lookup)
		So(l.Admit(10*time.Millisecond, account, 600).Admitted, ShouldBeTrue)
	})
}

// fleetOfLimiters is a set of processes whose messages a test delivers.
type fleetOfLimiters struct {
	limiters []*Limiter
	names    []string
	// side is the side of the cut that each process is on.
	side []int
}

func newFleet(n int) *fleetOfLimiters {
	f := &fleetOfLimiters{side: make([]int, n)}
	for i := range n {
		f.limiters = append(f.limiters, New(true))
		f.names = append(f.names, string(rune('A'+i)))
	}
	for i, l := range f.limiters {
		var peers []string
		for j, name := range f.names {
			if j != i {
				peers = append(peers, name)
			}
		}
		l.SetPeers(0, peers, silentAfter)
	}
	return f
}

func (f *fleetOfLimiters) gossip(now time.Duration) {
	for i, from := range f.limiters {
		usage := from.Usage(now)
		for j, to := range f.limiters {
			if i != j && f.side[i] == f.side[j] {
				to.ApplyReport(now, f.names[i], "boot", usage, lookup)
			}
		}
	}
}

// window holds admissions and finds the most in any window.
type window struct {
	at     []time.Duration
	tokens []float64
}

func (w *window) add(now time.Duration, tokens float64) {
	w.at = append(w.at, now)
	w.tokens = append(w.tokens, tokens)
}

func (w *window) most(length time.Duration) float64 {
	most, sum, from := 0.0, 0.0, 0
	for i := range w.at {
		sum += w.tokens[i]
		for w.at[from] <= w.at[i]-length {
			sum -= w.tokens[from]
			from++
		}
		most = max(most, sum)
	}
	return most
}

// TestHotAccountOverAllProcesses replays an account that sends several times
// its rate through all processes, with cuts between them that come and go. In
// any window the account gets its rate and burst, what the processes admit
// before they hear of each other, and at a cut at most one burst more.
func TestHotAccountOverAllProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 10 * time.Millisecond
		const gossipEvery = 10
		const requestTokens = 20.0
		n := rapid.IntRange(2, 5).Draw(t, "processes")
		cutAt := rapid.IntRange(200, 800).Draw(t, "cutAt")
		healAt := cutAt + rapid.IntRange(0, 900).Draw(t, "cutFor")
		alone := rapid.IntRange(1, n-1).Draw(t, "alone")
		f := newFleet(n)
		var admitted window
		for i := range 1600 {
			now := time.Duration(i) * step
			if i == cutAt {
				for j := range alone {
					f.side[j] = 1
				}
			}
			if i == healAt {
				clear(f.side)
			}
			for _, l := range f.limiters {
				if l.Admit(now, account, requestTokens).Admitted {
					admitted.add(now, requestTokens)
				}
			}
			if i%gossipEvery == 0 {
				f.gossip(now)
			}
		}
		const windowLength = 8 * time.Second
		bound := account.TokensPerSecond*windowLength.Seconds() + account.Burst
		// Before a message arrives, each process admits what it sees offered.
		lag := float64(n) * requestTokens * float64(gossipEvery+int(silentAfter/step))
		if most := admitted.most(windowLength); most > bound+lag+account.Burst {
			t.Fatalf("%d processes admitted %.0f tokens in a window of %v, bound %.0f", n, most, windowLength, bound)
		}
	})
}

func TestShareOfSilentPeers(t *testing.T) {
	Convey("A process that hears nobody keeps to its even share", t, func() {
		f := newFleet(4)
		f.gossip(0)
		l := f.limiters[0]
		So(l.Admit(0, account, 1000).Admitted, ShouldBeTrue)
		admitted := 0.0
		for now := 10 * time.Second; now <= 18*time.Second; now += 10 * time.Millisecond {
			if l.Admit(now, account, 10).Admitted {
				admitted += 10
			}
		}
		So(admitted, ShouldBeLessThanOrEqualTo, 8*1000/4+1000/4+10)
		So(admitted, ShouldBeGreaterThanOrEqualTo, 8*1000/4-10)
	})
}
