// Package rollout plans how the engines of a model change to newly named
// weights: a few at a time, each after the requests that it runs have ended. It
// sends nothing; its caller carries out the steps and reports their results.
// Times are offsets on the process's monotonic clock.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// loadingDivisor is the share of the engines that load at once, one in so many.
	loadingDivisor = 6
	// freeLimit is the longest time that an engine waits for its requests to
	// end before it is ordered.
	freeLimit = 400 * time.Millisecond
	// freeSettle is how long the other processes need to learn that an engine
	// is kept free.
	freeSettle = 40 * time.Millisecond
	// initialLoad is the expected time of a change until one has been seen.
	initialLoad = 250 * time.Millisecond
	// checkPause is the time between checks of a change that takes longer.
	checkPause = 40 * time.Millisecond
	// lostPause is when to order again after an order without an answer.
	lostPause = 50 * time.Millisecond
	// conflictPause is when to order again after a conflict.
	conflictPause = 150 * time.Millisecond
	loadWeight    = 0.2
)

// Engine is one engine as its orders see it.
type Engine struct {
	Boot fleet.Boot
	// Version is the weights version that it is believed to have.
	Version int64
	// Orders is the number of orders that it says it has accepted.
	Orders int64
	// Running and Unstarted count the requests there, over all processes.
	Running   int
	Unstarted int
}

// Kind is what a step does.
type Kind int

// Kinds of steps.
const (
	// Free keeps new requests from an engine.
	Free Kind = iota
	// Order sends the order; sent again it tells whether the change is over.
	Order
)

// Step is one thing to do now.
type Step struct {
	Kind    Kind
	Boot    fleet.Boot
	Version int64
	// Expected is the number of accepted orders that the engine must have.
	Expected int64
}

// Reply is an engine's answer to an order.
type Reply int

// Replies.
const (
	// Accepted: the engine changes its weights now.
	Accepted Reply = iota
	// Holds: the engine has the weights.
	Holds
	// Conflict: another order is under way, or the count of orders differs.
	Conflict
	// Fenced: a newer holder has given orders.
	Fenced
	// Invalid: the engine doesn't take this order.
	Invalid
	// Lost: there was no answer; the order may be carried out later.
	Lost
)

type phase int

const (
	idle phase = iota
	free
	sending
	loading
)

// progress is one engine's change.
type progress struct {
	phase   phase
	version int64
	since   time.Duration
	nextAt  time.Duration
	orders  int64
	known   bool
}

// Planner plans the changes of one model's engines. It is not safe for
// concurrent use.
type Planner struct {
	engines map[fleet.Boot]*progress
	// load is the running mean of a change's time.
	load time.Duration
}

// NewPlanner returns a Planner that knows of no change.
func NewPlanner() *Planner {
	return &Planner{engines: map[fleet.Boot]*progress{}, load: initialLoad}
}

// ExpectedLoad is the expected time of a change.
func (p *Planner) ExpectedLoad() time.Duration { return p.load }

// Plan returns the steps that are due for the engines to reach a version.
func (p *Planner) Plan(now time.Duration, version int64, engines []Engine) []Step {
	p.forget(engines)
	atOnce := (len(engines) + loadingDivisor - 1) / loadingDivisor
	var behind []*Engine
	busy, waiting := 0, 0
	for i := range engines {
		e := &engines[i]
		state := p.state(e)
		if e.Version >= version && state.phase <= free {
			state.phase = idle
			continue
		}
		switch state.phase {
		case idle:
			behind = append(behind, e)
		case free:
			waiting++
		default:
			busy++
		}
	}
	slices.SortStableFunc(behind, func(a, b *Engine) int { return cmp.Compare(a.Running, b.Running) })
	var steps []Step
	for _, e := range behind {
		if waiting >= atOnce {
			break
		}
		waiting++
		state := p.state(e)
		state.phase, state.since = free, now
		steps = append(steps, Step{Kind: Free, Boot: e.Boot, Version: version})
	}
	return append(steps, p.orders(now, version, engines, busy, atOnce)...)
}

// orders returns the orders that are due: first ones for engines that are free,
// and repeated ones for those whose change should be over.
func (p *Planner) orders(now time.Duration, version int64, engines []Engine, busy, atOnce int) []Step {
	var steps []Step
	for i := range engines {
		e := &engines[i]
		state := p.state(e)
		switch {
		case state.phase == free && busy < atOnce && now >= state.nextAt && emptied(now, e, state):
			busy++
			state.version = version
			steps = append(steps, p.order(now, e, state))
		case state.phase == loading && now >= state.nextAt:
			steps = append(steps, p.order(now, e, state))
		}
	}
	return steps
}

func emptied(now time.Duration, e *Engine, state *progress) bool {
	age := now - state.since
	return age >= freeLimit || (age >= freeSettle && e.Running == 0)
}

func (p *Planner) order(now time.Duration, e *Engine, state *progress) Step {
	if state.phase != loading {
		state.since = now
	}
	state.phase = sending
	return Step{Kind: Order, Boot: e.Boot, Version: state.version, Expected: state.orders}
}

// Replied takes an engine's answer to an order. It says whether the engine now
// has the version.
func (p *Planner) Replied(now time.Duration, step Step, reply Reply) (done bool) {
	state, ok := p.engines[step.Boot]
	if !ok || state.phase != sending {
		return false
	}
	switch reply {
	case Accepted:
		state.phase, state.since, state.nextAt = loading, now, now+p.load
		state.orders++
	case Holds:
		if state.since != 0 && now-state.since < 2*time.Second {
			p.load += time.Duration(loadWeight * float64(now-state.since-p.load))
		}
		state.phase, state.nextAt = idle, now
		return true
	case Conflict:
		state.phase, state.nextAt = loading, now+checkPause
	case Lost:
		state.phase, state.nextAt = free, now+lostPause
	default:
		state.phase, state.nextAt = free, now+conflictPause
	}
	return false
}

// Counted takes an engine's own count of accepted orders, as read from it.
func (p *Planner) Counted(boot fleet.Boot, orders int64) {
	if state, ok := p.engines[boot]; ok {
		state.orders, state.known = orders, true
	}
}

func (p *Planner) state(e *Engine) *progress {
	state, ok := p.engines[e.Boot]
	if !ok {
		state = &progress{}
		p.engines[e.Boot] = state
	}
	if !state.known || e.Orders > state.orders {
		state.orders, state.known = e.Orders, true
	}
	return state
}

func (p *Planner) forget(engines []Engine) {
	listed := make(map[fleet.Boot]bool, len(engines))
	for i := range engines {
		listed[engines[i].Boot] = true
	}
	for boot := range p.engines {
		if !listed[boot] {
			delete(p.engines, boot)
		}
	}
}

var replyNames = [...]string{"accepted", "holds", "conflict", "fenced", "invalid", "lost"}

// String names the reply as the log does.
func (r Reply) String() string { return replyNames[r] }
