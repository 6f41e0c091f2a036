// Package rollout plans the rolling update of a model's engines to newly
// announced weights. It limits the number of engines that are updated at the
// same time. For each of them it first cordons the engine, so that new requests
// avoid it, and sends a load order once hardly any request is left there. The
// requests that are left continue under the new weights.
//
// The package performs no I/O: its caller executes the steps and reports their
// results. Times are offsets on the process's monotonic clock.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// concurrentLoadDivisor determines how many engines may load weights
	// concurrently: the number of responsive engines divided by
	// concurrentLoadDivisor, rounded up.
	concurrentLoadDivisor = 6
	// maxDrainTime is the longest time to wait for an engine's requests before the
	// load order is sent. A few long requests would otherwise keep the engine idle.
	maxDrainTime = 800 * time.Millisecond
	// maxRunsLeft is the number of requests in flight with which an engine may be
	// ordered to load at once.
	maxRunsLeft = 2
	// cordonPropagationTime is the time until all processes know that an engine is
	// cordoned and have reported their requests at it.
	cordonPropagationTime = 60 * time.Millisecond
	// initialLoadTime is the expected load time until the first one has been
	// measured.
	initialLoadTime = 250 * time.Millisecond
	// checkInterval is the interval between checks of an update that takes
	// longer than expected. From maxDoubledChecks checks on, it is constant;
	// before that, each check doubles it.
	checkInterval    = 60 * time.Millisecond
	maxDoubledChecks = 2
	// noReplyDelay is the delay before an order without a reply is sent again.
	// Each further consecutive order without a reply doubles the delay, up to
	// maxNoReplyDelay.
	noReplyDelay    = 100 * time.Millisecond
	maxNoReplyDelay = 800 * time.Millisecond
	// maxDoublings limits the shift so that the delay does not overflow.
	maxDoublings = 8
	// recountDelay is the delay before an engine's count of orders is read
	// again, and before a fenced order is sent again.
	recountDelay = 150 * time.Millisecond
	// maxConflicts is the number of consecutive conflicts after which the
	// planner reads the count of orders again.
	maxConflicts = 3
	// loadSampleWeight is the weight of a new sample in the moving average of
	// the load time.
	loadSampleWeight = 0.2
	// loadTimeReduction is the fraction by which the expected load time is
	// reduced when the first check finds the update complete.
	loadTimeReduction = 0.03
	// maxLoadSample is the longest load time that is used as a sample.
	maxLoadSample = 2 * time.Second
	// runningRequestsTimeout is the time after an engine has accepted an order
	// during which the engine is assumed to wait for its requests in flight and
	// not to load yet.
	runningRequestsTimeout = time.Second
	// urgentDivisor determines the staleness from which an engine loads weights
	// without waiting for its running requests: the deadline divided by
	// urgentDivisor.
	urgentDivisor = 2
	// updatesPerLoad determines how many engines may be updated concurrently,
	// including those that still run requests: updatesPerLoad times the number
	// that may load weights concurrently.
	updatesPerLoad = 2
	// urgentUpdatesPerLoad determines in the same way how many engines whose update
	// is urgent may be updated concurrently, in addition to the others. These load
	// at once, so more of them would only be withheld from requests.
	urgentUpdatesPerLoad = 1.5
)

// Engine is the state of one engine as seen by the planner.
type Engine struct {
	Boot fleet.Boot
	// Version is the weights version that the engine is assumed to serve.
	Version int64
	// Staleness is the time since that version was superseded.
	Staleness time.Duration
	// InFlight is the number of requests in flight at the engine over all
	// processes.
	InFlight int
	// Pending is the number of those requests that have no first byte yet.
	Pending int
}

// StepKind is the kind of a step.
type StepKind int

// Step kinds.
const (
	// Cordon makes new requests avoid an engine.
	Cordon StepKind = iota
	// CountOrders reads the number of orders that the engine has accepted.
	CountOrders
	// SendOrder sends a load order. The reply to a repeated order tells whether
	// the update is complete.
	SendOrder
)

// Step is an action that is due now.
type Step struct {
	Kind    StepKind
	Boot    fleet.Boot
	Version int64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// so far.
	ExpectedOrders int64
	// Retain reports whether the engine loads without waiting for its running
	// requests.
	Retain bool
}

type phase int

const (
	idle phase = iota
	cordoned
	// sending: the first order has been sent and has no reply yet.
	sending
	loading
	// checking: the order has been sent again and has no reply yet.
	checking
)

// engineState is the state of one engine's update.
type engineState struct {
	phase   phase
	version int64
	// retain reports whether the engine loads without waiting for its running
	// requests.
	retain         bool
	phaseStartedAt time.Duration
	// acceptedAt is the time at which the engine accepted the order.
	acceptedAt  time.Duration
	nextOrderAt time.Duration
	// orders is the number of orders that the engine has accepted; it is
	// valid if ordersKnown is set.
	orders      int64
	ordersKnown bool
	nextCountAt time.Duration
	// conflicts is the number of consecutive conflicts, and checks the number
	// of checks of the current update.
	conflicts int
	checks    int
	// missedReplies is the number of consecutive calls without a valid reply.
	missedReplies int
}

// Planner plans the updates of one model's engines. It is not safe for
// concurrent use.
type Planner struct {
	engines map[fleet.Boot]*engineState
	// deadline is the maximum time that an engine may serve superseded
	// weights.
	deadline time.Duration
	// loadTime is the moving average of the load time.
	loadTime time.Duration
}

// NewPlanner returns a Planner without updates in progress. deadline is the
// maximum time that an engine may serve superseded weights.
func NewPlanner(deadline time.Duration) *Planner {
	return &Planner{engines: map[fleet.Boot]*engineState{}, deadline: deadline, loadTime: initialLoadTime}
}

// ExpectedLoadTime returns the expected time to load weights.
func (p *Planner) ExpectedLoadTime() time.Duration { return p.loadTime }

// Plan returns the steps that are due in order to update the engines to a
// version.
func (p *Planner) Plan(now time.Duration, version int64, engines []Engine) []Step {
	p.prune(engines)
	maxLoading := (p.countResponsive(engines) + concurrentLoadDivisor - 1) / concurrentLoadDivisor
	outdated, counts := p.classify(now, version, engines)
	slices.SortStableFunc(outdated, func(a, b *Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.InFlight, b.InFlight))
	})
	var steps []Step
	for _, e := range outdated {
		if !p.admit(e, &counts, maxLoading) {
			continue
		}
		state := p.engineState(e)
		state.phase, state.phaseStartedAt = cordoned, now
		steps = append(steps, Step{Kind: Cordon, Boot: e.Boot, Version: version})
	}
	return append(steps, p.dueOrders(now, version, engines, counts.loading, maxLoading)...)
}

// updateCounts counts the engines that are being updated.
type updateCounts struct {
	// updating includes urgent, the engines whose update can't wait for their
	// running requests, and loading, those that load weights now.
	updating, urgent, loading int
}

// admit reports whether an outdated engine's update may begin now, and counts it
// if so.
func (p *Planner) admit(e *Engine, counts *updateCounts, maxLoading int) bool {
	if p.urgent(e) {
		if float64(counts.urgent) >= urgentUpdatesPerLoad*float64(maxLoading) {
			return false
		}
		counts.urgent++
		counts.updating++
		return true
	}
	if counts.updating >= updatesPerLoad*maxLoading {
		return false
	}
	counts.updating++
	return true
}

// countResponsive returns the number of engines with at most one consecutive
// call without a valid reply.
func (p *Planner) countResponsive(engines []Engine) int {
	count := 0
	for i := range engines {
		if p.engineState(&engines[i]).missedReplies <= 1 {
			count++
		}
	}
	return count
}

// classify returns the outdated engines whose update has not begun, and counts
// the engines that are being updated.
func (p *Planner) classify(now time.Duration, version int64, engines []Engine) (outdated []*Engine, counts updateCounts) {
	for i := range engines {
		e := &engines[i]
		state := p.engineState(e)
		if e.Version >= version && state.phase <= loading && state.phase != sending {
			state.phase = idle
			continue
		}
		switch {
		case state.phase == idle && state.missedReplies > 0 && now < state.nextOrderAt:
			continue
		case state.phase == idle:
			outdated = append(outdated, e)
			continue
		case state.phase == loading && e.InFlight > 0 && !state.retain && now-state.acceptedAt < runningRequestsTimeout:
			// The engine begins to load after its requests have ended.
			state.phaseStartedAt, state.nextOrderAt = now, now+p.loadTime
		case state.phase >= sending && (state.retain || e.InFlight == 0):
			counts.loading++
		}
		counts.updating++
		if state.retain || (state.phase == cordoned && p.urgent(e)) {
			counts.urgent++
		}
	}
	return outdated, counts
}

// dueOrders returns the steps for orders that are due: first orders for
// engines that are ready for them, and repeated ones for engines whose update
// should be complete. It also returns the steps that read unknown counts of
// orders.
func (p *Planner) dueOrders(now time.Duration, version int64, engines []Engine, loadingCount, maxLoading int) []Step {
	var steps []Step
	for i := range engines {
		e := &engines[i]
		state := p.engineState(e)
		if !state.ordersKnown {
			if state.phase != idle && now >= state.nextCountAt {
				state.nextCountAt = now + recountDelay
				steps = append(steps, Step{Kind: CountOrders, Boot: e.Boot})
			}
			continue
		}
		switch {
		case state.phase == cordoned && loadingCount < maxLoading && now >= state.nextOrderAt && readyForOrder(now, e, state):
			loadingCount++
			state.version, state.phaseStartedAt = version, now
			state.phase = sending
			state.retain = p.urgent(e) || e.InFlight > 0
			steps = append(steps, p.orderStep(e, state))
		case state.phase == loading && now >= state.nextOrderAt:
			state.phase = checking
			steps = append(steps, p.orderStep(e, state))
		}
	}
	return steps
}

// urgent reports whether an engine's update can no longer wait for its running
// requests.
func (p *Planner) urgent(e *Engine) bool {
	return e.Staleness >= p.deadline/urgentDivisor
}

// readyForOrder reports whether a cordoned engine is ready for its order: hardly
// any request is left, or maxDrainTime has passed. Requests that are left continue
// under the new weights, since an engine that waits for them serves no others.
func readyForOrder(now time.Duration, e *Engine, state *engineState) bool {
	elapsed := now - state.phaseStartedAt
	if elapsed >= maxDrainTime {
		return true
	}
	return elapsed >= cordonPropagationTime && e.Pending == 0 && e.InFlight <= maxRunsLeft
}

func (p *Planner) orderStep(e *Engine, state *engineState) Step {
	return Step{Kind: SendOrder, Boot: e.Boot, Version: state.version, ExpectedOrders: state.orders, Retain: state.retain}
}

// Updating returns the engines that are cordoned and have not been sent an
// order yet, and those that have been sent one.
func (p *Planner) Updating() (cordonedBoots, orderedBoots []fleet.Boot) {
	for boot, state := range p.engines {
		switch {
		case state.phase == cordoned:
			cordonedBoots = append(cordonedBoots, boot)
		case state.phase > cordoned:
			orderedBoots = append(orderedBoots, boot)
		}
	}
	return cordonedBoots, orderedBoots
}

func (p *Planner) engineState(e *Engine) *engineState {
	state, ok := p.engines[e.Boot]
	if !ok {
		state = &engineState{}
		p.engines[e.Boot] = state
	}
	return state
}

func (p *Planner) prune(engines []Engine) {
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
