package relay

import (
	"cmp"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/membudget"
)

const (
	// defaultMaxBodyBytes bounds a request's body if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 4 << 20
	// refusedBodyTimeout is the time for which the body of a refused request is
	// still read, so that its caller can keep the connection. The refusal is
	// written afterwards.
	refusedBodyTimeout = 250 * time.Millisecond
	// fullRetryAfter is the Retry-After value while the bodies of other requests leave no
	// memory for one.
	fullRetryAfter = time.Second
	// defaultBodyPause bounds the time without a byte of a body if the configuration sets no
	// idle timeout.
	defaultBodyPause = time.Minute
)

// readBody reads the request's body within the request's time.
func (q *request) readBody() *refusal {
	limit := q.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if q.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	q.bodyBuffer = q.relay.Bodies.NewBuffer()
	if q.r.ContentLength > 0 && !q.bodyBuffer.Reserve(q.r.ContentLength) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: fullRetryAfter}
	}
	body := &pacedBody{q: q, body: http.MaxBytesReader(q.w, q.r.Body, limit)}
	err := q.bodyBuffer.ReadAll(body, limit)
	if err == nil {
		q.body = q.bodyBuffer.Bytes()
		q.endBodyTime()
		return nil
	}
	if errors.Is(err, membudget.ErrBudgetExceeded) {
		q.limitBodyTime(refusedBodyTimeout)
		return &refusal{status: http.StatusServiceUnavailable, reason: "bodies_full", retryAfter: fullRetryAfter}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return q.lateBodyRefusal()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		q.limitBodyTime(refusedBodyTimeout)
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_unreadable"}
}

// pacedBody reads a request's body. Each read ends at the request's deadline, or after the
// longest pause that a caller may make.
type pacedBody struct {
	q    *request
	body io.Reader
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	b.q.setReadDeadline(time.Now().Add(min(b.q.remaining(), b.q.bodyPause())))
	return b.body.Read(p)
}

// bodyPause returns the longest time without a byte of the body: that of a connection
// without a request.
func (q *request) bodyPause() time.Duration {
	return cmp.Or(q.config.Limits.IdleTimeout, defaultBodyPause)
}

// lateBodyRefusal refuses a request whose body has not arrived in time.
func (q *request) lateBodyRefusal() *refusal {
	if q.relay.Stopping() {
		return &refusal{status: http.StatusRequestTimeout, reason: "stopping"}
	}
	reason := "body_timeout"
	if q.remaining() > 0 {
		reason = "body_stalled"
	}
	return &refusal{status: http.StatusRequestTimeout, reason: reason}
}

// limitBodyTime bounds the time for which the request's body is read from now on.
func (q *request) limitBodyTime(timeout time.Duration) {
	if q.r.ContentLength == 0 {
		return
	}
	q.setReadDeadline(time.Now().Add(timeout))
}

// endBodyTime removes the bound once the body has been read. Reads after the body
// detect that the caller disconnects.
func (q *request) endBodyTime() {
	q.setReadDeadline(time.Time{})
}

// setReadDeadline sets the read deadline of the caller's connection.
func (q *request) setReadDeadline(deadline time.Time) {
	// Setting the deadline fails only on a closed connection, where reads fail too.
	_ = http.NewResponseController(q.w).SetReadDeadline(deadline)
}
