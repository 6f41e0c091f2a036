package router

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

func TestOnceOutcome(t *testing.T) {
	Convey("What a caller is told of a once call", t, func() {
		codes := []outcome.Code{
			outcome.CodeNotOwner, outcome.CodeRecordUnavailable, outcome.CodeNoTarget, outcome.CodeOverloaded,
			outcome.CodeLeaving, outcome.CodeTimeout, outcome.CodeUnauthorized,
		}
		Convey("is never \"not run\" once an answer was lost", func() {
			call := &onceCall{lost: true}
			for _, code := range codes {
				So(call.final(context.Background(), outcome.NotRun(code, "")).Ran, ShouldEqual, outcome.RanUnknown)
			}
			reused := call.final(context.Background(), outcome.NotRun(outcome.CodeKeyReused, ""))
			So(reused.Code, ShouldEqual, outcome.CodeKeyReused)
		})
		Convey("is the owner's word otherwise", func() {
			call := &onceCall{}
			for _, code := range codes {
				got := call.final(context.Background(), outcome.NotRun(code, ""))
				So(got.Code, ShouldEqual, code)
				So(got.Ran, ShouldEqual, outcome.RanNo)
			}
			unknown := &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown}
			So(call.final(context.Background(), unknown), ShouldEqual, unknown)
		})
	})
	Convey("A call is asked about again only where that may help", t, func() {
		soon := outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, maxOnceWait, "")
		later := outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, time.Second, "")
		unknown := &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown}
		So((&onceCall{}).mayAskAgain(soon), ShouldBeTrue)
		So((&onceCall{}).mayAskAgain(later), ShouldBeFalse)
		So((&onceCall{lost: true}).mayAskAgain(later), ShouldBeTrue)
		So((&onceCall{lost: true, unanswered: true}).mayAskAgain(unknown), ShouldBeTrue)
		So((&onceCall{lost: true}).mayAskAgain(unknown), ShouldBeFalse)
		So((&onceCall{}).mayAskAgain(outcome.NotRun(outcome.CodeKeyReused, "")), ShouldBeFalse)
	})
}
