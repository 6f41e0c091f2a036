package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

func testOrder() Order {
	return Order{Service: "s", Target: "v2", Duration: boundShortest, Revision: kv.NewRevision(1, 7)}
}

func newTestRollout(now, age time.Duration) *Rollout {
	return New(now, age, testOrder(), Bounds{Share: boundShare, Rollback: boundRollback}, rand.New(rand.NewPCG(1, 2)))
}

// TestNext guards against requests at a version that must not get them.
func TestNext(t *testing.T) {
	use := func(r *Rollout, now time.Duration, isRetry, isAlone bool) Use {
		decision := r.Next(now, isRetry, isAlone)
		r.Return(decision)
		return decision.Use
	}
	Convey("Given a rollout with budget left, in the load test", t, func() {
		loadTest := testOrder().Duration * 85 / 100
		r := newTestRollout(loadTest, loadTest)
		r.budget.all = 1000
		Convey("nothing goes to the new version until somebody tells the state", func() {
			So(use(r, loadTest, false, true), ShouldEqual, OldVersions)
		})
		Convey("requests go there, but no retries, and none beyond the budget", func() {
			r.Raise(Running, "")
			So(use(r, loadTest, false, false), ShouldEqual, NewVersionFirst)
			So(use(r, loadTest, true, false), ShouldEqual, OldVersions)
			r.budget.exposed = 1000
			So(use(r, loadTest, false, false), ShouldEqual, OldVersions)
		})
		Convey("a process without news sends none, unless it is alone", func() {
			r.Raise(Switching, "")
			later := loadTest + boundRollback/rollbackContactDivisor + 1
			So(use(r, later, false, false), ShouldEqual, OldVersions)
			So(use(r, later, false, true), ShouldEqual, NewVersionIfAvailable)
		})
		Convey("after the end without a result the old version comes first", func() {
			r.Raise(Running, "")
			So(use(r, testOrder().Duration, false, true), ShouldEqual, OldVersionsFirst)
		})
		Convey("a result is final, and complete takes precedence", func() {
			r.Raise(Reverted, ReasonSlow)
			So(r.Raise(Switching, ""), ShouldBeFalse)
			So(use(r, loadTest, false, true), ShouldEqual, OldVersions)
			r.Raise(Complete, "")
			So(use(r, loadTest, true, false), ShouldEqual, NewVersionIfAvailable)
		})
		Convey("requests that reached no target give their place back, and refused ones count only for the new version", func() {
			r.Raise(Running, "")
			decision := r.Next(loadTest, false, true)
			r.Begin(decision, true)
			r.End(Outcome{IsNew: true, Result: NotSent})
			_, exposed := r.Counts()
			So(exposed, ShouldEqual, 0)
			r.Begin(r.Next(loadTest, false, true), true)
			r.End(Outcome{IsNew: true, Result: Refused, IsAnswered: true})
			all, exposed := r.Counts()
			So(all, ShouldEqual, 1000)
			So(exposed, ShouldEqual, 1)
			So(r.Evidence(), ShouldBeEmpty)
		})
	})
}

// TestOrders guards against an order that is taken for another one after a restore of the store, and a
// repeated order that is ignored.
func TestOrders(t *testing.T) {
	Convey("An order of another era with the same content is the same one, and one with another revision of the same era is not", t, func() {
		order := testOrder()
		again := order
		again.Revision = kv.NewRevision(2, 3)
		So(order.IsSame(&again), ShouldBeTrue)
		again.Revision = kv.NewRevision(1, 8)
		So(order.IsSame(&again), ShouldBeFalse)
		again = order
		again.Target = "v3"
		So(order.IsSame(&again), ShouldBeFalse)
	})
	Convey("A record belongs to an order if it is newer and names its target", t, func() {
		order := testOrder()
		So((&Record{State: Complete, Target: "v2", Revision: order.Revision + 1}).BelongsTo(&order), ShouldBeTrue)
		So((&Record{State: Complete, Target: "v2", Revision: order.Revision - 1}).BelongsTo(&order), ShouldBeFalse)
		So((&Record{State: Complete, Target: "v1", Revision: order.Revision + 1}).BelongsTo(&order), ShouldBeFalse)
	})
	Convey("A result that the store has lost is written again", t, func() {
		r := newTestRollout(0, 0)
		r.Raise(Reverted, ReasonSlow)
		r.Adopt(&Record{})
		state, ok := r.Due(0, &Record{}, 0, 1)
		So(ok, ShouldBeTrue)
		So(state, ShouldEqual, Reverted)
	})
}

// TestReports guards against evidence that is counted twice, or not at all, because messages are lost,
// repeated or reordered, or because a process has started again.
func TestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			sender, boot string
			runs         int64
		}
		var sent []message
		want := int64(0)
		for _, sender := range []string{"a", "b"} {
			boots := rapid.IntRange(1, 3).Draw(t, "boots")
			for boot := range boots {
				runs := int64(0)
				for range rapid.IntRange(1, 4).Draw(t, "messages") {
					runs += int64(rapid.IntRange(0, 9).Draw(t, "runs"))
					sent = append(sent, message{sender, string(rune('0' + boot)), runs})
				}
				want += runs
			}
		}
		r := newReports()
		key := Key{Route: "r", New: true}
		deliver := func(m message) {
			r.record(0, m.sender, m.boot, &Report{Evidence: Evidence{key: Counts{Runs: m.runs}}})
		}
		for i, m := range sent {
			deliver(m)
			// An earlier message arrives once more.
			deliver(sent[rapid.IntRange(0, i).Draw(t, "repeated")])
		}
		sum := Evidence{}
		r.addTo(sum, func(string) bool { return true })
		if sum[key].Runs != want {
			t.Fatalf("%d runs, want %d", sum[key].Runs, want)
		}
	})
}

// TestInvalidReport guards against a message that ends the process or fills its memory.
func TestInvalidReport(t *testing.T) {
	Convey("Slices outside of the order and too many routes are ignored", t, func() {
		e := Evidence{}
		e.raise(Evidence{{Slice: -1}: {Runs: 1}, {Slice: numSlices}: {Runs: 1}})
		So(e, ShouldBeEmpty)
		for i := range 2 * maxKeys {
			e.raise(Evidence{{Route: string(rune(i))}: {Runs: 1}})
		}
		So(len(e), ShouldEqual, maxKeys)
	})
}

// TestTiming guards against shares of slow runs that differ between versions of the same speed.
func TestTiming(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		spread := rapid.Float64Range(0, 2).Draw(t, "spread")
		scale := rapid.Float64Range(0.001, 100).Draw(t, "scale")
		draw := func() float64 { return scale * (1 + spread*random.ExpFloat64()) }
		timing := &Timing{}
		slow, known := 0, 0
		for range 4000 {
			isSlow, isKnown := timing.IsSlow(draw(), random.Float64())
			if isSlow {
				slow++
			}
			if isKnown {
				known++
			}
			timing.Record(draw())
		}
		if share := float64(slow) / float64(known); share < 0.15 || share > 0.25 {
			t.Fatalf("%.3f of the runs are slow", share)
		}
	})
}

// TestCrashes guards against crashes with a common cause that are held against the new version, and against
// a version that crashes its engines and passes.
func TestCrashes(t *testing.T) {
	Convey("Given a rollout", t, func() {
		r := newTestRollout(0, 0)
		r.Raise(Running, "")
		states := map[fleet.Boot]RunState{}
		seemToCrash := func(at time.Duration, both bool) {
			r.RecordCrash(at, fleet.Boot{ID: "new", StartUnixMS: int64(at)}, true)
			if both {
				r.RecordCrash(at+100*time.Millisecond, fleet.Boot{ID: "old", StartUnixMS: int64(at)}, false)
			}
		}
		settle := func(id string, at time.Duration, state RunState) {
			states[fleet.Boot{ID: id, StartUnixMS: int64(at)}] = state
			r.SettleCrashes(func(run fleet.Boot) RunState { return states[run] })
			r.Judge(at, true)
		}
		crash := func(at time.Duration, both bool) {
			seemToCrash(at, both)
			settle("new", at, HasEnded)
			settle("old", at, HasEnded)
		}
		Convey("crashes of both versions at the same time don't count", func() {
			for i := range 6 {
				crash(time.Duration(i)*1500*time.Millisecond, true)
			}
			state, _ := r.State()
			So(state, ShouldEqual, Running)
		})
		Convey("crashes of the new version alone do, from the third moment on", func() {
			crash(time.Second, false)
			crash(time.Second+time.Millisecond, false)
			crash(3*time.Second, false)
			state, _ := r.State()
			So(state, ShouldEqual, Running)
			crash(5*time.Second, false)
			state, reason := r.State()
			So(state, ShouldEqual, Reverted)
			So(reason, ShouldEqual, ReasonCrashes)
		})
		Convey("runs that only refuse connections for some time don't", func() {
			for i := range 6 {
				at := time.Duration(i) * 2 * time.Second
				seemToCrash(at, false)
				settle("new", at, MayHaveEnded)
			}
			for i := range 6 {
				settle("new", time.Duration(i)*2*time.Second, IsRunning)
			}
			state, _ := r.State()
			So(state, ShouldEqual, Running)
			Convey("and the same runs do when they crash later", func() {
				for i := range 3 {
					crash(time.Duration(i)*2*time.Second, false)
				}
				state, _ := r.State()
				So(state, ShouldEqual, Reverted)
			})
		})
		Convey("nor do runs that have ended beside ones of the old version that may have", func() {
			for i := range 6 {
				at := time.Duration(i) * 2 * time.Second
				seemToCrash(at, true)
				settle("new", at, HasEnded)
			}
			state, _ := r.State()
			So(state, ShouldEqual, Running)
		})
	})
}
