package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

const (
	// maxUnreached bounds the targets that may be tried without a connection.
	maxUnreached = 4
	// shedRetry is when to come back after a target refused for want of room.
	shedRetry = 100 * time.Millisecond
	// stallObjectives is how many of its objectives a repeatable request waits
	// for a first byte before it goes elsewhere.
	stallObjectives = 3
	// minStall is the shortest such wait.
	minStall = 500 * time.Millisecond
)

// outcome is how one attempt ended.
type outcome int

const (
	// delivered: the caller has the whole answer.
	delivered outcome = iota
	// unreached: no connection; nothing was sent.
	unreached
	// elsewhere: another target has the address; the chosen one wasn't asked.
	elsewhere
	// notRun: the target promised that the request has not run.
	notRun
	// stale: the target has other weights than expected; not run.
	stale
	// failed: the request may have run, and there is no usable answer.
	failed
	// answeredError: the target answered with a failure of its own.
	answeredError
	// callerLeft: the caller is gone.
	callerLeft
	// outOfTime: the deadline is over.
	outOfTime
)

var outcomeNames = [...]string{"delivered", "unreached", "elsewhere", "not_run", "stale_weights", "failed", "answered_error", "caller_left", "out_of_time"}

func (o outcome) String() string { return outcomeNames[o] }

// mayHaveRun says whether an attempt with this outcome may have run.
func (o outcome) mayHaveRun(a *attempt) bool {
	switch o {
	case unreached, elsewhere, notRun, stale:
		return false
	default:
		return a.sent
	}
}

// missReasons say why a request that no target took has not run.
var missReasons = map[outcome]string{
	unreached: "targets_unreachable", elsewhere: "targets_unreachable", stale: "weights_changed",
}

// attempt is the sending of a request to one target.
type attempt struct {
	choice   balance.Choice
	flight   *balance.TrackedRequest
	exchange *targetconn.Exchange
	answer   call.Answer
	began    time.Duration
	// body is the whole body of a failure that the target answered with.
	body []byte
	sent bool
	err  error
}

// run sends the request until it is answered or may not be sent again.
func (q *request) run(ctx context.Context) {
	q.relay.Retries.OnRequest(q.service, q.relay.Processes())
	excluded := map[string]bool{}
	sends, misses := 0, 0
	for {
		if q.callerClosed() {
			q.abandon(&attempt{})
		}
		choice, refusal := q.choose(excluded)
		if refusal != nil {
			q.refuse(*refusal)
			return
		}
		a := &attempt{choice: choice, began: q.relay.Now()}
		q.tries++
		result := q.try(ctx, a)
		q.lastTarget = choice.Target.ID
		q.mayHaveRun = q.mayHaveRun || result.mayHaveRun(a)
		if result != delivered {
			q.logFailure(a, result)
		}
		switch result {
		case delivered:
			return
		case callerLeft:
			q.abandon(a)
			return
		case unreached, elsewhere, stale:
			misses++
			// With other weights, the same target may be asked again with the
			// version that it has.
			excluded[choice.Target.ID] = result != stale
			if misses < maxUnreached && (result == unreached || q.mayRetry()) {
				continue
			}
			q.refuse(q.notRunRefusal(missReasons[result]))
			return
		}
		sends++
		excluded[choice.Target.ID] = true
		if q.mayGoOn(result, sends) {
			continue
		}
		q.conclude(a, result)
		return
	}
}

// callerClosed says whether the caller closed its connection before the request
// was sent on. The server notices a close only while a handler runs, so that of
// a request that waited to be read has not been noticed yet.
func (q *request) callerClosed() bool {
	conn, ok := q.r.Context().Value(callerConnKey{}).(net.Conn)
	return ok && sockstate.Of(conn) == sockstate.Closed
}

// mayGoOn says whether the request may be sent to another target.
func (q *request) mayGoOn(result outcome, sends int) bool {
	if result == outOfTime || sends >= q.route.MaxAttempts || q.left() <= 0 {
		return false
	}
	if result != notRun && !q.route.Retryable() {
		return false
	}
	return q.mayRetry()
}

func (q *request) mayRetry() bool {
	return q.relay.Retries.Try(q.service, q.relay.Processes())
}

// conclude gives the final answer after the last attempt.
func (q *request) conclude(a *attempt, result outcome) {
	switch result {
	case notRun:
		q.refuse(q.notRunRefusal("target_full"))
	case answeredError:
		q.returnFailure(a)
	case outOfTime:
		q.refuse(refusal{status: http.StatusGatewayTimeout, reason: q.endReason(), ran: a.sent})
	default:
		q.refuse(refusal{status: http.StatusBadGateway, reason: "target_failed", ran: true})
	}
}

// endReason says what ended a request's time.
func (q *request) endReason() string {
	if q.relay.DrainDeadline.Err() != nil {
		return "stopping"
	}
	return "deadline"
}

func (q *request) notRunRefusal(reason string) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: shedRetry}
}

// choose picks the next target, or says why there is none.
func (q *request) choose(excluded map[string]bool) (balance.Choice, *refusal) {
	l := q.relay
	req := q.balanceRequest(excluded)
	choice, none := l.Balancer.Pick(l.Now(), req, l.Targets())
	if none == nil {
		return choice, nil
	}
	if q.wroteHeader {
		return choice, &refusal{status: http.StatusBadGateway, reason: none.Reason, ran: true}
	}
	return choice, &refusal{status: http.StatusServiceUnavailable, reason: none.Reason, retryAfter: none.RetryAfter}
}

func (q *request) balanceRequest(excluded map[string]bool) *balance.Request {
	req := &balance.Request{Service: q.service, Excluded: excluded, MaxExpectedTTFB: q.tolerance()}
	service, ok := q.config.Services[q.service]
	if !ok || !service.HasEngines || q.meta.Model == "" {
		return req
	}
	req.Model = q.meta.Model
	req.PromptTokens = q.meta.PromptTokens
	req.CacheSalt = q.salt
	req.SharedParts = q.meta.Shared()
	req.Stores = q.config.CacheStores()
	return req
}

// tolerance is the longest wait for a first byte that is of use to the caller.
func (q *request) tolerance() time.Duration {
	const streamPatience = 2 * time.Second
	if q.route.Kind == fleet.Stream {
		return min(q.left(), max(streamPatience, 4*q.route.FirstByteObjective))
	}
	return q.left()
}

// salt names the cache of one weights version, and of one account if isolated.
func (q *request) salt(version int64) string {
	salt := q.meta.Model + "/" + strconv.FormatInt(version, 10)
	if q.account != nil && q.account.Isolated {
		salt += "/" + q.account.Name
	}
	return salt
}

// try sends the request to the chosen target and handles its answer.
func (q *request) try(ctx context.Context, a *attempt) outcome {
	l := q.relay
	target := &a.choice.Target
	l.meters.attempts.Inc(1)
	a.flight = l.Balancer.Begin(a.began, q.balanceRequest(nil), &a.choice)
	l.Log.Log(eventlog.AttemptBegun, "request_id", q.meta.ID, "route", q.route.Name, "account", q.accountName(),
		"try", q.tries, "target", target.ID, "weights", a.choice.Version, "expected_ms", a.choice.ExpectedTTFB.Milliseconds(),
		"cached_tokens", a.choice.CachedTokens, "import", a.choice.Import.String(), "save", a.choice.SaveToStore, "prompt_tokens", q.meta.PromptTokens, "candidates", a.choice.Candidates,
		"load_age_ms", a.choice.LoadAge.Milliseconds(), "config", q.config.Version, "left_ms", q.left().Milliseconds())
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := q.stallTimer(cancel)
	defer stall.Stop()
	// An answer that can't be written ends the handler from within.
	defer func() { a.flight.End(l.Now(), balance.Cancelled) }()
	result := q.exchange(attemptCtx, a, stall)
	if result != delivered {
		result = q.judge(ctx, a, result)
	}
	a.flight.End(l.Now(), flightResult(result))
	return result
}

// stallTimer cancels an attempt of a repeatable request that gets no first byte.
func (q *request) stallTimer(cancel func()) *time.Timer {
	stall := max(minStall, stallObjectives*q.route.FirstByteObjective)
	if !q.route.Retryable() || q.tries > 1 {
		stall = q.left() + 2*answerMargin
	}
	return time.AfterFunc(stall, cancel)
}

// judge corrects the outcome of an attempt that ended with the request itself.
func (q *request) judge(ctx context.Context, a *attempt, result outcome) outcome {
	if q.r.Context().Err() != nil {
		return callerLeft
	}
	if result == failed && ctx.Err() != nil {
		return outOfTime
	}
	if result == unreached && q.left() <= 0 {
		a.sent = false
		return outOfTime
	}
	return result
}

func flightResult(result outcome) balance.Result {
	switch result {
	case delivered:
		return balance.Succeeded
	case unreached:
		return balance.Unreachable
	case elsewhere:
		return balance.Replaced
	case notRun:
		return balance.Refused
	case stale:
		return balance.Cancelled
	case callerLeft, outOfTime:
		return balance.Cancelled
	default:
		return balance.Failed
	}
}

// exchange connects, sends the request and handles the answer.
func (q *request) exchange(ctx context.Context, a *attempt, stall *time.Timer) outcome {
	l := q.relay
	target := &a.choice.Target
	conn, err := l.Pools.Get(ctx, target, q.connLimit())
	if err != nil {
		a.err = err
		return unreached
	}
	exchange, sent, err := conn.Send(ctx, &targetconn.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host,
		Header: l.Codec.ForwardHeader(q.r.Header, q.forward(a)), Body: q.body,
	})
	a.sent = sent
	if err != nil {
		a.err = err
		if !sent {
			return unreached
		}
		return failed
	}
	a.exchange = exchange
	a.answer = l.Codec.DecodeAnswer(exchange.Response, target.ID)
	exchange.SetIdleTimeout(a.answer.KeepAlive)
	if a.answer.RequestID != q.meta.ID {
		exchange.Finish(false)
		a.err = errors.Errorf("answer belongs to request %q", a.answer.RequestID)
		return failed
	}
	if a.answer.HasLoad {
		l.Balancer.RecordLoad(l.Now(), target.Boot(), a.answer.Load)
	}
	if a.answer.WeightsVersion > 0 {
		l.Balancer.RecordVersion(target.Boot(), q.meta.Model, a.answer.WeightsVersion)
	}
	return q.handleAnswer(a, stall)
}

// connLimit is this process's part of the connections that a target accepts.
func (q *request) connLimit() int {
	const unlimited = 1 << 20
	most := q.config.Services[q.service].MaxConns
	if most <= 0 {
		return unlimited
	}
	return max(2, most/(q.relay.Processes()+1))
}

func (q *request) forward(a *attempt) call.ForwardFields {
	f := call.ForwardFields{
		TargetID:    a.choice.Target.ID,
		Deadline:    q.left(),
		Account:     q.accountName(),
		LastEventID: q.meta.LastEventID,
		HasPriority: true,
		Priority:    min(9, max(0, q.route.Priority)),
	}
	if q.account != nil && q.account.HasPriority {
		f.Priority = min(9, max(0, q.account.Priority))
	}
	if q.lastEventID != "" {
		f.LastEventID = q.lastEventID
	}
	if a.choice.CacheSalt == "" {
		f.HasPriority = false
		return f
	}
	f.WeightsVersion = a.choice.Version
	f.CacheSalt = a.choice.CacheSalt
	q.forwardCache(a, &f)
	return f
}

// forwardCache says where the target imports the shared part from and saves it.
func (q *request) forwardCache(a *attempt, f *call.ForwardFields) {
	f.FetchFrom = a.choice.ImportAddress
	if a.choice.SaveToStore {
		f.SaveTo = a.choice.StoreAddress
	}
}

func (q *request) logFailure(a *attempt, result outcome) {
	status := 0
	if a.exchange != nil {
		status = a.exchange.Response.StatusCode
	}
	text := ""
	if a.err != nil {
		text = a.err.Error()
	}
	q.relay.Log.Log(eventlog.AttemptFailed, "request_id", q.meta.ID, "try", q.tries, "target", a.choice.Target.ID,
		"outcome", result.String(), "status", status, "sent", a.sent, "took_ms", (q.relay.Now() - a.began).Milliseconds(), "err", text)
}

// abandon notes that the caller is gone.
func (q *request) abandon(a *attempt) {
	if !q.mayHaveRun {
		q.refund()
	}
	q.relay.meters.left.Inc(1)
	q.relay.Log.Log(eventlog.CallerLeft, "request_id", q.meta.ID, "route", q.route.Name,
		"target", a.choice.Target.ID, "total_ms", (q.relay.Now() - q.began).Milliseconds())
	panic(http.ErrAbortHandler)
}
