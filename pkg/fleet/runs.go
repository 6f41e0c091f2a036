package fleet

import (
	"math"
	"time"
)

const (
	// DefaultReportInterval is the interval at which targets report to the registry, unless the
	// platform names another one.
	DefaultReportInterval = 1200 * time.Millisecond
	// maxMissedReports is the number of reports that the registry misses before it removes an
	// entry, and one more, since reports may be late.
	maxMissedReports = 3 + 1
	// never is the time of something that has not happened.
	never = time.Duration(math.MinInt64)
)

// RunFinding is what a connection to the address of a run of a target has shown.
type RunFinding int

// Findings about a run.
const (
	// ConnectionRefused means that nobody listened at the address.
	ConnectionRefused RunFinding = iota + 1
	// LaterRunFound means that another, later run of the target answered.
	LaterRunFound
	// RunAnswered means that the run itself answered.
	RunAnswered
)

// runEvidence holds what is known of the end of a registered run of a target. The latest piece of
// evidence counts.
type runEvidence struct {
	// refusedAt is the time of the latest connection that the run's address refused. Nobody
	// listened there at that moment: the run has ended, or the network refuses connections to it.
	refusedAt time.Duration
	// replacedAt is the time at which another, later run of the target was found at the address.
	replacedAt time.Duration
	// runningAt is the latest time at which the run itself is known to have been running.
	runningAt time.Duration
}

// hasEnded reports whether the run is known to have ended.
func (e *runEvidence) hasEnded() bool { return e.replacedAt > e.runningAt }

// mayHaveEnded reports whether the run has refused a connection, and has not been known to be
// running since.
func (e *runEvidence) mayHaveEnded() bool { return e.refusedAt > e.runningAt || e.hasEnded() }

// MarkRefused records that the address of a registered run of a target refused a connection at a
// time. It reports whether the run was not known to have ended, nor that it may have.
func (d *Directory) MarkRefused(at time.Duration, boot Boot) bool {
	return d.mark(boot, func(e *runEvidence) bool {
		was := e.mayHaveEnded()
		e.refusedAt = max(e.refusedAt, at)
		return !was && e.mayHaveEnded()
	})
}

// MarkEnded records that a later run was found at a time at the address of a registered run of a
// target, so that this one has ended. It reports whether that was not known.
func (d *Directory) MarkEnded(at time.Duration, boot Boot) bool {
	return d.mark(boot, func(e *runEvidence) bool {
		was := e.hasEnded()
		e.replacedAt = max(e.replacedAt, at)
		return !was && e.hasEnded()
	})
}

// MarkRunning records that a registered run of a target itself was running at a time. It reports
// whether the run was known to have ended before that, or that it may have.
func (d *Directory) MarkRunning(at time.Duration, boot Boot) bool {
	return d.mark(boot, func(e *runEvidence) bool {
		was := e.mayHaveEnded()
		e.runningAt = max(e.runningAt, at)
		return was && !e.mayHaveEnded()
	})
}

// mark updates the evidence about a registered run, and reports what update returns.
func (d *Directory) mark(boot Boot, update func(*runEvidence) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isListed(boot) {
		return false
	}
	evidence, ok := d.evidence[boot]
	if !ok {
		evidence = &runEvidence{refusedAt: never, replacedAt: never, runningAt: never}
		d.evidence[boot] = evidence
	}
	changed := update(evidence)
	if d.applyEvidence(&d.entries[boot.ID].target) {
		d.sortedTargets = nil
	}
	return changed
}

// applyEvidence sets what is known of the end of a target's run, and reports whether that has
// changed. The caller must hold d.mu.
func (d *Directory) applyEvidence(target *Target) bool {
	before := *target
	target.Ended, target.MayHaveEnded, target.RefusedAt = false, false, 0
	if evidence, ok := d.evidence[target.Boot()]; ok && evidence.mayHaveEnded() {
		target.Ended, target.MayHaveEnded, target.RefusedAt = evidence.hasEnded(), true, evidence.refusedAt
	}
	return target.Ended != before.Ended || target.MayHaveEnded != before.MayHaveEnded || target.RefusedAt != before.RefusedAt
}

// HasEnded reports whether a run of a target is known to have ended, or is not registered.
func (d *Directory) HasEnded(boot Boot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	evidence, ok := d.evidence[boot]
	return ok && evidence.hasEnded() || !d.isListed(boot)
}

// MayHaveEnded reports whether a run of a target has ended, as HasEnded does, or may have.
func (d *Directory) MayHaveEnded(boot Boot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	evidence, ok := d.evidence[boot]
	return ok && evidence.mayHaveEnded() || !d.isListed(boot)
}

// IsInDoubt reports whether a registered run of a target has refused a connection, and has not been
// known to be running since.
func (d *Directory) IsInDoubt(boot Boot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	evidence, ok := d.evidence[boot]
	return ok && evidence.mayHaveEnded()
}

// SetReportInterval sets the interval at which targets report to the registry.
func (d *Directory) SetReportInterval(interval time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportInterval = interval
}

// ConfirmRegistered records that the runs which refused a connection are running if they have
// reported to the registry since: the registry would have removed their entries otherwise, and has
// been available all the time. It returns those runs.
func (d *Directory) ConfirmRegistered() []Boot {
	d.mu.Lock()
	defer d.mu.Unlock()
	var confirmed []Boot
	for boot, evidence := range d.evidence {
		if !d.isListed(boot) || d.entries[boot.ID].expiresAt != 0 || !evidence.mayHaveEnded() || evidence.hasEnded() {
			continue
		}
		since := max(evidence.refusedAt, d.registryRestoredAt)
		if d.registryUnavailable || d.registryReadAt-since <= maxMissedReports*d.reportInterval {
			continue
		}
		evidence.runningAt = evidence.refusedAt
		d.applyEvidence(&d.entries[boot.ID].target)
		d.sortedTargets = nil
		confirmed = append(confirmed, boot)
	}
	return confirmed
}
