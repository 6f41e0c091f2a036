package hedge

import (
	"math"
	"time"
)

const (
	// reportHalfLife is the half-life of the weight of a report on a service's load.
	reportHalfLife = 2 * time.Second
	// maxBusyShare is the share of reports of queues above which a service is overloaded. A few
	// targets may be slow and have queues.
	maxBusyShare = 0.25
	// maxRejectedShare is the same for rejected requests, which targets send only when they are
	// full.
	maxRejectedShare = 0.02
	// minReports is the least weight of all reports that is assumed. At a low rate, a single queue is
	// no overload, and a rejection stops hedges for 7 s.
	minReports = 4
	// holdTime is the time without hedges after a target has named a limit or requested a pause.
	holdTime = 2 * time.Second
)

// Report is what a target's response says of its load.
type Report struct {
	// Queued is set if requests wait at the target, or more of them run than it has slots.
	Queued bool
	// Rejected is set if the target refused the request without running it.
	Rejected bool
	// Limited is set if the target named a rate limit or requested a pause.
	Limited bool
}

// serviceLoad sums up the recent reports on a service's load.
type serviceLoad struct {
	reports, queued, rejected float64
	decayedAt                 time.Duration
	heldUntil                 time.Duration
}

func (l *serviceLoad) observe(now time.Duration, report Report) {
	l.decay(now)
	l.reports++
	if report.Queued {
		l.queued++
	}
	if report.Rejected {
		l.rejected++
	}
	if report.Limited {
		l.heldUntil = max(l.heldUntil, now+holdTime)
	}
}

func (l *serviceLoad) decay(now time.Duration) {
	if now <= l.decayedAt {
		return
	}
	factor := math.Exp2(-float64(now-l.decayedAt) / float64(reportHalfLife))
	l.reports, l.queued, l.rejected, l.decayedAt = l.reports*factor, l.queued*factor, l.rejected*factor, now
}

// isOverloaded reports whether a copy of a request would only add to the service's load.
func (l *serviceLoad) isOverloaded(now time.Duration) bool {
	l.decay(now)
	reports := max(minReports, l.reports)
	return now < l.heldUntil || l.queued > maxBusyShare*reports || l.rejected > maxRejectedShare*reports
}
