package quarantine

import (
	"math"
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
	// unsureTrialDelay is that time for a suspect whose crashes a common cause explains as
	// well: it is likely to be sound, and its callers wait.
	unsureTrialDelay = time.Second
	// unconfirmedTrialDelay is that time for a suspect whose crashes only seem to be some: it
	// mostly shows by then whether the runs have ended.
	unconfirmedTrialDelay = 5 * time.Second
	// maxPartTrials and maxRequestTrials are the numbers of trials of a quarantined suspect,
	// whatever the number of its crashes: what is refused can't be cleared in another way.
	// Trials that have shown nothing are not counted.
	maxPartTrials    = 2
	maxRequestTrials = 1
	// maxUnusedTrials is the number of trials that wait for a request without other suspicious
	// parts.
	maxUnusedTrials = 2
	// maxTrialsPerSuspect bounds the trials that are remembered, with those that nobody used.
	maxTrialsPerSuspect = 32
	// grantTTL is the time for which a process may use its permission for a trial.
	grantTTL = 10 * time.Second
	// expectedTrialTime is the time that a trial takes, including the write to the store.
	expectedTrialTime = time.Second
	// maxTrialWait bounds the wait that is named to a caller whose request is refused.
	maxTrialWait = 10 * time.Second
)

// Trial is the permission of one process to send one request with a quarantined suspect to
// a target. If the suspect is sound, the response clears it.
type Trial struct {
	// ID is unique over all processes.
	ID string `json:"id"`
	// UnixMS is the time at which the process requested the permission, on its clock.
	UnixMS int64 `json:"unix_ms"`
	// Unused is set once the process can't use the permission any more, and has not used it.
	Unused bool `json:"unused,omitempty"`
	// Answered is set once its target has answered with an error, and has gone on.
	Answered bool `json:"answered,omitempty"`
}

// grant is the permission of this process to make a trial.
type grant struct {
	trialID string
	until   time.Time
	// taken is set once a request has taken it.
	taken bool
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

// hasOtherSuspiciousPart reports whether a request has another part that may crash its target, so that a crash
// would not tell about the suspect. If trials stay unused for want of others, it may be taken.
func (t *Table) hasOtherSuspiciousPart(suspect Suspect, request Request) bool {
	state, ok := t.states[suspect]
	if !ok || suspect.Request != "" || state.unusedTrials() >= maxUnusedTrials {
		return false
	}
	return slices.ContainsFunc(request.suspects(), func(other Suspect) bool {
		isSubject := other == suspect || other.Part == "" || slices.Contains(t.quarantined[suspect].companions, other)
		return !isSubject && t.states[other] != nil && t.states[other].hasSupportedCrash()
	})
}

func (t *Table) isTrialDue(now time.Time, suspect Suspect) bool {
	if !t.hasTrials(suspect) {
		return false
	}
	return now.UnixMilli()-t.states[suspect].latestUnixMS() >= t.trialDelay(suspect).Milliseconds()
}

// hasTrials reports whether a suspect has trials left.
func (t *Table) hasTrials(suspect Suspect) bool {
	limit := maxRequestTrials
	if suspect.Part != "" {
		limit = maxPartTrials
	}
	state := t.states[suspect]
	return state != nil && len(state.trials) < maxTrialsPerSuspect && state.countedTrials() < limit
}

// trialDelay returns the time after the latest crash or trial of a suspect before the next one.
func (t *Table) trialDelay(suspect Suspect) time.Duration {
	switch {
	case t.quarantined[suspect].unconfirmed:
		return unconfirmedTrialDelay
	case !t.quarantined[suspect].sure:
		return unsureTrialDelay
	case suspect.Request != "" && !t.isAmbiguous(suspect):
		return loneRequestTrialDelay
	default:
		return trialDelay
	}
}

// countedTrials returns the number of trials of a suspect without those that have shown nothing:
// no request used them, their target answered with an error, or other targets crashed at the same moment as the trial's one.
func (s *suspectState) countedTrials() int {
	count := 0
	trials := s.sortedTrials()
	for i := range trials {
		if trials[i].Unused || trials[i].Answered {
			continue
		}
		end := int64(math.MaxInt64)
		if i+1 < len(trials) {
			end = trials[i+1].UnixMS
		}
		crash := s.firstCrash(trials[i].UnixMS, end)
		if crash == nil || !crash.Coincided {
			count++
		}
	}
	return count
}

// firstCrash returns the first open crash from one time up to another one, or nil.
func (s *suspectState) firstCrash(from, to int64) *Crash {
	for _, crash := range s.open() {
		if from <= crash.UnixMS && crash.UnixMS < to {
			return crash
		}
	}
	return nil
}

// unusedTrials returns the number of trials that nobody used.
func (s *suspectState) unusedTrials() int {
	count := 0
	for _, trial := range s.trials {
		if trial.Unused {
			count++
		}
	}
	return count
}

// hasSupportedCrash reports whether targets crashed under the suspect, and none without it at the
// same moment.
func (s *suspectState) hasSupportedCrash() bool {
	return slices.ContainsFunc(s.open(), func(crash *Crash) bool { return !crash.isContradicted })
}

// hasTrialBefore reports whether a trial had begun when a target crashed.
func (s *suspectState) hasTrialBefore(crash *Crash) bool {
	for _, trial := range s.trials {
		if !trial.Unused && trial.UnixMS <= crash.UnixMS {
			return true
		}
	}
	return false
}

// untilTrialEnds returns the time until it is expected to be known whether a suspect is sound.
func (t *Table) untilTrialEnds(now time.Time, suspect Suspect) time.Duration {
	if !t.hasTrials(suspect) {
		return maxTrialWait
	}
	due := time.UnixMilli(t.states[suspect].latestUnixMS()).Add(t.trialDelay(suspect))
	return min(max(0, due.Sub(now))+expectedTrialTime, maxTrialWait)
}

// isAmbiguous reports whether another quarantined request explains the crashes of a request
// as well.
func (t *Table) isAmbiguous(request Suspect) bool {
	for other := range t.quarantined {
		if other != request && other.Request != "" && t.states[request].strengthWithout(t.states[other]) < minSeparateCrashes {
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
		state.mergeTrial(trial)
	}
}

// Grant permits one request that is refused because of a suspect to take a trial that AddTrial
// has recorded.
func (t *Table) Grant(now time.Time, suspect Suspect, trial Trial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.granted[suspect] = grant{trialID: trial.ID, until: now.Add(grantTTL)}
}

// TakeTrial reports whether a request may be sent to a target in spite of a quarantined
// suspect, and uses up the permission.
func (t *Table) TakeTrial(now time.Time, suspect Suspect, request Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	granted, ok := t.granted[suspect]
	if !ok || granted.taken || now.After(granted.until) || !t.isConclusive(suspect, request) || t.hasOtherSuspiciousPart(suspect, request) {
		return false
	}
	granted.taken = true
	t.granted[suspect] = granted
	return true
}

// ReturnTrial lets another request take a trial that no target has begun to run.
func (t *Table) ReturnTrial(now time.Time, suspect Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if granted, ok := t.granted[suspect]; ok {
		granted.taken = false
		granted.until = now.Add(grantTTL)
		t.granted[suspect] = granted
	}
}

// expireGrants marks the trials that no request has taken in time.
func (t *Table) expireGrants(now time.Time) {
	for suspect, granted := range t.granted {
		if !now.After(granted.until) {
			continue
		}
		delete(t.granted, suspect)
		state, ok := t.states[suspect]
		if ok && !granted.taken && state.mergeTrial(Trial{ID: granted.trialID, UnixMS: now.UnixMilli(), Unused: true}) {
			state.observedAt = now
		}
	}
}
