package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// streamStallTimeout is the longest gap between the events of a resumable
	// stream before it is resumed at another target.
	streamStallTimeout = 1500 * time.Millisecond
	// callerWriteTimeout bounds a write of stream events to the caller.
	callerWriteTimeout = 5 * time.Second
)

// errStreamInterrupted indicates that a target's stream ended prematurely.
const errStreamInterrupted = errors.ConstError("stream interrupted")

// relayStream forwards only complete events of a stream. A truncated event is
// never forwarded, so that the stream can be resumed at another target.
func (q *request) relayStream(a *attempt, stall *time.Timer) outcome {
	reader := newEventReader(a.exchange.Response.Body)
	controller := http.NewResponseController(q.w)
	for {
		events, err := reader.next()
		if len(events) > 0 {
			if !q.writeEvents(a, controller, events) {
				a.exchange.Finish(false)
				return callerDisconnected
			}
			q.resetStallTimer(stall)
		}
		switch {
		case errors.Is(err, io.EOF):
			return q.finishStream(a, controller)
		case err != nil:
			return q.failStream(a, err)
		}
	}
}

// resetStallTimer restarts the timeout for the next event. A stream that can't
// be resumed may stall until the request's deadline.
func (q *request) resetStallTimer(stall *time.Timer) {
	if q.route.Retryable() {
		stall.Reset(streamStallTimeout)
		return
	}
	stall.Reset(q.remaining() + 2*deadlineGrace)
}

// writeEvents writes complete events to the caller and reports whether the write
// succeeded.
func (q *request) writeEvents(a *attempt, controller *http.ResponseController, events []byte) bool {
	now := q.relay.Now()
	a.tracked.RecordFirstByte(now)
	q.writeResponseHeader(a, now)
	q.trackEvents(events)
	// Setting the deadline fails only on a closed connection, where the write
	// fails too.
	_ = controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := q.w.Write(events); err != nil {
		return false
	}
	return controller.Flush() == nil
}

// writeResponseHeader writes the response header to the caller, unless an
// earlier target's header has been written.
func (q *request) writeResponseHeader(a *attempt, now time.Duration) {
	if q.wroteHeader {
		return
	}
	q.firstByte = now
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

func (q *request) finishStream(a *attempt, controller *http.ResponseController) outcome {
	a.exchange.Finish(true)
	q.writeResponseHeader(a, q.relay.Now())
	if controller.Flush() != nil {
		return callerDisconnected
	}
	q.logDelivered(a)
	return delivered
}

// failStream ends an attempt whose stream was interrupted. A partially forwarded
// stream can continue only if the route is resumable.
func (q *request) failStream(a *attempt, cause error) outcome {
	a.exchange.Finish(false)
	a.err = errors.WithType(errors.Annotate(cause, "reading a stream"), errStreamInterrupted)
	return failed
}
