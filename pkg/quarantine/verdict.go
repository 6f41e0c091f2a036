package quarantine

import (
	"cmp"
	"slices"
)

// derive returns the quarantined suspects with their companions.
func (t *Table) derive() map[Suspect][]Suspect {
	parts := t.suspectedParts()
	quarantined := make(map[Suspect][]Suspect, len(parts))
	for suspect, state := range t.states {
		if suspect.Request != "" && state.openCount >= minCrashes {
			quarantined[suspect] = nil
		}
	}
	for _, part := range parts {
		quarantined[part] = t.companions(part, parts)
	}
	return quarantined
}

// suspectedParts returns the parts that have enough open crashes, at most
// maxComparedParts.
func (t *Table) suspectedParts() []Suspect {
	var parts []Suspect
	for suspect, state := range t.states {
		if suspect.Part != "" && state.openCount >= minCrashes {
			parts = append(parts, suspect)
		}
	}
	slices.SortFunc(parts, t.compareOpenCrashes)
	return parts[:min(maxComparedParts, len(parts))]
}

// compareOpenCrashes orders suspects with more open crashes first.
func (t *Table) compareOpenCrashes(a, b Suspect) int {
	return cmp.Or(cmp.Compare(t.states[b].openCount, t.states[a].openCount), compareSuspects(a, b))
}

// companions returns the suspected parts other than part that explain its crashes as
// well: fewer than minSeparateCrashes are without them.
func (t *Table) companions(part Suspect, suspected []Suspect) []Suspect {
	var companions []Suspect
	for _, other := range suspected {
		if other != part && t.states[part].countWithout(t.states[other]) < minSeparateCrashes {
			companions = append(companions, other)
		}
	}
	slices.SortFunc(companions, compareSuspects)
	return companions
}

// Check returns the quarantined suspect because of which a request must not be sent to a
// target, if there is one.
func (t *Table) Check(request Request) (suspect Suspect, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.quarantined) == 0 {
		return Suspect{}, false
	}
	suspects := request.suspects()
	for _, suspect := range suspects {
		companions, ok := t.quarantined[suspect]
		if ok && containsAll(suspects, companions) {
			return suspect, true
		}
	}
	return Suspect{}, false
}

// IsSuspected reports whether a target has crashed under a request with this content, and
// none has completed a response to one.
func (t *Table) IsSuspected(request Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.states) == 0 {
		return false
	}
	state, ok := t.states[Suspect{Request: shortID(request.Fingerprint)}]
	return ok && state.openCount > 0
}

func containsAll(suspects, wanted []Suspect) bool {
	for _, suspect := range wanted {
		if !slices.Contains(suspects, suspect) {
			return false
		}
	}
	return true
}
