package schedule

import (
	"math"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// hashRates estimates the request rate of each prefix hash from exponentially
// decaying counts, in bounded memory. It is not safe for concurrent use.
type hashRates struct {
	decay  time.Duration
	counts *lru.Cache[uint64, decayedCount]
}

// decayedCount is the value of a decaying count at a point in time.
type decayedCount struct {
	value float64
	at    time.Time
}

func newHashRates(entries int, decay time.Duration) *hashRates {
	counts, err := lru.New[uint64, decayedCount](max(1, entries))
	if err != nil {
		panic(err)
	}
	return &hashRates{decay: decay, counts: counts}
}

// observe records one request for a hash.
func (h *hashRates) observe(hash uint64, now time.Time) {
	h.counts.Add(hash, decayedCount{value: h.value(hash, now) + 1, at: now})
}

// rate returns the estimated requests per second for a hash.
func (h *hashRates) rate(hash uint64, now time.Time) float64 {
	return h.value(hash, now) / h.decay.Seconds()
}

func (h *hashRates) value(hash uint64, now time.Time) float64 {
	count, ok := h.counts.Peek(hash)
	if !ok {
		return 0
	}
	age := max(0, now.Sub(count.at))
	return count.value * math.Exp(-age.Seconds()/h.decay.Seconds())
}
