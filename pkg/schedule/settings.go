package schedule

import "time"

// Settings configures a Scheduler. The zero value is not usable; start from
// DefaultSettings.
type Settings struct {
	// WholePoolTargets is the largest pool size at which every target is probed.
	WholePoolTargets int
	// DeepCandidates, MiddleCandidates, ShallowCandidates and RandomCandidates are
	// the numbers of candidates selected by the chain's last hash, by the hash at
	// MiddleLevel, by the hash at ShallowLevel and at random.
	DeepCandidates    int
	MiddleCandidates  int
	ShallowCandidates int
	RandomCandidates  int
	// MiddleLevel and ShallowLevel are chain positions, counted from 1.
	MiddleLevel  int
	ShallowLevel int
	// HotRequestsPerSecond is the fleet-wide request rate of a hash for which one
	// candidate is added; twice that rate adds two. 0 adds none.
	HotRequestsPerSecond float64
	// HotDecay is the time constant of the rate estimates; HotEntries bounds the
	// number of hashes with an estimate.
	HotDecay   time.Duration
	HotEntries int
	// MaxCandidates bounds the candidates of a request, excluding hints.
	MaxCandidates int
	// MaxHints bounds the additional probes from hints.
	MaxHints int
	// MaxTries bounds the number of targets that a request is dispatched to.
	MaxTries int

	// SameRegionRTT and OtherRegionRTT are the round-trip times from this router
	// to targets in another data centre of its region and in another region.
	SameRegionRTT  time.Duration
	OtherRegionRTT time.Duration
	// MinMissingWeight and MaxMissingWeight bound the weight of the prefill of
	// missing tokens.
	MinMissingWeight float64
	MaxMissingWeight float64
	// FullPressurePPM is the share of the cache, in millionths, evicted during the
	// prefill of one block at which MaxMissingWeight applies.
	FullPressurePPM float64
	// EngineImport and StoreImport are the costs of importing cache blocks from
	// another engine and from the KV cache store.
	EngineImport ImportCost
	StoreImport  ImportCost

	Breaker BreakerSettings
}

// ImportCost is the estimated time to copy cached blocks to an engine.
type ImportCost struct {
	// Enabled allows imports of this kind.
	Enabled bool
	// Fixed is the time per import; PerKtoken is the additional time per 1000
	// tokens.
	Fixed     time.Duration
	PerKtoken time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		WholePoolTargets:     8,
		DeepCandidates:       2,
		MiddleCandidates:     2,
		ShallowCandidates:    1,
		RandomCandidates:     1,
		MiddleLevel:          3,
		ShallowLevel:         2,
		HotRequestsPerSecond: 4,
		HotDecay:             5 * time.Second,
		HotEntries:           16384,
		MaxCandidates:        16,
		MaxHints:             2,
		MaxTries:             3,
		SameRegionRTT:        time.Millisecond,
		OtherRegionRTT:       60 * time.Millisecond,
		MinMissingWeight:     1,
		MaxMissingWeight:     4,
		FullPressurePPM:      4_000,
		Breaker: BreakerSettings{
			FailureThreshold: 3,
			OpenDuration:     time.Second,
			MaxOpenDuration:  30 * time.Second,
			TrialTimeout:     5 * time.Second,
			MaxTargets:       4096,
		},
	}
}

// WithEngineImports returns the settings with imports between engines enabled,
// at the typical cost of a copy over a data centre's network. The pool's agents
// must support imports.
func (s Settings) WithEngineImports() Settings {
	s.EngineImport = ImportCost{
		Enabled:   true,
		Fixed:     3 * time.Millisecond,
		PerKtoken: 5 * time.Millisecond,
	}
	return s
}
