package strictresponse

import (
	"sync"
	"time"

	"github.com/juju/errors"
)

// uploadEndTimeout is the time for which the end of a response waits for the end of its request. A write
// to a connection that was reset ends at once.
const uploadEndTimeout = 250 * time.Millisecond

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

// awaitEnd waits until the write has ended, and returns an error if it has failed or doesn't end.
func (u *Upload) awaitEnd() error {
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	select {
	case <-u.ended:
		return u.err
	case <-timeout.C:
		return errors.New("the request has not been written completely")
	}
}
