package ratelimit

import "github.com/cespare/xxhash/v2"

// MaxParts is the maximum number of parts of a bucket. A bucket has fewer parts
// only if there are fewer slots.
const MaxParts = 3

// partCount returns the number of parts of a bucket. All processes must agree on
// it, since they would otherwise place the bucket on different slots and so grant
// its limit twice. It therefore depends only on the number of slots, which is
// constant while a fleet runs.
func partCount(slots int) int {
	return min(MaxParts, slots)
}

// groupCount returns the number of groups of adjacent slots. All parts of an
// account's bucket lie in one group. Slots left over after the last full group
// hold no parts.
func groupCount(slots int) int {
	return slots / partCount(slots)
}

// PartSlots returns the slots that hold the parts of an account's bucket, part 0
// first, or nil if there are no slots. The slots are adjacent and home data
// centres are assigned to slots round-robin, so the parts are spread over as many
// data centres as possible.
func PartSlots(account string, slots int) []uint32 {
	if slots <= 0 {
		return nil
	}
	parts := partCount(slots)
	first := groupOf(account, slots) * parts
	partSlots := make([]uint32, parts)
	for i := range partSlots {
		partSlots[i] = uint32(first + i)
	}
	return partSlots
}

// PartPositionOf returns the position of the parts that a slot holds within their
// buckets. The second result is false if the slot holds no parts.
func PartPositionOf(slot uint32, slots int) (PartPosition, bool) {
	if slots <= 0 || int(slot) >= groupCount(slots)*partCount(slots) {
		return PartPosition{}, false
	}
	parts := partCount(slots)
	return PartPosition{Index: int(slot) % parts, Parts: parts}, true
}

// HoldsPart reports whether a slot holds a part of an account's bucket.
func HoldsPart(slot uint32, account string, slots int) bool {
	_, holdsAny := PartPositionOf(slot, slots)
	return holdsAny && int(slot)/partCount(slots) == groupOf(account, slots)
}

// groupOf returns an account's group, chosen by rendezvous hashing.
func groupOf(account string, slots int) int {
	best, bestScore := 0, uint64(0)
	for group := range groupCount(slots) {
		score := xxhash.Sum64String(string([]byte{byte(group), byte(group >> 8), '/'}) + account)
		if score >= bestScore {
			best, bestScore = group, score
		}
	}
	return best
}
