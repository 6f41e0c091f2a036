package loadshed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func testQueue(maxWaiting int) *Queue { return NewQueue(maxWaiting, rand.New(rand.NewPCG(1, 2))) }

// TestLimits guards against less urgent requests that fill the queues which urgent ones have to find
// short, and against a limit on the most urgent class, for which a late response is better than none.
func TestLimits(t *testing.T) {
	Convey("Limits of classes", t, func() {
		classes := []Class{urgentClass, {Priority: 0, Objective: 600 * time.Millisecond}, {Priority: 1, Objective: 800 * time.Millisecond}, batchClass}
		So(Limits(urgentClass, classes), ShouldEqual, 0)
		So(Limits(batchClass, classes), ShouldEqual, 300*time.Millisecond)
		So(Limits(batchClass, []Class{batchClass}), ShouldEqual, 0)
		So(Limits(Class{Priority: 3, Objective: 100 * time.Millisecond}, classes), ShouldEqual, 100*time.Millisecond)
		So(Limits(batchClass, []Class{{Priority: 0, Objective: time.Millisecond}}), ShouldEqual, minLimit)
		So(QueueTarget(urgentClass, classes), ShouldEqual, 500*time.Millisecond)
	})
}

// TestPromptTime guards against a prompt that is never sent because its own time exceeds the limit.
func TestPromptTime(t *testing.T) {
	Convey("The time of a prompt is the smallest observed, and at first that of a slow engine", t, func() {
		var p PromptTime
		So(p.Of(0, 1000), ShouldEqual, 50*time.Millisecond)
		p.Observe(0, 1000, 10*time.Millisecond)
		p.Observe(0, 1000, 400*time.Millisecond)
		p.Observe(0, 10, 0)
		So(p.Of(0, 2000), ShouldEqual, 20*time.Millisecond)
		So(p.Of(floorRecovery, 2000), ShouldEqual, 40*time.Millisecond)
	})
}

// TestCalibration guards against requests that are refused while engines are idle because the expected
// times are too high.
func TestCalibration(t *testing.T) {
	Convey("Expected times that are too high are corrected within a bound, others are not", t, func() {
		var c Calibration
		c.Observe(0, 100*time.Millisecond, time.Millisecond)
		So(c.Factor(0), ShouldEqual, 1)
		c.Observe(0, 900*time.Millisecond, 499*time.Millisecond)
		So(c.Factor(0), ShouldAlmostEqual, 0.5)
		c.Observe(0, time.Hour, time.Millisecond)
		So(c.Factor(0), ShouldEqual, minCalibration)
		c = Calibration{}
		c.Observe(0, time.Second, time.Minute)
		So(c.Factor(0), ShouldEqual, 1)
	})
}

// TestMinimumShare guards against a class that starves because more urgent requests use all capacity,
// whether these have waited or not.
func TestMinimumShare(t *testing.T) {
	Convey("One in eight requests sent is of the waiting less urgent class", t, func() {
		for _, direct := range []bool{false, true} {
			q := testQueue(1000)
			deadline := time.Hour
			for i := range 80 {
				_, refusal := q.Enqueue(0, Ticket{Priority: 2, Account: fmt.Sprint(i % 3), AccountWeight: 1, Deadline: deadline, Objective: deadline})
				So(refusal, ShouldBeNil)
			}
			urgent := Ticket{Priority: 0, Account: "u", AccountWeight: 1, Deadline: deadline, Objective: deadline}
			lower, sent := 0, 0
			for i := range 80 {
				now := time.Duration(i) * 100 * time.Millisecond
				if direct {
					q.RecordSent(now, &urgent)
					sent++
				} else {
					_, refusal := q.Enqueue(now, urgent)
					So(refusal, ShouldBeNil)
				}
				q.RecordFirstByte(now, now, 0, time.Millisecond, time.Second)
				room := 1
				for _, w := range q.Release(now, func(w *Waiter) bool {
					if room == 0 || (w.Priority == 2 && !w.ByMinShare) {
						return false
					}
					room--
					return true
				}) {
					sent++
					if w.Priority == 2 {
						lower++
					}
				}
			}
			So(sent, ShouldBeGreaterThan, 30)
			So(lower, ShouldEqual, sent/lowerShare)
		}
	})
}

// oracleRequest is a request as the oracle knows it.
type oracleRequest struct {
	waiter   *Waiter
	sequence int
}

// TestQueueAgainstOracle guards against waiters that are lost, released twice, released in the wrong
// order or after their time, and against queues beyond their bound.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := rapid.IntRange(1, 20).Draw(rt, "bound")
		q := testQueue(bound)
		waiting := map[*Waiter]oracleRequest{}
		now, sequence := time.Duration(0), 0
		remove := func(w *Waiter, how string) {
			if _, ok := waiting[w]; !ok {
				rt.Fatalf("%s: a request that does not wait", how)
			}
			delete(waiting, w)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) {
				if q.Len() > bound || q.Len()+len(q.displaced) != len(waiting) {
					rt.Fatalf("%d of %d wait, %d displaced", q.Len(), len(waiting), len(q.displaced))
				}
			},
			"pass time": func(rt *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond
			},
			"enqueue": func(rt *rapid.T) {
				ticket := Ticket{
					Priority: rapid.IntRange(0, 2).Draw(rt, "priority"), Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "account"),
					AccountWeight: float64(rapid.IntRange(1, 3).Draw(rt, "weight")), Tokens: float64(rapid.IntRange(0, 1000).Draw(rt, "tokens")),
					Deadline: now + time.Duration(rapid.IntRange(1, 5000).Draw(rt, "deadline"))*time.Millisecond, Objective: time.Second,
				}
				w, refusal := q.Enqueue(now, ticket)
				switch {
				case (w == nil) == (refusal == nil):
					rt.Fatalf("neither accepted nor refused")
				case refusal != nil && (refusal.RetryAfter <= 0 || refusal.Reason == ""):
					rt.Fatalf("refusal %+v", refusal)
				case w != nil:
					sequence++
					waiting[w] = oracleRequest{w, sequence}
				}
			},
			"leave": func(rt *rapid.T) {
				for w := range waiting {
					if q.Leave(w) {
						remove(w, "leave")
						if q.Leave(w) {
							rt.Fatalf("left twice")
						}
					}
					break
				}
			},
			"send directly": func(rt *rapid.T) {
				q.RecordSent(now, &Ticket{Priority: rapid.IntRange(0, 2).Draw(rt, "priority"), Account: "a", AccountWeight: 1})
			},
			"first byte": func(rt *rapid.T) {
				q.RecordFirstByte(now, now, rapid.IntRange(0, 2).Draw(rt, "priority"), time.Duration(rapid.IntRange(0, 2000).Draw(rt, "ms"))*time.Millisecond, 500*time.Millisecond)
			},
			"expire": func(rt *rapid.T) {
				for _, e := range q.Expire(now) {
					remove(e.Waiter, "expire")
					if e.Refusal.RetryAfter <= 0 || (e.Refusal.Reason == ReasonExpired && now < e.Waiter.Deadline) {
						rt.Fatalf("refusal %+v of %+v", e.Refusal, e.Waiter)
					}
				}
				for w := range waiting {
					if now >= w.Deadline {
						rt.Fatalf("a request waits past its deadline")
					}
				}
			},
			"release": func(rt *rapid.T) {
				room := rapid.IntRange(0, 5).Draw(rt, "room")
				for _, w := range q.Release(now, func(*Waiter) bool {
					room--
					return room >= 0
				}) {
					checkOrder(rt, waiting, w)
					remove(w, "release")
				}
			},
		})
	})
}

// checkOrder checks that no waiting request of the same account and class has an earlier deadline, and
// that no more urgent class was passed over except for the minimum share or its pace.
func checkOrder(rt *rapid.T, waiting map[*Waiter]oracleRequest, released *Waiter) {
	for w := range waiting {
		if w == released || w.left {
			continue
		}
		if w.Priority == released.Priority && w.Account == released.Account && w.Deadline < released.Deadline {
			rt.Fatalf("a later deadline was served first")
		}
		if w.Priority < released.Priority && !released.ByMinShare && !w.class.pace.limited {
			rt.Fatalf("priority %d was served before %d", released.Priority, w.Priority)
		}
	}
}

// TestFairOrder guards against an account whose flood delays the requests of the others.
func TestFairOrder(t *testing.T) {
	Convey("A request of another account waits for at most one of the flood", t, func() {
		q := testQueue(1000)
		ticket := Ticket{Account: "flood", AccountWeight: 10, Tokens: 10, Deadline: time.Hour, Objective: time.Hour}
		for range 100 {
			_, refusal := q.Enqueue(0, ticket)
			So(refusal, ShouldBeNil)
		}
		order := []string{}
		release := func() {
			room := 1
			for _, w := range q.Release(0, func(*Waiter) bool { room--; return room >= 0 }) {
				order = append(order, w.Account)
			}
		}
		release()
		ticket.Account = "other"
		for range 3 {
			_, refusal := q.Enqueue(0, ticket)
			So(refusal, ShouldBeNil)
		}
		q.classes[0].pace = pace{}
		for range 6 {
			release()
			q.classes[0].pace = pace{}
		}
		So(order, ShouldResemble, []string{"flood", "other", "flood", "other", "flood", "other", "flood"})
	})
	Convey("A full queue makes room at the expense of the account with the most waiting requests", t, func() {
		q := testQueue(10)
		ticket := Ticket{Priority: 1, Account: "flood", AccountWeight: 1, Tokens: 1, Deadline: time.Hour, Objective: time.Hour}
		for range 10 {
			_, refusal := q.Enqueue(0, ticket)
			So(refusal, ShouldBeNil)
		}
		_, refusal := q.Enqueue(0, ticket)
		So(refusal.Reason, ShouldEqual, ReasonFull)
		ticket.Account = "other"
		_, refusal = q.Enqueue(0, ticket)
		So(refusal, ShouldBeNil)
		expired := q.Expire(0)
		So(expired, ShouldHaveLength, 1)
		So(expired[0].Waiter.Account, ShouldEqual, "flood")
		So(expired[0].Refusal.Reason, ShouldEqual, ReasonDisplaced)
	})
}
