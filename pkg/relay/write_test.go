package relay

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

// slowWriter is the connection of a caller that takes interval for each KiB, on a
// clock of its own. It fails a write that ends after its deadline.
type slowWriter struct {
	*httptest.ResponseRecorder
	interval time.Duration
	// delay is the time that the writes have taken, and deadline the deadline of the
	// next one; 0 if it has none.
	delay, deadline time.Duration
}

// SetWriteDeadline is called by http.ResponseController.
func (w *slowWriter) SetWriteDeadline(deadline time.Time) error {
	w.deadline = w.delay + time.Until(deadline)
	return nil
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(p []byte) (int, error) {
	w.delay += time.Duration(len(p)) * w.interval / 1024
	if w.deadline == 0 || w.delay > w.deadline {
		return 0, http.ErrHandlerTimeout
	}
	return w.ResponseRecorder.Write(p)
}

// TestSlowCaller guards against a caller that is cut off although it goes on reading
// its response, only slowly, and against a write without a deadline.
func TestSlowCaller(t *testing.T) {
	Convey("A caller that reads 5 KiB a second gets the whole of a large response, however long that takes", t, func() {
		l := New(Config{
			Codec: passCodec{}, Log: eventlog.Discard(), Metrics: tally.NoopScope,
			Now: func() time.Duration { return 0 }, DrainExpired: context.Background(),
		})
		caller := &slowWriter{ResponseRecorder: httptest.NewRecorder(), interval: time.Second / 5}
		q := &request{relay: l, w: caller, r: httptest.NewRequest(http.MethodGet, "/", nil)}
		a := &attempt{exchange: &targetconn.Exchange{Response: &http.Response{StatusCode: http.StatusOK, Header: http.Header{}}}}
		body := bytes.Repeat([]byte("x"), 1<<20)
		q.writeBuffered(a, body)
		So(bytes.Equal(caller.Body.Bytes(), body), ShouldBeTrue)
		So(caller.delay, ShouldBeGreaterThan, callerWriteTimeout)
	})
	Convey("It gets the whole of a large event, too", t, func() {
		l := New(Config{
			Log: eventlog.Discard(), Metrics: tally.NoopScope,
			Now: func() time.Duration { return 0 }, DrainExpired: context.Background(), WriteTimeout: 4 * time.Second,
		})
		caller := &slowWriter{ResponseRecorder: httptest.NewRecorder(), interval: time.Second / 5}
		q := &request{relay: l, w: caller, r: httptest.NewRequest(http.MethodGet, "/", nil)}
		So(q.writeParts(bytes.Repeat([]byte("x"), 1<<20)), ShouldBeTrue)
		Convey("but one that reads less than 4 KiB a second is cut off", func() {
			caller.interval = time.Second / 3
			So(q.writeParts(bytes.Repeat([]byte("x"), 1<<20)), ShouldBeFalse)
		})
	})
}
