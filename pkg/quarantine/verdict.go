package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// verdict is what holds of a quarantined suspect.
type verdict struct {
	// companions holds the parts that can't be told apart from it yet. Only requests that
	// contain all of them are refused.
	companions []Suspect
	// sure is set if neither a common cause of several crashes nor another suspect explains those
	// of the suspect.
	sure bool
	// unconfirmed is set if it only isn't sure because the runs of its crashes are not known to
	// have ended.
	unconfirmed bool
}

func (v verdict) equal(other verdict) bool {
	return v.sure == other.sure && v.unconfirmed == other.unconfirmed && slices.Equal(v.companions, other.companions)
}

// derive returns the quarantined suspects.
func (t *Table) derive() map[Suspect]verdict {
	requests, parts := t.recurrent()
	explanations := t.mostCrashes(requests)
	isExplained := func(suspect Suspect) bool { return t.isExplained(suspect, explanations) }
	suspectedRequests := slices.DeleteFunc(requests, func(request Suspect) bool {
		return t.states[request].strength() < minCrashes || isExplained(request)
	})
	suspectedParts := slices.DeleteFunc(t.mostCrashes(parts), isExplained)
	quarantined := make(map[Suspect]verdict, len(suspectedRequests)+len(suspectedParts))
	for _, request := range suspectedRequests {
		quarantined[request] = t.verdict(request, suspectedRequests)
	}
	for _, part := range suspectedParts {
		companions := t.companions(part, suspectedParts)
		isCompanion := func(other Suspect) bool { return slices.Contains(companions, other) }
		others := slices.DeleteFunc(slices.Concat(suspectedParts, explanations), isCompanion)
		found := t.verdict(part, others)
		found.companions = companions
		quarantined[part] = found
	}
	return quarantined
}

// verdict returns what holds of a quarantined suspect without companions, beside the other
// suspects that may explain its crashes. A request that a target has answered with an error in a
// trial is not sure to crash others.
func (t *Table) verdict(suspect Suspect, others []Suspect) verdict {
	if suspect.Request != "" && t.states[suspect].answeredTrials() > 0 {
		return verdict{}
	}
	alone := t.states[suspect].alone()
	ended := slices.DeleteFunc(slices.Clone(alone), func(crash *Crash) bool { return t.hasEnded != nil && !t.hasEnded(crash.Target) })
	sure := t.isSure(suspect, ended, others)
	return verdict{sure: sure, unconfirmed: !sure && t.isSure(suspect, alone, others)}
}

// recurrent returns the requests that may explain the crashes of another suspect, and the
// parts that have enough independent crashes.
func (t *Table) recurrent() (requests, parts []Suspect) {
	for suspect, state := range t.states {
		switch {
		case state.openCount <= minCrashes-minSeparateCrashes:
		case suspect.Request != "":
			requests = append(requests, suspect)
		case state.strength() >= minCrashes:
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
// minSeparateCrashes independent ones are without that request. A part is the less likely cause then, since it
// is in other requests too. Another request is it only if it has fewer crashes.
func (t *Table) isExplained(suspect Suspect, requests []Suspect) bool {
	state := t.states[suspect]
	return slices.ContainsFunc(requests, func(request Suspect) bool {
		explanation := t.states[request]
		isBetter := suspect.Part != "" || explanation.strength() > state.strength()
		return request != suspect && isBetter && state.strengthWithout(explanation) < minSeparateCrashes
	})
}

// compareOpenCrashes orders suspects with more open crashes first.
func (t *Table) compareOpenCrashes(a, b Suspect) int {
	return cmp.Or(cmp.Compare(t.states[b].openCount, t.states[a].openCount), compareSuspects(a, b))
}

// companions returns the suspected parts other than part that explain its crashes as
// well: fewer than minSeparateCrashes independent ones are without them.
func (t *Table) companions(part Suspect, suspected []Suspect) []Suspect {
	var companions []Suspect
	for _, other := range suspected {
		if other != part && t.states[part].strengthWithout(t.states[other]) < minSeparateCrashes {
			companions = append(companions, other)
		}
	}
	slices.SortFunc(companions, compareSuspects)
	return companions
}

// Finding is a quarantined suspect because of which a request must not be sent to a target.
type Finding struct {
	Suspect
	// Sure is set if the request would crash its targets. Otherwise a common cause of several
	// crashes or another suspect explains them as well, and a trial will show which it is.
	Sure bool
	// RetryAfter is the time until that is expected to be known; 0 if Sure is set.
	RetryAfter time.Duration
}

// Check returns why a request must not be sent to a target, if there is a reason. Only a request
// that takes a trial may be sent.
func (t *Table) Check(now time.Time, request Request) (finding Finding, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect, quarantined := t.check(request)
	if !quarantined {
		return Finding{}, false
	}
	if t.quarantined[suspect].sure {
		return Finding{Suspect: suspect, Sure: true}, true
	}
	return Finding{Suspect: suspect, RetryAfter: t.untilTrialEnds(now, suspect)}, true
}

// check returns the quarantined suspect because of which a request is refused, one that is sure
// first. The caller must hold t.mu.
func (t *Table) check(request Request) (suspect Suspect, quarantined bool) {
	if len(t.quarantined) == 0 {
		return Suspect{}, false
	}
	suspects := request.suspects()
	for _, candidate := range suspects {
		found, ok := t.quarantined[candidate]
		if !ok || !containsAll(suspects, found.companions) {
			continue
		}
		if found.sure {
			return candidate, true
		}
		if !quarantined {
			suspect, quarantined = candidate, true
		}
	}
	return suspect, quarantined
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
