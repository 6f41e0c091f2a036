package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventstream"
	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// callerWriteTimeout bounds a write of maxWriteBytes to the caller if the configuration of
// the relay sets no other time.
const callerWriteTimeout = 5 * time.Second

// errStreamInterrupted indicates that a target's stream ended prematurely.
const errStreamInterrupted = errors.ConstError("stream interrupted")

// readStream hands only complete events of a stream to the handler. A truncated
// event is never forwarded, so that the stream can be resumed at another target.
func (q *request) readStream(a *attempt) outcome {
	reader, err := eventstream.NewReader(a.exchange.Response, a.buffer, a.position)
	if err != nil {
		return q.failStream(a, err)
	}
	for {
		events, err := reader.Next()
		if !a.claimEvents(events) {
			return q.failStream(a, membudget.ErrBudgetExceeded)
		}
		if len(events) > 0 && !a.deliverEvents(bytes.Clone(events)) {
			a.exchange.Finish(false)
			a.err = context.Cause(a.ctx)
			return failed
		}
		switch {
		case errors.Is(err, io.EOF):
			if err := q.checkEnd(a); err != nil {
				return q.failStream(a, err)
			}
			a.exchange.Finish(true)
			return completed
		case err != nil:
			return q.failStream(a, err)
		}
	}
}

// claimEvents claims the memory of the copies of events, of which one may be on its way to
// the caller while the next one is made. It reports whether the budget allows it.
func (a *attempt) claimEvents(events []byte) bool {
	return a.eventCopies.Raise(2 * int64(len(events)))
}

// writeEvents writes complete events to the caller and reports whether the write
// succeeded.
func (q *request) writeEvents(a *attempt, controller *http.ResponseController, events []byte) bool {
	now := q.relay.Now()
	q.recordFirstByte(a, now)
	q.writeResponseHeader(a, now)
	q.trackEvents(events)
	return q.writeParts(events) && controller.Flush() == nil
}

// setWriteDeadline bounds the following writes to the caller. The server removes the
// deadline at the end of the request.
func (q *request) setWriteDeadline() {
	// Setting the deadline fails only on a closed connection, where the write fails
	// too.
	_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(cmp.Or(q.relay.WriteTimeout, callerWriteTimeout)))
}

// writeResponseHeader writes the response header to the caller, unless an
// earlier target's header has been written.
func (q *request) writeResponseHeader(a *attempt, now time.Duration) {
	if q.wroteHeader {
		return
	}
	q.firstByte = now
	q.recordStreamVersion(a)
	q.isFinal = !eventstream.IsContinuable(a.exchange.Response)
	q.copyHeader(a.exchange.Response)
	q.w.WriteHeader(a.exchange.Response.StatusCode)
	q.wroteHeader = true
}

// trackEvents counts the events and records the last event ID, from which the
// stream is resumed.
func (q *request) trackEvents(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			q.lastEventID = string(bytes.TrimSpace(id))
			q.eventCount++
		}
	}
}

// finishStream ends the response of a complete stream and reports whether the
// caller could be written to.
func (q *request) finishStream(a *attempt, controller *http.ResponseController) bool {
	// The end of the response is written when the handler has returned.
	q.setWriteDeadline()
	q.writeResponseHeader(a, q.relay.Now())
	if controller.Flush() != nil {
		return false
	}
	q.logDelivered(a)
	q.recordStreamEnd()
	return true
}

// failStream ends an attempt whose stream was interrupted. A partially forwarded
// stream can continue only if the route is resumable.
func (q *request) failStream(a *attempt, cause error) outcome {
	a.exchange.Finish(false)
	a.err = errors.WithType(errors.Annotate(cause, "reading a stream"), errStreamInterrupted)
	return failed
}
