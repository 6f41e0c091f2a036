package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

const (
	// unconfirmedTTL is the time for which a response may still be confirmed.
	unconfirmedTTL = 15 * time.Second
	// maxUnconfirmedPerRun bounds the responses of a run of a target that wait for that.
	maxUnconfirmedPerRun = 256
)

// unconfirmedResponses holds responses that a crash of the target might have ended in the same way, or
// that the target might have written as it crashed: those that ended with their connection, and errors.
// An answer of the same run to a later request shows that it has not crashed.
type unconfirmedResponses struct {
	mu sync.Mutex
	// byRun holds the responses of each run of a target, the oldest first.
	byRun map[fleet.Boot][]unconfirmedResponse
}

// unconfirmedResponse is a response that ended at a time.
type unconfirmedResponse struct {
	endedAt time.Duration
	request quarantine.Request
	// isError is set for an error response, and trialOf is the suspect of which its request was a
	// trial; zero if it was none.
	isError bool
	trialOf quarantine.Suspect
}

func newUnconfirmedResponses() *unconfirmedResponses {
	return &unconfirmedResponses{byRun: map[fleet.Boot][]unconfirmedResponse{}}
}

// add adds a response of a run. The newest ones replace the oldest.
func (u *unconfirmedResponses) add(run fleet.Boot, response unconfirmedResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.byRun[run] = append(u.byRun[run], response)
	u.byRun[run] = u.byRun[run][max(0, len(u.byRun[run])-maxUnconfirmedPerRun):]
}

// isWaiting reports whether responses of a run wait for an answer to a later request.
func (u *unconfirmedResponses) isWaiting(run fleet.Boot) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.byRun[run]) > 0
}

// confirm returns the responses that had ended when a request was sent that the run has answered.
func (u *unconfirmedResponses) confirm(sentAt time.Duration, run fleet.Boot) []unconfirmedResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	waiting := u.byRun[run]
	var confirmed []unconfirmedResponse
	for len(waiting) > 0 && waiting[0].endedAt < sentAt {
		confirmed = append(confirmed, waiting[0])
		waiting = waiting[1:]
	}
	u.set(run, waiting)
	return confirmed
}

// drop forgets the responses of a run that has ended.
func (u *unconfirmedResponses) drop(run fleet.Boot) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byRun, run)
}

// expire forgets the responses that are older than unconfirmedTTL.
func (u *unconfirmedResponses) expire(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for run, waiting := range u.byRun {
		for len(waiting) > 0 && now-waiting[0].endedAt > unconfirmedTTL {
			waiting = waiting[1:]
		}
		u.set(run, waiting)
	}
}

// set replaces the responses of a run. The caller must hold u.mu.
func (u *unconfirmedResponses) set(run fleet.Boot, waiting []unconfirmedResponse) {
	if len(waiting) == 0 {
		delete(u.byRun, run)
		return
	}
	u.byRun[run] = waiting
}
