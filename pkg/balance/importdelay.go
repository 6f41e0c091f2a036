package balance

import (
	"math"
	"time"
)

const (
	// importDelayWeight is the weight of a new sample in the moving average of the
	// delay of imports.
	importDelayWeight = 0.15
	// importDelayHalfLife is the half-life of that average without new samples,
	// after which a store that was slow is tried again.
	importDelayHalfLife = 1500 * time.Millisecond
	// maxImportDelaySample bounds a sample, which may contain other delays.
	maxImportDelaySample = 2 * time.Second
)

// importDelays estimates by how much an import from each cache store delays the
// first byte. A store's link carries one import after the other, so that its
// queue can take longer than processing the tokens. The estimate compares
// requests that import from the store with those that import from none, since
// both may wait in the engines' queues longer than expected.
type importDelays struct {
	withoutStore movingDelay
	byStore      map[string]*movingDelay
}

// movingDelay is a moving average that decays to zero without new samples.
type movingDelay struct {
	average time.Duration
	at      time.Duration
}

func (d *movingDelay) current(now time.Duration) time.Duration {
	return time.Duration(float64(d.average) * math.Exp2(-float64(now-d.at)/float64(importDelayHalfLife)))
}

func (d *movingDelay) add(now, sample time.Duration) {
	average := d.current(now)
	d.average = average + time.Duration(importDelayWeight*float64(sample-average))
	d.at = now
}

// record records by how much a request's first byte arrived later than expected.
// store is the address of the cache store that the target imported from; empty if
// there was none.
func (d *importDelays) record(now time.Duration, store string, late time.Duration) {
	late = min(max(0, late), maxImportDelaySample)
	if store == "" {
		d.withoutStore.add(now, late)
		return
	}
	delay, ok := d.byStore[store]
	if !ok {
		delay = &movingDelay{}
		d.byStore[store] = delay
	}
	delay.add(now, late)
}

// of returns the estimated delay of an import from a store.
func (d *importDelays) of(now time.Duration, store string) time.Duration {
	delay, ok := d.byStore[store]
	if !ok {
		return 0
	}
	return max(0, delay.current(now)-d.withoutStore.current(now))
}
