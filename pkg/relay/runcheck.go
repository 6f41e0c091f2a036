package relay

import (
	"context"
	"net/http"
	"syscall"
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
		if err := q.relay.askRun(a.ctx, target, conn); err != nil {
			return errors.Annotate(err, "asking for the run of a target")
		}
	}
	if q.streamVersion != nil && target.MayHaveEnded && !conn.LeadsToRun() {
		conn.Close()
		return errors.Trace(errUnknownRun)
	}
	return nil
}

// ErrRunNotTold means that a target can't be asked for its run, or doesn't tell it.
const ErrRunNotTold = errors.ConstError("the target doesn't tell its run")

// ExamineRun connects to a target and asks for its run. TargetRuns is told what that shows. On an
// error it is not known whether the run goes on.
func (l *Relay) ExamineRun(ctx context.Context, target *fleet.Target) error {
	config := l.CurrentConfig()
	if config == nil || l.RunQuery == nil || !config.Services[target.Service].HasEngines {
		return errors.Trace(ErrRunNotTold)
	}
	conn, err := l.connect(ctx, target, l.connLimit(config, target.Service), nil)
	if err != nil {
		return errors.Trace(err)
	}
	// A kept connection may have been opened before the run seemed to end, so that it has to
	// answer now.
	if err := l.askRun(ctx, target, conn); err != nil {
		if errors.Is(err, errOtherRun) {
			return nil
		}
		return errors.Annotate(err, "asking for the run of a target")
	}
	told := conn.LeadsToRun()
	conn.Return()
	if !told {
		return errors.Trace(ErrRunNotTold)
	}
	return nil
}

// connect returns a connection to a target. A refusal shows that its run may have ended.
func (l *Relay) connect(ctx context.Context, target *fleet.Target, limit int, used *targetconn.UsedConns) (*targetconn.Conn, error) {
	conn, err := l.Pools.Get(ctx, target, limit, used)
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.TargetRuns.Refused(target.Boot())
	}
	return conn, errors.Trace(err)
}

// askRun asks for the run of the target that a connection leads to. On an error the connection is
// closed.
func (l *Relay) askRun(ctx context.Context, target *fleet.Target, conn *targetconn.Conn) error {
	query := l.RunQuery
	askedAt := l.Now()
	status, body, err := conn.Ask(ctx, &targetconn.Request{
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
			l.TargetRuns.Replaced(target.Boot())
		}
		return errors.Annotatef(errOtherRun, "it started at %d, not %d", start, target.StartUnixMS)
	}
	conn.SetRun(isTold)
	if isTold {
		l.TargetRuns.Running(target.Boot(), askedAt)
	}
	return nil
}
