package fairqueue

import (
	"cmp"
	"fmt"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Queue is the fair queue in front of one target. Every pushed request is
// popped, removed or refused exactly once.
type Queue struct {
	settings Settings
	limit    int
	held     bool
	// virtual is the start tag of the last popped request.
	virtual     float64
	seq         uint64
	flows       map[string]*flow
	byID        map[string]*waiting
	running     map[string]running
	runningCost int64
	meter       meter
}

// New returns an empty queue that lets limit requests run at once.
func New(settings Settings, limit int) *Queue {
	return &Queue{
		settings: settings,
		limit:    limit,
		flows:    make(map[string]*flow),
		byID:     make(map[string]*waiting),
		running:  make(map[string]running),
		meter:    newMeter(settings),
	}
}

// SetLimit sets how many requests may run at once.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// SetPaused stops Pop from starting requests, or lets it go on. The agent holds the
// queue while the engine's prefill backlog is full.
func (q *Queue) SetPaused(held bool) { q.held = held }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Running returns the number of popped requests that have not finished.
func (q *Queue) Running() int { return len(q.running) }

// TokensPerSecond returns the measured service rate.
func (q *Queue) TokensPerSecond() float64 { return q.meter.rate }

// Push queues a request. A refusal is returned at once when the request can't
// start by its deadline or the queue is full. A full queue makes room for an
// account that has less waiting than another: the displaced request of that
// other account is then returned, refused.
func (q *Queue) Push(req Request, now time.Time) (displaced []RefusedRequest, refusal *outcome.Refusal) {
	if q.known(req.ID) {
		return nil, outcome.NotRun(outcome.CodeInvalidRequest, "request id is already in use")
	}
	req = normalised(req)
	wait := q.ExpectedWait(req, now)
	if refusal := q.tooLate(req, wait, now); refusal != nil {
		return nil, refusal
	}
	if len(q.byID) >= q.settings.MaxQueued {
		victim := q.victim(req)
		if victim == nil {
			return nil, q.overloaded(wait, "the queue is full")
		}
		q.take(victim)
		displaced = append(displaced, RefusedRequest{victim.ID, q.overloaded(wait, "the queue is full of this account's requests")})
	}
	q.add(req)
	return displaced, nil
}

// Pop returns the next request to run, if one waits and the limit allows. It
// also returns the waiting requests whose deadline has passed, refused; call it
// now and then when nothing else happens, so that they learn of it.
func (q *Queue) Pop(now time.Time) (req Request, ok bool, expired []RefusedRequest) {
	expired = q.expire(now)
	if q.held || len(q.running) >= q.limit {
		return Request{}, false, expired
	}
	f := q.nextFlow()
	if f == nil {
		return Request{}, false, expired
	}
	item := f.items[0]
	q.virtual = max(q.virtual, f.tag)
	q.meter.begin(len(q.running), now)
	f.running++
	f.charge(item.Cost)
	q.running[item.ID] = running{account: item.Account, cost: item.Cost}
	q.runningCost += item.Cost
	q.take(item)
	q.sweep()
	return item.Request, true, expired
}

// Remove takes out a waiting request whose caller has left. It returns false
// for a request that does not wait: one that runs has to be finished.
func (q *Queue) Remove(id string) bool {
	item, ok := q.byID[id]
	if !ok {
		return false
	}
	q.take(item)
	q.rest()
	return true
}

// Finish ends a running request with its true cost in tokens and settles its
// account's share. It returns false for a request that does not run.
func (q *Queue) Finish(id string, actualCost int64, now time.Time) bool {
	run, ok := q.running[id]
	if !ok {
		return false
	}
	actualCost = max(0, actualCost)
	delete(q.running, id)
	q.runningCost -= run.cost
	f := q.flows[run.account]
	f.running--
	f.charge(actualCost - run.cost)
	q.meter.finish(actualCost, len(q.running), len(q.byID) > 0, now)
	q.drop(f)
	q.rest()
	return true
}

func (q *Queue) known(id string) bool {
	_, waits := q.byID[id]
	_, runs := q.running[id]
	return waits || runs
}

func normalised(req Request) Request {
	if req.Weight <= 0 {
		req.Weight = 1
	}
	req.Cost = max(1, req.Cost)
	return req
}

func (q *Queue) add(req Request) {
	f, ok := q.flows[req.Account]
	if !ok {
		f = &flow{account: req.Account}
		q.flows[req.Account] = f
	}
	f.weight = req.Weight
	if len(f.items) == 0 {
		f.tag = max(f.tag, q.virtual)
	}
	q.seq++
	item := &waiting{Request: req, seq: q.seq}
	f.insert(item)
	q.byID[req.ID] = item
}

// take removes a waiting item from its flow.
func (q *Queue) take(item *waiting) {
	f := q.flows[item.Account]
	for i := range f.items {
		if f.items[i] == item {
			f.removeAt(i)
			delete(q.byID, item.ID)
			q.drop(f)
			return
		}
	}
	panic(fmt.Sprintf("fairqueue: request %q is not in its account's flow", item.ID))
}

// drop forgets a flow that has nothing here and owes nothing.
func (q *Queue) drop(f *flow) {
	if len(f.items) == 0 && f.running == 0 && f.tag <= q.virtual {
		delete(q.flows, f.account)
	}
}

// sweep drops the flows that the virtual time has passed, once they outnumber
// those in use.
func (q *Queue) sweep() {
	const spareFlows = 16
	if len(q.flows) <= len(q.byID)+len(q.running)+spareFlows {
		return
	}
	for _, f := range q.flows {
		q.drop(f)
	}
}

// rest forgets all shares when nothing waits or runs: an idle target has no
// shares to settle.
func (q *Queue) rest() {
	if len(q.byID) == 0 && len(q.running) == 0 {
		clear(q.flows)
		q.virtual = 0
	}
}

// nextFlow returns the waiting flow with the least start tag.
func (q *Queue) nextFlow() *flow {
	var next *flow
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if next == nil || cmp.Or(cmp.Compare(f.tag, next.tag), cmp.Compare(f.account, next.account)) < 0 {
			next = f
		}
	}
	return next
}
