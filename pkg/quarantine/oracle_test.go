package quarantine

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// fact is that a run of a target crashed under a suspect.
type fact struct {
	suspect Suspect
	target  fleet.Boot
}

// knowledge is the oracle's state of a process: each known fact, and whether it is
// cleared. It has no bounds.
type knowledge struct {
	facts map[fact]bool
	// provenAt holds the times of the latest completed responses.
	provenAt map[Suspect]time.Time
}

func newKnowledge() *knowledge {
	return &knowledge{facts: map[fact]bool{}, provenAt: map[Suspect]time.Time{}}
}

func (k *knowledge) isProven(now time.Time, suspect Suspect) bool {
	at, ok := k.provenAt[suspect]
	return ok && now.Sub(at) <= provenTTL
}

func (k *knowledge) learn(now time.Time, f fact, cleared bool) {
	k.facts[f] = k.facts[f] || cleared || (!k.has(f) && k.isProven(now, f.suspect))
}

func (k *knowledge) has(f fact) bool {
	_, ok := k.facts[f]
	return ok
}

func (k *knowledge) merge(now time.Time, facts map[fact]bool) {
	for f, cleared := range facts {
		k.learn(now, f, cleared)
	}
}

// open returns the targets that crashed under a suspect, without the cleared crashes.
func (k *knowledge) open(suspect Suspect) map[fleet.Boot]bool {
	targets := map[fleet.Boot]bool{}
	for f, cleared := range k.facts {
		if f.suspect == suspect && !cleared {
			targets[f.target] = true
		}
	}
	return targets
}

// without returns the number of targets that crashed under one suspect and not under
// another one.
func (k *knowledge) without(suspect, other Suspect) int {
	others := k.open(other)
	count := 0
	for target := range k.open(suspect) {
		if !others[target] {
			count++
		}
	}
	return count
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

// isSuspected applies the definition to a suspect: it has enough crashes, and no single
// request explains them: for a part any request, for a request one with more crashes.
func (k *knowledge) isSuspected(suspect Suspect) bool {
	crashes := len(k.open(suspect))
	if crashes < minCrashes {
		return false
	}
	for request := range k.requests() {
		hasMore := len(k.open(request)) > crashes
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
