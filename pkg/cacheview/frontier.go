package cacheview

const (
	// ageQuantile is the quantile of the evicted blocks' ages that the estimate
	// tracks. It is above 0 because a dispatch may update the last use of a
	// block whose eviction event has not arrived yet, so that some evicted
	// blocks seem younger than they were.
	ageQuantile = 0.2
	// ageStep scales the relative change of the estimate per eviction.
	ageStep = 0.05
)

// ageEstimator estimates the age at which a least-recently-used cache currently
// evicts blocks. A block's age is the time since its last use. The estimate
// tracks a low quantile of the evicted blocks' ages in small steps. The zero
// value has no samples.
type ageEstimator struct {
	initialized bool
	// age is the estimate in ticks, at least 1 after the first eviction.
	age float64
	// lastEviction is the time of the last eviction, in ticks.
	lastEviction uint32
}

// observe updates the estimate with one eviction. Both times are in ticks.
func (e *ageEstimator) observe(evictedAt, lastUse uint32) {
	age := float64(evictedAt) - float64(lastUse)
	e.lastEviction = evictedAt
	switch {
	case !e.initialized:
		e.initialized, e.age = true, age
	case age < e.age:
		e.age -= e.age * ageStep * (1 - ageQuantile)
	default:
		e.age += e.age * ageStep * ageQuantile
	}
	e.age = max(e.age, 1)
}

// newerThanEvicted reports whether a block with this last use is younger than
// the estimated eviction age. It is true before the first eviction.
func (e *ageEstimator) newerThanEvicted(lastUse uint32) bool {
	return !e.initialized || float64(lastUse) > float64(e.lastEviction)-e.age
}
