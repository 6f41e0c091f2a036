package relay

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// maxWriteBytes bounds a single write to the caller, which has the time limit of writes
	// for each.
	maxWriteBytes = 16 << 10
)

// handleResponse reads the rest of the target's response and classifies it.
func (q *request) handleResponse(a *attempt) outcome {
	status := a.exchange.Response.StatusCode
	switch {
	case a.responseMeta.NotRun:
		return q.handleNotRun(a)
	case status/100 == 2:
		return q.handleSuccess(a)
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests, status == http.StatusRequestTimeout:
		// To the caller, these statuses mean that the request did not run, which
		// the target doesn't guarantee here.
		a.exchange.Finish(false)
		a.err = errors.Errorf("status %d without a guarantee that the request did not run", status)
		return failed
	default:
		return q.handleErrorResponse(a)
	}
}

func (q *request) handleNotRun(a *attempt) outcome {
	// The head alone guarantees that the request did not run.
	a.exchange.Discard()
	misdirected := a.exchange.Response.StatusCode == http.StatusMisdirectedRequest
	if misdirected && !a.responseMeta.InstanceMismatch && a.choice.Version > 0 {
		q.relay.Balancer.RecordMismatch(q.relay.Now(), a.choice.Target.Boot(), q.meta.Model, a.choice.Version, a.responseMeta.WeightsVersion)
		return staleWeights
	}
	if misdirected {
		a.err = errors.New("address is in use by another target")
		return addressReused
	}
	return notRun
}

func (q *request) handleSuccess(a *attempt) outcome {
	resp := a.exchange.Response
	if !a.responseMeta.HasStamp || resp.Header.Get("Content-Encoding") != "" {
		a.exchange.Finish(false)
		a.err = errors.New("response has no target stamp or is content-encoded")
		return failed
	}
	if q.route.Kind == fleet.Stream {
		return q.readStream(a)
	}
	return q.readBuffered(a)
}

// readBuffered reads the complete response before any of it is forwarded, so that a
// truncated one is never sent to the caller.
func (q *request) readBuffered(a *attempt) outcome {
	body, err := a.exchange.ReadAll(a.buffer, maxResponseBytes)
	if err != nil {
		a.exchange.Finish(false)
		a.err = err
		return failed
	}
	a.exchange.Finish(true)
	if err := q.checkEnd(a); err != nil {
		a.err = err
		return failed
	}
	q.recordFirstByte(a, q.relay.Now())
	a.body = body
	return completed
}

// handleErrorResponse buffers the target's error response, which is forwarded
// unchanged if the request isn't retried.
func (q *request) handleErrorResponse(a *attempt) outcome {
	body, err := a.exchange.ReadAll(a.buffer, maxResponseBytes)
	if err != nil {
		a.exchange.Finish(false)
		a.err = err
		return failed
	}
	a.exchange.Finish(true)
	if err := q.checkEnd(a); err != nil {
		a.err = err
		return failed
	}
	a.body = body
	return targetError
}

// writeErrorResponse forwards the target's error response to the caller. Once
// part of a stream has been written, it aborts the connection instead.
func (q *request) writeErrorResponse(a *attempt) {
	if q.wroteHeader {
		q.abort(a.choice.Target.ID, "target returned an error for a resumed stream")
	}
	q.writeBuffered(a, a.body)
}

func (q *request) writeBuffered(a *attempt, body []byte) {
	resp := a.exchange.Response
	q.copyHeader(resp)
	if q.r.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent {
		q.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	q.w.WriteHeader(resp.StatusCode)
	q.wroteHeader = true
	if !q.writeParts(body) {
		q.mayHaveRun = true
		q.handleDisconnect(a)
	}
	q.logDelivered(a)
}

// writeParts writes to the caller, with a time limit for each part, so that a caller that
// reads slowly gets everything and one that doesn't read is cut off. It reports whether
// the writes succeeded.
func (q *request) writeParts(data []byte) bool {
	for part := range slices.Chunk(data, maxWriteBytes) {
		q.setWriteDeadline()
		if _, err := q.w.Write(part); err != nil {
			return false
		}
	}
	return true
}

func (q *request) copyHeader(resp *http.Response) {
	header := q.w.Header()
	for name, values := range q.relay.Codec.CallerHeader(resp.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value disables net/http's content type detection.
		header["Content-Type"] = nil
	}
}

func (q *request) logDelivered(a *attempt) {
	relay := q.relay
	total := relay.Now() - q.startedAt
	first := q.firstByte - q.startedAt
	if q.firstByte == 0 {
		first = total
	}
	relay.instruments.delivered.Inc(1)
	relay.instruments.firstByte.RecordDuration(first)
	relay.instruments.total.RecordDuration(total)
	relay.Log.Log(eventlog.AnswerDelivered, "request_id", q.meta.ID, "route", q.route.Name, "account", q.accountName(),
		"target", a.choice.Target.ID, "status", a.exchange.Response.StatusCode, "tries", q.attempts,
		"first_byte_ms", first.Milliseconds(), "total_ms", total.Milliseconds())
}
