package cacheview

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Target names the engine in logs.
	Target string
	// LoadInterval is the pause between two load report requests.
	LoadInterval time.Duration
	// StaleAfter is the time without an event or heartbeat after which the
	// view is suspended. It should exceed engine.Timeouts.Idle, which detects
	// broken streams.
	StaleAfter time.Duration
	// BackoffMin and BackoffMax bound the back-off before the event stream is
	// reopened.
	BackoffMin, BackoffMax time.Duration
	// QueueLength is the maximum number of updates received but not yet applied.
	QueueLength int
}

// DefaultFollowerConfig returns the default configuration for a target.
func DefaultFollowerConfig(target string) FollowerConfig {
	return FollowerConfig{
		Target:       target,
		LoadInterval: 250 * time.Millisecond,
		StaleAfter:   2 * time.Second,
		BackoffMin:   50 * time.Millisecond,
		BackoffMax:   time.Second,
		QueueLength:  1024,
	}
}

// Observation is a load report with its arrival time.
type Observation struct {
	Report     engine.LoadReport
	ReceivedAt time.Time
}

// update is a queue entry for the goroutine that applies updates to the view:
// a load report if report is set, otherwise a cache event.
type update struct {
	event  engine.CacheEvent
	report *engine.LoadReport
}

// Follower keeps a View up to date with its engine: it follows the cache event
// stream, reopens it when it breaks, and polls load reports.
type Follower struct {
	engine engine.Engine
	view   *View
	cfg    FollowerConfig
	log    *eventlog.Logger
	rng    *rand.Rand

	updates chan update
	latest  atomic.Pointer[Observation]

	appliedEvents tally.Counter
	lostEvents    tally.Counter
	openedStreams tally.Counter
	suspensions   tally.Counter
	viewBlocks    tally.Gauge
	evictionRate  tally.Gauge
	queueLength   tally.Gauge
}

// NewFollower returns a Follower; call Run to start it. rng provides the back-off
// jitter and must not be used by the caller afterwards.
func NewFollower(e engine.Engine, view *View, cfg FollowerConfig, log *eventlog.Logger, scope tally.Scope, rng *rand.Rand) *Follower {
	return &Follower{
		engine:        e,
		view:          view,
		cfg:           cfg,
		log:           log,
		rng:           rng,
		updates:       make(chan update, cfg.QueueLength),
		appliedEvents: scope.Counter("cache_events_applied"),
		lostEvents:    scope.Counter("cache_events_lost"),
		openedStreams: scope.Counter("cache_event_streams_opened"),
		suspensions:   scope.Counter("cache_view_suspensions"),
		viewBlocks:    scope.Gauge("cache_view_blocks"),
		evictionRate:  scope.Gauge("cache_view_evictions_per_second"),
		queueLength:   scope.Gauge("cache_view_queue_length"),
	}
}

// Latest returns the most recent load report; ok is false if none has arrived.
func (f *Follower) Latest() (observation Observation, ok bool) {
	latest := f.latest.Load()
	if latest == nil {
		return Observation{}, false
	}
	return *latest, true
}

// Run follows the engine until ctx is done and returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followEvents(ctx) })
	group.Go(func() error { return f.pollLoad(ctx) })
	group.Go(func() error { return f.applyUpdates(ctx) })
	return group.Wait()
}

// followEvents reads the event stream and reopens it, with exponential back-off
// and jitter, when it breaks.
func (f *Follower) followEvents(ctx context.Context) error {
	boot, after := f.view.Position()
	backoff := f.cfg.BackoffMin
	for {
		opened := time.Now()
		err := f.readStream(ctx, &boot, &after)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(opened) > f.cfg.BackoffMax {
			backoff = f.cfg.BackoffMin
		}
		delay := backoff/2 + time.Duration(f.rng.Int64N(int64(backoff/2)+1))
		f.log.Log(eventlog.TargetEventsBroken, "target", f.cfg.Target, "error", err.Error(), "retry_ms", delay.Milliseconds())
		if !clock.Sleep(ctx, delay) {
			return ctx.Err()
		}
		backoff = min(2*backoff, f.cfg.BackoffMax)
	}
}

// readStream reads one event stream until it breaks, and advances boot and after
// to the last event read.
func (f *Follower) readStream(ctx context.Context, boot, after *uint64) error {
	stream, err := f.engine.CacheEvents(ctx, *boot, *after)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	f.openedStreams.Inc(1)
	f.log.Log(eventlog.TargetEventsOpened, "target", f.cfg.Target, "boot", *boot, "after", *after)
	for {
		event, err := stream.Recv()
		if err != nil {
			return err
		}
		if event.BootID == 0 {
			event.BootID = *boot
		}
		if event.BootID != *boot {
			*boot, *after = event.BootID, 0
		}
		*after = max(*after, event.Seq)
		if !f.enqueue(ctx, update{event: event}) {
			return ctx.Err()
		}
	}
}

// pollLoad requests load reports every LoadInterval. It logs the first failure
// of a series and the recovery.
func (f *Follower) pollLoad(ctx context.Context) error {
	failing := false
	for {
		report, err := f.engine.LoadReport(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !failing:
			failing = true
			f.log.Log(eventlog.TargetLoadFailed, "target", f.cfg.Target, "error", err.Error())
		case err == nil:
			if failing {
				failing = false
				f.log.Log(eventlog.TargetLoadRestored, "target", f.cfg.Target, "boot", report.BootID)
			}
			f.latest.Store(&Observation{Report: report, ReceivedAt: time.Now()})
			if !f.enqueue(ctx, update{report: &report}) {
				return ctx.Err()
			}
		}
		if !clock.Sleep(ctx, f.cfg.LoadInterval) {
			return ctx.Err()
		}
	}
}

// enqueue queues an update for the view. It returns false if ctx was done first.
// A full queue blocks the reader and so applies back-pressure to the engine.
func (f *Follower) enqueue(ctx context.Context, u update) bool {
	select {
	case f.updates <- u:
		return true
	case <-ctx.Done():
		return false
	}
}
