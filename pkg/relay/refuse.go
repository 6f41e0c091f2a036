package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	// ran says that the request has run or may have run.
	ran bool
	// retryAfter is when to come back; 0 says nothing.
	retryAfter time.Duration
	// cost and level are the tokens asked for and those left, of a refusal by rate.
	cost, level float64
}

// refuse ends a request with an answer of the system's own. Once a part of a
// target's answer has left, it breaks the connection instead.
func (q *request) refuse(f refusal) {
	l := q.relay
	if q.wroteHeader {
		q.abort(q.lastTarget, f.reason)
	}
	if q.mayHaveRun && !f.ran {
		// An earlier attempt may have run: the caller must not take this for a
		// promise that none has.
		f = refusal{status: http.StatusBadGateway, reason: f.reason, ran: true}
	}
	if !f.ran {
		q.refund()
	}
	l.Log.Log(eventlog.CallerRefused, "request_id", q.meta.ID, "route", q.route.Name, "account", q.accountName(),
		"status", f.status, "reason", f.reason, "ran", f.ran, "retry_after_ms", f.retryAfter.Milliseconds(),
		"tries", q.tries, "total_ms", (l.Now() - q.began).Milliseconds(), "config", q.configVersion(), "cost", int64(f.cost), "level", int64(f.level))
	l.meters.refused(f.reason)
	header := q.w.Header()
	l.Codec.SetRequestID(header, q.meta.ID)
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := f.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(f.status)
	// A failed write means that the caller is gone, which needs no answer.
	_, _ = q.w.Write([]byte(body))
}

// abort closes the caller's connection so that the answer looks incomplete. It
// doesn't return.
func (q *request) abort(target, reason string) {
	l := q.relay
	l.Log.Log(eventlog.CallerBroken, "request_id", q.meta.ID, "route", q.route.Name, "target", target,
		"events", q.events, "total_ms", (l.Now() - q.began).Milliseconds(), "err", reason)
	l.meters.broken.Inc(1)
	panic(http.ErrAbortHandler)
}

func (q *request) configVersion() int64 {
	if q.config == nil {
		return 0
	}
	return q.config.Version
}
