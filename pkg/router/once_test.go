package router

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

func TestAtMostOnceRefusals(t *testing.T) {
	Convey("The outcome of an at-most-once call that a caller receives", t, func() {
		codes := []outcome.Code{
			outcome.CodeNotOwner, outcome.CodeRecordUnavailable, outcome.CodeNoTarget, outcome.CodeOverloaded,
			outcome.CodeLeaving, outcome.CodeTimeout, outcome.CodeUnauthorized,
		}
		Convey("is never \"not run\" after a reply has been lost", func() {
			call := &atMostOnceCall{answerLost: true}
			for _, code := range codes {
				So(call.finalRefusal(context.Background(), outcome.NotRun(code, "")).Ran, ShouldEqual, outcome.RanUnknown)
			}
			reused := call.finalRefusal(context.Background(), outcome.NotRun(outcome.CodeKeyReused, ""))
			So(reused.Code, ShouldEqual, outcome.CodeKeyReused)
		})
		Convey("is the slot owner's refusal otherwise", func() {
			call := &atMostOnceCall{}
			for _, code := range codes {
				got := call.finalRefusal(context.Background(), outcome.NotRun(code, ""))
				So(got.Code, ShouldEqual, code)
				So(got.Ran, ShouldEqual, outcome.RanNo)
			}
			unknown := &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown}
			So(call.finalRefusal(context.Background(), unknown), ShouldEqual, unknown)
		})
	})
	Convey("An at-most-once call is retried only if a retry may have a better result", t, func() {
		soon := outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, maxExecuteBackoff, "")
		later := outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, time.Second, "")
		unknown := &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown}
		So((&atMostOnceCall{}).mayRetry(soon), ShouldBeTrue)
		So((&atMostOnceCall{}).mayRetry(later), ShouldBeFalse)
		So((&atMostOnceCall{answerLost: true}).mayRetry(later), ShouldBeTrue)
		So((&atMostOnceCall{answerLost: true, lastUnanswered: true}).mayRetry(unknown), ShouldBeTrue)
		So((&atMostOnceCall{answerLost: true}).mayRetry(unknown), ShouldBeFalse)
		So((&atMostOnceCall{}).mayRetry(outcome.NotRun(outcome.CodeKeyReused, "")), ShouldBeFalse)
	})
}
