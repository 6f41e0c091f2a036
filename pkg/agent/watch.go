package agent

import (
	"context"
	"sync/atomic"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
)

// watchedEngine wraps the engine for the follower of the cache view. It marks the
// engine as suspect on a broken event stream or a failed load report, until the
// next load report succeeds. Otherwise a crashed engine would attract prompts by
// the blocks that it cached before the crash.
type watchedEngine struct {
	engine.Engine
	view    *cacheview.View
	suspect atomic.Bool
}

func (w *watchedEngine) markSuspect(ctx context.Context) {
	if ctx.Err() == nil {
		w.suspect.Store(true)
		w.view.Suspend()
	}
}

// LoadReport implements engine.Engine.
func (w *watchedEngine) LoadReport(ctx context.Context) (engine.LoadReport, error) {
	report, err := w.Engine.LoadReport(ctx)
	if err != nil {
		w.markSuspect(ctx)
		return report, err
	}
	if report.BootID > w.view.Boot() {
		// The follower applies the report only later. Applying it here makes the view
		// drop the blocks of the earlier boot at once.
		w.view.ApplyReport(report)
	}
	w.suspect.Store(false)
	return report, nil
}

// CacheEvents implements engine.Engine.
func (w *watchedEngine) CacheEvents(ctx context.Context, boot, after uint64) (engine.EventStream, error) {
	stream, err := w.Engine.CacheEvents(ctx, boot, after)
	if err != nil {
		w.markSuspect(ctx)
		return nil, err
	}
	return &watchedEvents{EventStream: stream, engine: w, ctx: ctx}, nil
}

type watchedEvents struct {
	engine.EventStream
	engine *watchedEngine
	ctx    context.Context
}

// Recv implements engine.EventStream.
func (e *watchedEvents) Recv() (engine.CacheEvent, error) {
	event, err := e.EventStream.Recv()
	if err != nil {
		e.engine.markSuspect(e.ctx)
	}
	return event, err
}
