package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// ExpectedWait returns the expected time until a new request starts, assuming
// that no other request arrives and that the target continues at its measured
// rate. It counts all popped requests that have not finished, whether or not the
// engine's load reports include them yet.
func (q *Queue) ExpectedWait(req Request, now time.Time) time.Duration {
	if len(q.queued) == 0 && len(q.running) < q.limit {
		return 0
	}
	req = withDefaults(req)
	return q.rateMeter.serviceTime(q.costAhead(req)) + q.nextFinishWait(now)
}

// nextFinishWait returns the expected time until a running request finishes, or 0
// if the limit allows another request.
func (q *Queue) nextFinishWait(now time.Time) time.Duration {
	if len(q.running) == 0 || len(q.running) < q.limit {
		return 0
	}
	finishInterval := q.rateMeter.serviceTime(q.runningCost / int64(len(q.running)))
	return max(0, finishInterval-q.rateMeter.uncountedBusyTime(now))
}

// costAhead returns the cost of the queued requests that would start before a new
// request.
func (q *Queue) costAhead(req Request) int64 {
	start := q.virtualTime
	var ahead int64
	if own, ok := q.flows[req.Account]; ok {
		ahead = own.costAhead(req.Priority)
		start = max(start, own.startTag) + float64(ahead)/req.Weight
	}
	for account, f := range q.flows {
		if account != req.Account {
			ahead += f.costBefore(start, req.Account)
		}
	}
	return ahead
}

// checkDeadline returns a refusal if a request is not expected to start by its
// deadline.
func (q *Queue) checkDeadline(req Request, wait time.Duration, now time.Time) *outcome.Refusal {
	if req.Deadline.IsZero() {
		return nil
	}
	delay := now.Add(wait).Sub(req.Deadline)
	if delay <= 0 {
		return nil
	}
	return q.overloadRefusal(delay, "the request can't start in time")
}

// overloadRefusal returns a refusal with the time after which a retry may
// succeed, at least MinRetryAfter.
func (q *Queue) overloadRefusal(retryAfter time.Duration, message string) *outcome.Refusal {
	return outcome.NotRunRetryAfter(outcome.CodeOverloaded, max(retryAfter, q.settings.MinRetryAfter), message)
}

// selectVictim returns the queued request to displace for a new one: the last
// request of the account with the highest queued cost relative to its weight. It
// returns nil if the new request alone exceeds that load, or if it belongs to
// that account and its priority is not higher than the last request's.
func (q *Queue) selectVictim(req Request) *queuedRequest {
	var largest *flow
	var largestLoad float64
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		load := float64(f.queuedCost) / f.weight
		if f.account == req.Account {
			load = float64(f.queuedCost+req.Cost) / req.Weight
		}
		if largest == nil || cmp.Or(cmp.Compare(load, largestLoad), cmp.Compare(f.account, largest.account)) > 0 {
			largest, largestLoad = f, load
		}
	}
	if largest == nil || float64(req.Cost)/req.Weight > largestLoad {
		return nil
	}
	last := largest.items[len(largest.items)-1]
	if largest.account == req.Account && req.Priority <= last.Priority {
		return nil
	}
	return last
}

// removeExpired removes the queued requests whose deadline has passed and returns
// them with their refusals.
func (q *Queue) removeExpired(now time.Time) []RefusedRequest {
	var overdue []*queuedRequest
	for _, item := range q.queued {
		if !item.Deadline.IsZero() && now.After(item.Deadline) {
			overdue = append(overdue, item)
		}
	}
	slices.SortFunc(overdue, func(a, b *queuedRequest) int { return cmp.Compare(a.seq, b.seq) })
	var expired []RefusedRequest
	for _, item := range overdue {
		q.removeQueued(item)
		wait := q.ExpectedWait(item.Request, now)
		expired = append(expired, RefusedRequest{item.ID, q.overloadRefusal(wait, "the request could not start in time")})
	}
	if len(expired) > 0 {
		q.resetIfIdle()
	}
	return expired
}
