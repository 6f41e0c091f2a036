package quarantine

import (
	"slices"
	"time"
)

const (
	// trialDelay and loneRequestTrialDelay are the times after the latest crash or trial of
	// a suspect before the next trial. The latter is for a request that is in crashes which
	// no other one explains: it concerns one caller, and is the cause nearly always. A part
	// may concern all callers of a route, and of two requests in the same crashes one is
	// sound.
	trialDelay            = 10 * time.Second
	loneRequestTrialDelay = time.Minute
	// maxPartTrials and maxRequestTrials are the numbers of trials, and of crashes above
	// minCrashes, of a quarantined suspect together.
	maxPartTrials    = 2
	maxRequestTrials = 1
	// grantTTL is the time for which a process may use its permission for a trial.
	grantTTL = 10 * time.Second
)

// Trial is the permission of one process to send one request with a quarantined suspect to
// a target. If the suspect is sound, the response clears it.
type Trial struct {
	// ID is unique over all processes.
	ID string `json:"id"`
	// UnixMS is the time at which the process requested the permission, on its clock.
	UnixMS int64 `json:"unix_ms"`
}

// DueTrial returns the suspect because of which a request is refused, if the request would
// show whether that is sound, and a trial is due.
func (t *Table) DueTrial(now time.Time, request Request) (suspect Suspect, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect, quarantined := t.check(request)
	return suspect, quarantined && t.isConclusive(suspect, request) && t.isTrialDue(now, suspect)
}

// isConclusive reports whether a request with a quarantined suspect shows by its response
// whether the suspect is sound: a request that was itself in a crash doesn't tell about the
// parts of its prompt.
func (t *Table) isConclusive(suspect Suspect, request Request) bool {
	return suspect.Request != "" || !t.isSuspected(request)
}

func (t *Table) isTrialDue(now time.Time, suspect Suspect) bool {
	limit := maxRequestTrials
	if suspect.Part != "" {
		limit = maxPartTrials
	}
	state := t.states[suspect]
	if state == nil || len(state.trials)+state.openCount-minCrashes >= limit {
		return false
	}
	delay := trialDelay
	if suspect.Request != "" && !t.isAmbiguous(suspect) {
		delay = loneRequestTrialDelay
	}
	return now.UnixMilli()-state.latestUnixMS() >= delay.Milliseconds()
}

// isAmbiguous reports whether another quarantined request explains the crashes of a request
// as well.
func (t *Table) isAmbiguous(request Suspect) bool {
	for other := range t.quarantined {
		if other != request && other.Request != "" && t.states[request].countWithout(t.states[other]) < minSeparateCrashes {
			return true
		}
	}
	return false
}

// ProposeTrial returns the records that the store must hold so that a trial of a suspect
// begins, if one is due. The trial counts only once AddTrial has been called.
func (t *Table) ProposeTrial(now time.Time, suspect Suspect, id string) (trial Trial, records []Record, due bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, quarantined := t.quarantined[suspect]; !quarantined || !t.isTrialDue(now, suspect) {
		return Trial{}, nil, false
	}
	trial = Trial{ID: id, UnixMS: now.UnixMilli()}
	records = t.snapshot()
	i := slices.IndexFunc(records, func(record Record) bool { return record.Suspect == suspect })
	if i < 0 {
		return Trial{}, nil, false
	}
	records[i].Trials = append(records[i].Trials, trial)
	return trial, records, true
}

// AddTrial records a trial that is in the store, or may be.
func (t *Table) AddTrial(suspect Suspect, trial Trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, ok := t.states[suspect]; ok {
		state.trials[trial.ID] = trial.UnixMS
	}
}

// Grant permits one request that is refused because of a suspect to take a trial.
func (t *Table) Grant(now time.Time, suspect Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.granted[suspect] = now.Add(grantTTL)
}

// TakeTrial reports whether a request may be sent to a target in spite of a quarantined
// suspect, and uses up the permission.
func (t *Table) TakeTrial(now time.Time, suspect Suspect, request Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.granted[suspect]
	if !ok || !t.isConclusive(suspect, request) {
		return false
	}
	delete(t.granted, suspect)
	return now.Before(until)
}
