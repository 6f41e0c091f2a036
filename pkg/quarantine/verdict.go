package quarantine

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// derive returns the quarantined parts with their companions.
func (t *Table) derive() map[string][]string {
	suspects := t.suspects()
	quarantined := make(map[string][]string, len(suspects))
	for part, crashes := range suspects {
		quarantined[part] = t.companions(part, crashes, suspects)
	}
	return quarantined
}

// suspects returns the open crashes of the parts that have enough of them, at most
// maxSuspects parts.
func (t *Table) suspects() map[string][]fleet.Boot {
	var records []Record
	for part, state := range t.parts {
		if len(state.open()) >= minCrashes {
			records = append(records, state.record(part))
		}
	}
	slices.SortFunc(records, compareRelevance)
	suspects := map[string][]fleet.Boot{}
	for i := range records[:min(maxSuspects, len(records))] {
		part := records[i].Part
		suspects[part] = t.parts[part].open()
	}
	return suspects
}

// companions returns the suspects other than part that explain its crashes as well:
// fewer than minSeparateCrashes are without them.
func (t *Table) companions(part string, crashes []fleet.Boot, suspects map[string][]fleet.Boot) []string {
	var companions []string
	for other := range suspects {
		if other != part && t.countWithout(crashes, t.parts[other]) < minSeparateCrashes {
			companions = append(companions, other)
		}
	}
	slices.Sort(companions)
	return companions
}

// countWithout returns the number of crashes that are no open crashes of a part.
func (t *Table) countWithout(crashes []fleet.Boot, other *partState) int {
	count := 0
	for _, run := range crashes {
		if crash, ok := other.crashes[run]; !ok || crash.Cleared {
			count++
		}
	}
	return count
}

// Check returns the quarantined part because of which a request with the given parts
// must not be sent to a target, or "" if there is none.
func (t *Table) Check(parts []string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.quarantined) == 0 {
		return ""
	}
	parts = keys(parts)
	for _, part := range parts {
		companions, ok := t.quarantined[part]
		if ok && containsAll(parts, companions) {
			return part
		}
	}
	return ""
}

// keys returns the keys under which the parts are known: their identifiers, or hashes of
// longer ones.
func keys(parts []string) []string {
	tooLong := func(part string) bool { return len(part) > maxPartBytes }
	if !slices.ContainsFunc(parts, tooLong) {
		return parts
	}
	keys := slices.Clone(parts)
	for i, part := range keys {
		if tooLong(part) {
			keys[i] = "hash:" + strconv.FormatUint(xxhash.Sum64String(part), 16)
		}
	}
	return keys
}

func containsAll(parts, wanted []string) bool {
	for _, part := range wanted {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
