package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// fact is that a run of a target crashed under a suspect, or seemed to.
type fact struct {
	suspect Suspect
	target  end
}

// observation is what is known of a crash.
type observation struct {
	// brokenAt is the earliest time at which a process noticed it, and runningAt the latest
	// time at which the target was known to run.
	brokenAt, runningAt int64
	// coincided is set once another target was known to have crashed at the same moment.
	coincided, cleared bool
	// withdrawn is set once the target was known to run later.
	withdrawn bool
}

func (o observation) combine(other observation) observation {
	return observation{
		min(o.brokenAt, other.brokenAt), max(o.runningAt, other.runningAt), o.coincided || other.coincided, o.cleared || other.cleared,
		o.withdrawn || other.withdrawn,
	}
}

// haveOneCause reports whether two crashes may have happened at the same moment.
func haveOneCause(a, b observation) bool {
	if a.withdrawn || b.withdrawn {
		return false
	}
	first, second := a, b
	if second.brokenAt < first.brokenAt {
		first, second = b, a
	}
	wasRunning := second.runningAt >= first.brokenAt
	return !wasRunning && second.brokenAt <= first.brokenAt+coincidenceWindow.Milliseconds()
}

// knowledge is the oracle's state of a process: each known fact, and the crashes of targets,
// also those that nothing is suspected of. It has no bounds.
type knowledge struct {
	facts map[fact]observation
	runs  map[end]observation
	// provenAt holds the times of the latest completed responses.
	provenAt map[Suspect]time.Time
}

func newKnowledge() *knowledge {
	return &knowledge{facts: map[fact]observation{}, runs: map[end]observation{}, provenAt: map[Suspect]time.Time{}}
}

func (k *knowledge) isProven(now time.Time, suspect Suspect) bool {
	at, ok := k.provenAt[suspect]
	return ok && now.Sub(at) <= provenTTL
}

func (k *knowledge) learn(now time.Time, f fact, o observation) {
	known, ok := k.facts[f]
	if ok {
		k.facts[f] = known.combine(o)
	} else {
		o.cleared = o.cleared || k.isProven(now, f.suspect)
		k.facts[f] = o
	}
	k.learnRun(f.target, o)
	if k.runs[f.target].withdrawn {
		k.withdraw(f.target)
	}
}

// withdraw applies that a crash was none.
func (k *knowledge) withdraw(target end) {
	run := k.runs[target]
	run.withdrawn = true
	k.runs[target] = run
	for f, o := range k.facts {
		if f.target == target {
			o.cleared, o.withdrawn = true, true
			k.facts[f] = o
		}
	}
}

// knows reports whether a crash is known.
func (k *knowledge) knows(target end) bool {
	_, ok := k.runs[target]
	return ok
}

// current returns the end of a run that would be its latest one: it has been withdrawn as often as
// the occasion says.
func (k *knowledge) current(run fleet.Boot) end {
	current := end{run: run}
	for k.runs[current].withdrawn {
		current.occasion++
	}
	return current
}

func (k *knowledge) learnRun(target end, o observation) {
	if known, ok := k.runs[target]; ok {
		o = known.combine(o)
	}
	k.runs[target] = o
}

func (k *knowledge) merge(now time.Time, facts map[fact]observation) {
	for f, o := range facts {
		k.learn(now, f, o)
	}
	k.mark()
}

// open returns the crashes of targets under a suspect that are not cleared.
func (k *knowledge) open(suspect Suspect) map[end]observation {
	targets := map[end]observation{}
	for f, o := range k.facts {
		if f.suspect == suspect && !o.cleared {
			targets[f.target] = o
		}
	}
	return targets
}

// independent returns the length of the longest series of crashes, by the times at which they
// were noticed, of which no two neighbours may have one cause.
func independent(crashes map[end]observation) int {
	ordered := slices.SortedFunc(maps.Values(crashes), func(a, b observation) int { return cmp.Compare(a.brokenAt, b.brokenAt) })
	longest := 0
	lengths := make([]int, len(ordered))
	for i := range ordered {
		lengths[i] = 1
		for j := range i {
			if !haveOneCause(ordered[j], ordered[i]) {
				lengths[i] = max(lengths[i], lengths[j]+1)
			}
		}
		longest = max(longest, lengths[i])
	}
	return longest
}

// mark notes which open crashes coincided with those of other targets, for suspects with several.
func (k *knowledge) mark() {
	for f, o := range k.facts {
		if len(k.open(f.suspect)) < minStoredCrashes || o.cleared {
			continue
		}
		for other := range k.runs {
			o.coincided = o.coincided || (other.run != f.target.run && haveOneCause(k.runs[other], o))
		}
		k.facts[f] = o
	}
}

// alone returns the targets that crashed under a suspect, at moments at which no other one is known to
// have crashed.
func (k *knowledge) alone(suspect Suspect) (targets []end) {
	for target, o := range k.open(suspect) {
		if !o.coincided {
			targets = append(targets, target)
		}
	}
	return targets
}

// isExplained reports whether another suspect explains the crashes of single targets under a suspect: all of
// them but at most one are under the other one as well. For a part, any request may explain them, and a
// suspected part without which it is refused; for a request, another one that is suspected.
func (k *knowledge) isExplained(suspect Suspect) bool {
	alone := k.alone(suspect)
	others := k.requests()
	for _, part := range allParts {
		other := Suspect{Part: part}
		isRival := suspect.Part != "" && k.isSuspected(other) && k.without(suspect, other) >= minSeparateCrashes
		if isRival {
			others[other] = true
		}
	}
	for other := range others {
		isWeaker := suspect.Request != "" && !k.isSuspected(other)
		if other == suspect || isWeaker {
			continue
		}
		crashes := k.open(other)
		without := 0
		for _, target := range alone {
			if _, ok := crashes[target]; !ok {
				without++
			}
		}
		if without < minSeparateCrashes && without < len(alone) {
			return true
		}
	}
	return false
}

// strength returns the length of the longest series of independent crashes of a suspect: of those
// at whose moments no target crashed without it, or of the others.
func (k *knowledge) strength(suspect Suspect, crashes map[end]observation) int {
	isContradicted := func(target end) bool {
		if len(k.open(suspect)) < minStoredCrashes {
			return false
		}
		for other := range k.runs {
			_, under := k.facts[fact{suspect, other}]
			if !under && haveOneCause(k.runs[other], k.facts[fact{suspect, target}]) {
				return true
			}
		}
		return false
	}
	longest := 0
	for _, contradicted := range []bool{false, true} {
		some := maps.Clone(crashes)
		maps.DeleteFunc(some, func(target end, _ observation) bool { return isContradicted(target) != contradicted })
		longest = max(longest, independent(some))
	}
	return longest
}

// without returns the strength of the crashes under one suspect and not under another one.
func (k *knowledge) without(suspect, other Suspect) int {
	others := k.open(other)
	crashes := k.open(suspect)
	maps.DeleteFunc(crashes, func(target end, _ observation) bool {
		_, both := others[target]
		return both
	})
	return k.strength(suspect, crashes)
}

// requests returns the requests that are in any known crash.
func (k *knowledge) requests() map[Suspect]bool {
	requests := map[Suspect]bool{}
	for f := range k.facts {
		if f.suspect.Request != "" {
			requests[f.suspect] = true
		}
	}
	return requests
}

// isSuspected applies the definition to a suspect: it has enough independent crashes, and no single
// request explains them: for a part any request, for a request one with more crashes.
func (k *knowledge) isSuspected(suspect Suspect) bool {
	crashes := k.strength(suspect, k.open(suspect))
	if crashes < minCrashes {
		return false
	}
	for request := range k.requests() {
		hasMore := k.strength(request, k.open(request)) > crashes
		if request != suspect && (suspect.Part != "" || hasMore) && k.without(suspect, request) < minSeparateCrashes {
			return false
		}
	}
	return true
}

// refuses applies the definition to a request: it is suspected itself, or one of its parts
// is, and each other suspected part that explains the crashes is in the request too.
func (k *knowledge) refuses(request Request) bool {
	if request.Fingerprint != "" && k.isSuspected(Suspect{Request: request.Fingerprint}) {
		return true
	}
	return slices.ContainsFunc(request.Parts, func(part string) bool {
		if !k.isSuspected(Suspect{Part: part}) {
			return false
		}
		return !slices.ContainsFunc(allParts, func(other string) bool {
			isOutside := other != part && !slices.Contains(request.Parts, other)
			return isOutside && k.isSuspected(Suspect{Part: other}) && k.without(Suspect{Part: part}, Suspect{Part: other}) < minSeparateCrashes
		})
	})
}
