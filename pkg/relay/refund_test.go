package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// passCodec returns a response's header unchanged.
type passCodec struct{ call.Codec }

func (passCodec) CallerHeader(h http.Header) http.Header { return h.Clone() }

// brokenWriter fails each write of a body.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// TestRefunds guards against tokens that are returned for a request that has run,
// or kept for one that has not.
func TestRefunds(t *testing.T) {
	account := &fleet.Account{Name: "a", TokensPerSecond: 1, Burst: 1000}
	Convey("Given a request that was charged to its account", t, func() {
		ctx, leave := context.WithCancel(context.Background())
		limiter := tokenrate.New(true)
		l := New(Config{
			Codec: passCodec{}, Limiter: limiter, Log: eventlog.Discard(), Metrics: tally.NoopScope,
			Now: func() time.Duration { return 0 }, DrainExpired: context.Background(),
		})
		q := &request{relay: l, w: brokenWriter{httptest.NewRecorder()}, r: httptest.NewRequest(http.MethodPost, "/", nil).WithContext(ctx), account: account}
		So(q.admit(), ShouldBeNil)
		q.cost = 600
		So(limiter.Admit(0, account, 600).Admitted, ShouldBeTrue)
		a := &attempt{exchange: &targetconn.Exchange{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}}}
		Convey("it stays charged if the target's answer can't be written to the caller", func() {
			So(func() { q.writeBuffered(a, []byte("answer")) }, ShouldPanic)
			So(limiter.Admit(0, account, 600).Admitted, ShouldBeFalse)
		})
		Convey("it is refunded if the caller leaves after the target guaranteed that it did not run", func() {
			leave()
			a.sent = true
			result := q.classifyOutcome(ctx, a, notRun)
			So(result, ShouldEqual, callerDisconnected)
			q.mayHaveRun = result.mayHaveRun(a)
			So(func() { q.handleDisconnect(a) }, ShouldPanic)
			So(limiter.Admit(0, account, 600).Admitted, ShouldBeTrue)
		})
		Convey("it stays charged if the caller leaves while the target may be running it", func() {
			leave()
			a.sent = true
			result := q.classifyOutcome(ctx, a, failed)
			q.mayHaveRun = result.mayHaveRun(a)
			So(func() { q.handleDisconnect(a) }, ShouldPanic)
			So(limiter.Admit(0, account, 600).Admitted, ShouldBeFalse)
		})
	})
}

// TestRetryBurstFollowsProcesses guards against a retry budget that keeps the
// burst from before the process knew its peers.
func TestRetryBurstFollowsProcesses(t *testing.T) {
	Convey("The burst of a service's retry budget follows the number of processes", t, func() {
		budgets := NewRetryBudgets(0, 100)
		budgets.RecordRequest("s", 1)
		allowed := 0
		for range 100 {
			if budgets.TryRetry("s", 10) {
				allowed++
			}
		}
		So(allowed, ShouldEqual, 7)
	})
}
