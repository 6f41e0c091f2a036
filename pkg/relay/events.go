package relay

import (
	"bytes"
	"io"
	"mime"
	"net/http"
	"slices"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// maxEventBytes bounds an event of a stream, and a run of bytes that contains no event.
const maxEventBytes = 1 << 20

// errEventTooLarge indicates an event longer than maxEventBytes, or as many bytes
// without an event.
const errEventTooLarge = errors.ConstError("server-sent event exceeds the size limit")

// eventFields holds the names of the fields of an event.
var eventFields = []string{"data", "event", "id", "retry"}

// eventReader splits a stream of server-sent events into complete events. An event
// is a block of lines that ends with an empty line. A block without any field or
// comment is no event; it is returned only together with a later event or at the end
// of the stream.
type eventReader struct {
	body   io.Reader
	buffer *membudget.Buffer
	// consumed is the length of the events returned by the previous call of
	// next, at the start of the buffer.
	consumed int
	// blockStart is the offset of the last block, which is incomplete, and scanned the
	// number of bytes that have been searched for its end.
	blockStart int
	scanned    int
	// endsWithEvent is set if the body can be complete only at the end of an event, and
	// hasEvent once an event has been read.
	endsWithEvent bool
	hasEvent      bool
}

func newEventReader(body io.Reader, buffer *membudget.Buffer) *eventReader {
	return &eventReader{body: body, buffer: buffer}
}

// mustEndWithEvent reports whether a response can be complete only at the end of an
// event: its header tells no length, and the connection may be closed anywhere.
func mustEndWithEvent(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return !hasFraming(resp) && err == nil && mediaType == "text/event-stream"
}

// hasFraming reports whether the header of a response tells where its body ends.
// Otherwise the body ends with the connection.
func hasFraming(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// next reads once from the body and returns the complete events received so far,
// if any; they are valid until the next call. With io.EOF, next returns the
// unmodified remainder of the stream. With any other error, a truncated event is
// not returned; io.ErrUnexpectedEOF means that a stream ended within one,
// or without any.
func (r *eventReader) next() ([]byte, error) {
	r.discardConsumed()
	err := r.buffer.ReadOnce(r.body, maxEventBytes)
	if errors.Is(err, membudget.ErrTooLarge) {
		return nil, errEventTooLarge
	}
	data := r.buffer.Bytes()
	r.scan(data)
	if !errors.Is(err, io.EOF) {
		return data[:r.consumed], err
	}
	if r.endsWithEvent && (!r.hasEvent || r.blockStart < len(data)) {
		return data[:r.consumed], io.ErrUnexpectedEOF
	}
	r.consumed = len(data)
	return data, err
}

func (r *eventReader) discardConsumed() {
	r.buffer.Discard(r.consumed)
	r.blockStart -= r.consumed
	r.scanned -= r.consumed
	r.consumed = 0
}

// scan searches the bytes that have not been searched yet for the ends of blocks, and
// sets consumed to the end of the last event.
func (r *eventReader) scan(data []byte) {
	for {
		from := max(r.blockStart, r.scanned-maxSeparatorBytes+1)
		end := blockEnd(data, from)
		if end < 0 {
			r.scanned = len(data)
			return
		}
		if isEvent(data[r.blockStart:end]) {
			r.consumed = end
			r.hasEvent = true
		}
		r.blockStart, r.scanned = end, end
	}
}

// maxSeparatorBytes is the length of the longest separator of two blocks.
const maxSeparatorBytes = 3

// blockEnd returns the offset of the first byte after the first separator of two
// blocks, in data with LF or CR LF line endings, or -1 if there is none from the
// given offset on.
func blockEnd(data []byte, from int) int {
	for {
		i := bytes.IndexByte(data[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		rest := data[from:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return from + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return from + 2
		}
	}
}

// isEvent reports whether a block of lines has a field of an event or a comment.
func isEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		if isEventLine(line) {
			return true
		}
	}
	return false
}

// isEventLine reports whether a line is a field of an event or a comment. A line
// without a colon is the name of a field without a value.
func isEventLine(line []byte) bool {
	switch line[0] {
	case ':':
		return true
	case 'd', 'e', 'i', 'r':
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		return slices.Contains(eventFields, string(name))
	default:
		return false
	}
}
