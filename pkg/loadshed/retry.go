package loadshed

import "time"

const (
	// minRetryAfter is the shortest delay of a refused request.
	minRetryAfter = 100 * time.Millisecond
	// callerPatience is the part of their remaining time for which callers wait before they
	// try again: a third.
	callerPatience = 3
)

// retryAfter returns the delay after which a refused request can be served. Each refused
// request of a class is told to return after the one before it, at the rate at which the
// process can send that class, so that they don't all return at once. Less urgent classes have
// a lower rate and return later.
func (q *Queue) retryAfter(now time.Duration, w *Waiter) time.Duration {
	patience := w.patience(now)
	if patience < minRetryAfter {
		// The caller has no time to return, so that no place is kept for it.
		return minRetryAfter
	}
	c := w.class
	rate := q.rateOf(now, c)
	backlog := time.Duration(float64(q.ahead(w)) / rate * float64(time.Second))
	gap := time.Duration(float64(time.Second) / rate)
	c.returnAt = max(c.returnAt, now+min(backlog, patience)) + gap
	delay := max(minRetryAfter, c.returnAt-now)
	if delay <= patience {
		return delay
	}
	// No later time is of use to the caller. The random part keeps such callers apart.
	c.returnAt = now + patience
	return patience/2 + time.Duration(q.random.Int64N(int64(patience/2)))
}

// RetryAfter returns the delay after which a request that engines have rejected can be served.
func (q *Queue) RetryAfter(now time.Duration, t Ticket) time.Duration {
	q.sequence++
	return q.retryAfter(now, &Waiter{Ticket: t, sequence: q.sequence, class: q.class(t.Priority)})
}

// patience returns the longest delay that the caller of a refused request waits for.
func (t *Ticket) patience(now time.Duration) time.Duration {
	return max(0, t.Deadline-now) / callerPatience
}
