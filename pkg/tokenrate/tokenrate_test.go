package tokenrate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

var account = &fleet.Account{Name: "a", TokensPerSecond: 1000, Burst: 1000}

// reportTimeout is the time without a report after which a peer is assumed to
// use its equal share.
const reportTimeout = 500 * time.Millisecond

func lookup(name string) (*fleet.Account, bool) { return account, name == account.Name }

// processes returns peers that are single processes.
func processes(names ...string) map[string]Peer {
	peers := map[string]Peer{}
	for _, name := range names {
		peers[name] = Peer{Processes: 1, ReportTimeout: reportTimeout, SameGroup: true}
	}
	return peers
}

// processReport returns a process's own report.
func processReport(name, boot string, accounts map[string]Usage) Report {
	return Report{Peer: name, Source: name, Boot: boot, Processes: 1, Accounts: accounts}
}

func TestAdmission(t *testing.T) {
	Convey("Given a limiter on the first start of a deployment", t, func() {
		l := New(true)
		Convey("requests are admitted up to the burst immediately, and further ones at the rate", func() {
			So(l.Admit(0, account, 1000).Admitted, ShouldBeTrue)
			refused := l.Admit(0, account, 500)
			So(refused.Admitted, ShouldBeFalse)
			So(refused.RetryAfter, ShouldEqual, 500*time.Millisecond)
			So(l.Admit(500*time.Millisecond, account, 500).Admitted, ShouldBeTrue)
		})
		Convey("a request larger than the burst is admitted when the bucket is full, and makes the level negative", func() {
			So(l.Admit(0, account, 3000).Admitted, ShouldBeTrue)
			So(l.Admit(time.Second, account, 1).Admitted, ShouldBeFalse)
			So(l.Admit(2100*time.Millisecond, account, 1).Admitted, ShouldBeTrue)
		})
		Convey("the tokens of a request that did not run are refunded", func() {
			l.Admit(0, account, 1000)
			l.Refund(0, account, 1000)
			So(l.Admit(0, account, 1000).Admitted, ShouldBeTrue)
		})
		Convey("an account without a limit is always admitted", func() {
			So(l.Admit(0, &fleet.Account{Name: "free"}, 1e12).Admitted, ShouldBeTrue)
		})
	})
	// A request that is larger than the reachable part of the burst must not be
	// refused for good.
	Convey("With a silent peer, a request above the reachable part of the burst is admitted once this part is full", t, func() {
		l := New(true)
		l.SetPeers(0, processes("silent"))
		So(l.Admit(0, account, 400).Admitted, ShouldBeTrue)
		refused := l.Admit(0, account, 900)
		So(refused.Admitted, ShouldBeFalse)
		So(refused.RetryAfter, ShouldEqual, 800*time.Millisecond)
		So(l.Admit(refused.RetryAfter, account, 900).Admitted, ShouldBeTrue)
	})
	Convey("A restarted process starts with empty buckets and uses the level that a peer reports", t, func() {
		l := New(false)
		l.SetPeers(0, processes("peer"))
		So(l.Admit(0, account, 100).Admitted, ShouldBeFalse)
		l.ApplyReport(10*time.Millisecond, processReport("peer", "b", map[string]Usage{"a": {Admitted: 5, Level: 700}}), lookup)
		So(l.Admit(10*time.Millisecond, account, 600).Admitted, ShouldBeTrue)
	})
}

// cluster is a set of processes that exchange reports under the control of the
// test.
type cluster struct {
	limiters []*Limiter
	names    []string
	// partition holds, for each process, the number of the network partition
	// that it is in.
	partition []int
}

func newCluster(n int) *cluster {
	c := &cluster{partition: make([]int, n)}
	for i := range n {
		c.limiters = append(c.limiters, New(true))
		c.names = append(c.names, string(rune('A'+i)))
	}
	for i, l := range c.limiters {
		var peers []string
		for j, name := range c.names {
			if j != i {
				peers = append(peers, name)
			}
		}
		l.SetPeers(0, processes(peers...))
	}
	return c
}

func (c *cluster) exchangeReports(now time.Duration) {
	for i, from := range c.limiters {
		usage := from.Usage(now)
		for j, to := range c.limiters {
			if i != j && c.partition[i] == c.partition[j] {
				to.ApplyReport(now, processReport(c.names[i], "boot", usage), lookup)
			}
		}
	}
}

// admissionLog records admissions and computes their maximum over a sliding
// window.
type admissionLog struct {
	at     []time.Duration
	tokens []float64
}

func (l *admissionLog) add(now time.Duration, tokens float64) {
	l.at = append(l.at, now)
	l.tokens = append(l.tokens, tokens)
}

func (l *admissionLog) maxInWindow(length time.Duration) float64 {
	maxInWindow, sum, start := 0.0, 0.0, 0
	for i := range l.at {
		sum += l.tokens[i]
		for l.at[start] <= l.at[i]-length {
			sum -= l.tokens[start]
			start++
		}
		maxInWindow = max(maxInWindow, sum)
	}
	return maxInWindow
}

// TestHotAccountAcrossProcesses guards against an account that exceeds its
// limits by sending several times its rate through all processes, before, during
// and after a network partition. In any window the account gets at most its rate
// and burst, the tokens that the processes admit before their reports arrive,
// and one more burst for the partition.
func TestHotAccountAcrossProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 10 * time.Millisecond
		const reportInterval = 10
		const requestTokens = 20.0
		n := rapid.IntRange(2, 5).Draw(t, "processes")
		partitionAt := rapid.IntRange(200, 800).Draw(t, "partitionAt")
		partitionEndAt := partitionAt + rapid.IntRange(0, 900).Draw(t, "partitionFor")
		isolated := rapid.IntRange(1, n-1).Draw(t, "isolated")
		c := newCluster(n)
		var admitted admissionLog
		for i := range 1600 {
			now := time.Duration(i) * step
			if i == partitionAt {
				for j := range isolated {
					c.partition[j] = 1
				}
			}
			if i == partitionEndAt {
				clear(c.partition)
			}
			for _, l := range c.limiters {
				if l.Admit(now, account, requestTokens).Admitted {
					admitted.add(now, requestTokens)
				}
			}
			if i%reportInterval == 0 {
				c.exchangeReports(now)
			}
		}
		const windowLength = 8 * time.Second
		bound := account.TokensPerSecond*windowLength.Seconds() + account.Burst
		// Before a report arrives, each process admits the requests that it
		// receives.
		unreportedTokens := float64(n) * requestTokens * float64(reportInterval+int(reportTimeout/step))
		if maxAdmitted := admitted.maxInWindow(windowLength); maxAdmitted > bound+unreportedTokens+account.Burst {
			t.Fatalf("%d processes admitted %.0f tokens in a window of %v, bound %.0f", n, maxAdmitted, windowLength, bound)
		}
	})
}

func TestEqualShareWithoutReports(t *testing.T) {
	Convey("A process without reports from its peers stays within its equal share", t, func() {
		c := newCluster(4)
		c.exchangeReports(0)
		l := c.limiters[0]
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
