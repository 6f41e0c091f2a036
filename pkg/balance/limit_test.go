package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TestLimitedTargets answers the pattern of overloaded targets that name rate limits, beside
// others that don't, and while all of them do.
func TestLimitedTargets(t *testing.T) {
	const perSecond = 1
	Convey("Given a process that holds all limits, and three targets", t, func() {
		b, targets := newBalancer("dc0"), engines(3)
		b.Limits().SetMembers(0, nil)
		nameLimit := func(limited ...fleet.Target) {
			for i := range limited {
				b.Limits().RecordResponse(0, limited[i].Boot(), 0, true, perSecond)
			}
		}
		// pick returns the ID of the target that is chosen at a time, or the refusal.
		pick := func(now time.Duration) (string, *Refusal) {
			request := newRequest("p", 0, 10)
			request.MaxExpectedTTFB = time.Second
			choice, refusal := b.Pick(now, request, targets)
			return choice.Target.ID, refusal
		}
		Convey("a limited target gets nothing while its limit allows none, and then its rate", func() {
			nameLimit(targets[0])
			for now := time.Duration(0); now < 1900*time.Millisecond; now += 100 * time.Millisecond {
				id, refusal := pick(now)
				So(refusal, ShouldBeNil)
				So(id, ShouldNotEqual, targets[0].ID)
			}
			chosen := 0
			for now := 2 * time.Second; now < 12*time.Second; now += 100 * time.Millisecond {
				if id, _ := pick(now); id == targets[0].ID {
					chosen++
				}
			}
			So(chosen, ShouldBeBetweenOrEqual, 9, 11)
		})
		Convey("a target whose latest observation is old is preferred, but not if it would be too slow", func() {
			nameLimit(targets[0])
			old := 5 * time.Second
			queue := func(wait time.Duration) {
				s := b.targetState(targets[0].Boot())
				s.queuedTokens, s.pending = initialPrefillRate*float64(wait.Milliseconds()), 1
				s.queuedTokensAt, s.fleet.progressAt = old, old
			}
			queue(2 * time.Second)
			id, refusal := pick(old)
			So(refusal, ShouldBeNil)
			So(id, ShouldNotEqual, targets[0].ID)
			queue(200 * time.Millisecond)
			id, refusal = pick(old)
			So(refusal, ShouldBeNil)
			So(id, ShouldEqual, targets[0].ID)
		})
		Convey("a request is refused at once while all targets name limits that allow none", func() {
			nameLimit(targets...)
			_, refusal := pick(1500 * time.Millisecond)
			So(refusal, ShouldResemble, &Refusal{Reason: ReasonLimited, RetryAfter: 500 * time.Millisecond})
			_, refusal = pick(2 * time.Second)
			So(refusal, ShouldBeNil)
		})
		Convey("a process without a share tells when a place is likely at another one", func() {
			b.Limits().Leave(0)
			nameLimit(targets...)
			_, refusal := pick(3 * time.Second)
			So(refusal, ShouldResemble, &Refusal{Reason: ReasonLimited, RetryAfter: time.Second})
		})
	})
}
