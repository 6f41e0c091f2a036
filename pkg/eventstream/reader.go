// Package eventstream decides which bytes of a target's response may follow what a caller already
// has of a stream of server-sent events.
//
// Where bytes stand decides what they are, not what they say: a response goes on with a stream only if it
// is a stream of events itself, an event only if its ID is above the one before it, and bytes that are
// no event end a stream whose response has no length, since they may be the beginning of another
// response. Everything else ends the response as broken off.
package eventstream

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

const (
	// maxEventBytes bounds an event of a stream, and a run of bytes that contains no event.
	maxEventBytes = 1 << 20
	// eventStreamType is the type of a stream of events.
	eventStreamType = "text/event-stream"
)

const (
	// ErrEventTooLarge indicates an event longer than maxEventBytes, or as many bytes without an
	// event.
	ErrEventTooLarge = errors.ConstError("server-sent event exceeds the size limit")
	// ErrNoContinuation indicates a response that can't go on with a stream.
	ErrNoContinuation = errors.ConstError("response is no continuation of a stream of events")
	// ErrNoEvent indicates bytes that are no event, where only events may follow.
	ErrNoEvent = errors.ConstError("bytes in a stream that are no event")
	// ErrEventOrder indicates an event whose ID is not above the one before it.
	ErrEventOrder = errors.ConstError("event ID does not increase")
)

// Position is what a caller has of a stream before a response.
type Position struct {
	// Begun is set if the caller has the head of an earlier response, so that only events may
	// follow.
	Begun bool
	// LastID is the ID of the last event that the caller has; empty if it has none.
	LastID string
}

// isEventStream reports whether the header of a response says that its body is a stream of events.
func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// IsContinuable reports whether another response may go on with the body of this one, and this one
// with that of another: only a whole stream of events, not a document or a part of one.
func IsContinuable(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && isEventStream(resp)
}

// Reader splits a stream of server-sent events into complete events. An event
// is a block of lines that ends with an empty line. A block without any field or
// comment is no event; it is returned only together with a later event or at the end
// of the stream, and not at all where only events may follow.
type Reader struct {
	body   io.Reader
	buffer *membudget.Buffer
	// consumed is the length of the events returned by the previous call of
	// Next, at the start of the buffer.
	consumed int
	// blockStart is the offset of the last block, which is incomplete, and scanned the
	// number of bytes that have been searched for its end.
	blockStart int
	scanned    int
	// onlyEvents is set if nothing but complete events may follow.
	onlyEvents bool
	// mayBeEmpty is set if a complete body may have no event.
	mayBeEmpty bool
	// checksIDs is set if the IDs of the events must increase, from lastID on.
	checksIDs bool
	lastID    string
	// hasEvent is set once an event has been read.
	hasEvent bool
}

// NewReader returns a Reader of the body of a response to a caller at a position of the
// stream. It returns ErrNoContinuation if the response can't follow.
func NewReader(resp *http.Response, buffer *membudget.Buffer, position Position) (*Reader, error) {
	if position.Begun && !IsContinuable(resp) {
		return nil, errors.Annotatef(ErrNoContinuation, "status %d, type %q", resp.StatusCode, resp.Header.Get("Content-Type"))
	}
	r := &Reader{
		body: resp.Body, buffer: buffer, lastID: position.LastID,
		onlyEvents: position.Begun || (isEventStream(resp) && !strictresponse.HasFraming(resp)),
		mayBeEmpty: position.Begun && strictresponse.HasFraming(resp),
		checksIDs:  isEventStream(resp),
	}
	return r, nil
}

// Next reads once from the body and returns the complete events received so far,
// if any; they are valid until the next call. With io.EOF, Next returns the
// unmodified remainder of the stream. With any other error, a truncated event is
// not returned; io.ErrUnexpectedEOF means that a stream ended within one,
// or without any.
func (r *Reader) Next() ([]byte, error) {
	r.discardConsumed()
	err := r.buffer.ReadOnce(r.body, maxEventBytes)
	if errors.Is(err, membudget.ErrTooLarge) {
		return nil, ErrEventTooLarge
	}
	data := r.buffer.Bytes()
	if scanErr := r.scan(data); scanErr != nil {
		return data[:r.consumed], scanErr
	}
	if !errors.Is(err, io.EOF) {
		return data[:r.consumed], err
	}
	isCut := r.blockStart < len(data)
	if r.onlyEvents && (isCut || (!r.hasEvent && !r.mayBeEmpty)) {
		return data[:r.consumed], io.ErrUnexpectedEOF
	}
	r.consumed = len(data)
	return data, err
}

func (r *Reader) discardConsumed() {
	r.buffer.Discard(r.consumed)
	r.blockStart -= r.consumed
	r.scanned -= r.consumed
	r.consumed = 0
}

// scan searches the bytes that have not been searched yet for the ends of blocks, and
// sets consumed to the end of the last event. It returns an error at a block that may not follow.
func (r *Reader) scan(data []byte) error {
	for {
		r.blockStart += blankBytes(data[r.blockStart:])
		r.scanned = max(r.scanned, r.blockStart)
		from := max(r.blockStart, r.scanned-maxSeparatorBytes+1)
		end := blockEnd(data, from)
		if end < 0 {
			r.scanned = len(data)
			return nil
		}
		block := data[r.blockStart:end]
		kind := kindOf(block)
		if r.onlyEvents && kind != pureEvent {
			return ErrNoEvent
		}
		if err := r.checkIDs(block); err != nil {
			return err
		}
		if kind != noEvent {
			r.consumed = end
			r.hasEvent = true
		}
		r.blockStart, r.scanned = end, end
	}
}

// checkIDs reports whether the IDs in a block of lines may follow the last one.
func (r *Reader) checkIDs(block []byte) error {
	if !r.checksIDs {
		return nil
	}
	for line := range bytes.Lines(block) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if !increases(r.lastID, string(bytes.TrimSpace(id))) {
			return ErrEventOrder
		}
		r.lastID = string(bytes.TrimSpace(id))
	}
	return nil
}

// increases reports whether an ID may follow another one. IDs that are no numbers can't be compared.
func increases(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseUint(id, 10, 64)
	return err != nil || after > before
}
