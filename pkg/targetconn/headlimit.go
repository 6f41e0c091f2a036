package targetconn

import (
	"io"

	"github.com/juju/errors"
)

// maxHeadBytes bounds the head of a response: its status line and header fields,
// and the informational responses before it.
const maxHeadBytes = 64 << 10

// ErrHeadTooLarge means that a target sent more than maxHeadBytes without a
// complete head.
const ErrHeadTooLarge = errors.ConstError("response head exceeds the size limit")

// headLimiter passes on the bytes of a socket. While a head is read, it bounds the
// number of bytes, because http.ReadResponse doesn't.
type headLimiter struct {
	socket io.Reader
	// inHead is set while a head is read, and remaining is the number of bytes
	// that may still be read for it.
	inHead    bool
	remaining int
}

// beginHead starts the count of a head's bytes. The buffer in front of the limiter
// may read ahead into the body, so that its size is allowed in addition.
func (l *headLimiter) beginHead() {
	l.inHead, l.remaining = true, maxHeadBytes+readBufferBytes
}

// endHead ends the count. The reader of the body bounds what follows.
func (l *headLimiter) endHead() {
	l.inHead = false
}

// Read implements io.Reader. It returns ErrHeadTooLarge once a head has reached the
// limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.socket.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.socket.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
