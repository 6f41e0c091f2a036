package fleet

import "time"

// Target is one running engine or service process.
type Target struct {
	// ID names one start of the target.
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Models maps the models that the target serves to their weights versions.
	Models map[string]int64
	// StartUnixMS is the time of its start; a target may start again under its ID.
	StartUnixMS int64
	// RemainingWarmUp is how much longer the target is slow after its start.
	RemainingWarmUp time.Duration
}

// Boot identifies one start of a target.
type Boot struct {
	ID          string
	StartUnixMS int64
}

// Boot returns the target's boot.
func (t *Target) Boot() Boot {
	return Boot{ID: t.ID, StartUnixMS: t.StartUnixMS}
}
