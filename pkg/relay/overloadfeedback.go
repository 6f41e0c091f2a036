package relay

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/loadshed"
)

// recordFirstByte records how long a request has waited for its first byte, and makes the waiting
// requests of its service look for room. The first byte of a response that is not a stream comes
// with its last one, so that it shows nothing of a wait.
func (o *overloadControl) recordFirstByte(q *request, a *attempt, now time.Duration) {
	c := o.existingQueue(q.service)
	if c == nil {
		return
	}
	if a.number == 1 && q.isAdmitted {
		c.mu.Lock()
		if q.route.Kind == fleet.Stream {
			waited := now - a.startedAt - c.promptTime.Of(now, a.choice.PrefillTokens)
			c.estimates.Observe(now, a.choice.ExpectedTTFB, now-a.startedAt)
			c.queue.RecordFirstByte(now, a.startedAt, q.priority(), waited, loadshed.QueueTarget(q.class(), c.classes.classes))
		} else {
			c.queue.RecordAnswer(now, q.priority())
		}
		c.mu.Unlock()
	}
	c.lookForRoom()
}

// recordEnd records that a request has left its target, and whether that had no room for it.
func (o *overloadControl) recordEnd(q *request, a *attempt, result balance.Result) {
	c := o.existingQueue(q.service)
	if c == nil {
		return
	}
	now := o.relay.Now()
	isFull := result == balance.Refused && !a.responseMeta.Leaving
	// The final response is written shortly before the caller leaves.
	isOutOfTime := result == balance.Cancelled && q.remaining() <= finalResponseLead
	c.mu.Lock()
	switch {
	case a.number == 1 && q.isAdmitted && !a.isFirstByteRecorded && (isFull || isOutOfTime):
		c.queue.RecordNoRoom(now, a.startedAt, q.priority())
	case result == balance.Succeeded && a.hasEvents:
		c.recordRestTime(q.route.Name, now-a.firstEventAt)
	}
	c.mu.Unlock()
	c.lookForRoom()
}

const (
	// restTimeWeight is the weight of a stream in the mean of its route.
	restTimeWeight = 0.1
	// maxRestTimes bounds the routes whose means are kept, also those of former configurations.
	maxRestTimes = 1024
)

// recordRestTime records the time from the first byte of a stream to its end.
func (c *capacityQueue) recordRestTime(route string, rest time.Duration) {
	mean, ok := c.restTimes[route]
	if !ok {
		mean = rest
		if len(c.restTimes) >= maxRestTimes {
			clear(c.restTimes)
		}
	}
	c.restTimes[route] = mean + time.Duration(restTimeWeight*float64(rest-mean))
}

// fullRefusal returns the refusal of a request that targets have rejected because they are full.
func (q *request) fullRefusal() refusal {
	refusal := q.notRunRefusal("target_full")
	if c := q.relay.overload.queueOf(q); c != nil {
		ticket := c.ticket(q)
		c.mu.Lock()
		defer c.mu.Unlock()
		refusal.retryAfter = c.queue.RetryAfter(q.relay.Now(), ticket)
	}
	return refusal
}

// existingQueue returns the queue of a service, or nil if there is none.
func (o *overloadControl) existingQueue(service string) *capacityQueue {
	if o == nil {
		return nil
	}
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.queues[service]
}

// lookForRoom makes the waiting requests look for room.
func (c *capacityQueue) lookForRoom() {
	if c.length.Load() > 0 {
		c.wakeUp()
	}
}
