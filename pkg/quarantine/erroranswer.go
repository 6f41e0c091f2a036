package quarantine

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// minErrorAnswers is the number of runs of targets that have to answer a request with an error
	// after a crash, and go on, before it is clear of the crashes. A target that fails without
	// running requests answers, too, so that one or two show nothing of the others.
	minErrorAnswers = 3
	// maxErrorAnswers and maxRunsPerAnswer bound the requests and runs that are remembered.
	maxErrorAnswers  = 2048
	maxRunsPerAnswer = 16
)

// RecordErrorAnswer records that a run of a target has answered a request with an error of its own, and
// has gone on. So the request is not what crashes that run later, and if several runs have answered
// it since the latest crash, it crashes none. The parts of its prompt are not cleared: the target may
// not have begun to write an answer to them. It returns what was suspected.
func (t *Table) RecordErrorAnswer(now time.Time, run fleet.Boot, request Request) (cleared []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if request.Fingerprint == "" {
		return nil
	}
	suspect := Suspect{Request: shortID(request.Fingerprint)}
	t.addErrorAnswer(suspect, run)
	state, ok := t.states[suspect]
	if !ok || state.openCount == 0 {
		return nil
	}
	if state.answeredBy == nil {
		state.answeredBy = map[fleet.Boot]bool{}
	}
	state.answeredBy[run] = true
	if len(state.answeredBy) < minErrorAnswers {
		return nil
	}
	return t.clear(now, suspect)
}

// RecordTrialAnswer records that a target has answered the trial of a suspect with an error, and has
// gone on. A request is cleared by several of those. It returns what was suspected.
func (t *Table) RecordTrialAnswer(now time.Time, suspect Suspect) (cleared []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.states[suspect]
	granted, isGranted := t.granted[suspect]
	if !ok || !isGranted {
		return nil
	}
	delete(t.granted, suspect)
	state.mergeTrial(Trial{ID: granted.trialID, UnixMS: now.UnixMilli(), Answered: true})
	state.observedAt = now
	if suspect.Request == "" || state.answeredTrials() < minErrorAnswers {
		t.update()
		return nil
	}
	return t.clear(now, suspect)
}

// clear clears a suspect of its crashes. The caller must hold t.mu.
func (t *Table) clear(now time.Time, suspect Suspect) (cleared []Suspect) {
	state := t.states[suspect]
	if !state.clearAll() {
		return nil
	}
	state.observedAt = now
	t.update()
	return []Suspect{suspect}
}

// addErrorAnswer remembers that a run has answered a request. The caller must hold t.mu.
func (t *Table) addErrorAnswer(suspect Suspect, run fleet.Boot) {
	runs, _ := t.errorAnswers.Get(suspect)
	if slices.Contains(runs, run) {
		return
	}
	runs = append(slices.Clone(runs), run)
	t.errorAnswers.Add(suspect, runs[max(0, len(runs)-maxRunsPerAnswer):])
}

// isCleared reports whether a suspect is known not to cause a crash of a run: it has recently been in
// a completed response, or the run has answered it before. The caller must hold t.mu.
func (t *Table) isCleared(now time.Time, suspect Suspect, run fleet.Boot) bool {
	if t.proven(now, suspect) {
		return true
	}
	runs, _ := t.errorAnswers.Peek(suspect)
	return slices.Contains(runs, run)
}

// answeredTrials returns the number of trials since the latest open crash that targets have answered
// with an error.
func (s *suspectState) answeredTrials() int {
	latest := int64(0)
	for _, crash := range s.open() {
		latest = max(latest, crash.UnixMS)
	}
	count := 0
	for _, trial := range s.trials {
		if trial.Answered && trial.UnixMS >= latest {
			count++
		}
	}
	return count
}
