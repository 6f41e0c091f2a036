package schedule

import "time"

// Query describes one prompt to be scheduled.
type Query struct {
	RequestID string
	Account   string
	// Pool is the name of the target pool that serves the prompt.
	Pool string
	// Chain holds the salted hashes of the prompt's full blocks, first block first.
	Chain       []uint64
	BlockTokens int
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Excluded holds the IDs of the VMs that refused or failed this request.
	Excluded []string
	// AnyRegion allows targets of other regions even if the router's own region
	// has eligible ones.
	AnyRegion bool
	// StoreBlocks is the estimated number of leading blocks in the KV cache store.
	StoreBlocks int
}

// Source is the selection rule that made a target a candidate.
type Source string

// Sources of candidates.
const (
	SourceDeep    Source = "deep"
	SourceMiddle  Source = "middle"
	SourceShallow Source = "shallow"
	SourceHot     Source = "hot"
	SourceRandom  Source = "random"
	SourceHint    Source = "hint"
	SourceWhole   Source = "whole_pool"
)

// Candidate is a target to probe. The order of candidates breaks ties between
// equal scores.
type Candidate struct {
	Target Target
	Source Source
}

// Answer is a candidate's reply to a probe.
type Answer struct {
	VMID string
	// State is the state that the agent reports.
	State State
	// EngineBoot is the engine's boot number, or 0 if the agent does not know it.
	EngineBoot uint64
	// MatchedBlocks is the number of the prompt's leading blocks in the engine's
	// cache.
	MatchedBlocks int
	// Wait is the expected time to first token, excluding the prompt's own prefill.
	Wait time.Duration
	// PrefillPerKtoken is the time to prefill 1000 uncached tokens.
	PrefillPerKtoken time.Duration
	// EvictionPPMPerSecond is the share of the cache evicted per second, in
	// millionths.
	EvictionPPMPerSecond uint32
	// ServesModel is true if the model, version and adapter are loaded.
	ServesModel bool
	// HintVMIDs identifies targets that recently served a deeper prefix.
	HintVMIDs []string
	// Queued is the number of requests in the agent's queue and in its engine.
	Queued int
}

// Rejection is the reason why a candidate was filtered out.
type Rejection string

// Rejection reasons, in the order in which they are checked.
const (
	// RejectNone marks a candidate that passed the filter.
	RejectNone        Rejection = ""
	RejectExcluded    Rejection = "excluded"
	RejectState       Rejection = "state"
	RejectBreaker     Rejection = "breaker_open"
	RejectNoAnswer    Rejection = "no_answer"
	RejectModel       Rejection = "model_not_loaded"
	RejectBootUnknown Rejection = "boot_unknown"
)

// StoreSource is the import source that identifies the KV cache store.
const StoreSource = "store"

// ScoredCandidate is a candidate with its probe answer and its score.
type ScoredCandidate struct {
	Candidate Candidate
	// Answer is zero when Rejection is RejectNoAnswer.
	Answer    Answer
	Rejection Rejection
	// MissingTokens is the number of prompt tokens to compute or import.
	MissingTokens int
	// TimeToFirstToken is the expected time to first token of this request.
	TimeToFirstToken time.Duration
	// MissingWeight is the weight of the prefill of missing tokens in the score.
	// A weight of 1 includes no cost to other requests.
	MissingWeight float64
	// Score orders the candidates; the lowest is best.
	Score time.Duration
	// ImportFromVMID is the ID of a VM, or StoreSource; it is empty if computing is
	// cheaper than importing.
	ImportFromVMID string
	// ImportBlocks is the number of leading blocks in the cache after the import.
	ImportBlocks int
}

// Decision is the result of one round of probes.
type Decision struct {
	Policy    string
	RequestID string
	// Choices holds the best candidates that passed the filter, best first and
	// at most MaxTries.
	Choices []ScoredCandidate
	// Others holds the remaining candidates: those beyond MaxTries and those
	// that were rejected.
	Others []ScoredCandidate
	// Probed and Answered are the numbers of probed and answered candidates.
	Probed   int
	Answered int
}

// Choice returns the candidate for a try, counted from 0, and whether there is one.
func (d *Decision) Choice(try int) (ScoredCandidate, bool) {
	if try < 0 || try >= len(d.Choices) {
		return ScoredCandidate{}, false
	}
	return d.Choices[try], true
}
