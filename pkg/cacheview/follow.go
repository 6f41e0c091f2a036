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

// FollowConfig sets up a Follower.
type FollowConfig struct {
	// Target names the engine in logs.
	Target string
	// LoadInterval is the time between two load reports.
	LoadInterval time.Duration
	// StaleAfter is the time without an event or heartbeat after which the
	// view is suspended. It should exceed the engine adapter's silence timeout,
	// which finds the broken stream.
	StaleAfter time.Duration
	// BackoffMin and BackoffMax bound the wait before the stream is opened again.
	BackoffMin, BackoffMax time.Duration
	// QueueLength bounds the updates read but not yet applied.
	QueueLength int
}

// DefaultFollowerConfig returns the usual settings for a target.
func DefaultFollowerConfig(target string) FollowConfig {
	return FollowConfig{
		Target:       target,
		LoadInterval: 250 * time.Millisecond,
		StaleAfter:   2 * time.Second,
		BackoffMin:   50 * time.Millisecond,
		BackoffMax:   time.Second,
		QueueLength:  1024,
	}
}

// Observation is a load report with the time when it arrived.
type Observation struct {
	Report     engine.LoadReport
	ReceivedAt time.Time
}

// update is one message for the goroutine that feeds the view.
type update struct {
	event  engine.CacheEvent
	report *engine.LoadReport
}

// Follower feeds a View from its engine: it follows the cache event stream,
// opening it again when it breaks, and polls load reports.
type Follower struct {
	engine engine.Engine
	view   *View
	cfg    FollowConfig
	log    *eventlog.Logger
	rng    *rand.Rand

	updates chan update
	latest  atomic.Pointer[Observation]

	applied    tally.Counter
	lost       tally.Counter
	reopened   tally.Counter
	suspended  tally.Counter
	blocks     tally.Gauge
	eviction   tally.Gauge
	queueDepth tally.Gauge
}

// NewFollower returns a follower; Run starts it. rng is for the jitter of the
// back-off and belongs to the follower from now on.
func NewFollower(e engine.Engine, view *View, cfg FollowConfig, log *eventlog.Logger, scope tally.Scope, rng *rand.Rand) *Follower {
	return &Follower{
		engine:     e,
		view:       view,
		cfg:        cfg,
		log:        log,
		rng:        rng,
		updates:    make(chan update, cfg.QueueLength),
		applied:    scope.Counter("cache_events_applied"),
		lost:       scope.Counter("cache_events_lost"),
		reopened:   scope.Counter("cache_event_streams_opened"),
		suspended:  scope.Counter("cache_view_suspensions"),
		blocks:     scope.Gauge("cache_view_blocks"),
		eviction:   scope.Gauge("cache_view_evictions_per_second"),
		queueDepth: scope.Gauge("cache_view_queue_length"),
	}
}

// Latest returns the newest load report; ok is false before the first.
func (f *Follower) Latest() (observation Observation, ok bool) {
	latest := f.latest.Load()
	if latest == nil {
		return Observation{}, false
	}
	return *latest, true
}

// Run follows the engine until ctx ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.readEvents(ctx) })
	group.Go(func() error { return f.pollLoad(ctx) })
	group.Go(func() error { return f.feed(ctx) })
	return group.Wait()
}

// readEvents keeps the event stream open.
func (f *Follower) readEvents(ctx context.Context) error {
	boot, after := f.view.Position()
	wait := f.cfg.BackoffMin
	for {
		opened := time.Now()
		err := f.readStream(ctx, &boot, &after)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Since(opened) > f.cfg.BackoffMax {
			wait = f.cfg.BackoffMin
		}
		pause := wait/2 + time.Duration(f.rng.Int64N(int64(wait/2)+1))
		f.log.Log(eventlog.TargetEventsBroken, "target", f.cfg.Target, "error", err.Error(), "retry_ms", pause.Milliseconds())
		if !clock.Sleep(ctx, pause) {
			return ctx.Err()
		}
		wait = min(2*wait, f.cfg.BackoffMax)
	}
}

// readStream reads one event stream until it breaks, and moves the position on.
func (f *Follower) readStream(ctx context.Context, boot, after *uint64) error {
	stream, err := f.engine.Events(ctx, *boot, *after)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	f.reopened.Inc(1)
	f.log.Log(eventlog.TargetEventsOpened, "target", f.cfg.Target, "boot", *boot, "after", *after)
	for {
		event, err := stream.Recv()
		if err != nil {
			return err
		}
		if event.Boot == 0 {
			event.Boot = *boot
		}
		if event.Boot != *boot {
			*boot, *after = event.Boot, 0
		}
		*after = max(*after, event.Seq)
		if !f.send(ctx, update{event: event}) {
			return ctx.Err()
		}
	}
}

// pollLoad asks for load reports.
func (f *Follower) pollLoad(ctx context.Context) error {
	failing := false
	for {
		report, err := f.engine.Load(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil && !failing:
			failing = true
			f.log.Log(eventlog.TargetLoadFailed, "target", f.cfg.Target, "error", err.Error())
		case err == nil:
			if failing {
				failing = false
				f.log.Log(eventlog.TargetLoadRestored, "target", f.cfg.Target, "boot", report.Boot)
			}
			f.latest.Store(&Observation{Report: report, ReceivedAt: time.Now()})
			if !f.send(ctx, update{report: &report}) {
				return ctx.Err()
			}
		}
		if !clock.Sleep(ctx, f.cfg.LoadInterval) {
			return ctx.Err()
		}
	}
}

// send hands an update over; a full queue holds the reader back, and the
// engine with it.
func (f *Follower) send(ctx context.Context, u update) bool {
	select {
	case f.updates <- u:
		return true
	case <-ctx.Done():
		return false
	}
}
