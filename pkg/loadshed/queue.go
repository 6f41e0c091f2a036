package loadshed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Ticket describes a request that asks for capacity.
type Ticket struct {
	// Priority is the request's priority; 0 is the most urgent.
	Priority int
	// Account is the client account; empty for requests without one.
	Account string
	// AccountWeight is the account's weight: the rate in tokens a second that it may use.
	AccountWeight float64
	// Tokens is the cost of the request in the unit of AccountWeight.
	Tokens float64
	// Deadline is the time at which the first byte has to arrive.
	Deadline time.Duration
	// Objective is the time to the first byte that the caller expects.
	Objective time.Duration
	// Lead is the expected time from sending the request to its first byte. A request that
	// has not been sent so long before its deadline is refused.
	Lead time.Duration
}

// Waiter is a request that waits in a queue.
type Waiter struct {
	Ticket
	EnqueuedAt time.Duration
	// ByMinShare is set while the waiter is offered under the minimum share of the less urgent
	// classes. It may then be sent although the queues of the engines are longer than the
	// limit of its class.
	ByMinShare bool

	sequence uint64
	class    *class
	flow     *flow
	// left is set once the waiter is no longer in the queue.
	left bool
}

// latestSend returns the time after which sending the request is of no use.
func (t *Ticket) latestSend() time.Duration { return t.Deadline - t.Lead }

// objectiveWait returns the longest expected wait with which a request with a number of others ahead
// is accepted into the queue, so that its first byte comes within the objective. A longer queue
// would serve the same number of requests, and all of them late. A request that has been accepted
// may be sent later than that.
func (t *Ticket) objectiveWait(ahead int) time.Duration {
	left := max(0, t.Objective-t.Lead)
	switch {
	case t.Objective == 0:
		return math.MaxInt64
	case ahead <= shortQueue:
		return left
	default:
		return left / objectiveDivisor
	}
}

// cost returns the request's cost relative to the weight of its account.
func (t *Ticket) cost() float64 { return max(1, t.Tokens) / t.AccountWeight }

// Refusal says why a request is refused.
type Refusal struct {
	Reason string
	// RetryAfter is the time after which the request can be served.
	RetryAfter time.Duration
	// ExpectedWait is the time that the request would have waited in the queue, Ahead the
	// number of waiting requests before it, and Rate the requests a second that the process
	// can send of its class.
	ExpectedWait time.Duration
	Ahead        int
	Rate         float64
}

// Refusal reasons.
const (
	// ReasonWait: the request would wait in the queue for too long.
	ReasonWait = "overload"
	// ReasonFull: the queue is full.
	ReasonFull = "overload_queue_full"
	// ReasonExpired: the request waited in vain.
	ReasonExpired = "overload_waited"
	// ReasonDisplaced: a more urgent request or one of another account took the place.
	ReasonDisplaced = "overload_displaced"
)

const (
	// defaultRate is the rate in requests a second at which a process that has sent nothing
	// yet expects to send. It is low because all processes may start at once.
	defaultRate = 2.0
	// objectiveDivisor is the part of the time up to the objective that a request may be expected to
	// wait in the queue. The waits at the engines vary by about as much.
	objectiveDivisor = 2
	// shortQueue is the number of requests ahead up to which a new one may be expected to wait for
	// all of that time. In a process that sends a few requests a second, the expected wait is coarse.
	shortQueue = 1
	// lowerShare is the number of requests of which one belongs to the longest waiting less
	// urgent class.
	lowerShare = 8
	// maxProbes is the number of accounts of a class whose first request is offered when
	// room is looked for. More than one, so that a request that no target can take now does
	// not block the others.
	maxProbes = 3
)

// Queue holds the requests to one service that wait in this process.
type Queue struct {
	maxWaiting int
	random     *rand.Rand
	// classes are sorted by priority.
	classes  []*class
	waiting  int
	sequence uint64
	// sends measures all requests sent to the service.
	sends meter
	// sentSinceLower is the number of requests sent since the last one of a less urgent class that had
	// to wait.
	sentSinceLower int
	// servedPriority is the priority of the request sent last.
	servedPriority int
	displaced      []*Waiter
}

// NewQueue returns a queue for at most maxWaiting requests.
func NewQueue(maxWaiting int, random *rand.Rand) *Queue {
	return &Queue{maxWaiting: maxWaiting, random: random}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// LenOf returns the number of waiting requests of a priority.
func (q *Queue) LenOf(priority int) int { return q.class(priority).waiting }

func (q *Queue) class(priority int) *class {
	at, ok := slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
	if !ok {
		q.classes = slices.Insert(q.classes, at, &class{priority: priority, flows: map[string]*flow{}, finishTags: map[string]float64{}})
	}
	return q.classes[at]
}

// MustWait reports whether a new request of an account may not be sent before the waiting ones,
// because some of them are at least as urgent, or because first bytes come late. Requests of accounts that use more than their share
// of a class don't hold back those of the others in that class.
func (q *Queue) MustWait(now time.Duration, priority int, account string) bool {
	if !q.class(priority).pace.allow(now) {
		return true
	}
	for _, c := range q.classes {
		switch {
		case c.waiting == 0, c.priority > priority:
		case c.priority < priority, c.flows[account] != nil, c.usage.isExcessive(now, account):
			return true
		default:
			for name := range c.flows {
				if !c.usage.isExcessive(now, name) {
					return true
				}
			}
		}
	}
	return false
}

// IsExcessive reports whether an account uses more than its share of what the process sends of
// a class.
func (q *Queue) IsExcessive(now time.Duration, priority int, account string) bool {
	return q.class(priority).usage.isExcessive(now, account)
}

// RecordSent records that a request was sent that had not waited.
func (q *Queue) RecordSent(now time.Duration, t *Ticket) {
	q.class(t.Priority).direct.add(now, 1)
	q.countSent(now, t)
}

func (q *Queue) countSent(now time.Duration, t *Ticket) {
	c := q.class(t.Priority)
	q.sends.add(now, 1)
	c.sends.add(now, 1)
	c.pace.take(now)
	c.usage.add(now, t.Account, t.AccountWeight, max(1, t.Tokens))
	q.servedPriority = t.Priority
	if q.lowerClass(t.Priority) == nil {
		q.sentSinceLower = 0
		return
	}
	q.sentSinceLower++
}

// lowerClass returns the class less urgent than a priority whose first request has waited
// longest; nil if none waits.
func (q *Queue) lowerClass(priority int) *class {
	var lower *class
	for _, c := range q.classes {
		if c.priority > priority && c.waiting > 0 && (lower == nil || c.oldest() < lower.oldest()) {
			lower = c
		}
	}
	return lower
}

// Enqueue adds a request to the queue, or refuses it if it would wait in vain. Weights of
// accounts have to be positive.
func (q *Queue) Enqueue(now time.Duration, t Ticket) (*Waiter, *Refusal) {
	c := q.class(t.Priority)
	q.sequence++
	w := &Waiter{Ticket: t, EnqueuedAt: now, sequence: q.sequence, class: c}
	ahead, rate := q.ahead(w), q.rateOf(now, c)
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	refusal := &Refusal{ExpectedWait: wait, Ahead: ahead, Rate: rate}
	if now+wait >= t.latestSend() || wait > t.objectiveWait(ahead) {
		refusal.Reason = ReasonWait
	} else if q.waiting >= q.maxWaiting && !q.displace(w) {
		refusal.Reason = ReasonFull
	}
	if refusal.Reason != "" {
		refusal.RetryAfter = q.retryAfter(now, w)
		return nil, refusal
	}
	c.add(w)
	q.waiting++
	return w, nil
}

// displace removes the last waiter of the least urgent class in favour of a new request. It
// reports false if the new request is that waiter.
func (q *Queue) displace(w *Waiter) bool {
	for _, c := range slices.Backward(q.classes) {
		if c.waiting == 0 {
			continue
		}
		last := c.last()
		if c.priority < w.Priority || (c == w.class && last.Account == w.Account) {
			return false
		}
		q.Leave(last)
		q.displaced = append(q.displaced, last)
		return true
	}
	return false
}

// ahead returns the number of waiting requests that are sent before a new one.
func (q *Queue) ahead(w *Waiter) int {
	count := w.class.ahead(w)
	for _, c := range q.classes {
		if c.priority < w.Priority {
			count += c.waiting
		}
	}
	return count
}

// rateOf returns the rate in requests a second at which the process can send waiting requests
// of a class and of more urgent ones. Those of more urgent classes that don't wait come first,
// except for the minimum share.
func (q *Queue) rateOf(now time.Duration, c *class) float64 {
	total := max(defaultRate, q.sends.rate(now))
	rate := total
	for _, other := range q.classes {
		if other.priority < c.priority {
			rate -= other.direct.rate(now)
		}
	}
	return max(rate, total/lowerShare)
}

// Leave removes a waiter, for example because its caller has left. It reports whether the
// waiter was still waiting.
func (q *Queue) Leave(w *Waiter) bool {
	if w.left {
		return false
	}
	w.left = true
	w.class.remove(w)
	q.waiting--
	return true
}

// Expired is a waiter that was removed, and why it is refused.
type Expired struct {
	Waiter  *Waiter
	Refusal *Refusal
}

// Expire removes and returns the waiters that can't be served in time any more, the most urgent
// first, and those that lost their place to others.
func (q *Queue) Expire(now time.Duration) []Expired {
	var expired []Expired
	for _, w := range q.displaced {
		expired = append(expired, Expired{w, &Refusal{Reason: ReasonDisplaced}})
	}
	q.displaced = nil
	for _, c := range q.classes {
		for _, f := range c.flows {
			for _, w := range f.waiters {
				if now < w.latestSend() {
					break
				}
				expired = append(expired, Expired{w, &Refusal{Reason: ReasonExpired}})
			}
		}
	}
	slices.SortFunc(expired, func(a, b Expired) int {
		return cmp.Or(cmp.Compare(a.Waiter.Priority, b.Waiter.Priority), cmp.Compare(a.Waiter.sequence, b.Waiter.sequence))
	})
	for _, e := range expired {
		q.Leave(e.Waiter)
		e.Refusal.Rate, e.Refusal.RetryAfter = q.rateOf(now, e.Waiter.class), q.retryAfter(now, e.Waiter)
	}
	return expired
}

// Release removes and returns waiters that are sent now. canSend tries to send a waiter and
// reports whether there was room; it has to take the room.
func (q *Queue) Release(now time.Duration, canSend func(*Waiter) bool) []*Waiter {
	var released []*Waiter
	for q.waiting > 0 {
		w := q.next(now, canSend)
		if w == nil {
			break
		}
		w.left = true
		w.class.sent(w)
		q.waiting--
		q.countSent(now, &w.Ticket)
		released = append(released, w)
	}
	return released
}

// next returns the next waiter for which there is room, or nil.
func (q *Queue) next(now time.Duration, canSend func(*Waiter) bool) *Waiter {
	if q.sentSinceLower >= lowerShare-1 {
		if w := q.firstOfLower(canSend); w != nil {
			return w
		}
	}
	for _, c := range q.classes {
		if c.waiting == 0 || !c.pace.allow(now) {
			continue
		}
		for _, w := range c.firstWaiters(maxProbes) {
			if canSend(w) {
				return w
			}
		}
		c.pace.recordQueues(now)
		c.pace.begin(now, c.sends.rate(now))
	}
	return nil
}

// firstOfLower returns the waiter that is due under the minimum share, or nil.
func (q *Queue) firstOfLower(canSend func(*Waiter) bool) *Waiter {
	lower := q.lowerClass(q.servedPriority)
	if lower == nil {
		return nil
	}
	w := lower.firstWaiters(1)[0]
	w.ByMinShare = true
	if canSend(w) {
		return w
	}
	w.ByMinShare = false
	return nil
}
