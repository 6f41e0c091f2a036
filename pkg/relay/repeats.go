package relay

import (
	"context"

	"github.com/baobabhub/baobabhub/pkg/clock"
)

// maxRunsPerTarget bounds how often a target may run a request that is sent to it again once the
// route's attempts are used up.
const maxRunsPerTarget = 2

// recordRun records that a target received the request, and may have run it unless it rejected it.
func (d *dispatcher) recordRun(target string, result outcome) {
	runs := d.runs[target]
	if result != notRun {
		runs++
	}
	d.runs[target] = runs
}

// repeatTargets returns the IDs of the targets to which the request may be sent again: those that have
// received it, and that can go on with its stream as far as the list of targets tells.
func (d *dispatcher) repeatTargets() map[string]bool {
	targets := map[string]bool{}
	for target, runs := range d.runs {
		if runs < maxRunsPerTarget && !d.q.hasOtherVersion(target) {
			targets[target] = true
		}
	}
	return targets
}

// mayChooseLater reports whether a target may be chosen after a wait if none can be now.
func (d *dispatcher) mayChooseLater() bool {
	return d.allowed == nil || len(d.repeatTargets()) > 0
}

// takeRepeat reports whether the request may be sent again to a target that it has
// been sent to. It consumes one retry of the service's budget if so.
func (q *request) takeRepeat(ctx context.Context) bool {
	return q.route.Retryable() && q.remaining() > 0 && !q.isSuspected() && q.takeRetry(ctx)
}

// waitToContinue reports whether a begun stream may be sent once more to a target that has received
// it, and waits for that if so, twice as long each time. It consumes one retry of the service's budget.
func (q *request) waitToContinue(ctx context.Context, continuations int) bool {
	delay := resumeRetryDelay << continuations
	return q.wroteHeader && q.remaining() > 2*delay && clock.Sleep(ctx, delay) && q.takeRepeat(ctx)
}
