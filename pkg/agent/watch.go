package agent

import (
	"context"
	"sync/atomic"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
)

// watched is the engine as the view's follower sees it. A broken event stream or
// a failed load report makes the engine doubtful at once, until the next load
// report: a crashed engine must attract no prompt by what it held before.
type watched struct {
	engine.Engine
	view     *cacheview.View
	doubtful atomic.Bool
}

func (w *watched) doubt(ctx context.Context) {
	if ctx.Err() == nil {
		w.doubtful.Store(true)
		w.view.Suspend()
	}
}

// Load implements engine.Engine.
func (w *watched) Load(ctx context.Context) (engine.LoadReport, error) {
	report, err := w.Engine.Load(ctx)
	if err != nil {
		w.doubt(ctx)
		return report, err
	}
	if report.Boot > w.view.Boot() {
		// The follower applies the report later; nothing older is claimed meanwhile.
		w.view.ApplyReport(report)
	}
	w.doubtful.Store(false)
	return report, nil
}

// Events implements engine.Engine.
func (w *watched) Events(ctx context.Context, boot, after uint64) (engine.EventStream, error) {
	stream, err := w.Engine.Events(ctx, boot, after)
	if err != nil {
		w.doubt(ctx)
		return nil, err
	}
	return &watchedEvents{EventStream: stream, watched: w, ctx: ctx}, nil
}

type watchedEvents struct {
	engine.EventStream
	watched *watched
	ctx     context.Context
}

// Recv implements engine.EventStream.
func (e *watchedEvents) Recv() (engine.CacheEvent, error) {
	event, err := e.EventStream.Recv()
	if err != nil {
		e.watched.doubt(e.ctx)
	}
	return event, err
}
