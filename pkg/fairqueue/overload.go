package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// ExpectedWait returns how long a new request would wait for its start, if no
// further one arrived and the target went on at its measured rate. Requests
// popped before now count, whatever the engine has reported of them so far.
func (q *Queue) ExpectedWait(req Request, now time.Time) time.Duration {
	if len(q.byID) == 0 && len(q.running) < q.limit {
		return 0
	}
	req = normalised(req)
	return q.meter.duration(q.costAhead(req)) + q.slotWait(now)
}

// slotWait returns the expected time until a running request ends, 0 when the
// limit allows another.
func (q *Queue) slotWait(now time.Time) time.Duration {
	if len(q.running) == 0 || len(q.running) < q.limit {
		return 0
	}
	perSlot := q.meter.duration(q.runningCost / int64(len(q.running)))
	return max(0, perSlot-q.meter.sinceChange(now))
}

// costAhead returns the waiting work that starts before a new request.
func (q *Queue) costAhead(req Request) int64 {
	start := q.virtual
	var ahead int64
	if own, ok := q.flows[req.Account]; ok {
		ahead = own.costAhead(req.Priority)
		start = max(start, own.tag) + float64(ahead)/req.Weight
	}
	for account, f := range q.flows {
		if account != req.Account {
			ahead += f.costBefore(start, req.Account)
		}
	}
	return ahead
}

// tooLate refuses a request that can't start by its deadline.
func (q *Queue) tooLate(req Request, wait time.Duration, now time.Time) *outcome.Refusal {
	if req.Deadline.IsZero() {
		return nil
	}
	late := now.Add(wait).Sub(req.Deadline)
	if late <= 0 {
		return nil
	}
	return q.overloaded(late, "the request can't start in time")
}

// overloaded returns a refusal with the time after which asking may help.
func (q *Queue) overloaded(retryAfter time.Duration, message string) *outcome.Refusal {
	return outcome.NotRunFor(outcome.CodeOverloaded, max(retryAfter, q.settings.MinRetryAfter), message)
}

// victim returns the waiting request that makes room for a new one: the last of
// the account with the most work waiting for its weight. It returns nil when
// that account is the new request's own and the request is not more urgent.
func (q *Queue) victim(req Request) *waiting {
	var most *flow
	var mostLoad float64
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		load := float64(f.queuedCost) / f.weight
		if f.account == req.Account {
			load = float64(f.queuedCost+req.Cost) / req.Weight
		}
		if most == nil || cmp.Or(cmp.Compare(load, mostLoad), cmp.Compare(f.account, most.account)) > 0 {
			most, mostLoad = f, load
		}
	}
	if most == nil || float64(req.Cost)/req.Weight > mostLoad {
		return nil
	}
	last := most.items[len(most.items)-1]
	if most.account == req.Account && req.Priority <= last.Priority {
		return nil
	}
	return last
}

// expire takes out the waiting requests whose deadline has passed.
func (q *Queue) expire(now time.Time) []RefusedRequest {
	var late []*waiting
	for _, item := range q.byID {
		if !item.Deadline.IsZero() && now.After(item.Deadline) {
			late = append(late, item)
		}
	}
	slices.SortFunc(late, func(a, b *waiting) int { return cmp.Compare(a.seq, b.seq) })
	var expired []RefusedRequest
	for _, item := range late {
		q.take(item)
		wait := q.ExpectedWait(item.Request, now)
		expired = append(expired, RefusedRequest{item.ID, q.overloaded(wait, "the request could not start in time")})
	}
	if len(expired) > 0 {
		q.rest()
	}
	return expired
}
