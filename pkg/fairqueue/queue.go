package fairqueue

import (
	"cmp"
	"fmt"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Queue is the fair queue of one target. Every pushed request is popped, removed
// or refused exactly once.
type Queue struct {
	settings Settings
	limit    int
	paused   bool
	// virtualTime is the highest start tag of the popped requests.
	virtualTime float64
	seq         uint64
	flows       map[string]*flow
	queued      map[string]*queuedRequest
	running     map[string]runningRequest
	runningCost int64
	rateMeter   rateMeter
}

// New returns an empty queue that allows limit requests to run concurrently.
func New(settings Settings, limit int) *Queue {
	return &Queue{
		settings:  settings,
		limit:     limit,
		flows:     make(map[string]*flow),
		queued:    make(map[string]*queuedRequest),
		running:   make(map[string]runningRequest),
		rateMeter: newRateMeter(settings),
	}
}

// SetLimit sets the maximum number of concurrently running requests.
func (q *Queue) SetLimit(limit int) { q.limit = limit }

// SetPaused sets whether Pop is paused. The agent pauses the queue while the
// engine's prefill backlog is full.
func (q *Queue) SetPaused(paused bool) { q.paused = paused }

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.queued) }

// Running returns the number of popped requests that have not finished.
func (q *Queue) Running() int { return len(q.running) }

// TokensPerSecond returns the measured service rate.
func (q *Queue) TokensPerSecond() float64 { return q.rateMeter.rate }

// Push queues a request. It returns a refusal if the request is not expected to
// start by its deadline or the queue is full. In a full queue, a request of an
// account with a lower load displaces one of the account with the highest load,
// and a request with a higher priority displaces one of its own account. Push
// returns the displaced request with its refusal.
func (q *Queue) Push(req Request, now time.Time) (displaced []RefusedRequest, refusal *outcome.Refusal) {
	if q.contains(req.ID) {
		return nil, outcome.NotRun(outcome.CodeInvalidRequest, "request id is already in use")
	}
	req = withDefaults(req)
	wait := q.ExpectedWait(req, now)
	if refusal := q.checkDeadline(req, wait, now); refusal != nil {
		return nil, refusal
	}
	if len(q.queued) >= q.settings.MaxQueued {
		victim := q.selectVictim(req)
		if victim == nil {
			return nil, q.overloadRefusal(wait, "the queue is full")
		}
		q.removeQueued(victim)
		displaced = append(displaced, RefusedRequest{victim.ID, q.overloadRefusal(wait, "the queue is full of this account's requests")})
	}
	q.enqueue(req)
	return displaced, nil
}

// Pop returns the next request to run, if one is queued and the limit allows it.
// It also removes the queued requests whose deadline has passed and returns them
// with their refusals. The caller should call Pop periodically, so that expired
// requests are refused even if no request starts or finishes.
func (q *Queue) Pop(now time.Time) (req Request, ok bool, expired []RefusedRequest) {
	expired = q.removeExpired(now)
	if q.paused || len(q.running) >= q.limit {
		return Request{}, false, expired
	}
	f := q.nextFlow()
	if f == nil {
		return Request{}, false, expired
	}
	item := f.items[0]
	q.virtualTime = max(q.virtualTime, f.startTag)
	q.rateMeter.onStart(len(q.running), now)
	f.running++
	f.charge(item.Cost)
	q.running[item.ID] = runningRequest{account: item.Account, cost: item.Cost}
	q.runningCost += item.Cost
	q.removeQueued(item)
	q.dropUnusedFlows()
	return item.Request, true, expired
}

// Remove removes a queued request whose caller has disconnected. It returns false
// if the request is not queued; a running request must be finished instead.
func (q *Queue) Remove(id string) bool {
	item, ok := q.queued[id]
	if !ok {
		return false
	}
	q.removeQueued(item)
	q.resetIfIdle()
	return true
}

// Finish ends a running request and corrects its account's start tag by the
// difference between the actual and the expected cost in tokens. It returns false
// if the request is not running.
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
	q.rateMeter.onFinish(actualCost, len(q.running), len(q.queued) > 0, now)
	q.dropFlowIfUnused(f)
	q.resetIfIdle()
	return true
}

func (q *Queue) contains(id string) bool {
	_, isQueued := q.queued[id]
	_, isRunning := q.running[id]
	return isQueued || isRunning
}

func withDefaults(req Request) Request {
	if req.Weight <= 0 {
		req.Weight = 1
	}
	req.Cost = max(1, req.Cost)
	return req
}

func (q *Queue) enqueue(req Request) {
	f, ok := q.flows[req.Account]
	if !ok {
		f = &flow{account: req.Account}
		q.flows[req.Account] = f
	}
	f.weight = req.Weight
	if len(f.items) == 0 {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	q.seq++
	item := &queuedRequest{Request: req, seq: q.seq}
	f.insert(item)
	q.queued[req.ID] = item
}

// removeQueued removes a queued item from the queue and its flow.
func (q *Queue) removeQueued(item *queuedRequest) {
	f := q.flows[item.Account]
	for i := range f.items {
		if f.items[i] == item {
			f.removeAt(i)
			delete(q.queued, item.ID)
			q.dropFlowIfUnused(f)
			return
		}
	}
	panic(fmt.Sprintf("fairqueue: request %q is not in its account's flow", item.ID))
}

// dropFlowIfUnused deletes a flow without requests unless its start tag is ahead
// of the virtual time, since that records service to be compensated for.
func (q *Queue) dropFlowIfUnused(f *flow) {
	if len(f.items) == 0 && f.running == 0 && f.startTag <= q.virtualTime {
		delete(q.flows, f.account)
	}
}

// dropUnusedFlows deletes the unused flows that the virtual time has reached. It
// does nothing until the flows outnumber the requests by more than spareFlows.
func (q *Queue) dropUnusedFlows() {
	const spareFlows = 16
	if len(q.flows) <= len(q.queued)+len(q.running)+spareFlows {
		return
	}
	for _, f := range q.flows {
		q.dropFlowIfUnused(f)
	}
}

// resetIfIdle deletes all flows and resets the virtual time if no request is
// queued or running: an idle target has no shares to balance.
func (q *Queue) resetIfIdle() {
	if len(q.queued) == 0 && len(q.running) == 0 {
		clear(q.flows)
		q.virtualTime = 0
	}
}

// nextFlow returns the flow with the lowest start tag among those with queued
// requests, or nil.
func (q *Queue) nextFlow() *flow {
	var next *flow
	for _, f := range q.flows {
		if len(f.items) == 0 {
			continue
		}
		if next == nil || cmp.Or(cmp.Compare(f.startTag, next.startTag), cmp.Compare(f.account, next.account)) < 0 {
			next = f
		}
	}
	return next
}
