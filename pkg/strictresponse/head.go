package strictresponse

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxKeptLineBytes is the largest line buffer that is kept for the next head.
	maxKeptLineBytes = 4 << 10
	// maxStatus is the highest status of a response.
	maxStatus = 599
)

// Estimates of the memory that a head takes once net/http has parsed it, in bytes: the text that was read,
// field values, and places in header maps, which grow.
const (
	headByteMemory = 4
	headLineMemory = 200
	// freeHeadMemory is the estimate up to which a head needs no claim.
	freeHeadMemory = 16 << 10
	// headClaimStep is the size of the steps in which a claim grows.
	headClaimStep = 4 << 10
	// maxUnclaimedMemory bounds the estimate of a head that has no claim.
	maxUnclaimedMemory = 512 << 10
)

// Memory is memory that a response may take. A membudget.Claim is one.
type Memory interface {
	// Raise makes the memory at least size bytes large, and reports whether that is allowed.
	Raise(size int64) bool
}

// head checks the head of a response, and those of the informational responses before it, while
// their bytes arrive.
type head struct {
	// size and lines are the numbers of bytes and lines of all these heads, and claimed the memory that
	// was claimed for them.
	size, lines int
	claimed     int64
	// memory is what the heads take; nil if nobody counts it.
	memory Memory
	// line holds the beginning of a line whose end has not arrived.
	line []byte
	// status is 0 until the status line has been read.
	status       int
	minorVersion int
	// hasField is set once a field has been read.
	hasField bool
	framing  framing
}

// framing is what a head says about the end of the body.
type framing struct {
	hasTransferEncoding, hasLength bool
	// hasBody is set unless the length is 0.
	hasBody bool
}

// check checks the next bytes, and reports whether the head of the final response has ended.
// What follows it is not checked.
func (h *head) check(data []byte) (ended bool, err error) {
	for len(data) > 0 && !ended && err == nil {
		lineEnd := bytes.IndexByte(data, '\n') + 1
		part := data[:lineEnd]
		if lineEnd == 0 {
			part = data
		}
		data = data[len(part):]
		if h.size += len(part); h.size > MaxHeadBytes {
			return false, ErrHeadTooLarge
		}
		if err := h.claim(); err != nil {
			return false, err
		}
		if lineEnd == 0 || len(h.line) > 0 {
			h.line = append(h.line, part...)
			part = h.line
		}
		if lineEnd == 0 {
			return false, nil
		}
		h.lines++
		ended, err = h.checkLine(bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")))
		h.line = h.line[:0]
	}
	return ended, err
}

// claim claims the memory of the heads, before net/http takes it.
func (h *head) claim() error {
	size := int64(h.size)*headByteMemory + int64(h.lines)*headLineMemory
	if size <= max(h.claimed, freeHeadMemory) {
		return nil
	}
	if h.memory == nil && size > maxUnclaimedMemory {
		return ErrHeadTooLarge
	}
	h.claimed = size + headClaimStep
	if h.memory != nil && !h.memory.Raise(h.claimed) {
		return ErrHeadMemory
	}
	return nil
}

// reset prepares for the next response, whose head takes the given memory.
func (h *head) reset(memory Memory) {
	line := h.line[:0]
	if cap(line) > maxKeptLineBytes {
		line = nil
	}
	*h = head{line: line, memory: memory}
}

// checkLine checks a line without its end, and reports whether it ends the final head.
func (h *head) checkLine(line []byte) (ended bool, err error) {
	switch {
	case h.status == 0:
		h.status, h.minorVersion, err = parseStatusLine(string(line))
		return false, err
	case len(line) == 0:
		return h.endHead()
	case line[0] == ' ' || line[0] == '\t':
		return false, h.checkContinuation(line)
	default:
		return false, h.readField(line)
	}
}

// checkContinuation checks a line that continues the value of the field before it.
func (h *head) checkContinuation(line []byte) error {
	if !h.hasField {
		return invalidf("blank before the first field %.40q", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(line)) {
		return invalidf("continued value %.40q", line)
	}
	return nil
}

// endHead checks what only a whole head tells, and reports whether it is the final one.
func (h *head) endHead() (ended bool, err error) {
	isFinal := h.status >= http.StatusOK
	f := h.framing
	switch {
	case !isFinal && f.hasBody:
		return false, invalidf("a body in an informational response, status %d", h.status)
	case f.hasTransferEncoding && f.hasLength:
		return false, invalidf("both Transfer-Encoding and Content-Length")
	case f.hasTransferEncoding && h.minorVersion == 0:
		return false, invalidf("Transfer-Encoding in HTTP/1.0")
	}
	h.status, h.hasField, h.framing = 0, false, framing{}
	return isFinal, nil
}

// readField checks a field and records what it says about the body.
func (h *head) readField(line []byte) error {
	name, value, ok := strings.Cut(string(line), ":")
	if !ok {
		return invalidf("line without a colon %.40q", line)
	}
	if err := checkField(name, value); err != nil {
		return err
	}
	h.hasField = true
	switch {
	case strings.EqualFold(name, "Transfer-Encoding"):
		h.framing.hasTransferEncoding, h.framing.hasBody = true, true
	case strings.EqualFold(name, "Content-Length"):
		h.framing.hasLength = true
		h.framing.hasBody = h.framing.hasBody || strings.TrimSpace(value) != "0"
	}
	return nil
}

// parseStatusLine returns the status of a valid status line, and the x of its version HTTP/1.x. 101 is
// no status that a request without Upgrade can get.
func parseStatusLine(line string) (status, minorVersion int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(rest, " ")
	minor, isHTTP := strings.CutPrefix(version, "HTTP/1.")
	minorVersion, isVersion := parseDigits(minor, 1)
	status, isStatus := parseDigits(code, 3)
	switch {
	case !isHTTP || !isVersion:
		return 0, 0, invalidf("status line %.40q", line)
	case !isStatus || status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
		return 0, 0, invalidf("status %.10q", code)
	case !httpguts.ValidHeaderFieldValue(reason):
		return 0, 0, invalidf("reason %.40q", reason)
	default:
		return status, minorVersion, nil
	}
}

// parseDigits returns the value of a text of the given number of digits.
func parseDigits(text string, digits int) (value int, ok bool) {
	number, err := strconv.ParseUint(text, 10, 16)
	return int(number), err == nil && len(text) == digits
}
