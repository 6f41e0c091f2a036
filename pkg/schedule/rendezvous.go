package schedule

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rankedTarget is a target with its rendezvous cost for one key. Targets are
// ordered by ascending cost.
type rankedTarget struct {
	targetIndex int
	cost        float64
}

// rendezvousCost returns a target's cost for a key by weighted rendezvous
// hashing. The cost is exponentially distributed with the target's weight as
// its rate, so a target is first with a probability in proportion to its weight,
// and adding or removing a target moves only the keys assigned to it.
func rendezvousCost(key uint64, t *Target) float64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], key)
	binary.LittleEndian.PutUint64(buf[8:], t.hash)
	const mantissaBits = 53
	uniform := (float64(xxhash.Sum64(buf[:])>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	return -math.Log(uniform) / weight
}

// rendezvousOrder appends to ranked the first n targets for key, best first.
func rendezvousOrder(ranked []rankedTarget, key uint64, targets []Target, n int) []rankedTarget {
	if n <= 0 {
		return ranked
	}
	for i := range targets {
		r := rankedTarget{targetIndex: i, cost: rendezvousCost(key, &targets[i])}
		if len(ranked) == n && r.cost >= ranked[n-1].cost {
			continue
		}
		index, _ := slices.BinarySearchFunc(ranked, r, func(a, b rankedTarget) int { return cmp.Compare(a.cost, b.cost) })
		if len(ranked) == n {
			ranked = ranked[:n-1]
		}
		ranked = slices.Insert(ranked, index, r)
	}
	return ranked
}
