package fairqueue

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

var start = time.Unix(1_000_000, 0)

var accounts = []string{"a", "b", "c", "d"}

// oracle is a plain record of where each request is.
type oracle struct {
	queued  map[string]Request
	running map[string]Request
	ended   map[string]bool
}

func (o *oracle) leave(t *rapid.T, id string) Request {
	req, ok := o.queued[id]
	if !ok || o.ended[id] {
		t.Fatalf("%s left the queue twice or was never in it", id)
	}
	delete(o.queued, id)
	o.ended[id] = true
	return req
}

// TestQueueConserves drives a queue against the oracle: every pushed request is
// popped, removed or refused exactly once, within the bounds, and an account's
// own requests come by priority and age.
func TestQueueConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MaxQueued = 6
		settings.InitialTokensPerSecond = 1000
		q := New(settings, 2)
		now, limit, next, held := start, 2, 0, false
		o := &oracle{queued: map[string]Request{}, running: map[string]Request{}, ended: map[string]bool{}}
		refuse := func(t *rapid.T, refused []RefusedRequest) {
			for _, r := range refused {
				o.leave(t, r.ID)
				if r.Refusal.Ran != outcome.RanNo || r.Refusal.RetryAfter <= 0 {
					t.Fatalf("untrue refusal %+v", r.Refusal)
				}
			}
		}
		some := func(t *rapid.T, from map[string]Request) string {
			ids := make([]string, 0, len(from))
			for i := range next {
				if _, ok := from[fmt.Sprint(i)]; ok {
					ids = append(ids, fmt.Sprint(i))
				}
			}
			if len(ids) == 0 {
				t.Skip("none")
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				req := Request{
					ID:       fmt.Sprint(next),
					Account:  rapid.SampledFrom(accounts).Draw(t, "account"),
					Weight:   rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "weight"),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
					Cost:     rapid.Int64Range(1, 4000).Draw(t, "cost"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					req.Deadline = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
				}
				next++
				wait := q.ExpectedWait(req, now)
				late := !req.Deadline.IsZero() && now.Add(wait).After(req.Deadline)
				displaced, refusal := q.Push(req, now)
				refuse(t, displaced)
				if refusal == nil {
					o.queued[req.ID] = req
				}
				if late && refusal == nil {
					t.Fatalf("took a request %v late", now.Add(wait).Sub(req.Deadline))
				}
				if refusal != nil && !late && len(o.queued) < settings.MaxQueued {
					t.Fatalf("refused with room: %v", refusal)
				}
			},
			"pop": func(t *rapid.T) {
				req, ok, expired := q.Pop(now)
				for _, r := range expired {
					if !now.After(o.queued[r.ID].Deadline) {
						t.Fatalf("%s expired early", r.ID)
					}
				}
				refuse(t, expired)
				if ok != (!held && len(o.queued) > 0 && len(o.running) < limit) {
					t.Fatalf("popped %v with %d queued, %d running", ok, len(o.queued), len(o.running))
				}
				if !ok {
					return
				}
				o.leave(t, req.ID)
				o.running[req.ID] = req
				for _, other := range o.queued {
					if other.Account == req.Account && other.Priority > req.Priority {
						t.Fatalf("%s passed by a more urgent %s", req.ID, other.ID)
					}
				}
			},
			"remove": func(t *rapid.T) {
				id := some(t, o.queued)
				if !q.Remove(id) || q.Remove(id) {
					t.Fatalf("%s was not removed exactly once", id)
				}
				o.leave(t, id)
			},
			"finish": func(t *rapid.T) {
				id := some(t, o.running)
				actual := rapid.Int64Range(0, 5000).Draw(t, "actual")
				if !q.Finish(id, actual, now) || q.Finish(id, actual, now) {
					t.Fatalf("%s did not finish exactly once", id)
				}
				delete(o.running, id)
			},
			"limit": func(t *rapid.T) {
				limit = rapid.IntRange(1, 3).Draw(t, "limit")
				q.SetLimit(limit)
			},
			"hold": func(*rapid.T) {
				held = !held
				q.SetPaused(held)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(o.queued) || q.Running() != len(o.running) || q.Len() > settings.MaxQueued {
					t.Fatalf("%d queued, %d running, oracle %d, %d", q.Len(), q.Running(), len(o.queued), len(o.running))
				}
				if len(q.flows) > 0 && q.Len()+q.Running() == 0 {
					t.Fatalf("%d flows kept by an idle queue", len(q.flows))
				}
			},
		})
	})
}

// TestSharesStayWithinOneRequest checks the bound of start-time fair queueing:
// between accounts that wait all along, work by weight differs by at most one
// greatest request of each, whatever was estimated.
func TestSharesStayWithinOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultSettings(), 1)
		weights := map[string]float64{}
		served, greatest := map[string]float64{}, map[string]float64{}
		next := 0
		push := func(account string) {
			cost := rapid.Int64Range(1, 1000).Draw(t, "cost")
			q.Push(Request{ID: fmt.Sprint(next), Account: account, Weight: weights[account], Cost: cost}, start)
			next++
		}
		for _, account := range accounts {
			weights[account] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
			push(account)
			push(account)
		}
		for range rapid.IntRange(1, 60).Draw(t, "served") {
			req, ok, _ := q.Pop(start)
			if !ok {
				t.Fatal("nothing to pop")
			}
			actual := rapid.Int64Range(0, 2000).Draw(t, "actual")
			q.Finish(req.ID, actual, start)
			push(req.Account)
			served[req.Account] += float64(actual) / req.Weight
			greatest[req.Account] = max(greatest[req.Account], float64(max(actual, req.Cost))/req.Weight)
			for _, x := range accounts {
				for _, y := range accounts {
					bound := greatest[x] + greatest[y] + 1e-6
					if math.Abs(served[x]-served[y]) > bound {
						t.Fatalf("%s got %v, %s got %v, bound %v", x, served[x], y, served[y], bound)
					}
				}
			}
		}
	})
}

// TestExpectedWaitIsTrue compares the promised wait with the start that a
// server of constant rate gives when nothing else arrives.
func TestExpectedWaitIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.InitialTokensPerSecond = 1000
		q := New(settings, 1)
		draw := func(id int) Request {
			account := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			return Request{
				ID: fmt.Sprint(id), Account: accounts[account], Weight: float64(int(1) << account),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Cost:     rapid.Int64Range(1, 2000).Draw(t, "cost"),
			}
		}
		now := start
		serveOne := func() Request {
			req, ok, _ := q.Pop(now)
			if !ok {
				t.Fatal("nothing to pop")
			}
			return req
		}
		end := func(req Request) {
			now = now.Add(time.Duration(req.Cost) * time.Millisecond)
			q.Finish(req.ID, req.Cost, now)
		}
		waiting := rapid.IntRange(2, 12).Draw(t, "waiting")
		for i := range waiting {
			q.Push(draw(i), now)
		}
		for range rapid.IntRange(0, waiting-2).Draw(t, "served before") {
			end(serveOne())
		}
		current := serveOne()
		probe := draw(1000)
		promised := now.Add(q.ExpectedWait(probe, now))
		q.Push(probe, now)
		for current.ID != probe.ID {
			end(current)
			current = serveOne()
		}
		if diff := now.Sub(promised).Abs(); diff > time.Millisecond {
			t.Fatalf("promised %v, started %v", promised.Sub(start), now.Sub(start))
		}
	})
}

func TestFloodDoesNotMoveOthers(t *testing.T) {
	const rate, cost = 1000, 100
	const service = cost * time.Second / rate
	worstWait := func(floodPerService int) time.Duration {
		settings := DefaultSettings()
		settings.MaxQueued = 40
		q := New(settings, 1)
		var worst time.Duration
		now := start
		pushed := map[string]time.Time{}
		for i := range 300 {
			for j := range floodPerService {
				q.Push(Request{ID: fmt.Sprintf("f%d.%d", i, j), Account: "flood", Cost: cost}, now)
			}
			if i%3 == 0 {
				id := fmt.Sprintf("v%d", i)
				_, refusal := q.Push(Request{ID: id, Account: "victim", Cost: cost}, now)
				So(refusal, ShouldBeNil)
				pushed[id] = now
			}
			req, ok, _ := q.Pop(now)
			if at, isVictim := pushed[req.ID]; isVictim {
				worst = max(worst, now.Sub(at))
				delete(pushed, req.ID)
			}
			now = now.Add(service)
			if ok {
				q.Finish(req.ID, cost, now)
			}
		}
		So(pushed, ShouldBeEmpty)
		return worst
	}
	Convey("An account far above its share moves another's wait by at most one request", t, func() {
		So(worstWait(0), ShouldEqual, 0)
		So(worstWait(5), ShouldBeLessThanOrEqualTo, service)
	})
}

// TestNewcomersStarveNobody checks that between two requests of an account that
// waits all along, with equal costs, another account is served at most two.
func TestNewcomersStarveNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultSettings(), 1)
		next := 0
		push := func(account string) {
			next++
			q.Push(Request{ID: fmt.Sprint(next), Account: account, Cost: 100}, start)
		}
		push("old")
		passedBy := map[string]int{}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			push("old")
			if rapid.Bool().Draw(t, "newcomer") {
				account := fmt.Sprint("new", next/10)
				for range rapid.IntRange(1, 4).Draw(t, "burst") {
					push(account)
				}
			}
			req, _, _ := q.Pop(start)
			q.Finish(req.ID, req.Cost, start)
			passedBy[req.Account]++
			if req.Account == "old" {
				clear(passedBy)
			}
			if passedBy[req.Account] > 2 {
				t.Fatalf("passed by %d requests of %s", passedBy[req.Account], req.Account)
			}
		}
	})
}

func TestRefusalNamesTheTimeToComeBack(t *testing.T) {
	Convey("A request that can't start in time is refused with what is missing", t, func() {
		settings := DefaultSettings()
		settings.InitialTokensPerSecond = 1000
		q := New(settings, 1)
		q.Push(Request{ID: "1", Account: "a", Cost: 3000}, start)
		q.Pop(start)
		now := start.Add(time.Second)
		_, refusal := q.Push(Request{ID: "2", Account: "b", Cost: 10, Deadline: now.Add(500 * time.Millisecond)}, now)
		So(refusal, ShouldNotBeNil)
		So(refusal.Code, ShouldEqual, outcome.CodeOverloaded)
		So(refusal.RetryAfter, ShouldEqual, 1500*time.Millisecond)
		So(q.Len(), ShouldEqual, 0)
	})
}

func TestRateIsMeasured(t *testing.T) {
	Convey("Eight at once, each 8 s for 1000 tokens, are served at 1000 tokens a second", t, func() {
		q := New(DefaultSettings(), 8)
		now := start
		for i := range 100 {
			q.Push(Request{ID: fmt.Sprint(i), Account: "a", Cost: 1000}, now)
		}
		for {
			if _, ok, _ := q.Pop(now); !ok {
				break
			}
			now = now.Add(time.Second)
		}
		q.Finish("0", 1000, now)
		Convey("The first end, with seven in progress, does not lower the rate", func() {
			So(q.TokensPerSecond(), ShouldEqual, DefaultSettings().InitialTokensPerSecond)
		})
		Convey("Steady work brings the rate to the truth", func() {
			for i := 1; i < 60; i++ {
				q.Pop(now)
				now = now.Add(time.Second)
				q.Finish(fmt.Sprint(i), 1000, now)
			}
			So(q.TokensPerSecond(), ShouldAlmostEqual, 1000, 10)
		})
	})
}

func BenchmarkPushPop(b *testing.B) {
	q := New(DefaultSettings(), 1)
	for i := range 256 {
		q.Push(Request{ID: fmt.Sprint(i), Account: fmt.Sprint(i % 64), Cost: 100}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		req, _, _ := q.Pop(start)
		q.Finish(req.ID, 100, start)
		q.Push(req, start)
	}
}
