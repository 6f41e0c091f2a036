// Package strictresponse reads HTTP/1 responses of other processes and accepts valid ones only.
//
// net/http is lenient about what it reads as a response. Conn checks the heads in the bytes of a
// connection before net/http parses them, so that each reader of responses, with net/http's client or
// without it, applies the same rules, those of RFC 9112: valid status lines and fields, also in trailers, no
// body in an informational response, and one way to tell where a body ends. A body that ends with its
// connection is complete only if nothing contradicts that.
//
// What is optional or obsolete but defined there is accepted: no reason, LF alone at the end of a line,
// folded fields, and any byte above 0x7f in a value.
package strictresponse

import (
	"net/http"

	"github.com/juju/errors"
)

// MaxHeadBytes bounds the head of a response: its status line and fields, and the
// informational responses before it.
const MaxHeadBytes = 64 << 10

// Errors of responses that can't be used. Compare with errors.Is.
const (
	// ErrInvalid means that the bytes are no valid response. The text of the error names
	// what is wrong with them.
	ErrInvalid = errors.ConstError("invalid response")
	// ErrHeadTooLarge means that a peer sent more than MaxHeadBytes without a complete head, or so many
	// fields that they take too much memory.
	ErrHeadTooLarge = errors.ConstError("response head exceeds the size limit")
	// ErrHeadMemory means that the heads of all responses together leave no memory for one.
	ErrHeadMemory = errors.ConstError("no memory for a response head")
	// ErrCutOff means that a response without a length has ended with its connection while its
	// request was being written, so that it may be incomplete.
	ErrCutOff = errors.ConstError("response without a length may be cut off")
)

// IsBroken reports whether err says that a response was broken.
func IsBroken(err error) bool {
	return errors.Is(err, ErrInvalid) || errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrCutOff)
}

// HasFraming reports whether the header of a response tells where its body ends.
// Otherwise the body ends with the connection.
func HasFraming(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// invalidf returns an ErrInvalid that names what is wrong.
func invalidf(format string, args ...any) error {
	return errors.WithType(errors.Errorf("invalid response: "+format, args...), ErrInvalid)
}
