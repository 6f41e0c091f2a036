package relay

import (
	"net/http"
	"syscall"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// errEndedWithTarget means that a response ended with its connection, and that nobody listens
// at the target's address.
const errEndedWithTarget = errors.ConstError("response without a length ended with its target")

// checkEnd returns an error if a response that has ended may be incomplete. One whose header
// doesn't tell where it ends, ends with its connection, as it does when the target crashes. A
// target that lives accepts another connection, which is kept for the next request: the one
// of such a response can't be used again. A target that is leaving may close its listener
// before its last responses end.
func (q *request) checkEnd(a *attempt) error {
	resp := a.exchange.Response
	if strictresponse.HasFraming(resp) || resp.Body == http.NoBody || q.isLeaving(a) {
		return nil
	}
	target := &a.choice.Target
	conn, err := q.relay.connect(a.ctx, target, q.relay.connLimit(q.config, q.service), nil)
	if err == nil {
		conn.Return()
		return nil
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		// No connection could be had for another reason, which says nothing about the response.
		return nil
	}
	return errEndedWithTarget
}

// isLeaving reports whether the target of an attempt is known to be leaving.
func (q *request) isLeaving(a *attempt) bool {
	if a.responseMeta.Leaving || a.choice.Target.Draining {
		return true
	}
	boot := a.choice.Target.Boot()
	for _, target := range q.relay.Targets() {
		if target.Boot() == boot {
			return target.Draining
		}
	}
	return false
}
