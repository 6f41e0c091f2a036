package relay

import (
	"cmp"
	"context"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/eventstream"
	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

// attempt is one transmission of a request to a target. A goroutine of its own
// exchanges the request and the response with the target. It sets exchange and
// responseMeta before the first events, and the other results before it closes
// events.
type attempt struct {
	number  int
	choice  balance.Choice
	tracked *balance.TrackedRequest
	// version is told the end of the attempt; nil if it has been, or if nobody wants to know.
	version   VersionAttempt
	startedAt time.Duration
	// position is what the caller has of the stream.
	position eventstream.Position
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// events carries the complete events of a stream. It is closed when the attempt
	// has ended.
	events chan []byte
	// hasEvents is set by the handler once it has received events, the first of them at
	// firstEventAt.
	hasEvents    bool
	firstEventAt time.Duration
	// silences counts the times without events since the latest one that were long
	// enough for a second attempt.
	silences int
	// isFirstByteRecorded is set once the first byte has been recorded.
	isFirstByteRecorded bool
	// isEndRecorded is set once the end has been recorded.
	isEndRecorded bool
	// hedgedAfter is the time for which the active attempt had no response when this one began as
	// its hedge; 0 if this is none.
	hedgedAfter time.Duration

	// isConnKept is set if the connection to the target had been used before.
	isConnKept bool
	exchange   *targetconn.Exchange
	// answeredAt is the time at which the response's head was read.
	answeredAt   time.Duration
	responseMeta call.ResponseMetadata
	// buffer holds a response that is forwarded only once it is complete, and body
	// the complete body of a response that is not a stream.
	buffer *membudget.Buffer
	body   []byte
	// headMemory is the memory of the response's head.
	headMemory *membudget.Claim
	// eventCopies is the memory of events on their way to the caller.
	eventCopies *membudget.Claim

	sent   bool
	err    error
	result outcome
	// panicErr describes a panic during the exchange, with its stack.
	panicErr error
	// endedBy is why this process ended the attempt; nil if the target ended it.
	endedBy error
}

// beginAttempt starts to send the request to the chosen target.
func (q *request) beginAttempt(ctx context.Context, choice balance.Choice) *attempt {
	relay := q.relay
	q.attempts++
	a := &attempt{number: q.attempts, choice: choice, startedAt: relay.Now(), position: q.streamPosition(), events: make(chan []byte)}
	a.buffer = relay.Buffers.NewBuffer()
	a.headMemory, a.eventCopies = relay.Buffers.NewClaim(), relay.Buffers.NewClaim()
	q.buffers = append(q.buffers, a.buffer, a.headMemory, a.eventCopies)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	relay.instruments.attempts.Inc(1)
	q.beginVersion(a)
	a.tracked, q.admitted = q.admitted, nil
	if a.tracked == nil {
		a.tracked = relay.Balancer.Begin(a.startedAt, q.balanceRequest(), &a.choice)
	}
	// The limit of overload control applies to the first attempt only.
	q.overloadLimit = 0
	q.logBegin(a)
	go q.runAttempt(a)
	return a
}

// recordFirstByte records the first byte of the attempt's response.
func (q *request) recordFirstByte(a *attempt, now time.Duration) {
	a.tracked.RecordFirstByte(now)
	if !a.isFirstByteRecorded {
		a.isFirstByteRecorded = true
		q.relay.overload.recordFirstByte(q, a, now)
	}
}

// endTracked records that the attempt no longer uses its target.
func (q *request) endTracked(a *attempt, result balance.Result) {
	if a.isEndRecorded {
		return
	}
	a.isEndRecorded = true
	a.tracked.End(q.relay.Now(), result)
	q.relay.overload.recordEnd(q, a, result)
}

// streamPosition returns what the caller has of the stream.
func (q *request) streamPosition() eventstream.Position {
	return eventstream.Position{Begun: q.wroteHeader, LastID: cmp.Or(q.lastEventID, q.meta.LastEventID)}
}

func (q *request) logBegin(a *attempt) {
	choice := &a.choice
	q.relay.Log.Log(eventlog.AttemptBegun, "request_id", q.meta.ID, "route", q.route.Name, "account", q.accountName(),
		"try", a.number, "target", choice.Target.ID, "weights", choice.Version, "expected_ms", choice.ExpectedTTFB.Milliseconds(),
		"queued_tokens", int64(choice.QueuedTokens), "tokens_per_ms", int64(choice.DrainRate),
		"cached_tokens", choice.CachedTokens, "import", choice.Import.String(), "import_from", choice.ImportAddress, "save", choice.SaveToStore, "prompt_tokens", q.meta.PromptTokens,
		"prefix", strconv.FormatUint(choice.Prefix, 16), "primary", choice.Primary, "recomputed_tokens", choice.RecomputedTokens, "candidates", choice.Candidates,
		"load_age_ms", choice.LoadAge.Milliseconds(), "config", q.config.Version, "left_ms", q.remaining().Milliseconds(),
		"parts", strings.Join(q.sharedParts, ","), "fingerprint", q.fingerprint,
		"software", choice.Target.SoftwareVersion, "resume_from", a.position.LastID, "resumes", q.meta.ResumedID)
}

// runAttempt exchanges the request and the response with the target. The fields of
// the request that it reads don't change while the request has attempts.
func (q *request) runAttempt(a *attempt) {
	defer close(a.events)
	defer func() {
		if value := recover(); value != nil {
			a.panicErr = errors.Errorf("%v\n%s", value, debug.Stack())
		}
	}()
	a.result = q.roundTrip(a)
	if a.body == nil {
		a.buffer.Release()
	}
}

// deliverEvents hands complete events to the handler. It reports false if the
// attempt was ended instead.
func (a *attempt) deliverEvents(events []byte) bool {
	select {
	case a.events <- events:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// abandon ends the attempt for the given reason and waits for its goroutine.
func (a *attempt) abandon(reason error) {
	a.cancel(reason)
	for range a.events {
		// The handler has no use for the remaining events.
	}
}

func (q *request) logFailure(a *attempt, result outcome) {
	status := 0
	if a.exchange != nil {
		status = a.exchange.Response.StatusCode
	}
	message := ""
	if a.err != nil {
		message = a.err.Error()
	}
	if strictresponse.IsBroken(a.err) {
		q.relay.instruments.broken.Inc(1)
	}
	endedBy := "target"
	if a.endedBy != nil {
		endedBy = a.endedBy.Error()
	}
	q.relay.Log.Log(eventlog.AttemptFailed, "request_id", q.meta.ID, "try", a.number, "target", a.choice.Target.ID,
		"outcome", result.String(), "status", status, "sent", a.sent, "took_ms", (q.relay.Now() - a.startedAt).Milliseconds(),
		"first_event_age_ms", a.firstEventAge(q.relay.Now()).Milliseconds(), "ended_by", endedBy, "err", message)
}

// noEventAge is the age of the first event of an attempt without events.
const noEventAge = -time.Millisecond

// firstEventAge returns the time since the target's first event, or noEventAge.
func (a *attempt) firstEventAge(now time.Duration) time.Duration {
	if !a.hasEvents {
		return noEventAge
	}
	return now - a.firstEventAt
}
