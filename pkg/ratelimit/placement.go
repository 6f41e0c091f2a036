package ratelimit

import "github.com/cespare/xxhash/v2"

// MaxParts is the number of parts of a bucket when there are slots enough.
const MaxParts = 3

// partCount depends on the number of slots alone, which never changes while a
// fleet runs: two processes that disagreed on it would hold one bucket twice.
func partCount(slots int) int {
	return min(MaxParts, slots)
}

// groupCount is the number of groups of neighbouring slots; an account's parts
// lie in one group. Slots that fill no group hold no parts.
func groupCount(slots int) int {
	return slots / partCount(slots)
}

// PartSlots returns the slots that hold an account's parts, part 0 first; nil
// without slots. They are neighbours, and the home data centres of slots take
// turns, so parts lie in different data centres as far as there are any.
func PartSlots(account string, slots int) []uint32 {
	if slots <= 0 {
		return nil
	}
	parts := partCount(slots)
	first := groupOf(account, slots) * parts
	held := make([]uint32, parts)
	for i := range held {
		held[i] = uint32(first + i)
	}
	return held
}

// PartPositionOf says which part of its accounts' buckets a slot holds; false for a
// slot that holds none.
func PartPositionOf(slot uint32, slots int) (PartPosition, bool) {
	if slots <= 0 || int(slot) >= groupCount(slots)*partCount(slots) {
		return PartPosition{}, false
	}
	parts := partCount(slots)
	return PartPosition{Index: int(slot) % parts, Parts: parts}, true
}

// HoldsPart says whether a slot holds a part of an account's bucket.
func HoldsPart(slot uint32, account string, slots int) bool {
	_, any := PartPositionOf(slot, slots)
	return any && int(slot)/partCount(slots) == groupOf(account, slots)
}

// groupOf draws an account's group by rendezvous hash.
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
