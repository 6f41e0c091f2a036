package enginefake

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// applyOrder executes an order. It returns engine.ErrStaleFencingToken if the
// order's fencing token is lower than that of an earlier order, and
// engine.ErrRejected for an unknown kind.
func (e *Engine) applyOrder(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cfg.IgnoreFencing {
		if order.FencingToken < e.fencingToken {
			return errors.Trace(engine.ErrStaleFencingToken)
		}
		e.fencingToken = order.FencingToken
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

// startLoad starts loading weights or an adapter. It does nothing if they are
// already loaded or the engine is closed.
func (e *Engine) startLoad(order engine.Order) {
	if e.closed || e.hasModel(order.Model, order.WeightsVersion, order.Adapter) {
		return
	}
	e.loadingVersion = order.WeightsVersion
	boot, bootEnded := e.boot, e.bootEnded
	e.tasks.Go(func() {
		timer := time.NewTimer(e.cfg.LoadTime(order.WeightsVersion))
		defer timer.Stop()
		select {
		case <-timer.C:
			e.finishLoad(boot, order)
		case <-bootEnded:
		}
	})
}

// finishLoad adds the loaded weights or adapter to the models, unless the
// engine has crashed since the load started.
func (e *Engine) finishLoad(boot uint64, order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.boot != boot {
		return
	}
	if e.loadingVersion == order.WeightsVersion {
		e.loadingVersion = ""
	}
	index := e.modelIndex(order.Model, order.WeightsVersion)
	if index < 0 {
		e.models = append(e.models, engine.LoadedModel{Model: order.Model, WeightsVersion: order.WeightsVersion})
		index = len(e.models) - 1
	}
	loaded := &e.models[index]
	if order.Adapter != "" && !slices.Contains(loaded.Adapters, order.Adapter) {
		loaded.Adapters = append(slices.Clone(loaded.Adapters), order.Adapter)
	}
}

// unload unloads an adapter, or weights with their unpinned cached blocks.
// Requests that already use them continue.
func (e *Engine) unload(order engine.Order) {
	index := e.modelIndex(order.Model, order.WeightsVersion)
	if index < 0 {
		return
	}
	if order.Adapter != "" {
		adapters := slices.Clone(e.models[index].Adapters)
		e.models[index].Adapters = slices.DeleteFunc(adapters, func(name string) bool { return name == order.Adapter })
		return
	}
	e.models = slices.Delete(slices.Clone(e.models), index, index+1)
	for element := e.cache.evictable.Front(); element != nil; {
		b := element.Value.(*block)
		element = element.Next()
		if b.key.version == order.WeightsVersion {
			e.cache.remove(b)
			e.recordEvicted(b)
		}
	}
	e.flushChange()
}

// modelIndex returns the index of loaded weights in e.models, or -1 if they
// are not loaded.
func (e *Engine) modelIndex(model, version string) int {
	return slices.IndexFunc(e.models, func(m engine.LoadedModel) bool {
		return m.Model == model && m.WeightsVersion == version
	})
}

// hasModel reports whether weights are loaded, together with the adapter unless
// its name is empty.
func (e *Engine) hasModel(model, version, adapter string) bool {
	index := e.modelIndex(model, version)
	return index >= 0 && (adapter == "" || slices.Contains(e.models[index].Adapters, adapter))
}
