package enginefake

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// obey carries out an order, or returns ErrFenced or ErrRejected.
func (e *Engine) obey(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.IgnoreFencing {
		if order.FencingToken < e.fence {
			return errors.Trace(engine.ErrStaleFencingToken)
		}
		e.fence = order.FencingToken
	}
	switch order.Kind {
	case engine.OrderLoad:
		e.startLoad(order)
	case engine.OrderUnload:
		e.unload(order)
	case engine.OrderRole:
		e.role = order.Role
	default:
		return errors.WithType(errors.Errorf("unknown order %q", order.Kind), engine.ErrRejected)
	}
	return nil
}

// startLoad begins to load weights or an adapter; loading again changes nothing.
func (e *Engine) startLoad(order engine.Order) {
	if e.closed || e.hasModel(order.Model, order.WeightsVersion, order.Adapter) {
		return
	}
	e.loading = order.WeightsVersion
	boot, ended := e.boot, e.ended
	e.tasks.Go(func() {
		timer := time.NewTimer(e.cfg.LoadTime(order.WeightsVersion))
		defer timer.Stop()
		select {
		case <-timer.C:
			e.finishLoad(boot, order)
		case <-ended:
		}
	})
}

// finishLoad puts loaded weights in force, unless the engine crashed meanwhile.
func (e *Engine) finishLoad(boot uint64, order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return
	}
	if e.loading == order.WeightsVersion {
		e.loading = ""
	}
	at := e.modelIndex(order.Model, order.WeightsVersion)
	if at < 0 {
		e.models = append(e.models, engine.LoadedModel{Model: order.Model, WeightsVersion: order.WeightsVersion})
		at = len(e.models) - 1
	}
	loaded := &e.models[at]
	if order.Adapter != "" && !slices.Contains(loaded.Adapters, order.Adapter) {
		loaded.Adapters = append(slices.Clone(loaded.Adapters), order.Adapter)
	}
}

// unload drops weights with their cached blocks, or one adapter. Requests that
// run go on to their end.
func (e *Engine) unload(order engine.Order) {
	at := e.modelIndex(order.Model, order.WeightsVersion)
	if at < 0 {
		return
	}
	if order.Adapter != "" {
		kept := slices.Clone(e.models[at].Adapters)
		e.models[at].Adapters = slices.DeleteFunc(kept, func(name string) bool { return name == order.Adapter })
		return
	}
	e.models = slices.Delete(slices.Clone(e.models), at, at+1)
	for element := e.cache.idle.Front(); element != nil; {
		b := element.Value.(*block)
		element = element.Next()
		if b.key.version == order.WeightsVersion {
			e.cache.remove(b)
			e.noteEvicted(b)
		}
	}
	e.flushChange()
}

// modelIndex finds loaded weights, -1 for none.
func (e *Engine) modelIndex(model, version string) int {
	return slices.IndexFunc(e.models, func(m engine.LoadedModel) bool {
		return m.Model == model && m.WeightsVersion == version
	})
}

// hasModel says whether weights and adapter are in memory.
func (e *Engine) hasModel(model, version, adapter string) bool {
	at := e.modelIndex(model, version)
	return at >= 0 && (adapter == "" || slices.Contains(e.models[at].Adapters, adapter))
}
