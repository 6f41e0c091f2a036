package fleet

import "time"

// Target is a running engine or service process.
type Target struct {
	// ID identifies the target in the registry.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the target's software. Versions have no order.
	SoftwareVersion string
	Slots           int
	Draining        bool
	// Ended reports that the run has ended, though its entry is still registered: another run,
	// which the registry doesn't name yet, was found at the address.
	Ended bool
	// MayHaveEnded reports that the address has refused a connection since the run was last known
	// to be running, or that the run has ended.
	MayHaveEnded bool
	// RefusedAt is the time of the latest refusal, on the process's monotonic clock, if
	// MayHaveEnded is set.
	RefusedAt time.Duration
	// Models maps the models that the target serves to their weights
	// versions.
	Models map[string]int64
	// StartUnixMS is the start time. It distinguishes a restart of the target
	// under the same ID.
	StartUnixMS int64
	// RemainingWarmUp is the remaining warm-up time, during which the target is
	// slow.
	RemainingWarmUp time.Duration
}

// Boot identifies one run of a target, from its start to its next restart.
type Boot struct {
	ID          string
	StartUnixMS int64
}

// Boot returns the identifier of the target's current run.
func (t *Target) Boot() Boot {
	return Boot{ID: t.ID, StartUnixMS: t.StartUnixMS}
}
