// Package relay implements the HTTP handler for callers. It authenticates and
// admits each request, chooses a target, forwards the request with at most the
// retries that the route's kind allows, and returns either the complete response
// or an error that states correctly whether the request may have run.
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/hedge"
	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

const (
	// defaultTimeout applies to requests for which neither the caller nor the
	// route sets a timeout.
	defaultTimeout = 30 * time.Second
	// deadlineGrace extends the wait for a response past the request's deadline,
	// so that the target's own deadline response can arrive.
	deadlineGrace = 60 * time.Millisecond
	// notReadyRetryAfter is the Retry-After value while a newly started process
	// has no configuration.
	notReadyRetryAfter = 500 * time.Millisecond
)

// Config holds the dependencies of a Relay.
type Config struct {
	Codec    call.Codec
	Balancer *balance.Balancer
	Limiter  *tokenrate.Limiter
	Pools    *targetconn.Pools
	// Buffers bounds the memory of the responses that are buffered at the same
	// time.
	Buffers *membudget.Budget
	// Bodies bounds the memory of the bodies of requests; nil means no bound.
	Bodies *membudget.Budget
	// WriteTimeout is the longest time for the write of each maxWriteBytes to a caller; 0
	// means callerWriteTimeout.
	WriteTimeout time.Duration
	Log          *eventlog.Logger
	Metrics      tally.Scope
	// Now returns the time of the process's monotonic clock.
	Now func() time.Duration
	// CurrentConfig returns the current configuration, or nil before the first
	// one has been received.
	CurrentConfig func() *fleet.Config
	// Targets returns all known targets.
	Targets func() []fleet.Target
	// OnLeaving is called when a response announces that its target is leaving.
	// It must not block.
	OnLeaving func(boot fleet.Boot)
	// TargetRuns is told what connections show of the runs of targets. It may be nil.
	TargetRuns TargetRuns
	// OnLimit is called with the limit that a response named, if any. sentAt is the time
	// at which its request was sent. It must not block.
	OnLimit func(requestID string, boot fleet.Boot, sentAt time.Duration, limit call.TargetLimit)
	// Quarantine knows what crashes targets. If it is nil, no request is refused because of
	// crashes.
	Quarantine Quarantine
	// StreamOrigins knows the software versions that began streams. If it is nil, a stream
	// that a caller resumes may continue at any target.
	StreamOrigins StreamOrigins
	// VersionRollouts decides which software version gets a request while a service moves to
	// another one. If it is nil, any may.
	VersionRollouts VersionRollouts
	// RunQuery asks engines which run a connection leads to. If it is nil, the registry is believed.
	RunQuery call.RunQuery
	// Stopping reports whether the process is stopping, in which case
	// connections are closed after the response.
	Stopping func() bool
	// Refusing reports whether new requests are refused because the process is about
	// to exit: their responses might be cut.
	Refusing func() bool
	// DrainEnd returns the time at which DrainExpired is cancelled during a planned stop; 0
	// before one. It may be nil.
	DrainEnd func() time.Duration
	// DrainExpired is cancelled during a planned stop, when the requests in
	// progress must get their final response before the process exits.
	DrainExpired context.Context
	// Processes returns the number of entry processes, including this one.
	Processes func() int
	// Retries limits the requests that are sent more than once.
	Retries *RetryBudgets
	// OverloadControl makes requests wait, or refuses them, while the engines of their service
	// can't serve them in time.
	OverloadControl bool
	// Hedges decides on second copies of requests whose responses are late. Nil means none.
	Hedges *hedge.Policy
}

// Relay is the http.Handler for callers.
type Relay struct {
	Config
	instruments instruments
	// overload holds the requests that wait for capacity; nil without overload control.
	overload *overloadControl
}

// New returns a Relay with the given dependencies.
func New(config Config) *Relay {
	if config.Quarantine == nil {
		config.Quarantine = noQuarantine{}
	}
	if config.DrainEnd == nil {
		config.DrainEnd = func() time.Duration { return 0 }
	}
	if config.TargetRuns == nil {
		config.TargetRuns = noTargetRuns{}
	}
	relay := &Relay{Config: config, instruments: newInstruments(config.Metrics)}
	if config.OverloadControl {
		relay.overload = newOverloadControl(relay)
	}
	return relay
}

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}

// ConnContext stores the caller's connection in the context of its requests. It
// is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnClosed reports whether the caller closed its connection before the
// request was forwarded. http.Server detects a close only while a handler runs,
// so it may not have detected the close for a request that was queued unread.
func (q *request) callerConnClosed() bool {
	conn, ok := q.r.Context().Value(callerConnKey{}).(net.Conn)
	return ok && sockstate.Of(conn) == sockstate.Closed
}

// request is the state of a caller's request in progress.
type request struct {
	relay *Relay
	w     http.ResponseWriter
	r     *http.Request
	meta  call.RequestMetadata
	// sharedParts holds the identifiers of the prompt's parts that other requests may
	// share.
	sharedParts []string
	// fingerprint identifies the request's content; empty until its body has been read.
	fingerprint string
	config      *fleet.Config
	route       fleet.Route
	account     *fleet.Account
	service     string
	body        []byte
	// bodyBuffer holds body; nil without one.
	bodyBuffer *membudget.Buffer
	// buffers holds the buffers and claims of all attempts.
	buffers []interface{ Release() }
	// usedConns holds the connections to targets on which the request has been sent.
	usedConns *targetconn.UsedConns
	// cost is the number of tokens charged to the account's rate limit.
	cost      float64
	startedAt time.Duration
	deadline  time.Duration
	attempts  int
	// mayHaveRun is set if a completed attempt may have run.
	mayHaveRun bool
	// trialOf is the quarantined suspect of which the request is a trial; zero if it is none.
	trialOf quarantine.Suspect
	// lastTarget is the target of the last completed attempt.
	lastTarget string
	// wroteHeader is set once the response header has been written to the
	// caller.
	wroteHeader bool
	// lastEventID is the ID of the last stream event written to the caller, and
	// eventCount the number of those events.
	lastEventID string
	eventCount  int
	// isFinal is set if no other response may go on with the one whose header has been written.
	isFinal bool
	// streamVersion is the software version that wrote the events of the stream that the
	// caller has; nil if it has none. Only targets of that version can continue it.
	streamVersion *string
	firstByte     time.Duration
	// versionDecision is what a rollout decided for the next attempt, if that goes to the new version.
	versionDecision VersionDecision
	// overloadLimit is the longest expected time to the first byte at which overload control
	// lets the request be sent; 0 sets no limit.
	overloadLimit time.Duration
	// admitted is the request at its first target, if overload control has chosen that.
	admitted *balance.TrackedRequest
	// isAdmitted is set while overload control has to learn how long the request waits at its
	// first target.
	isAdmitted bool
}

// ServeHTTP implements http.Handler.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{relay: l, w: w, r: r, meta: l.Codec.DecodeRequest(r.Header), startedAt: l.Now()}
	q.sharedParts = sharedPartIDs(&q.meta)
	q.usedConns = targetconn.NewUsedConns(q.meta.ID)
	if l.Stopping() {
		w.Header().Set("Connection", "close")
	}
	q.limitBodyTime(refusedBodyTimeout)
	defer q.releaseBody()
	if refusal := q.prepare(); refusal != nil {
		q.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.remaining()+deadlineGrace)
	defer cancel()
	defer context.AfterFunc(l.DrainExpired, cancel)()
	q.sendWithRetries(ctx)
}

// prepare resolves the request's route, account and service and the origin of a stream
// that it resumes, reads the body and charges the account.
func (q *request) prepare() *refusal {
	q.config = q.relay.CurrentConfig()
	if q.config == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "not_ready", retryAfter: notReadyRetryAfter}
	}
	if q.relay.Refusing() {
		return stoppingRefusal()
	}
	if q.meta.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no_request_id"}
	}
	route, ok := q.config.Match(q.r.Host, q.r.URL.EscapedPath())
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	q.route = route
	q.deadline = q.startedAt + q.timeout()
	if refusal := q.authenticate(); refusal != nil {
		return refusal
	}
	if refusal := q.readBody(); refusal != nil {
		return refusal
	}
	q.fingerprint = q.requestFingerprint()
	q.service = q.chooseService()
	if refusal := q.resolveStreamVersion(); refusal != nil {
		return refusal
	}
	return q.admit()
}

// timeout returns the longest time until the final response.
func (q *request) timeout() time.Duration {
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.meta.Deadline > 0 {
		timeout = min(timeout, q.meta.Deadline)
	}
	return timeout
}

func (q *request) remaining() time.Duration {
	return q.deadline - q.relay.Now()
}

func (q *request) authenticate() *refusal {
	if !q.config.HasAccounts {
		return nil
	}
	account, ok := q.config.Authenticate(q.meta.APIKey)
	if ok {
		q.account = account
		return nil
	}
	if q.route.Public {
		return nil
	}
	return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
}

// chooseService selects one of the route's services at random, by weight.
func (q *request) chooseService() string {
	total := 0.0
	for _, backend := range q.route.Backends {
		total += max(0, backend.Weight)
	}
	draw := rand.Float64() * total
	for _, backend := range q.route.Backends {
		draw -= max(0, backend.Weight)
		if draw < 0 {
			return backend.Service
		}
	}
	return q.route.Backends[len(q.route.Backends)-1].Service
}

// admit charges the request's tokens to its account.
func (q *request) admit() *refusal {
	if q.account == nil {
		return nil
	}
	q.cost = q.account.DefaultCost
	if q.meta.HasTokens {
		q.cost = float64(q.meta.PromptTokens + q.meta.OutputTokens)
	}
	if q.account.CountsRequests {
		q.cost = 1
	}
	decision := q.relay.Limiter.Admit(q.relay.Now(), q.account, q.cost)
	if decision.Admitted {
		return nil
	}
	cost := q.cost
	q.cost = 0
	return &refusal{
		status: http.StatusTooManyRequests, reason: "rate_limited", retryAfter: decision.RetryAfter,
		cost: cost, tokensLeft: decision.Level,
	}
}

// refund returns the tokens of a request that did not run to its account.
func (q *request) refund() {
	if q.account == nil || q.cost == 0 {
		return
	}
	q.relay.Limiter.Refund(q.relay.Now(), q.account, q.cost)
	q.cost = 0
}

// releaseBody returns the memory of the request's body.
func (q *request) releaseBody() {
	if q.bodyBuffer != nil {
		q.bodyBuffer.Release()
	}
}

// releaseBuffers releases the buffers of all attempts. It must be called after the
// attempts have ended and the response has been written.
func (q *request) releaseBuffers() {
	for _, buffer := range q.buffers {
		buffer.Release()
	}
}

func sharedPartIDs(meta *call.RequestMetadata) []string {
	parts := meta.SharedParts()
	ids := make([]string, len(parts))
	for i := range parts {
		ids[i] = parts[i].ID
	}
	return ids
}

func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}
