package idempotency

import (
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	. "github.com/smartystreets/goconvey/convey"
)

func TestStateMachine(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	limits := Limits{MaxRecords: 3, MaxStoredAnswerBytes: 10, MaxVolatileBytes: 100}
	call := func(key byte) Call { return Call{KeyHash: Hash{key}, RequestHash: Hash{9}, Window: time.Hour} }
	Convey("Given a state machine with small limits", t, func() {
		m := NewStateMachine(limits, 1, nil, start)
		beginRun := func(key byte, attempt uint64, at time.Time) {
			So(m.Begin(call(key), attempt, at).Action, ShouldEqual, ActionRun)
		}
		Convey("a reused key with a different request is refused with RanNo until its record expires", func() {
			beginRun(1, 1, start)
			m.Complete(Hash{1}, 1, Answer{Status: 200})
			other := call(1)
			other.RequestHash = Hash{8}
			refusal := m.Begin(other, 2, start).Refusal
			So(refusal.Code, ShouldEqual, outcome.CodeKeyReused)
			So(refusal.Ran, ShouldEqual, outcome.RanNo)
			So(m.Begin(other, 3, start.Add(time.Hour+MaxClockSkew)).Action, ShouldEqual, ActionRun)
		})
		Convey("a call joins an attempt in progress with the same key, even after the attempt's window has ended", func() {
			beginRun(1, 1, start)
			So(m.Begin(call(1), 2, start.Add(50*time.Hour)).Action, ShouldEqual, ActionJoin)
		})
		Convey("a call that may have run is not run again within its window", func() {
			beginRun(1, 1, start)
			m.MarkUnknown(Hash{1}, 1)
			refusal := m.Begin(call(1), 2, start.Add(time.Hour)).Refusal
			So(refusal.Code, ShouldEqual, outcome.CodeOutcomeUnknown)
			So(refusal.Ran, ShouldEqual, outcome.RanUnknown)
		})
		Convey("a call that was never sent may be attempted again", func() {
			beginRun(1, 1, start)
			So(m.MarkNotRun(Hash{1}, 1).State, ShouldEqual, StateNotRun)
			beginRun(1, 2, start)
		})
		Convey("calls beyond the record limit are refused with RanNo until records expire", func() {
			for key := byte(1); key <= 3; key++ {
				beginRun(key, uint64(key), start)
				m.Complete(Hash{key}, uint64(key), Answer{})
			}
			refusal := m.Begin(call(4), 4, start).Refusal
			So(refusal.Code, ShouldEqual, outcome.CodeRecordUnavailable)
			So(refusal.Ran, ShouldEqual, outcome.RanNo)
			beginRun(4, 5, start.Add(2*time.Hour))
			So(m.Len(), ShouldEqual, 1)
		})
		Convey("large answers are kept only in memory, and the oldest are evicted", func() {
			for key := byte(1); key <= 3; key++ {
				beginRun(key, uint64(key), start)
				stored := m.Complete(Hash{key}, uint64(key), Answer{Status: 200, Body: make([]byte, 40)})
				So(stored.Answer.BodyDropped, ShouldBeTrue)
			}
			So(m.Begin(call(1), 4, start).Refusal.Ran, ShouldEqual, outcome.RanYes)
			So(m.Begin(call(2), 4, start).Record.Answer.Body, ShouldHaveLength, 40)
			So(m.Begin(call(3), 4, start).Record.Answer.Body, ShouldHaveLength, 40)
		})
	})
}

func TestHashes(t *testing.T) {
	Convey("Key hashes differ for account and route names with the same concatenation", t, func() {
		So(KeyHash("ab", "c", "k"), ShouldNotEqual, KeyHash("a", "bc", "k"))
		So(SlotOf(KeyHash("a", "b", "c"), 64), ShouldBeLessThan, 64)
	})
}
