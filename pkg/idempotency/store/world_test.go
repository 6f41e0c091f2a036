package store

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// targetFault is the target's behaviour for the next call.
type targetFault int

const (
	targetOK targetFault = iota
	targetRefuses
	targetAnswerLost
	targetSlow
)

// simulation simulates agents that own a slot in turn. It records executions and
// replies, and reports violations of at-most-once execution.
type simulation struct {
	mu              sync.Mutex
	kvStore         *memKV
	lastEpoch       uint64
	lastCallID      int
	executions      map[string]int
	executedCalls   map[int]bool
	notRunCalls     map[int]bool
	firstAnswer     map[string]string
	violation       string
	kvFaults        []kvFault
	outage          bool
	nextTargetFault targetFault
	replyCounts     map[string]int
	agents          []*agent
	background      sync.WaitGroup
	skipIntent      bool
}

// agent simulates one process. It blocks while it is paused and has no effect
// once it has crashed.
type agent struct {
	sim       *simulation
	paused    chan struct{}
	crashed   bool
	holdsSlot bool
	slot      *Slot
	epoch     uint64
	ctx       context.Context
	cancel    context.CancelFunc
}

func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// waitWhilePaused blocks while the agent is paused. It returns false if the agent
// has crashed.
func (a *agent) waitWhilePaused() bool {
	a.sim.mu.Lock()
	paused := a.paused
	a.sim.mu.Unlock()
	if paused != nil {
		<-paused
	}
	a.sim.mu.Lock()
	defer a.sim.mu.Unlock()
	return !a.crashed
}

// agentKV is an agent's client of the key-value service.
type agentKV struct {
	kv.Store
	agent *agent
}

func (k agentKV) Get(ctx context.Context, key string) (kv.Entry, error) {
	if !k.agent.waitWhilePaused() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	entry, err := k.agent.sim.kvStore.Get(ctx, key)
	k.agent.waitWhilePaused()
	return entry, err
}

func (k agentKV) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if !k.agent.waitWhilePaused() {
		return 0, kv.ErrUnavailable
	}
	revision, err := k.agent.sim.kvStore.CompareAndSwap(ctx, put)
	k.agent.waitWhilePaused()
	return revision, err
}

func (k agentKV) Delete(ctx context.Context, key string, expect uint64) error {
	if !k.agent.waitWhilePaused() {
		return kv.ErrUnavailable
	}
	return k.agent.sim.kvStore.Delete(ctx, key, expect)
}

// Holds returns the ownership that the test has set, which may be wrong.
func (a *agent) Holds(uint32, time.Time) (uint64, bool) {
	a.waitWhilePaused()
	a.sim.mu.Lock()
	defer a.sim.mu.Unlock()
	return a.epoch, a.holdsSlot
}

// noIntentLog does not write intents. It is a deliberate fault that the test
// must detect.
type noIntentLog struct{ recordLog }

func (noIntentLog) Append(context.Context, idempotency.Record) error { return nil }

// takeOver makes the agent the slot's owner under a new epoch.
func (a *agent) takeOver(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	a.sim.mu.Lock()
	if a.cancel != nil {
		a.cancel()
	}
	a.sim.lastEpoch++
	epoch := a.sim.lastEpoch
	a.ctx, a.cancel = ctx, cancel
	a.sim.mu.Unlock()
	a.sim.background.Go(func() {
		options := Options{Slot: 7, Epoch: epoch, OwnerID: seed, Random: rand.New(rand.NewPCG(seed, epoch)),
			Now: time.Now, Events: eventlog.Discard()}
		slot, log, err := OpenSlot(ctx, agentKV{agent: a}, a, idempotency.DefaultLimits(), options)
		if err != nil {
			return
		}
		if a.sim.skipIntent {
			slot.log = noIntentLog{log}
		}
		a.sim.mu.Lock()
		if a.ctx == ctx {
			a.slot, a.epoch = slot, epoch
		}
		a.sim.mu.Unlock()
		_ = log.Run(ctx)
	})
}

// call starts one call in the background and checks its reply.
func (a *agent) call(key, body string, timeout time.Duration) {
	a.sim.mu.Lock()
	slot := a.slot
	a.sim.lastCallID++
	id := a.sim.lastCallID
	a.sim.mu.Unlock()
	if slot == nil {
		return
	}
	a.sim.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		request := Call{Account: "coop", Route: "bids", IdempotencyKey: key, Window: 24 * time.Hour, Timeout: 30 * time.Second,
			RequestHash: idempotency.RequestHash("POST", "/bids", []byte(body))}
		reply := slot.Execute(ctx, request, func(context.Context) (idempotency.Answer, outcome.Ran, error) {
			return a.send(id, key)
		})
		if a.waitWhilePaused() {
			a.sim.checkReply(id, key, reply)
		}
	})
}

// send simulates the target. The agent may pause or crash before and after the
// call runs.
func (a *agent) send(id int, key string) (idempotency.Answer, outcome.Ran, error) {
	if !a.waitWhilePaused() {
		return idempotency.Answer{}, outcome.RanUnknown, errors.New("agent has crashed")
	}
	a.sim.mu.Lock()
	fault := a.sim.nextTargetFault
	a.sim.nextTargetFault = targetOK
	if fault == targetRefuses {
		a.sim.mu.Unlock()
		return idempotency.Answer{}, outcome.RanNo, outcome.NotRun(outcome.CodeLeaving, "leaving")
	}
	a.sim.executions[key]++
	a.sim.executedCalls[id] = true
	if a.sim.executions[key] > 1 {
		a.sim.reportViolation("key %s ran %d times", key, a.sim.executions[key])
	}
	if a.sim.notRunCalls[id] {
		a.sim.reportViolation("call %d ran after it was reported as not run", id)
	}
	a.sim.mu.Unlock()
	if fault == targetSlow {
		time.Sleep(3 * time.Second)
	}
	a.waitWhilePaused()
	if fault == targetAnswerLost {
		return idempotency.Answer{}, outcome.RanUnknown, errors.New("answer was lost")
	}
	// The body is long enough for a few answers to fill a segment.
	body := fmt.Sprintf("answer to call %1500d", id)
	return idempotency.Answer{Status: 200, Body: []byte(body)}, outcome.RanYes, nil
}

// checkReply checks a reply against the recorded executions and replies.
func (s *simulation) checkReply(id int, key string, reply Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Refusal != nil {
		s.replyCounts[string(reply.Refusal.Code)]++
		if reply.Refusal.Ran != outcome.RanNo {
			return
		}
		s.notRunCalls[id] = true
		if s.executedCalls[id] {
			s.reportViolation("call %d was reported as not run but had run", id)
		}
		return
	}
	s.replyCounts["answer"]++
	if reply.Replayed {
		s.replyCounts["replay"]++
	}
	body := string(reply.Answer.Body)
	if s.firstAnswer[key] == "" {
		s.firstAnswer[key] = body
	}
	if s.firstAnswer[key] != body {
		s.reportViolation("key %s was answered %q after %q", key, body, s.firstAnswer[key])
	}
}

func newSimulation(skipIntent bool) *simulation {
	s := &simulation{kvStore: newMemKV(), executions: map[string]int{}, executedCalls: map[int]bool{}, notRunCalls: map[int]bool{},
		firstAnswer: map[string]string{}, replyCounts: map[string]int{}, skipIntent: skipIntent}
	s.kvStore.nextFault = func(bool) kvFault {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.outage {
			return kvRequestLost
		}
		if len(s.kvFaults) == 0 {
			return kvOK
		}
		fault := s.kvFaults[0]
		s.kvFaults = s.kvFaults[1:]
		return fault
	}
	for range 3 {
		s.startAgent(len(s.agents))
	}
	return s
}

// startAgent replaces agent i by a new process, or adds one.
func (s *simulation) startAgent(i int) {
	a := &agent{sim: s, holdsSlot: true}
	if i == len(s.agents) {
		s.agents = append(s.agents, a)
	}
	s.agents[i] = a
}

// crash ends a process abruptly.
func (a *agent) crash() {
	a.sim.mu.Lock()
	a.crashed = true
	a.sim.mu.Unlock()
	a.resume()
	if a.cancel != nil {
		a.cancel()
	}
}

func (a *agent) resume() {
	a.sim.mu.Lock()
	defer a.sim.mu.Unlock()
	if a.paused != nil {
		close(a.paused)
		a.paused = nil
	}
}

func (s *simulation) stop() {
	for _, a := range s.agents {
		a.crash()
	}
	s.background.Wait()
	s.kvStore.delayed.Wait()
}

// newestOwner returns the agent with the highest epoch.
func (s *simulation) newestOwner() *agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.MaxFunc(s.agents, func(a, b *agent) int { return cmp.Compare(a.epoch, b.epoch) })
}

func (s *simulation) drawAgent(t *rapid.T) *agent {
	return s.agents[rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")]
}
