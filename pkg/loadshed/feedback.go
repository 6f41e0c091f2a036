package loadshed

import "time"

// RecordFirstByte records that a request that was sent within the limit of its class at a time
// waited for its first byte, beyond the time of its own prompt. limit is the limit of its class, or
// the soft limit. What unloaded engines take as well does not count as a wait.
func (q *Queue) RecordFirstByte(now, sentAt time.Duration, priority int, waited, limit time.Duration) {
	c := q.class(priority)
	c.pace.recordAnswer(now)
	c.shortestWait.observe(now, float64(waited))
	waited -= time.Duration(min(float64(limit), c.shortestWait.at(now)))
	c.pace.observe(now, sentAt, float64(waited)/float64(limit))
}

// RecordExpected records the shortest expected time to the first byte, beyond the time of its own
// prompt, of a request that is sent.
func (q *Queue) RecordExpected(now time.Duration, priority int, expected, limit time.Duration) {
	if expected > limit {
		q.class(priority).pace.recordQueues(now)
	}
}

// RecordAnswer records the answer to a request of which it is not known how long it waited.
func (q *Queue) RecordAnswer(now time.Duration, priority int) {
	q.class(priority).pace.recordAnswer(now)
}

// RecordNoRoom records that a request that was sent at a time was rejected by a full engine, or ran
// out of time there.
func (q *Queue) RecordNoRoom(now, sentAt time.Duration, priority int) {
	q.class(priority).pace.observe(now, sentAt, maxRatio)
}
