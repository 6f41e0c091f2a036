// Package relay serves callers: it authenticates and admits each request,
// chooses a target, sends the request there at most as often as its kind
// allows, and hands the whole answer back or says truthfully what happened.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

const (
	// defaultDeadline is used when neither the caller nor the route names one.
	defaultDeadline = 30 * time.Second
	// answerMargin is how long after a request's deadline a target's own answer
	// to the deadline is waited for.
	answerMargin = 60 * time.Millisecond
	// defaultBodyBytes bounds a request's body when the configuration doesn't.
	defaultBodyBytes = 4 << 20
	// notReadyRetry is when to come back to a process that has just started.
	notReadyRetry = 500 * time.Millisecond
)

// Config joins what a Relay is made of.
type Config struct {
	Codec    call.Codec
	Balancer *balance.Balancer
	Limiter  *tokenrate.Limiter
	Pools    *targetconn.Pools
	Log      *eventlog.Logger
	Metrics  tally.Scope
	// Now is the process's monotonic clock.
	Now func() time.Duration
	// CurrentConfig returns the configuration in force; nil before the first.
	CurrentConfig func() *fleet.Config
	// Targets returns all known targets.
	Targets func() []fleet.Target
	// Stopping says that connections are to be closed after their answer.
	Stopping func() bool
	// DrainDeadline ends when all requests must get their final answer, before a
	// planned stop ends the process.
	DrainDeadline context.Context
	// Processes is the number of entry processes, this one included.
	Processes func() int
	// Retries bounds the requests that are sent more than once.
	Retries *RetryBudgets
}

// Relay is the callers' http.Handler.
type Relay struct {
	Config
	meters meters
}

// New returns a Relay.
func New(config Config) *Relay {
	return &Relay{Config: config, meters: newMeters(config.Metrics)}
}

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// ConnContext keeps a caller's connection in its requests' contexts. It is for
// http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// request is one caller's request on its way.
type request struct {
	relay   *Relay
	w       http.ResponseWriter
	r       *http.Request
	meta    call.RequestMetadata
	config  *fleet.Config
	route   fleet.Route
	account *fleet.Account
	service string
	body    []byte
	// cost is what the request takes from its account's rate.
	cost     float64
	began    time.Duration
	deadline time.Duration
	tries    int
	// mayHaveRun says that an attempt that has ended may have run.
	mayHaveRun bool
	// lastTarget is the target of the last attempt that has ended.
	lastTarget string
	// wroteHeader says that the caller has got a part of the answer.
	wroteHeader bool
	// lastEventID and events follow the stream that the caller has got.
	lastEventID string
	events      int
	firstByte   time.Duration
}

// ServeHTTP serves one request.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{relay: l, w: w, r: r, meta: l.Codec.DecodeRequest(r.Header), began: l.Now()}
	if l.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if refusal := q.prepare(); refusal != nil {
		q.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), q.left()+answerMargin)
	defer cancel()
	defer context.AfterFunc(l.DrainDeadline, cancel)()
	q.run(ctx)
}

// prepare finds the request's route, account and service, reads its body and
// takes its tokens.
func (q *request) prepare() *refusal {
	q.config = q.relay.CurrentConfig()
	if q.config == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "not_ready", retryAfter: notReadyRetry}
	}
	if q.meta.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no_request_id"}
	}
	route, ok := q.config.Match(q.r.Host, q.r.URL.EscapedPath())
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	q.route = route
	q.deadline = q.began + q.wait()
	if refusal := q.authenticate(); refusal != nil {
		return refusal
	}
	if refusal := q.readBody(); refusal != nil {
		return refusal
	}
	q.service = q.pickService()
	return q.admit()
}

// wait is the longest time until the final answer.
func (q *request) wait() time.Duration {
	wait := q.route.Timeout
	if wait <= 0 {
		wait = defaultDeadline
	}
	if q.meta.Deadline > 0 {
		wait = min(wait, q.meta.Deadline)
	}
	return wait
}

func (q *request) left() time.Duration {
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

func (q *request) readBody() *refusal {
	limit := q.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if q.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	if err == nil {
		q.body = body
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_unreadable"}
}

// pickService draws one of the route's services by weight.
func (q *request) pickService() string {
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

// admit takes the request's tokens from its account.
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
		cost: cost, level: decision.Level,
	}
}

// refund returns the tokens of a request that has not run.
func (q *request) refund() {
	if q.account == nil || q.cost == 0 {
		return
	}
	q.relay.Limiter.Refund(q.relay.Now(), q.account, q.cost)
	q.cost = 0
}

func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}
