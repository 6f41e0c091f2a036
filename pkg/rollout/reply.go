package rollout

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Reply is an engine's reply to a load order.
type Reply int

// Replies to a load order.
const (
	// Accepted: the engine has begun the update or is still executing it.
	Accepted Reply = iota
	// UpToDate: the engine serves the weights already.
	UpToDate
	// Conflict: another order is in progress, or the count of orders differs.
	Conflict
	// Fenced: the engine has accepted an order with a newer fencing token.
	Fenced
	// Invalid: the order was rejected for another reason, for example because
	// another engine uses the address.
	Invalid
	// NoReply: no reply arrived. The engine may still execute the order later.
	NoReply
)

var replyNames = [...]string{"accepted", "holds", "conflict", "fenced", "invalid", "lost"}

// String returns the name that denotes the reply in logs.
func (r Reply) String() string { return replyNames[r] }

// HandleReply handles an engine's reply to an order. It reports whether the
// engine now serves the version.
func (p *Planner) HandleReply(now time.Duration, step Step, reply Reply) (done bool) {
	state, ok := p.engines[step.Boot]
	if !ok || (state.phase != sending && state.phase != checking) {
		return false
	}
	firstSend := state.phase == sending
	if reply != NoReply && reply != Invalid {
		state.missedReplies = 0
	}
	switch reply {
	case Accepted:
		p.handleAccepted(now, state, firstSend)
	case UpToDate:
		p.updateLoadTime(now, state, firstSend)
		state.phase, state.nextOrderAt = idle, now
		return true
	case Conflict:
		p.handleConflict(now, state, firstSend)
	case NoReply, Invalid:
		handleMissedReply(now, state)
	default:
		state.phase, state.nextOrderAt = cordoned, now+recountDelay
	}
	return false
}

// handleMissedReply handles a call without a valid reply. From the second
// consecutive one, the engine's update returns to the idle phase until the next
// attempt, so that it does not count against the limit on concurrent updates.
func handleMissedReply(now time.Duration, state *engineState) {
	state.missedReplies++
	state.phase, state.nextOrderAt = cordoned, now+noReplyDelay
	if state.missedReplies == 1 {
		state.nextCountAt = state.nextOrderAt
		return
	}
	state.phase = idle
	state.nextOrderAt = now + min(maxNoReplyDelay, noReplyDelay<<min(state.missedReplies-1, maxDoublings))
	state.nextCountAt = state.nextOrderAt
}

// handleAccepted records that an update is in progress. An engine counts an
// order only once, even if the order is sent again during the update.
func (p *Planner) handleAccepted(now time.Duration, state *engineState, firstSend bool) {
	state.phase, state.conflicts = loading, 0
	if !firstSend {
		state.nextOrderAt = now + checkInterval<<min(state.checks, maxDoubledChecks)
		state.checks++
		return
	}
	state.orders++
	state.checks = 0
	state.acceptedAt = now
	state.phaseStartedAt, state.nextOrderAt = now, now+p.loadTime
}

// updateLoadTime updates the expected load time. It reduces the time slightly
// if the first check finds the update complete, and otherwise adds the update's
// duration to the moving average.
func (p *Planner) updateLoadTime(now time.Duration, state *engineState, firstSend bool) {
	elapsed := now - state.phaseStartedAt
	switch {
	case firstSend || elapsed > maxLoadSample:
	case state.checks == 0:
		p.loadTime -= time.Duration(loadTimeReduction * float64(p.loadTime))
	default:
		p.loadTime += time.Duration(loadSampleWeight * float64(elapsed-p.loadTime))
	}
}

// handleConflict handles a conflict. After maxConflicts consecutive ones, the
// count of orders is read again.
func (p *Planner) handleConflict(now time.Duration, state *engineState, firstSend bool) {
	state.conflicts++
	state.phase, state.nextOrderAt = loading, now+checkInterval
	if firstSend {
		state.phase, state.nextOrderAt = cordoned, now+checkInterval
	}
	if state.conflicts >= maxConflicts {
		state.ordersKnown, state.nextCountAt, state.conflicts = false, now, 0
		state.phase = cordoned
	}
}

// HandleCountFailure handles a failure to read an engine's count of orders.
func (p *Planner) HandleCountFailure(now time.Duration, boot fleet.Boot) {
	if state, ok := p.engines[boot]; ok {
		handleMissedReply(now, state)
	}
}

// HandleCount records the number of accepted orders that an engine reported.
func (p *Planner) HandleCount(boot fleet.Boot, orders int64) {
	if state, ok := p.engines[boot]; ok {
		state.orders, state.ordersKnown, state.missedReplies = orders, true, 0
	}
}
