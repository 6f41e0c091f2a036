package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/loadshed"
)

const (
	// maxWaiting is the number of requests to a service that wait in a process. A process sends
	// some tens of requests a second, so that later ones would wait too long.
	maxWaiting = 512
	// releaseInterval is the time after which room for waiting requests is looked for again
	// without a first byte or an end of a request, since the load that other processes send
	// changes as well.
	releaseInterval = 20 * time.Millisecond
	// reopenFraction is the part of its limit below which a request that had to wait is sent.
	// The gap to the limit of new requests keeps admission from opening and closing quickly.
	reopenFraction = 0.85
	// limitSpread is the range of the processes' own factors of the limits, so that they don't
	// all open and close admission at the same moment.
	limitSpread = 0.15
	// minLead is the shortest time for a response to a request that had to wait.
	minLead = 2 * finalResponseLead
	// defaultAccountWeight is the weight in tokens a second of requests without an account if no
	// account has a limit.
	defaultAccountWeight = 1000.0
)

// overloadControl holds the requests that wait for capacity, by service.
type overloadControl struct {
	relay *Relay
	// limitFactor is the process's own factor of all limits.
	limitFactor float64
	// maxWaiting is the number of requests to a service that may wait.
	maxWaiting int

	mu     sync.RWMutex
	queues map[string]*capacityQueue
}

func newOverloadControl(relay *Relay) *overloadControl {
	return &overloadControl{relay: relay, limitFactor: 1 - limitSpread*rand.Float64(), maxWaiting: maxWaiting, queues: map[string]*capacityQueue{}}
}

// queueOf returns the queue of a service, or nil for a nil overloadControl or a service without
// engines.
func (o *overloadControl) queueOf(q *request) *capacityQueue {
	if o == nil || !q.config.Services[q.service].HasEngines {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	queue, ok := o.queues[q.service]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		queue = &capacityQueue{
			control: o, service: q.service, queue: loadshed.NewQueue(o.maxWaiting, random),
			waiting: map[*loadshed.Waiter]*waitingRequest{}, restTimes: map[string]time.Duration{}, wake: make(chan struct{}, 1), meters: newOverloadMeters(o.relay.Metrics, q.service),
		}
		o.queues[q.service] = queue
	}
	return queue
}

// capacityQueue holds the requests of a service that wait for capacity of its engines.
type capacityQueue struct {
	control *overloadControl
	service string
	wake    chan struct{}
	meters  *overloadMeters
	// length is the number of waiting requests.
	length atomic.Int64

	mu         sync.Mutex
	queue      *loadshed.Queue
	waiting    map[*loadshed.Waiter]*waitingRequest
	promptTime loadshed.PromptTime
	estimates  loadshed.Calibration
	classes    serviceClasses
	// restTimes holds the mean times from the first byte to the end of streams, by route.
	restTimes map[string]time.Duration
	// isReleasing is set while a goroutine releases the waiting requests.
	isReleasing bool
}

// wakeUp makes the goroutine that releases the waiting requests look for room.
func (c *capacityQueue) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// waitingRequest is a request that waits for capacity. Only the goroutine that holds the queue's
// lock uses its request.
type waitingRequest struct {
	q      *request
	ticket loadshed.Ticket
	// excess is how far the best target was above the request's limit when it arrived.
	excess time.Duration
	// ended receives the result of the wait.
	ended chan waitResult
}

// waitResult is the result of a wait: a target, or a refusal.
type waitResult struct {
	choice  balance.Choice
	refusal *refusal
}

// chooseWithCapacity selects the next target like chooseTarget. With overload control, a request
// that has not been sent to any target may wait for capacity first.
func (q *request) chooseWithCapacity(ctx context.Context, excluded, allowed map[string]bool) (balance.Choice, *refusal) {
	queue := q.relay.overload.queueOf(q)
	if queue == nil || q.attempts > 0 || q.wroteHeader {
		q.overloadLimit = 0
		return q.chooseTarget(excluded, allowed)
	}
	r := &waitingRequest{q: q, ticket: queue.ticket(q), ended: make(chan waitResult, 1)}
	if choice, refusal, decided := queue.tryNow(r); decided {
		return choice, refusal
	}
	waiter, refusal := queue.enqueue(r)
	if refusal != nil {
		return balance.Choice{}, refusal
	}
	select {
	case result := <-r.ended:
		return result.choice, result.refusal
	case <-ctx.Done():
		return queue.leave(waiter, r)
	}
}

// tryNow sends the request without a wait if there is room for it and no waiting request comes
// first. It reports whether it has decided on the request.
func (c *capacityQueue) tryNow(r *waitingRequest) (balance.Choice, *refusal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.control.relay.Now()
	c.meters.count(r.ticket.Priority, "asked")
	r.q.overloadLimit = c.limit(r, false, 1)
	if c.queue.MustWait(now, r.ticket.Priority, r.ticket.Account) {
		return balance.Choice{}, nil, false
	}
	choice, refusal := c.choose(r, now)
	if refusal != nil && refusal.reason == balance.ReasonOverload {
		r.excess = refusal.retryAfter - r.q.maxExpectedTTFB()/2
		return choice, nil, false
	}
	if refusal == nil {
		c.queue.RecordSent(now, &r.ticket)
		c.meters.count(r.ticket.Priority, "sent")
	}
	return choice, refusal, true
}

// choose selects a target and begins the request there, so that the next choice accounts for it.
func (c *capacityQueue) choose(r *waitingRequest, now time.Duration) (balance.Choice, *refusal) {
	q := r.q
	choice, refusal := q.chooseTarget(nil, nil)
	if refusal != nil {
		return choice, refusal
	}
	q.admitted = q.relay.Balancer.Begin(now, q.balanceRequest(), &choice)
	q.isAdmitted = true
	c.promptTime.Observe(now, choice.PrefillTokens, choice.ExpectedTTFB)
	expected := choice.ExpectedTTFB - c.promptTime.Of(now, choice.PrefillTokens)
	c.queue.RecordExpected(now, r.ticket.Priority, expected, loadshed.QueueTarget(q.class(), c.classes.classes))
	return choice, nil
}

// enqueue adds the request to the queue, or refuses it.
func (c *capacityQueue) enqueue(r *waitingRequest) (*loadshed.Waiter, *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStopping() {
		return nil, stoppingRefusal()
	}
	waiter, shed := c.queue.Enqueue(c.control.relay.Now(), r.ticket)
	if shed != nil {
		return nil, c.refusal(r, shed, 0)
	}
	c.waiting[waiter] = r
	c.updateLength(r.ticket.Priority)
	if !c.isReleasing {
		c.isReleasing = true
		go c.releaseWaiting()
	}
	return waiter, nil
}

// leave ends the wait of a request whose caller has left or whose time is over. If it has got a
// target meanwhile, it returns that: the attempt there ends for the same reason.
func (c *capacityQueue) leave(waiter *loadshed.Waiter, r *waitingRequest) (balance.Choice, *refusal) {
	c.mu.Lock()
	left := c.queue.Leave(waiter)
	if left {
		delete(c.waiting, waiter)
		c.updateLength(waiter.Priority)
		c.wakeUp()
	}
	c.mu.Unlock()
	switch {
	case !left:
		result := <-r.ended
		return result.choice, result.refusal
	case r.q.r.Context().Err() != nil:
		c.meters.count(waiter.Priority, "left")
		r.q.handleDisconnect(&attempt{})
		return balance.Choice{}, nil
	case c.isStopping():
		return balance.Choice{}, stoppingRefusal()
	default:
		c.meters.countRefusal(waiter.Priority, loadshed.ReasonExpired)
		return balance.Choice{}, &refusal{status: http.StatusServiceUnavailable, reason: loadshed.ReasonExpired, retryAfter: notRunRetryAfter}
	}
}

// releaseWaiting sends waiting requests as room appears, until none waits.
func (c *capacityQueue) releaseWaiting() {
	ticker := time.NewTicker(releaseInterval)
	defer ticker.Stop()
	for c.release() {
		select {
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// release sends the waiting requests for which there is room and refuses those whose time is over.
// It reports whether any are left.
func (c *capacityQueue) release() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.control.relay.Now()
	for _, expired := range c.queue.Expire(now) {
		waiter := expired.Waiter
		c.end(waiter, waitResult{refusal: c.refusal(c.waiting[waiter], expired.Refusal, now-waiter.EnqueuedAt)})
	}
	if c.isStopping() {
		for waiter := range c.waiting {
			c.queue.Leave(waiter)
			c.end(waiter, waitResult{refusal: stoppingRefusal()})
		}
	}
	results := map[*loadshed.Waiter]waitResult{}
	released := c.queue.Release(now, func(waiter *loadshed.Waiter) bool {
		result, decided := c.offer(waiter, now)
		if decided {
			results[waiter] = result
		}
		return decided
	})
	for _, waiter := range released {
		c.end(waiter, results[waiter])
	}
	c.isReleasing = c.queue.Len() > 0
	return c.isReleasing
}

// offer tries to choose a target for a waiting request. It reports false if the request has to go
// on waiting.
func (c *capacityQueue) offer(waiter *loadshed.Waiter, now time.Duration) (waitResult, bool) {
	r := c.waiting[waiter]
	r.q.overloadLimit = c.limit(r, waiter.ByMinShare, reopenFraction)
	choice, refusal := c.choose(r, now)
	if refusal != nil {
		return waitResult{refusal: refusal}, refusal.reason != balance.ReasonOverload
	}
	// Engines delay requests beyond the limit of their class, so that their waits mean nothing.
	r.q.isAdmitted = !waiter.ByMinShare
	c.meters.count(waiter.Priority, "sent")
	c.meters.waited.RecordDuration(now - waiter.EnqueuedAt)
	c.control.relay.Log.Log(eventlog.OverloadAdmitted, "request_id", r.q.meta.ID, "service", c.service, "class", waiter.Priority, "account", waiter.Account,
		"waited_ms", (now - waiter.EnqueuedAt).Milliseconds(), "expected_ms", choice.ExpectedTTFB.Milliseconds(), "limit_ms", r.q.maxExpectedTTFB().Milliseconds(),
		"min_share", waiter.ByMinShare, "waiting", c.queue.Len())
	return waitResult{choice: choice}, true
}

// end tells a request that is no longer in the queue the result of its wait.
func (c *capacityQueue) end(waiter *loadshed.Waiter, result waitResult) {
	r := c.waiting[waiter]
	delete(c.waiting, waiter)
	c.updateLength(waiter.Priority)
	r.ended <- result
}

func (c *capacityQueue) updateLength(priority int) {
	c.length.Store(int64(c.queue.Len()))
	c.meters.setWaiting(priority, c.queue.LenOf(priority))
}

// isStopping reports whether the process is about to exit, so that it must not keep requests.
func (c *capacityQueue) isStopping() bool {
	relay := c.control.relay
	return relay.Refusing() || relay.DrainExpired.Err() != nil
}

// refusal logs why a request is refused and returns the refusal.
func (c *capacityQueue) refusal(r *waitingRequest, shed *loadshed.Refusal, waited time.Duration) *refusal {
	c.meters.countRefusal(r.ticket.Priority, shed.Reason)
	c.control.relay.Log.Log(eventlog.OverloadRefused, "request_id", r.q.meta.ID, "service", c.service, "class", r.ticket.Priority, "account", r.ticket.Account,
		"reason", shed.Reason, "ahead", shed.Ahead, "rate", shed.Rate, "expected_wait_ms", shed.ExpectedWait.Milliseconds(),
		"limit_ms", r.q.maxExpectedTTFB().Milliseconds(), "over_ms", r.excess.Milliseconds(), "waited_ms", waited.Milliseconds(),
		"waiting", c.queue.Len(), "left_ms", r.q.remaining().Milliseconds())
	return &refusal{status: http.StatusServiceUnavailable, reason: shed.Reason, retryAfter: shed.RetryAfter}
}
