package agent

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fairqueue"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

const (
	// maxBacklogTime limits the prefill time queued inside the engine. Further
	// requests wait in the fair queue. By the time they start, a shared prefix that
	// is now being computed is cached.
	maxBacklogTime = 50 * time.Millisecond
	// minRunningLimit is the smallest concurrency limit. It keeps a batch at the
	// engine, since a decode step costs the same for a few requests as for one.
	minRunningLimit = 8
	// initialRunningLimit is the initial value of the adaptive concurrency limit.
	initialRunningLimit = 16
	// pollInterval is the interval between checks for new load reports and for
	// requests whose deadlines have passed.
	pollInterval = 20 * time.Millisecond
)

// promptQueue queues prompts for an engine, decides when each one starts and
// estimates waits. Its mutex guards the fairqueue types, which are not safe for
// concurrent use.
type promptQueue struct {
	view *cacheview.View
	log  *eventlog.Logger

	mu      sync.Mutex
	fair    *fairqueue.Queue
	backlog *fairqueue.Backlog
	limiter *fairqueue.Limiter
	prefill *prefillMeter
	waiting map[string]*waitingPrompt
	boot    uint64
	// busyUntil is the estimated time at which the engine finishes the prefill of
	// all prompts that have been sent to it.
	busyUntil time.Time
}

// waitingPrompt is a prompt that waits in the queue for its start.
type waitingPrompt struct {
	request *peerpb.DispatchRequest
	// result receives the outcome of the wait once: nil if the prompt may start,
	// or the reason for its refusal.
	result chan *outcome.Refusal
	// running is set before result receives nil.
	running *runningPrompt
}

func newPromptQueue(view *cacheview.View, log *eventlog.Logger, now time.Time) *promptQueue {
	settings := fairqueue.DefaultLimiterSettings()
	settings.Min, settings.Initial = minRunningLimit, initialRunningLimit
	limiter := fairqueue.NewLimiter(settings, now)
	return &promptQueue{
		view:    view,
		log:     log,
		fair:    fairqueue.New(fairqueue.DefaultSettings(), limiter.Limit()),
		backlog: fairqueue.NewBacklog(),
		limiter: limiter,
		prefill: newPrefillMeter(),
		waiting: make(map[string]*waitingPrompt),
	}
}

// acquire queues a prompt and waits until it may run at the engine. The caller must
// release the returned prompt.
func (q *promptQueue) acquire(ctx context.Context, req *peerpb.DispatchRequest, weight float64) (*runningPrompt, *outcome.Refusal) {
	id := engineRequestID(req)
	w := &waitingPrompt{request: req, result: make(chan *outcome.Refusal, 1)}
	if refusal := q.enqueue(id, w, weight, time.Now()); refusal != nil {
		q.log.Log(eventlog.QueueRefused, "request_id", req.RequestId, "attempt", req.Attempt, "account", req.Account,
			"code", refusal.Code, "retry_after_ms", refusal.RetryAfter.Milliseconds(), "message", refusal.Message)
		return nil, refusal
	}
	select {
	case refusal := <-w.result:
		return q.resolve(w, refusal)
	case <-ctx.Done():
	}
	if q.remove(id) {
		return nil, outcome.NotRun(outcome.CodeCancelled, "the caller left")
	}
	return q.resolve(w, <-w.result)
}

// resolve returns the running prompt. If the prompt was refused while it waited,
// resolve logs and returns the refusal.
func (q *promptQueue) resolve(w *waitingPrompt, refusal *outcome.Refusal) (*runningPrompt, *outcome.Refusal) {
	if refusal == nil {
		return w.running, nil
	}
	q.log.Log(eventlog.QueueExpired, "request_id", w.request.RequestId, "attempt", w.request.Attempt,
		"account", w.request.Account, "code", refusal.Code,
		"retry_after_ms", refusal.RetryAfter.Milliseconds(), "message", refusal.Message)
	return nil, refusal
}

// enqueue adds a prompt to the queue and starts the prompts that may run.
func (q *promptQueue) enqueue(id string, w *waitingPrompt, weight float64, now time.Time) *outcome.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	displaced, refusal := q.fair.Push(q.fairRequest(id, w.request, weight, now), now)
	q.deliverRefusalsLocked(displaced)
	if refusal != nil {
		return refusal
	}
	q.waiting[id] = w
	q.startReadyLocked(now)
	return nil
}

func (q *promptQueue) fairRequest(id string, req *peerpb.DispatchRequest, weight float64, now time.Time) fairqueue.Request {
	request := fairqueue.Request{
		ID:       id,
		Account:  req.Account,
		Weight:   weight,
		Priority: int(req.Priority),
		Cost:     q.uncachedTokens(req, now) + int64(req.MaxTokens) - int64(req.AnswerPrefixTokens),
	}
	if req.FirstTokenTimeoutMs > 0 {
		request.Deadline = now.Add(time.Duration(req.FirstTokenTimeoutMs) * time.Millisecond)
	}
	return request
}

// uncachedTokens estimates the number of prompt tokens that the engine has to
// compute.
func (q *promptQueue) uncachedTokens(req *peerpb.DispatchRequest, now time.Time) int64 {
	cached := int64(q.view.ExpectedPrefix(now, req.BlockHashes, req.WeightsVersion)) * int64(req.BlockTokens)
	return max(1, int64(req.PromptTokens)+int64(req.AnswerPrefixTokens)-cached)
}

// remove removes a waiting prompt whose caller has disconnected. It returns false
// if the prompt no longer waits.
func (q *promptQueue) remove(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.fair.Remove(id) {
		return false
	}
	delete(q.waiting, id)
	return true
}

// deliverRefusalsLocked sends refusals to waiting prompts that the queue has
// dropped. The caller holds the mutex.
func (q *promptQueue) deliverRefusalsLocked(refused []fairqueue.RefusedRequest) {
	for _, r := range refused {
		q.waiting[r.ID].result <- r.Refusal
		delete(q.waiting, r.ID)
	}
}

// startReadyLocked starts the waiting prompts that the limits allow. The caller
// holds the mutex.
func (q *promptQueue) startReadyLocked(now time.Time) {
	q.fair.SetLimit(q.limiter.Update(q.fair.Running(), q.fair.Len(), now))
	for {
		q.fair.SetPaused(q.backlog.Full(q.prefill.tokensIn(maxBacklogTime)))
		next, ok, expired := q.fair.Pop(now)
		q.deliverRefusalsLocked(expired)
		if !ok {
			return
		}
		q.startLocked(next, now)
	}
}

// startLocked starts a prompt that was popped from the queue. The caller holds the
// mutex.
func (q *promptQueue) startLocked(next fairqueue.Request, now time.Time) {
	w := q.waiting[next.ID]
	delete(q.waiting, next.ID)
	uncachedTokens := q.uncachedTokens(w.request, now)
	w.running = &runningPrompt{
		queue: q, id: next.ID, request: w.request, startedAt: now,
		uncached: uncachedTokens, ahead: q.backlog.Tokens(),
		mark: q.view.RecordDispatch(now, w.request.BlockHashes, w.request.WeightsVersion),
	}
	q.backlog.OnDispatch(next.ID, uncachedTokens, now)
	if q.busyUntil.Before(now) {
		q.busyUntil = now
	}
	q.busyUntil = q.busyUntil.Add(q.prefill.duration(uncachedTokens))
	w.result <- nil
}

// run applies load reports and refuses expired prompts until ctx is done.
func (q *promptQueue) run(ctx context.Context, latest func() (cacheview.Observation, bool)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastReportAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			observation, ok := latest()
			q.tick(observation, ok && observation.ReceivedAt.After(lastReportAt), now)
			lastReportAt = observation.ReceivedAt
		}
	}
}

func (q *promptQueue) tick(observation cacheview.Observation, fresh bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if fresh {
		q.applyReportLocked(observation)
	}
	q.startReadyLocked(now)
}

// applyReportLocked updates the estimates with a load report. The caller holds the
// mutex.
func (q *promptQueue) applyReportLocked(observation cacheview.Observation) {
	report := &observation.Report
	if report.BootID != q.boot {
		q.boot = report.BootID
		q.backlog.Reset()
		q.busyUntil = time.Time{}
	}
	if q.prefill.initFromReport(report.PrefillTokensPerSecond) && q.fair.Len() == 0 && q.fair.Running() == 0 {
		settings := fairqueue.DefaultSettings()
		settings.InitialTokensPerSecond = report.PrefillTokensPerSecond
		q.fair = fairqueue.New(settings, q.limiter.Limit())
	}
	q.backlog.OnReport(int64(report.QueuedPrefillTokens), observation.ReceivedAt)
	q.limiter.OnReport(report.Waiting, observation.ReceivedAt)
}

// waitEstimate is the estimated wait of a new prompt.
type waitEstimate struct {
	wait             time.Duration
	prefillPerKtoken time.Duration
	queued           int
}

// estimateWait estimates the wait of a new prompt before its own prefill starts.
func (q *promptQueue) estimateWait(account string, weight float64, cost int64, now time.Time) waitEstimate {
	q.mu.Lock()
	defer q.mu.Unlock()
	request := fairqueue.Request{Account: account, Weight: weight, Cost: cost}
	return waitEstimate{
		wait:             q.fair.ExpectedWait(request, now) + q.backlogTimeLocked(now),
		prefillPerKtoken: q.prefill.duration(tokensPerKtoken),
		queued:           q.fair.Len() + q.fair.Running(),
	}
}

// backlogTimeLocked returns the estimated prefill time left inside the engine. The
// backlog counts all tokens of a prompt until its first token, so busyUntil is used
// to subtract the time since its start. The caller holds the mutex.
func (q *promptQueue) backlogTimeLocked(now time.Time) time.Duration {
	return max(0, min(q.prefill.duration(q.backlog.Tokens()), q.busyUntil.Sub(now)))
}
