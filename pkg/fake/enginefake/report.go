package enginefake

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// reportsPerLag is the number of load reports kept for each LoadReportDelay.
const reportsPerLag = 20

// minReportInterval bounds how often a report is kept.
const minReportInterval = 5 * time.Millisecond

// purgeInterval is the time between two looks for streams to forget.
const purgeInterval = time.Second

// datedReport is a load report with its time.
type datedReport struct {
	at     time.Time
	report engine.LoadReport
}

// runReports keeps load reports and drops old streams until the engine closes.
func (e *Engine) runReports() {
	ticker := time.NewTicker(max(e.cfg.LoadReportDelay/reportsPerLag, minReportInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.keepReport(time.Now())
		case <-e.done:
			return
		}
	}
}

// keepReport notes the present load and drops what is out of date.
func (e *Engine) keepReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused {
		return
	}
	if e.cfg.LoadReportDelay > 0 {
		e.history = append(e.history, datedReport{now, e.report()})
		limit := now.Add(-e.cfg.LoadReportDelay)
		for len(e.history) > 1 && !e.history[1].at.After(limit) {
			e.history = e.history[1:]
		}
	}
	if now.Sub(e.purgedAt) > purgeInterval {
		e.purgedAt = now
		e.purgeStreams(now)
	}
}

// purgeStreams forgets the streams that ended StreamRetention ago.
func (e *Engine) purgeStreams(now time.Time) {
	for id, j := range e.jobs {
		if j.done && now.Sub(j.endedAt) > e.cfg.StreamRetention {
			delete(e.jobs, id)
		}
	}
}

// laggedReport returns the report of LoadReportDelay ago, or the oldest of this boot.
func (e *Engine) laggedReport() engine.LoadReport {
	if len(e.history) == 0 {
		return e.report()
	}
	return e.history[0].report
}

// report describes the present.
func (e *Engine) report() engine.LoadReport {
	queued := 0
	for _, j := range e.running {
		queued += j.prompt - j.prefilled
	}
	for _, j := range e.waiting {
		queued += j.prompt
	}
	return engine.LoadReport{
		BootID:                 e.boot,
		Running:                len(e.running),
		Waiting:                len(e.waiting),
		QueuedPrefillTokens:    queued,
		FreeBlocks:             e.cache.free(),
		TotalBlocks:            e.cfg.TotalBlocks,
		PrefillTokensPerSecond: e.cfg.PrefillTokensPerSecond,
		Models:                 slices.Clone(e.models),
		Loading:                e.loading,
		Role:                   e.role,
		FencingToken:           e.fence,
	}
}
