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
	// maxBacklogTime is the prefill that may stand inside the engine; further
	// requests wait in the queue, where the order is fair and where a prefix
	// that is being computed is found when their turn comes.
	maxBacklogTime = 50 * time.Millisecond
	// minRunning keeps a batch at the engine: its decode steps cost the same for
	// a few requests as for one.
	minRunning = 8
	// initialRunning starts the adaptive limit.
	initialRunning = 16
	// pumpPeriod is the time between looks for requests whose deadline passed.
	pumpPeriod = 20 * time.Millisecond
)

// gate is the queue in front of an engine with the estimates that it needs.
// Its mutex makes it the one owner of the pure state machines in it.
type gate struct {
	view *cacheview.View
	log  *eventlog.Logger

	mu      sync.Mutex
	queue   *fairqueue.Queue
	backlog *fairqueue.Backlog
	limiter *fairqueue.Limiter
	prefill *prefillMeter
	waiters map[string]*waiter
	boot    uint64
	// busyUntil is when the engine will have computed what it was given.
	busyUntil time.Time
}

// waiter is one prompt between push and the end of its run.
type waiter struct {
	request *peerpb.DispatchRequest
	// result takes the outcome of the wait: nil for a turn at the engine.
	result chan *outcome.Refusal
	pass   *pass
}

func newGate(view *cacheview.View, log *eventlog.Logger, now time.Time) *gate {
	settings := fairqueue.DefaultLimiterSettings()
	settings.Min, settings.Initial = minRunning, initialRunning
	limiter := fairqueue.NewLimiter(settings, now)
	return &gate{
		view:    view,
		log:     log,
		queue:   fairqueue.New(fairqueue.DefaultSettings(), limiter.Limit()),
		backlog: fairqueue.NewBacklog(),
		limiter: limiter,
		prefill: newPrefillMeter(),
		waiters: make(map[string]*waiter),
	}
}

// enter waits for a prompt's turn at the engine. Every pass has to be left.
func (g *gate) enter(ctx context.Context, req *peerpb.DispatchRequest, weight float64) (*pass, *outcome.Refusal) {
	id := engineRequestID(req)
	w := &waiter{request: req, result: make(chan *outcome.Refusal, 1)}
	if refusal := g.push(id, w, weight, time.Now()); refusal != nil {
		g.log.Log(eventlog.QueueRefused, "request_id", req.RequestId, "attempt", req.Attempt, "account", req.Account,
			"code", refusal.Code, "retry_after_ms", refusal.RetryAfter.Milliseconds(), "message", refusal.Message)
		return nil, refusal
	}
	select {
	case refusal := <-w.result:
		return g.turn(w, refusal)
	case <-ctx.Done():
	}
	if g.withdraw(id) {
		return nil, outcome.NotRun(outcome.CodeCancelled, "the caller left")
	}
	return g.turn(w, <-w.result)
}

func (g *gate) turn(w *waiter, refusal *outcome.Refusal) (*pass, *outcome.Refusal) {
	if refusal == nil {
		return w.pass, nil
	}
	g.log.Log(eventlog.QueueExpired, "request_id", w.request.RequestId, "attempt", w.request.Attempt,
		"account", w.request.Account, "code", refusal.Code,
		"retry_after_ms", refusal.RetryAfter.Milliseconds(), "message", refusal.Message)
	return nil, refusal
}

// push queues a prompt and lets the next ones go.
func (g *gate) push(id string, w *waiter, weight float64, now time.Time) *outcome.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	displaced, refusal := g.queue.Push(g.queued(id, w.request, weight, now), now)
	g.refuse(displaced)
	if refusal != nil {
		return refusal
	}
	g.waiters[id] = w
	g.pump(now)
	return nil
}

func (g *gate) queued(id string, req *peerpb.DispatchRequest, weight float64, now time.Time) fairqueue.Request {
	queued := fairqueue.Request{
		ID:       id,
		Account:  req.Account,
		Weight:   weight,
		Priority: int(req.Priority),
		Cost:     g.uncached(req, now) + int64(req.MaxTokens) - int64(req.AnswerPrefixTokens),
	}
	if req.FirstTokenTimeoutMs > 0 {
		queued.Deadline = now.Add(time.Duration(req.FirstTokenTimeoutMs) * time.Millisecond)
	}
	return queued
}

// uncached estimates the prompt tokens that the engine has to compute.
func (g *gate) uncached(req *peerpb.DispatchRequest, now time.Time) int64 {
	cached := int64(g.view.ExpectedPrefix(now, req.BlockHashes, req.WeightsVersion)) * int64(req.BlockTokens)
	return max(1, int64(req.PromptTokens)+int64(req.AnswerPrefixTokens)-cached)
}

// withdraw takes out a waiting prompt whose caller left.
func (g *gate) withdraw(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Remove(id) {
		return false
	}
	delete(g.waiters, id)
	return true
}

// refuse answers prompts that the queue has given up.
func (g *gate) refuse(refused []fairqueue.RefusedRequest) {
	for _, r := range refused {
		g.waiters[r.ID].result <- r.Refusal
		delete(g.waiters, r.ID)
	}
}

// pump starts the prompts whose turn it is. The caller holds the mutex.
func (g *gate) pump(now time.Time) {
	g.queue.SetLimit(g.limiter.Update(g.queue.Running(), g.queue.Len(), now))
	for {
		g.queue.SetPaused(g.backlog.Full(g.prefill.tokensIn(maxBacklogTime)))
		next, ok, expired := g.queue.Pop(now)
		g.refuse(expired)
		if !ok {
			return
		}
		g.start(next, now)
	}
}

// start gives a popped prompt its pass.
func (g *gate) start(next fairqueue.Request, now time.Time) {
	w := g.waiters[next.ID]
	delete(g.waiters, next.ID)
	uncached := g.uncached(w.request, now)
	w.pass = &pass{
		gate: g, id: next.ID, request: w.request, startedAt: now,
		uncached: uncached, ahead: g.backlog.Tokens(),
		mark: g.view.RecordDispatch(now, w.request.BlockHashes, w.request.WeightsVersion),
	}
	g.backlog.OnDispatch(next.ID, uncached, now)
	if g.busyUntil.Before(now) {
		g.busyUntil = now
	}
	g.busyUntil = g.busyUntil.Add(g.prefill.duration(uncached))
	w.result <- nil
}

// run looks for expired prompts and takes load reports in until ctx ends.
func (g *gate) run(ctx context.Context, latest func() (cacheview.Observation, bool)) {
	ticker := time.NewTicker(pumpPeriod)
	defer ticker.Stop()
	var seen time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			observation, ok := latest()
			g.tick(observation, ok && observation.ReceivedAt.After(seen), now)
			seen = observation.ReceivedAt
		}
	}
}

func (g *gate) tick(observation cacheview.Observation, fresh bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fresh {
		g.report(observation)
	}
	g.pump(now)
}

// report takes in a load report.
func (g *gate) report(observation cacheview.Observation) {
	report := &observation.Report
	if report.Boot != g.boot {
		g.boot = report.Boot
		g.backlog.Reset()
		g.busyUntil = time.Time{}
	}
	if g.prefill.begin(report.PrefillTokensPerSecond) && g.queue.Len() == 0 && g.queue.Running() == 0 {
		settings := fairqueue.DefaultSettings()
		settings.InitialTokensPerSecond = report.PrefillTokensPerSecond
		g.queue = fairqueue.New(settings, g.limiter.Limit())
	}
	g.backlog.OnReport(int64(report.QueuedPrefillTokens), observation.ReceivedAt)
	g.limiter.OnReport(report.Waiting, observation.ReceivedAt)
}

// outlook is what a new prompt would meet here.
type outlook struct {
	wait      time.Duration
	perKtoken time.Duration
	queued    int
}

// expect foretells a new prompt's wait before its own prefill.
func (g *gate) expect(account string, weight float64, cost int64, now time.Time) outlook {
	g.mu.Lock()
	defer g.mu.Unlock()
	request := fairqueue.Request{Account: account, Weight: weight, Cost: cost}
	return outlook{
		wait:      g.queue.ExpectedWait(request, now) + g.backlogTime(now),
		perKtoken: g.prefill.duration(tokensPerKtoken),
		queued:    g.queue.Len() + g.queue.Running(),
	}
}

// backlogTime is the prefill time left inside the engine. The backlog counts a
// prompt whole until its first token; the time since its start is taken off.
func (g *gate) backlogTime(now time.Time) time.Duration {
	return max(0, min(g.prefill.duration(g.backlog.Tokens()), g.busyUntil.Sub(now)))
}
