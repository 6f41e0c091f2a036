package strictresponse

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/sockstate"
)

const (
	// uploadEndTimeout is the time for which the end of a response waits for the end of its request. A write
	// to a connection that was reset ends at once.
	uploadEndTimeout = 250 * time.Millisecond
	// uploadPollInterval is the interval at which it asks whether the peer has received the request.
	uploadPollInterval = time.Millisecond
)

// Upload is the write of a request, which may go on while the response is read. The kernel reports a
// reset once, to whoever uses the connection next: if that is the writer, the reader sees a plain end.
type Upload struct {
	once  sync.Once
	ended chan struct{}
	err   error
}

// NewUpload returns an Upload that has not ended.
func NewUpload() *Upload { return &Upload{ended: make(chan struct{})} }

// End records the result of the write. Later calls have no effect.
func (u *Upload) End(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.ended)
	})
}

// Succeeded reports whether the request has been written completely.
func (u *Upload) Succeeded() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// awaitEnd waits until the write has ended, and returns an error if it has failed or doesn't end within
// uploadEndTimeout. A nil Upload has ended.
func (u *Upload) awaitEnd() error {
	if u == nil {
		return nil
	}
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	select {
	case <-u.ended:
		return u.err
	case <-timeout.C:
		return errors.New("the request has not been written completely")
	}
}

// awaitReceipt waits until the peer of a connection has received all that was sent, and returns an error if it
// doesn't within uploadEndTimeout. A peer that closes a connection before all has arrived doesn't acknowledge
// the rest, and its kernel answers it with a reset after the end of the response.
func awaitReceipt(conn net.Conn) error {
	for deadline := time.Now().Add(uploadEndTimeout); ; time.Sleep(uploadPollInterval) {
		bytes, known := sockstate.Unacknowledged(conn)
		if !known || bytes == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("%d bytes of the request have not been received", bytes)
		}
	}
}
