package quarantine

import (
	"cmp"
	"slices"
)

// derive returns the quarantined suspects with their companions.
func (t *Table) derive() map[Suspect][]Suspect {
	requests, parts := t.recurrent()
	explanations := t.mostCrashes(requests)
	isExplained := func(suspect Suspect) bool { return t.isExplained(suspect, explanations) }
	quarantined := make(map[Suspect][]Suspect, len(requests)+len(parts))
	for _, request := range requests {
		if t.states[request].openCount >= minCrashes && !isExplained(request) {
			quarantined[request] = nil
		}
	}
	suspectedParts := slices.DeleteFunc(t.mostCrashes(parts), isExplained)
	for _, part := range suspectedParts {
		quarantined[part] = t.companions(part, suspectedParts)
	}
	return quarantined
}

// recurrent returns the requests that may explain the crashes of another suspect, and the
// parts that have enough open crashes.
func (t *Table) recurrent() (requests, parts []Suspect) {
	for suspect, state := range t.states {
		switch {
		case suspect.Request != "" && state.openCount > minCrashes-minSeparateCrashes:
			requests = append(requests, suspect)
		case suspect.Part != "" && state.openCount >= minCrashes:
			parts = append(parts, suspect)
		}
	}
	return requests, parts
}

// mostCrashes returns the suspects with the most open crashes, at most maxCompared.
func (t *Table) mostCrashes(suspects []Suspect) []Suspect {
	sorted := slices.SortedFunc(slices.Values(suspects), t.compareOpenCrashes)
	return sorted[:min(maxCompared, len(sorted))]
}

// isExplained reports whether a single request explains the crashes of a suspect: fewer than
// minSeparateCrashes are without that request. A part is the less likely cause then, since it
// is in other requests too. Another request is it only if it has fewer crashes.
func (t *Table) isExplained(suspect Suspect, requests []Suspect) bool {
	state := t.states[suspect]
	return slices.ContainsFunc(requests, func(request Suspect) bool {
		explanation := t.states[request]
		isBetter := suspect.Part != "" || explanation.openCount > state.openCount
		return request != suspect && isBetter && state.countWithout(explanation) < minSeparateCrashes
	})
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
// target, if there is one. Only a request that takes a trial of it may be sent.
func (t *Table) Check(request Request) (suspect Suspect, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(request)
}

// check is like Check. The caller must hold t.mu.
func (t *Table) check(request Request) (suspect Suspect, quarantined bool) {
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
	return t.isSuspected(request)
}

func (t *Table) isSuspected(request Request) bool {
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
