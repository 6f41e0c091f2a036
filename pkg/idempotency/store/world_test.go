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

// targetFault is what a target does with the next call.
type targetFault int

const (
	targetAnswers targetFault = iota
	targetRefuses
	targetAnswerLost
	targetSlow
)

// world is the oracle: it counts executions and remembers what callers heard.
type world struct {
	mu         sync.Mutex
	service    *memKV
	epoch      uint64
	nextCall   int
	executions map[string]int
	byCall     map[int]bool
	notRun     map[int]bool
	first      map[string]string
	violation  string
	kvFaults   []kvFault
	outage     bool
	target     targetFault
	replies    map[string]int
	agents     []*agent
	calls      sync.WaitGroup
	skipIntent bool
}

// agent is one process; it stops at its gate while it is paused and has no
// effect on anything once it is dead.
type agent struct {
	w      *world
	gate   chan struct{}
	dead   bool
	guard  bool
	slot   *Slot
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// pass waits while the agent is paused and says whether it still lives.
func (a *agent) pass() bool {
	a.w.mu.Lock()
	gate := a.gate
	a.w.mu.Unlock()
	if gate != nil {
		<-gate
	}
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	return !a.dead
}

// agentKV is the service as an agent sees it.
type agentKV struct {
	kv.Store
	a *agent
}

func (k agentKV) Get(ctx context.Context, key string) (kv.Entry, error) {
	if !k.a.pass() {
		return kv.Entry{}, kv.ErrUnavailable
	}
	entry, err := k.a.w.service.Get(ctx, key)
	k.a.pass()
	return entry, err
}

func (k agentKV) CompareAndSwap(ctx context.Context, put kv.Put) (uint64, error) {
	if !k.a.pass() {
		return 0, kv.ErrUnavailable
	}
	revision, err := k.a.w.service.CompareAndSwap(ctx, put)
	k.a.pass()
	return revision, err
}

func (k agentKV) Delete(ctx context.Context, key string, expect uint64) error {
	if !k.a.pass() {
		return kv.ErrUnavailable
	}
	return k.a.w.service.Delete(ctx, key, expect)
}

// Holds believes what the test says, also against the truth.
func (a *agent) Holds(uint32, time.Time) (uint64, bool) {
	a.pass()
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	return a.epoch, a.guard
}

// skippingLog sends without an intent: the mutation that must be found.
type skippingLog struct{ recordLog }

func (skippingLog) Append(context.Context, idempotency.Record) error { return nil }

// open makes the agent the slot's owner under a new epoch.
func (a *agent) open(seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	a.w.mu.Lock()
	if a.cancel != nil {
		a.cancel()
	}
	a.w.epoch++
	epoch := a.w.epoch
	a.ctx, a.cancel = ctx, cancel
	a.w.mu.Unlock()
	a.w.calls.Go(func() {
		options := Options{Slot: 7, Epoch: epoch, OwnerID: seed, Random: rand.New(rand.NewPCG(seed, epoch)),
			Now: time.Now, Events: eventlog.Discard()}
		slot, log, err := OpenSlot(ctx, agentKV{a: a}, a, idempotency.DefaultLimits(), options)
		if err != nil {
			return
		}
		if a.w.skipIntent {
			slot.log = skippingLog{log}
		}
		a.w.mu.Lock()
		if a.ctx == ctx {
			a.slot, a.epoch = slot, epoch
		}
		a.w.mu.Unlock()
		_ = log.Run(ctx)
	})
}

// call starts one call in the background and checks its reply.
func (a *agent) call(key, body string, timeout time.Duration) {
	a.w.mu.Lock()
	slot := a.slot
	a.w.nextCall++
	id := a.w.nextCall
	a.w.mu.Unlock()
	if slot == nil {
		return
	}
	a.w.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		request := Call{Account: "coop", Route: "bids", IdempotencyKey: key, Window: 24 * time.Hour, Timeout: 30 * time.Second,
			RequestHash: idempotency.RequestHash("POST", "/bids", []byte(body))}
		reply := slot.Execute(ctx, request, func(context.Context) (idempotency.Answer, outcome.Ran, error) {
			return a.send(id, key)
		})
		if a.pass() {
			a.w.check(id, key, reply)
		}
	})
}

// send is the target; crash and pause points lie before and after it.
func (a *agent) send(id int, key string) (idempotency.Answer, outcome.Ran, error) {
	if !a.pass() {
		return idempotency.Answer{}, outcome.RanUnknown, errors.New("dead")
	}
	a.w.mu.Lock()
	fault := a.w.target
	a.w.target = targetAnswers
	if fault == targetRefuses {
		a.w.mu.Unlock()
		return idempotency.Answer{}, outcome.RanNo, outcome.NotRun(outcome.CodeLeaving, "leaving")
	}
	a.w.executions[key]++
	a.w.byCall[id] = true
	if a.w.executions[key] > 1 {
		a.w.fail("key %s ran %d times", key, a.w.executions[key])
	}
	if a.w.notRun[id] {
		a.w.fail("call %d ran after it was called not run", id)
	}
	a.w.mu.Unlock()
	if fault == targetSlow {
		time.Sleep(3 * time.Second)
	}
	a.pass()
	if fault == targetAnswerLost {
		return idempotency.Answer{}, outcome.RanUnknown, errors.New("lost")
	}
	// Long enough that a few answers fill a segment.
	body := fmt.Sprintf("answer to call %1500d", id)
	return idempotency.Answer{Status: 200, Body: []byte(body)}, outcome.RanYes, nil
}

// check holds a reply against the oracle.
func (w *world) check(id int, key string, reply Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reply.Refusal != nil {
		w.replies[string(reply.Refusal.Code)]++
		if reply.Refusal.Ran != outcome.RanNo {
			return
		}
		w.notRun[id] = true
		if w.byCall[id] {
			w.fail("call %d was called not run and had run", id)
		}
		return
	}
	w.replies["answer"]++
	if reply.Replayed {
		w.replies["replay"]++
	}
	body := string(reply.Answer.Body)
	if w.first[key] == "" {
		w.first[key] = body
	}
	if w.first[key] != body {
		w.fail("key %s was answered %q after %q", key, body, w.first[key])
	}
}

func newWorld(skipIntent bool) *world {
	w := &world{service: newMemKV(), executions: map[string]int{}, byCall: map[int]bool{}, notRun: map[int]bool{},
		first: map[string]string{}, replies: map[string]int{}, skipIntent: skipIntent}
	w.service.fault = func(bool) kvFault {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.outage {
			return kvLostBefore
		}
		if len(w.kvFaults) == 0 {
			return kvOK
		}
		fault := w.kvFaults[0]
		w.kvFaults = w.kvFaults[1:]
		return fault
	}
	for range 3 {
		w.start(len(w.agents))
	}
	return w
}

// start puts a new process in place i.
func (w *world) start(i int) {
	a := &agent{w: w, guard: true}
	if i == len(w.agents) {
		w.agents = append(w.agents, a)
	}
	w.agents[i] = a
}

// kill ends a process without a trace.
func (a *agent) kill() {
	a.w.mu.Lock()
	a.dead = true
	a.w.mu.Unlock()
	a.resume()
	if a.cancel != nil {
		a.cancel()
	}
}

func (a *agent) resume() {
	a.w.mu.Lock()
	defer a.w.mu.Unlock()
	if a.gate != nil {
		close(a.gate)
		a.gate = nil
	}
}

func (w *world) stop() {
	for _, a := range w.agents {
		a.kill()
	}
	w.calls.Wait()
	w.service.late.Wait()
}

// newest returns the agent with the highest epoch.
func (w *world) newest() *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.MaxFunc(w.agents, func(a, b *agent) int { return cmp.Compare(a.epoch, b.epoch) })
}

func (w *world) draw(t *rapid.T) *agent {
	return w.agents[rapid.IntRange(0, len(w.agents)-1).Draw(t, "agent")]
}
