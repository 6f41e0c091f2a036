package relay

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

const (
	// eventBufferBytes is the first size of a stream's buffer.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// errEventTooLarge means that an event is longer than maxEventBytes.
const errEventTooLarge = errors.ConstError("event too large")

// eventBreaks end an event, in streams whose lines end with LF or CR LF.
var eventBreaks = [...][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// eventReader reads a stream of server-sent events by whole events.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// passed is the length of the events that next returned last; they are
	// at the start of the buffer.
	passed int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, 0, eventBufferBytes)}
}

// next reads once and returns the whole events received so far, which may be
// none; they are valid until the next call. With io.EOF, the rest of a stream
// that ended as announced is returned as it is. With another error, an event
// that was cut short is not returned.
func (r *eventReader) next() ([]byte, error) {
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.passed:])]
	r.passed = 0
	if len(r.buffer) == cap(r.buffer) && !r.grow() {
		return nil, errEventTooLarge
	}
	n, err := r.body.Read(r.buffer[len(r.buffer):cap(r.buffer)])
	r.buffer = r.buffer[:len(r.buffer)+n]
	r.passed = wholeEvents(r.buffer)
	if errors.Is(err, io.EOF) {
		r.passed = len(r.buffer)
	}
	return r.buffer[:r.passed], err
}

// grow doubles the buffer; it fails when an event is as large as it may be.
func (r *eventReader) grow() bool {
	if cap(r.buffer) >= maxEventBytes {
		return false
	}
	larger := make([]byte, len(r.buffer), 2*cap(r.buffer))
	copy(larger, r.buffer)
	r.buffer = larger
	return true
}

// wholeEvents returns the length of the whole events at the start of a buffer.
func wholeEvents(buffer []byte) int {
	whole := 0
	for _, end := range eventBreaks {
		if i := bytes.LastIndex(buffer, end); i >= 0 {
			whole = max(whole, i+len(end))
		}
	}
	return whole
}
