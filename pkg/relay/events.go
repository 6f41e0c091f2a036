package relay

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// initialEventBufferBytes is the initial size of a stream's buffer.
	initialEventBufferBytes = 4 << 10
	// maxEventBytes bounds a single event of a stream.
	maxEventBytes = 1 << 20
)

// errEventTooLarge indicates an event longer than maxEventBytes.
const errEventTooLarge = errors.ConstError("server-sent event exceeds the size limit")

// eventSeparators are the byte sequences that end an event, in streams with LF
// or CR LF line endings.
var eventSeparators = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// consumed is the length of the events returned by the previous call of
	// next, at the start of the buffer.
	consumed int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, 0, initialEventBufferBytes)}
}

// next reads once from the body and returns the complete events received so far,
// if any; they are valid until the next call. With io.EOF, next returns the
// unmodified remainder of the stream. With any other error, a truncated event is
// not returned.
func (r *eventReader) next() ([]byte, error) {
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.consumed:])]
	r.consumed = 0
	if len(r.buffer) == cap(r.buffer) && !r.grow() {
		return nil, errEventTooLarge
	}
	n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.consumed = completeEventsLen(r.buffer)
	if errors.Is(err, io.EOF) {
		r.consumed = len(r.buffer)
	}
	return r.buffer[:r.consumed], err
}

// grow doubles the buffer and reports false if the buffer has reached
// maxEventBytes.
func (r *eventReader) grow() bool {
	if cap(r.buffer) >= maxEventBytes {
		return false
	}
	buffer := make([]byte, len(r.buffer), 2*cap(r.buffer))
	copy(buffer, r.buffer)
	r.buffer = buffer
	return true
}

// completeEventsLen returns the length of the complete events at the start of a
// buffer.
func completeEventsLen(buffer []byte) int {
	length := 0
	for _, separator := range eventSeparators {
		if i := bytes.LastIndex(buffer, separator); i >= 0 {
			length = max(length, i+len(separator))
		}
	}
	return length
}
