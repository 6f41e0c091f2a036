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
	freeLimit = 300 * time.Millisecond
	// freeSettle is how long the other processes need to learn that an engine
	// is kept free.
	freeSettle = 40 * time.Millisecond
	// initialLoad is the expected time of a change until one has been seen.
	initialLoad = 250 * time.Millisecond
	// checkPause is the time between checks of a change that takes longer.
	checkPause = 60 * time.Millisecond
	// lostPause is when to order again after an order without an answer, and
	// maxLostPause when at the latest: after the second such order in a row the
	// pause doubles with each.
	lostPause    = 50 * time.Millisecond
	maxLostPause = 800 * time.Millisecond
	// maxDoublings keeps the pause within its type.
	maxDoublings = 8
	// conflictPause is when to order again after a conflict.
	conflictPause = 150 * time.Millisecond
	// maxConflicts in a row make the planner read the count of orders again.
	maxConflicts = 3
	// loadWeight is the weight of a new sample in the mean time of a change.
	loadWeight = 0.2
	// shorten is the part by which the expected time shrinks when it was enough.
	shorten = 0.03
	// maxLoad is the longest time of a change that counts as a sample.
	maxLoad = 2 * time.Second
	// runsLimit is how long after an order the requests counted at the engine
	// are taken for those that its change waits for.
	runsLimit = time.Second
	// urgentShare is the part of the deadline, one in so many, after which an
	// engine changes under its runs.
	urgentShare = 2
	// awayWaves is how many times the engines that load at once may be away for
	// their change, those that still run requests included.
	awayWaves = 2
)

// Engine is one engine as its orders see it.
type Engine struct {
	Boot fleet.Boot
	// Version is the weights version that it is believed to have, and Behind
	// how long it has been out of date.
	Version   int64
	Staleness time.Duration
	// InFlight and Unstarted count the requests there, over all processes.
	InFlight int
	Pending  int
}

// StepKind is what a step does.
type StepKind int

// Kinds of steps.
const (
	// Cordon keeps new requests from an engine.
	Cordon StepKind = iota
	// CountOrders reads how many orders the engine has accepted.
	CountOrders
	// SendOrder sends the order; sent again it tells whether the change is over.
	SendOrder
)

// Step is one thing to do now.
type Step struct {
	Kind    StepKind
	Boot    fleet.Boot
	Version int64
	// ExpectedOrders is the number of accepted orders that the engine must have.
	ExpectedOrders int64
	// Retain says that the change doesn't wait for the engine's runs to end.
	Retain bool
}

// Reply is an engine's answer to an order.
type Reply int

// Replies.
const (
	// Accepted: the engine changes its weights now.
	Accepted Reply = iota
	// UpToDate: the engine has the weights.
	UpToDate
	// Conflict: another order is under way, or the count of orders differs.
	Conflict
	// Fenced: a newer holder has given orders.
	Fenced
	// Invalid: the engine doesn't take this order.
	Invalid
	// NoReply: there was no answer; the order may be carried out later.
	NoReply
)

type phase int

const (
	idle phase = iota
	free
	// sending: the first order is on its way.
	sending
	loading
	// checking: the order is on its way again.
	checking
)

// progress is one engine's change.
type progress struct {
	phase   phase
	version int64
	// retain says that the order doesn't wait for runs.
	retain bool
	since  time.Duration
	// acceptedAt is when the engine took the order.
	acceptedAt time.Duration
	nextAt     time.Duration
	// orders is the number of accepted orders, once it is known.
	orders  int64
	known   bool
	countAt time.Duration
	// conflicts counts those in a row, checks those of the change under way.
	conflicts int
	checks    int
	// unanswered counts the calls in a row that this engine didn't answer.
	unanswered int
}

// Planner plans the changes of one model's engines. It is not safe for
// concurrent use.
type Planner struct {
	engines map[fleet.Boot]*progress
	// deadline is how long an engine may be out of date.
	deadline time.Duration
	// load is the running mean of a change's time.
	load time.Duration
}

// NewPlanner returns a Planner that knows of no change. deadline is how long an
// engine may be out of date.
func NewPlanner(deadline time.Duration) *Planner {
	return &Planner{engines: map[fleet.Boot]*progress{}, deadline: deadline, load: initialLoad}
}

// ExpectedLoadTime is the expected time of a change.
func (p *Planner) ExpectedLoadTime() time.Duration { return p.load }

// Plan returns the steps that are due for the engines to reach a version.
func (p *Planner) Plan(now time.Duration, version int64, engines []Engine) []Step {
	p.forget(engines)
	atOnce := (p.answering(engines) + loadingDivisor - 1) / loadingDivisor
	behind, away, busy := p.sort(now, version, engines)
	slices.SortStableFunc(behind, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.InFlight, b.InFlight))
	})
	var steps []Step
	for _, e := range behind {
		if away >= awayWaves*atOnce && !p.urgent(e) {
			break
		}
		away++
		state := p.state(e)
		state.phase, state.since = free, now
		steps = append(steps, Step{Kind: Cordon, Boot: e.Boot, Version: version})
	}
	return append(steps, p.orders(now, version, engines, busy, atOnce)...)
}

// answering counts the engines that answer orders, as far as is known.
func (p *Planner) answering(engines []Engine) int {
	count := 0
	for i := range engines {
		if p.state(&engines[i]).unanswered <= 1 {
			count++
		}
	}
	return count
}

// sort returns the engines whose change has not begun, the number of those that
// are away for theirs, and of those the number that load now.
func (p *Planner) sort(now time.Duration, version int64, engines []Engine) (behind []*Engine, away, busy int) {
	for i := range engines {
		e := &engines[i]
		state := p.state(e)
		if e.Version >= version && state.phase <= loading && state.phase != sending {
			state.phase = idle
			continue
		}
		switch {
		case state.phase == idle && state.unanswered > 0 && now < state.nextAt:
			continue
		case state.phase == idle:
			behind = append(behind, e)
			continue
		case state.phase == loading && e.InFlight > 0 && !state.retain && now-state.acceptedAt < runsLimit:
			// The load begins once the requests there have ended.
			state.since, state.nextAt = now, now+p.load
		case state.phase >= sending && (state.retain || e.InFlight == 0):
			busy++
		}
		away++
	}
	return behind, away, busy
}

// orders returns the orders that are due: first ones for engines that are free,
// and repeated ones for those whose change should be over.
func (p *Planner) orders(now time.Duration, version int64, engines []Engine, busy, atOnce int) []Step {
	var steps []Step
	for i := range engines {
		e := &engines[i]
		state := p.state(e)
		if !state.known {
			if state.phase != idle && now >= state.countAt {
				state.countAt = now + conflictPause
				steps = append(steps, Step{Kind: CountOrders, Boot: e.Boot})
			}
			continue
		}
		switch {
		case state.phase == free && busy < atOnce && now >= state.nextAt && settled(now, e, state):
			busy++
			state.version, state.since = version, now
			state.phase = sending
			state.retain = p.urgent(e)
			steps = append(steps, p.order(e, state))
		case state.phase == loading && now >= state.nextAt:
			state.phase = checking
			steps = append(steps, p.order(e, state))
		}
	}
	return steps
}

// urgent says whether an engine's change can't wait for its runs any more.
func (p *Planner) urgent(e *Engine) bool {
	return e.Staleness >= p.deadline/urgentShare
}

// settled says whether no request waits at an engine that is kept free; those
// that run may end during the order.
func settled(now time.Duration, e *Engine, state *progress) bool {
	age := now - state.since
	return age >= freeLimit || (age >= freeSettle && e.Pending == 0)
}

func (p *Planner) order(e *Engine, state *progress) Step {
	return Step{Kind: SendOrder, Boot: e.Boot, Version: state.version, ExpectedOrders: state.orders, Retain: state.retain}
}

// HandleReply takes an engine's answer to an order. It says whether the engine now
// has the version.
func (p *Planner) HandleReply(now time.Duration, step Step, reply Reply) (done bool) {
	state, ok := p.engines[step.Boot]
	if !ok || (state.phase != sending && state.phase != checking) {
		return false
	}
	first := state.phase == sending
	if reply != NoReply && reply != Invalid {
		state.unanswered = 0
	}
	switch reply {
	case Accepted:
		p.accepted(now, state, first)
	case UpToDate:
		p.measured(now, state, first)
		state.phase, state.nextAt = idle, now
		return true
	case Conflict:
		p.conflicted(now, state, first)
	case NoReply, Invalid:
		unanswered(now, state)
	default:
		state.phase, state.nextAt = free, now+conflictPause
	}
	return false
}

// unanswered notes that an engine didn't answer a call, or that another one
// answers at its address. After the second time in a row it waits for its next
// call without a place among the engines that may be away.
func unanswered(now time.Duration, state *progress) {
	state.unanswered++
	state.phase, state.nextAt = free, now+lostPause
	if state.unanswered == 1 {
		state.countAt = state.nextAt
		return
	}
	state.phase = idle
	state.nextAt = now + min(maxLostPause, lostPause<<min(state.unanswered, maxDoublings))
	state.countAt = state.nextAt
}

// accepted notes that a change is under way. An engine counts an order that is
// sent again during its change only once.
func (p *Planner) accepted(now time.Duration, state *progress, first bool) {
	state.phase, state.conflicts = loading, 0
	if !first {
		state.checks++
		state.nextAt = now + checkPause
		return
	}
	state.orders++
	state.checks = 0
	state.acceptedAt = now
	state.since, state.nextAt = now, now+p.load
}

// Changing returns the engines that are kept free and those that were ordered.
func (p *Planner) Changing() (freed, ordered []fleet.Boot) {
	for boot, state := range p.engines {
		switch {
		case state.phase == free:
			freed = append(freed, boot)
		case state.phase > free:
			ordered = append(ordered, boot)
		}
	}
	return freed, ordered
}

// measured adapts the expected time of a change: down a little when the first
// check found it over, and otherwise towards the time that it took.
func (p *Planner) measured(now time.Duration, state *progress, first bool) {
	took := now - state.since
	switch {
	case first || took > maxLoad:
	case state.checks == 0:
		p.load -= time.Duration(shorten * float64(p.load))
	default:
		p.load += time.Duration(loadWeight * float64(took-p.load))
	}
}

// conflicted notes an answer that fits no order of this planner; after a few
// the count of orders is read again.
func (p *Planner) conflicted(now time.Duration, state *progress, first bool) {
	state.conflicts++
	state.phase, state.nextAt = loading, now+checkPause
	if first {
		state.phase, state.nextAt = free, now+checkPause
	}
	if state.conflicts >= maxConflicts {
		state.known, state.countAt, state.conflicts = false, now, 0
		state.phase = free
	}
}

// HandleCountFailure notes that an engine didn't tell its count of orders.
func (p *Planner) HandleCountFailure(now time.Duration, boot fleet.Boot) {
	if state, ok := p.engines[boot]; ok {
		unanswered(now, state)
	}
}

// HandleCount takes an engine's own count of accepted orders, as read from it.
func (p *Planner) HandleCount(boot fleet.Boot, orders int64) {
	if state, ok := p.engines[boot]; ok {
		state.orders, state.known, state.unanswered = orders, true, 0
	}
}

func (p *Planner) state(e *Engine) *progress {
	state, ok := p.engines[e.Boot]
	if !ok {
		state = &progress{}
		p.engines[e.Boot] = state
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
