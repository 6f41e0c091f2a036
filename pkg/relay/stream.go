package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// resumeStall is how long a resumable stream may pause before it goes on
	// at another target.
	resumeStall = 1500 * time.Millisecond
	// callerWriteTimeout is how long a caller may take no byte of a stream.
	callerWriteTimeout = 5 * time.Second
)

// errStreamEnded means that a target broke a stream off.
const errStreamEnded = errors.ConstError("stream broken off")

// relayStream hands on a stream event by event. An event that is cut short is
// never handed on in part, so that the stream can go on at another target.
func (q *request) relayStream(a *attempt, stall *time.Timer) outcome {
	reader := newEventReader(a.exchange.Response.Body)
	control := http.NewResponseController(q.w)
	for {
		events, err := reader.next()
		if len(events) > 0 {
			if !q.passEvents(a, control, events) {
				a.exchange.Finish(false)
				return callerLeft
			}
			q.armStall(stall)
		}
		switch {
		case errors.Is(err, io.EOF):
			return q.endStream(a, control)
		case err != nil:
			return q.breakStream(a, err)
		}
	}
}

// armStall gives a resumable stream its time until the next event.
func (q *request) armStall(stall *time.Timer) {
	if q.route.Retryable() {
		stall.Reset(resumeStall)
		return
	}
	stall.Reset(q.left() + 2*answerMargin)
}

// passEvents writes whole events to the caller and says whether it took them.
func (q *request) passEvents(a *attempt, control *http.ResponseController, events []byte) bool {
	now := q.relay.Now()
	a.flight.RecordFirstByte(now)
	q.startAnswer(a, now)
	q.noteEvents(events)
	// Only a connection that is closed already has no deadline to set; the
	// write then says so.
	_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := q.w.Write(events); err != nil {
		return false
	}
	return control.Flush() == nil
}

// startAnswer writes the header of the first target that answers.
func (q *request) startAnswer(a *attempt, now time.Duration) {
	if q.wroteHeader {
		return
	}
	q.firstByte = now
	q.copyHeader(a.exchange.Response)
	q.w.WriteHeader(a.exchange.Response.StatusCode)
	q.wroteHeader = true
}

// noteEvents remembers the last event's identifier.
func (q *request) noteEvents(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			q.lastEventID = string(bytes.TrimSpace(id))
			q.events++
		}
	}
}

func (q *request) endStream(a *attempt, control *http.ResponseController) outcome {
	a.exchange.Finish(true)
	q.startAnswer(a, q.relay.Now())
	if control.Flush() != nil {
		return callerLeft
	}
	q.logDelivered(a)
	return delivered
}

// breakStream ends an attempt whose stream broke off. A stream that the caller
// has a part of can only go on where the route is resumable.
func (q *request) breakStream(a *attempt, cause error) outcome {
	a.exchange.Finish(false)
	a.err = errors.WithType(errors.Annotate(cause, "reading a stream"), errStreamEnded)
	return failed
}
