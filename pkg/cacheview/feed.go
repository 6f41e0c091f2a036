package cacheview

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

const (
	// lostLogInterval is the least time between two log lines on lost events.
	lostLogInterval = time.Second
	// checksPerStale is how often staleness is looked at in StaleAfter.
	checksPerStale = 10
)

// feeder is the state of the goroutine that feeds the view.
type feeder struct {
	*Follower
	// heard is when an event or heartbeat of the view's boot last came.
	heard time.Time
	// olderBoot is the boot of messages that came since heard with a number
	// below the view's, 0 for none.
	olderBoot uint64
	silent    bool
	// lostLogged is the count of lost events at the last log line, loggedAt its time.
	lostLogged int
	loggedAt   time.Time
}

// feed applies updates until ctx ends.
func (f *Follower) feed(ctx context.Context) error {
	fd := feeder{Follower: f, heard: time.Now()}
	ticker := time.NewTicker(f.cfg.StaleAfter / checksPerStale)
	defer ticker.Stop()
	for {
		select {
		case u := <-f.updates:
			if u.report != nil {
				fd.takeReport(*u.report)
			} else {
				fd.takeEvent(time.Now(), u.event)
			}
		case <-ticker.C:
			fd.check(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// takeReport applies a load report.
func (f *feeder) takeReport(report engine.LoadReport) {
	before := f.view.Boot()
	f.view.ApplyReport(report)
	f.noteBoot(before)
}

// takeEvent applies a cache event or heartbeat.
func (f *feeder) takeEvent(now time.Time, event engine.CacheEvent) {
	before := f.view.Boot()
	if event.Boot < before {
		f.olderBoot = event.Boot
		return
	}
	outcome := f.view.ApplyEvent(now, event)
	f.heard, f.olderBoot = now, 0
	if outcome == Applied || outcome == AfterGap {
		f.applied.Inc(1)
	}
	f.noteBoot(before)
	f.noteHeard()
	f.noteLost(now, event)
}

// noteBoot logs a new boot.
func (f *feeder) noteBoot(before uint64) {
	if boot := f.view.Boot(); boot != before {
		f.log.Log(eventlog.TargetRestarted, "target", f.cfg.Target, "boot", boot)
	}
}

// noteHeard logs the end of a silence.
func (f *feeder) noteHeard() {
	if f.silent {
		f.silent = false
		f.log.Log(eventlog.TargetHeard, "target", f.cfg.Target, "boot", f.view.Boot())
	}
}

// noteLost counts and logs lost events.
func (f *feeder) noteLost(now time.Time, event engine.CacheEvent) {
	lost := f.view.Counts().LostEvents - f.lostLogged
	if lost <= 0 || now.Sub(f.loggedAt) < lostLogInterval {
		return
	}
	f.lost.Inc(int64(lost))
	f.lostLogged += lost
	f.loggedAt = now
	f.log.Log(eventlog.TargetEventsLost, "target", f.cfg.Target, "boot", event.Boot, "seq", event.Seq, "lost", lost)
}

// check suspends the view of a silent engine. An engine that only ever says an
// older boot number than the view's has restarted with a smaller one.
func (f *feeder) check(now time.Time) {
	f.blocks.Update(float64(f.view.Counts().Blocks))
	f.eviction.Update(f.view.EvictionRate(now))
	f.queueDepth.Update(float64(len(f.updates)))
	silence := now.Sub(f.heard)
	if silence < f.cfg.StaleAfter {
		return
	}
	if f.olderBoot != 0 {
		f.view.Reset(f.olderBoot)
		f.heard, f.olderBoot = now, 0
		f.log.Log(eventlog.TargetRestarted, "target", f.cfg.Target, "boot", f.view.Boot())
		return
	}
	if !f.silent {
		f.silent = true
		f.view.Suspend()
		f.suspended.Inc(1)
		f.log.Log(eventlog.TargetSilent, "target", f.cfg.Target, "boot", f.view.Boot(), "silent_ms", silence.Milliseconds())
	}
}
