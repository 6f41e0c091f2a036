package strictresponse

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxKeptLineBytes is the largest line buffer that is kept for the next head.
	maxKeptLineBytes = 4 << 10
	// maxStatus is the highest status of a response.
	maxStatus = 599
)

// head checks the head of a response, and those of the informational responses before it, while
// their bytes arrive.
type head struct {
	// size is the number of bytes of all these heads.
	size int
	// line holds the beginning of a line whose end has not arrived.
	line []byte
	// status is 0 until the status line has been read.
	status int
	// hasField is set once a field has been read.
	hasField bool
	framing  framing
}

// framing is what a head says about the end of the body.
type framing struct {
	hasTransferEncoding bool
	// hasLength is set if there is a length other than 0.
	hasLength bool
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
		if lineEnd == 0 || len(h.line) > 0 {
			h.line = append(h.line, part...)
			part = h.line
		}
		if lineEnd == 0 {
			return false, nil
		}
		ended, err = h.checkLine(bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")))
		h.line = h.line[:0]
	}
	return ended, err
}

// reset prepares for the next response.
func (h *head) reset() {
	line := h.line[:0]
	if cap(line) > maxKeptLineBytes {
		line = nil
	}
	*h = head{line: line}
}

// checkLine checks a line without its end, and reports whether it ends the final head.
func (h *head) checkLine(line []byte) (ended bool, err error) {
	switch {
	case h.status == 0:
		h.status, err = parseStatusLine(line)
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
	if !isFinal && (h.framing.hasTransferEncoding || h.framing.hasLength) {
		return false, invalidf("a body in an informational response, status %d", h.status)
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
		h.framing.hasTransferEncoding = true
	case strings.EqualFold(name, "Content-Length") && strings.TrimSpace(value) != "0":
		h.framing.hasLength = true
	}
	return nil
}

// parseStatusLine returns the status of a valid status line. 101 is none that a request without
// Upgrade can get.
func parseStatusLine(line []byte) (status int, err error) {
	const prefix, digits = "HTTP/1.x ", 3
	isVersion := len(line) >= len(prefix) && string(line[:len("HTTP/1.")]) == "HTTP/1." && isDigit(line[len("HTTP/1.")]) && line[len(prefix)-1] == ' '
	if !isVersion {
		return 0, invalidf("status line %.40q", line)
	}
	code, reason, _ := bytes.Cut(line[len(prefix):], []byte(" "))
	if len(code) != digits || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return 0, invalidf("status %.10q", code)
	}
	status = int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, invalidf("status %s", code)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, invalidf("reason %.40q", reason)
	}
	return status, nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
