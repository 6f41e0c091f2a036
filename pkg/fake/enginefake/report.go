package enginefake

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// reportsPerDelay is the number of load reports recorded per
// Config.LoadReportDelay.
const reportsPerDelay = 20

// minReportInterval is the minimum interval between recorded load reports.
const minReportInterval = 5 * time.Millisecond

// purgeInterval is the interval between purges of expired streams.
const purgeInterval = time.Second

// timedReport is a load report with its creation time.
type timedReport struct {
	createdAt time.Time
	report    engine.LoadReport
}

// runMaintenance records load reports and purges expired streams until the
// engine closes.
func (e *Engine) runMaintenance() {
	ticker := time.NewTicker(max(e.cfg.LoadReportDelay/reportsPerDelay, minReportInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.maintain(time.Now())
		case <-e.done:
			return
		}
	}
}

// maintain records the current load, discards outdated load reports and purges
// expired streams. It does nothing while the engine is frozen.
func (e *Engine) maintain(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused {
		return
	}
	if e.cfg.LoadReportDelay > 0 {
		e.reports = append(e.reports, timedReport{now, e.currentReport()})
		cutoff := now.Add(-e.cfg.LoadReportDelay)
		for len(e.reports) > 1 && !e.reports[1].createdAt.After(cutoff) {
			e.reports = e.reports[1:]
		}
	}
	if now.Sub(e.lastPurge) > purgeInterval {
		e.lastPurge = now
		e.purgeStreams(now)
	}
}

// purgeStreams deletes the streams that ended more than Config.StreamRetention
// ago.
func (e *Engine) purgeStreams(now time.Time) {
	for id, j := range e.jobs {
		if j.done && now.Sub(j.endedAt) > e.cfg.StreamRetention {
			delete(e.jobs, id)
		}
	}
}

// delayedReport returns the report from Config.LoadReportDelay ago, or the
// oldest one of the current boot.
func (e *Engine) delayedReport() engine.LoadReport {
	if len(e.reports) == 0 {
		return e.currentReport()
	}
	return e.reports[0].report
}

// currentReport returns a report of the current load.
func (e *Engine) currentReport() engine.LoadReport {
	queuedTokens := 0
	for _, j := range e.running {
		queuedTokens += j.promptTokens - j.prefilledTokens
	}
	for _, j := range e.waiting {
		queuedTokens += j.promptTokens
	}
	return engine.LoadReport{
		BootID:                 e.boot,
		Running:                len(e.running),
		Waiting:                len(e.waiting),
		QueuedPrefillTokens:    queuedTokens,
		FreeBlocks:             e.cache.freeBlocks(),
		TotalBlocks:            e.cfg.TotalBlocks,
		PrefillTokensPerSecond: e.cfg.PrefillTokensPerSecond,
		Models:                 slices.Clone(e.models),
		Loading:                e.loadingVersion,
		Role:                   e.role,
		FencingToken:           e.fencingToken,
	}
}
