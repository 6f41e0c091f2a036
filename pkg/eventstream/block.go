package eventstream

import (
	"bytes"
	"slices"
)

// eventFields holds the names of the fields of an event.
var eventFields = []string{"data", "event", "id", "retry"}

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

// blankBytes returns the length of the blank lines at the beginning of data.
func blankBytes(data []byte) int {
	n := 0
	for n < len(data) {
		switch {
		case data[n] == '\n':
			n++
		case data[n] == '\r' && n+1 < len(data) && data[n+1] == '\n':
			n += 2
		default:
			return n
		}
	}
	return n
}

// blockKind says what a block of lines is.
type blockKind int

const (
	// noEvent: it has neither a field of an event nor a comment.
	noEvent blockKind = iota
	// mixedEvent: an event, with lines that are no fields.
	mixedEvent
	// pureEvent: an event whose other lines are further fields.
	pureEvent
)

// kindOf returns what a block of lines is.
func kindOf(block []byte) blockKind {
	hasEventLine, hasOtherText := false, false
	for line := range bytes.Lines(block) {
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case len(text) == 0:
		case isEventLine(text):
			hasEventLine = true
		case !isField(text):
			hasOtherText = true
		}
	}
	switch {
	case !hasEventLine:
		return noEvent
	case hasOtherText:
		return mixedEvent
	default:
		return pureEvent
	}
}

// isEventLine reports whether the text of a line is a field of an event or a comment. A line
// without a colon is the name of a field without a value.
func isEventLine(text []byte) bool {
	switch text[0] {
	case ':':
		return true
	case 'd', 'e', 'i', 'r':
		name, _, _ := bytes.Cut(text, []byte(":"))
		return slices.Contains(eventFields, string(name))
	default:
		return false
	}
}

// isField reports whether a line may be a field that events don't define: a name without spaces,
// and a value.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	return hasValue && len(name) > 0 && !bytes.ContainsAny(name, " \t")
}
