package relay

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

// maxRunAnswerBytes bounds the answer to a query for a target's run.
const maxRunAnswerBytes = 256 << 10

const (
	// errOtherRun means that a connection leads to another run of a target than the registry names.
	errOtherRun = errors.ConstError("the target has started again since its registry entry")
	// errUnknownRun means that a target whose run may have ended doesn't tell its run.
	errUnknownRun = errors.ConstError("the target's run may have ended, and it doesn't tell its run")
)

// TargetRuns is told what connections show of the runs of targets. Its methods must not block.
type TargetRuns interface {
	// Refused is called when a run's address refuses a connection: nobody listens there at
	// this moment.
	Refused(run fleet.Boot)
	// Replaced is called when another, later run of the target answers at the address.
	Replaced(run fleet.Boot)
	// Running is called when the run itself has answered a request that was sent at a time, or
	// later.
	Running(run fleet.Boot, at time.Duration)
}

// noTargetRuns implements TargetRuns for a relay without one.
type noTargetRuns struct{}

func (noTargetRuns) Refused(fleet.Boot) {}

func (noTargetRuns) Replaced(fleet.Boot) {}

func (noTargetRuns) Running(fleet.Boot, time.Duration) {}

// asksRun reports whether a target is asked for its run on each new connection before the request
// is sent: the request is for a stream that may go on elsewhere, and the registry's software version
// is that of the registered run only.
func (q *request) asksRun() bool {
	return q.relay.RunQuery != nil && q.isResumableStream() && q.config.Services[q.service].HasEngines
}

// checkRun makes sure that a connection leads to the run of the target that the registry names, if
// the request needs that. On an error the connection is closed, and nothing of the request has been
// sent.
func (q *request) checkRun(a *attempt, conn *targetconn.Conn) error {
	if !q.asksRun() {
		return nil
	}
	target := &a.choice.Target
	if !conn.RunAsked() {
		if err := q.askRun(a, conn); err != nil {
			return errors.Annotate(err, "asking for the run of a target")
		}
	}
	if q.streamVersion != nil && target.MayHaveEnded && !conn.LeadsToRun() {
		conn.Close()
		return errors.Trace(errUnknownRun)
	}
	return nil
}

// askRun asks for the run of the target that a connection leads to.
func (q *request) askRun(a *attempt, conn *targetconn.Conn) error {
	query, target := q.relay.RunQuery, &a.choice.Target
	askedAt := q.relay.Now()
	status, body, err := conn.Ask(a.ctx, &targetconn.Request{
		Method: http.MethodGet, URI: query.Path(), Host: target.Address, Header: query.Header(target.ID),
	}, maxRunAnswerBytes)
	if err != nil {
		return errors.Trace(err)
	}
	start, err := query.DecodeStart(status, body)
	if err != nil {
		conn.Close()
		return errors.Trace(err)
	}
	isTold := start != 0 && target.StartUnixMS != 0
	if isTold && start != target.StartUnixMS {
		conn.Close()
		if start > target.StartUnixMS {
			q.relay.TargetRuns.Replaced(target.Boot())
		}
		return errors.Annotatef(errOtherRun, "it started at %d, not %d", start, target.StartUnixMS)
	}
	conn.SetRun(isTold)
	if isTold {
		q.relay.TargetRuns.Running(target.Boot(), askedAt)
	}
	return nil
}
