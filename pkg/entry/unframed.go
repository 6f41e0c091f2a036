package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

const (
	// unframedTTL is the time for which a response that ended with its connection may still be
	// confirmed.
	unframedTTL = 15 * time.Second
	// maxUnframedPerRun bounds the responses of a run of a target that wait for that.
	maxUnframedPerRun = 256
)

// unframedResponses holds responses that ended with their connection, which a crash would have
// ended in the same way. An answer of the same run to a later request shows that it has not crashed.
type unframedResponses struct {
	mu sync.Mutex
	// byRun holds the responses of each run of a target, the oldest first.
	byRun map[fleet.Boot][]unframedResponse
}

// unframedResponse is a response that ended at a time.
type unframedResponse struct {
	endedAt time.Duration
	request quarantine.Request
}

func newUnframedResponses() *unframedResponses {
	return &unframedResponses{byRun: map[fleet.Boot][]unframedResponse{}}
}

// add adds a response of a run to a request. The newest ones replace the oldest.
func (u *unframedResponses) add(now time.Duration, run fleet.Boot, request quarantine.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byRun[run] = append(u.byRun[run], unframedResponse{endedAt: now, request: request})
	u.byRun[run] = u.byRun[run][max(0, len(u.byRun[run])-maxUnframedPerRun):]
}

// isWaiting reports whether responses of a run wait for an answer to a later request.
func (u *unframedResponses) isWaiting(run fleet.Boot) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.byRun[run]) > 0
}

// confirm returns the requests whose responses had ended when a request was sent that the run
// has answered.
func (u *unframedResponses) confirm(sentAt time.Duration, run fleet.Boot) []quarantine.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	waiting := u.byRun[run]
	var confirmed []quarantine.Request
	for len(waiting) > 0 && waiting[0].endedAt < sentAt {
		confirmed = append(confirmed, waiting[0].request)
		waiting = waiting[1:]
	}
	u.set(run, waiting)
	return confirmed
}

// drop forgets the responses of a run that has ended.
func (u *unframedResponses) drop(run fleet.Boot) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byRun, run)
}

// expire forgets the responses that are older than unframedTTL.
func (u *unframedResponses) expire(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for run, waiting := range u.byRun {
		for len(waiting) > 0 && now-waiting[0].endedAt > unframedTTL {
			waiting = waiting[1:]
		}
		u.set(run, waiting)
	}
}

// set replaces the responses of a run. The caller must hold u.mu.
func (u *unframedResponses) set(run fleet.Boot, waiting []unframedResponse) {
	if len(waiting) == 0 {
		delete(u.byRun, run)
		return
	}
	u.byRun[run] = waiting
}
