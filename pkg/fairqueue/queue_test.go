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

// referenceModel tracks the state of each request.
type referenceModel struct {
	queued  map[string]Request
	running map[string]Request
	removed map[string]bool
}

func (m *referenceModel) remove(t *rapid.T, id string) Request {
	req, ok := m.queued[id]
	if !ok || m.removed[id] {
		t.Fatalf("request %s left the queue twice or was never queued", id)
	}
	delete(m.queued, id)
	m.removed[id] = true
	return req
}

// TestQueueEndsEachRequestOnce compares a queue with the reference model: every
// pushed request is popped, removed or refused exactly once, the queue and the
// running requests stay within their limits, and no request is popped before a
// higher-priority request of the same account.
func TestQueueEndsEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.MaxQueued = 6
		settings.InitialTokensPerSecond = 1000
		q := New(settings, 2)
		now, limit, nextID, paused := start, 2, 0, false
		model := &referenceModel{queued: map[string]Request{}, running: map[string]Request{}, removed: map[string]bool{}}
		recordRefused := func(t *rapid.T, refused []RefusedRequest) {
			for _, r := range refused {
				model.remove(t, r.ID)
				if r.Refusal.Ran != outcome.RanNo || r.Refusal.RetryAfter <= 0 {
					t.Fatalf("got refusal %+v, want one with Ran no and a retry delay", r.Refusal)
				}
			}
		}
		drawID := func(t *rapid.T, from map[string]Request) string {
			ids := make([]string, 0, len(from))
			for i := range nextID {
				if _, ok := from[fmt.Sprint(i)]; ok {
					ids = append(ids, fmt.Sprint(i))
				}
			}
			if len(ids) == 0 {
				t.Skip("no request")
			}
			return rapid.SampledFrom(ids).Draw(t, "id")
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				req := Request{
					ID:       fmt.Sprint(nextID),
					Account:  rapid.SampledFrom(accounts).Draw(t, "account"),
					Weight:   rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "weight"),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
					Cost:     rapid.Int64Range(1, 4000).Draw(t, "cost"),
				}
				if rapid.Bool().Draw(t, "has deadline") {
					req.Deadline = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "seconds")) * time.Second)
				}
				nextID++
				wait := q.ExpectedWait(req, now)
				late := !req.Deadline.IsZero() && now.Add(wait).After(req.Deadline)
				displaced, refusal := q.Push(req, now)
				recordRefused(t, displaced)
				if refusal == nil {
					model.queued[req.ID] = req
				}
				if late && refusal == nil {
					t.Fatalf("accepted a request expected %v after its deadline", now.Add(wait).Sub(req.Deadline))
				}
				if refusal != nil && !late && len(model.queued) < settings.MaxQueued {
					t.Fatalf("request refused although the queue is not full: %v", refusal)
				}
			},
			"pop": func(t *rapid.T) {
				req, ok, expired := q.Pop(now)
				for _, r := range expired {
					if !now.After(model.queued[r.ID].Deadline) {
						t.Fatalf("request %s expired before its deadline", r.ID)
					}
				}
				recordRefused(t, expired)
				if ok != (!paused && len(model.queued) > 0 && len(model.running) < limit) {
					t.Fatalf("popped %v with %d queued, %d running", ok, len(model.queued), len(model.running))
				}
				if !ok {
					return
				}
				model.remove(t, req.ID)
				model.running[req.ID] = req
				for _, other := range model.queued {
					if other.Account == req.Account && other.Priority > req.Priority {
						t.Fatalf("request %s was popped before request %s with a higher priority", req.ID, other.ID)
					}
				}
			},
			"remove": func(t *rapid.T) {
				id := drawID(t, model.queued)
				if !q.Remove(id) || q.Remove(id) {
					t.Fatalf("request %s was not removed exactly once", id)
				}
				model.remove(t, id)
			},
			"finish": func(t *rapid.T) {
				id := drawID(t, model.running)
				actual := rapid.Int64Range(0, 5000).Draw(t, "actual")
				if !q.Finish(id, actual, now) || q.Finish(id, actual, now) {
					t.Fatalf("request %s did not finish exactly once", id)
				}
				delete(model.running, id)
			},
			"limit": func(t *rapid.T) {
				limit = rapid.IntRange(1, 3).Draw(t, "limit")
				q.SetLimit(limit)
			},
			"pause": func(*rapid.T) {
				paused = !paused
				q.SetPaused(paused)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(model.queued) || q.Running() != len(model.running) || q.Len() > settings.MaxQueued {
					t.Fatalf("%d queued, %d running; model has %d, %d", q.Len(), q.Running(), len(model.queued), len(model.running))
				}
				if len(q.flows) > 0 && q.Len()+q.Running() == 0 {
					t.Fatalf("idle queue has %d flows", len(q.flows))
				}
			},
		})
	})
}

// TestSharesDifferByAtMostOneRequest checks the fairness bound of start-time fair
// queueing: the served work per weight of two continuously backlogged accounts
// differs by at most the largest request of each, for any error in the estimates.
func TestSharesDifferByAtMostOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultSettings(), 1)
		weights := map[string]float64{}
		served, maxCost := map[string]float64{}, map[string]float64{}
		nextID := 0
		push := func(account string) {
			cost := rapid.Int64Range(1, 1000).Draw(t, "cost")
			q.Push(Request{ID: fmt.Sprint(nextID), Account: account, Weight: weights[account], Cost: cost}, start)
			nextID++
		}
		for _, account := range accounts {
			weights[account] = rapid.Float64Range(0.5, 8).Draw(t, "weight")
			push(account)
			push(account)
		}
		for range rapid.IntRange(1, 60).Draw(t, "served") {
			req, ok, _ := q.Pop(start)
			if !ok {
				t.Fatal("Pop returned no request")
			}
			actual := rapid.Int64Range(0, 2000).Draw(t, "actual")
			q.Finish(req.ID, actual, start)
			push(req.Account)
			served[req.Account] += float64(actual) / req.Weight
			maxCost[req.Account] = max(maxCost[req.Account], float64(max(actual, req.Cost))/req.Weight)
			for _, x := range accounts {
				for _, y := range accounts {
					bound := maxCost[x] + maxCost[y] + 1e-6
					if math.Abs(served[x]-served[y]) > bound {
						t.Fatalf("account %s got %v, account %s got %v, bound %v", x, served[x], y, served[y], bound)
					}
				}
			}
		}
	})
}

// TestExpectedWaitMatchesActualStart compares the expected wait with the actual
// start on a server of constant rate when no other request arrives.
func TestExpectedWaitMatchesActualStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultSettings()
		settings.InitialTokensPerSecond = 1000
		q := New(settings, 1)
		drawRequest := func(id int) Request {
			account := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
			return Request{
				ID: fmt.Sprint(id), Account: accounts[account], Weight: float64(int(1) << account),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Cost:     rapid.Int64Range(1, 2000).Draw(t, "cost"),
			}
		}
		now := start
		startNext := func() Request {
			req, ok, _ := q.Pop(now)
			if !ok {
				t.Fatal("Pop returned no request")
			}
			return req
		}
		finish := func(req Request) {
			now = now.Add(time.Duration(req.Cost) * time.Millisecond)
			q.Finish(req.ID, req.Cost, now)
		}
		queuedCount := rapid.IntRange(2, 12).Draw(t, "queued")
		for i := range queuedCount {
			q.Push(drawRequest(i), now)
		}
		for range rapid.IntRange(0, queuedCount-2).Draw(t, "served before") {
			finish(startNext())
		}
		current := startNext()
		probe := drawRequest(1000)
		expectedStart := now.Add(q.ExpectedWait(probe, now))
		q.Push(probe, now)
		for current.ID != probe.ID {
			finish(current)
			current = startNext()
		}
		if diff := now.Sub(expectedStart).Abs(); diff > time.Millisecond {
			t.Fatalf("expected start %v, actual start %v", expectedStart.Sub(start), now.Sub(start))
		}
	})
}

func TestFloodDelaysOthersByAtMostOneRequest(t *testing.T) {
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
	Convey("An account far above its share delays another account by at most one request", t, func() {
		So(worstWait(0), ShouldEqual, 0)
		So(worstWait(5), ShouldBeLessThanOrEqualTo, service)
	})
}

// TestNewAccountsDoNotStarveOthers checks that between two requests of a
// continuously backlogged account, at most two requests of any other account are
// served if all costs are equal.
func TestNewAccountsDoNotStarveOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultSettings(), 1)
		nextID := 0
		push := func(account string) {
			nextID++
			q.Push(Request{ID: fmt.Sprint(nextID), Account: account, Cost: 100}, start)
		}
		push("old")
		servedBetween := map[string]int{}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			push("old")
			if rapid.Bool().Draw(t, "new account") {
				account := fmt.Sprint("new", nextID/10)
				for range rapid.IntRange(1, 4).Draw(t, "burst") {
					push(account)
				}
			}
			req, _, _ := q.Pop(start)
			q.Finish(req.ID, req.Cost, start)
			servedBetween[req.Account]++
			if req.Account == "old" {
				clear(servedBetween)
			}
			if servedBetween[req.Account] > 2 {
				t.Fatalf("%d requests of account %s were served before the next one of account old", servedBetween[req.Account], req.Account)
			}
		}
	})
}

func TestDeadlineRefusalRetryAfter(t *testing.T) {
	Convey("RetryAfter of a refusal is the time by which the expected start misses the deadline", t, func() {
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

func TestServiceRate(t *testing.T) {
	Convey("Given eight concurrent requests of 1000 tokens that each take 8 s", t, func() {
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
		Convey("The first finish, with seven requests in progress, does not lower the rate", func() {
			So(q.TokensPerSecond(), ShouldEqual, DefaultSettings().InitialTokensPerSecond)
		})
		Convey("Under steady load the measured rate converges to 1000 tokens per second", func() {
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
