package agent

import (
	"context"
	"sync/atomic"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
)

// monitoredEngine wraps the engine that the cache view's follower reads. It marks
// the engine as suspect on a broken event stream or a failed load report, until the
// next load report succeeds. Otherwise routers would still select a crashed engine
// for the blocks that it cached before the crash.
type monitoredEngine struct {
	engine.Engine
	view    *cacheview.View
	suspect atomic.Bool
}

func (m *monitoredEngine) markSuspect(ctx context.Context) {
	if ctx.Err() == nil {
		m.suspect.Store(true)
		m.view.Suspend()
	}
}

// LoadReport implements engine.Engine.
func (m *monitoredEngine) LoadReport(ctx context.Context) (engine.LoadReport, error) {
	report, err := m.Engine.LoadReport(ctx)
	if err != nil {
		m.markSuspect(ctx)
		return report, err
	}
	if report.BootID > m.view.Boot() {
		// The follower applies the report only after this call returns. Applying it
		// here makes the view drop the blocks of the earlier boot immediately.
		m.view.ApplyReport(report)
	}
	m.suspect.Store(false)
	return report, nil
}

// CacheEvents implements engine.Engine.
func (m *monitoredEngine) CacheEvents(ctx context.Context, boot, after uint64) (engine.EventStream, error) {
	stream, err := m.Engine.CacheEvents(ctx, boot, after)
	if err != nil {
		m.markSuspect(ctx)
		return nil, err
	}
	return &monitoredEvents{EventStream: stream, engine: m, ctx: ctx}, nil
}

type monitoredEvents struct {
	engine.EventStream
	engine *monitoredEngine
	ctx    context.Context
}

// Recv implements engine.EventStream.
func (e *monitoredEvents) Recv() (engine.CacheEvent, error) {
	event, err := e.EventStream.Recv()
	if err != nil {
		e.engine.markSuspect(e.ctx)
	}
	return event, err
}
