package schedule

import "time"

// Query is one prompt that needs a target.
type Query struct {
	RequestID string
	Account   string
	// Pool names the targets that may serve it.
	Pool string
	// Chain holds the salted hashes of the prompt's full blocks, first first.
	Chain       []uint64
	BlockTokens int
	// PromptTokens is the estimated length of the prompt.
	PromptTokens int
	// Excluded holds the VMs that refused or failed this request.
	Excluded []string
	// AnyRegion lets targets of other regions in while the own region has some.
	AnyRegion bool
	// StoreBlocks is the number of leading blocks that the KV cache store is
	// believed to hold.
	StoreBlocks int
}

// Source says why a target became a candidate.
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

// Candidate is a target to probe, in the order of preference among equals.
type Candidate struct {
	Target Target
	Source Source
}

// Answer is a candidate's reply to a probe.
type Answer struct {
	VMID string
	// State as the agent tells it.
	State State
	// EngineBoot is the engine's boot; 0 when the agent does not know it.
	EngineBoot uint64
	// MatchedBlocks counts the leading blocks that the engine holds.
	MatchedBlocks int
	// Wait is the expected time to the first token without the own prefill.
	Wait time.Duration
	// PrefillPerKtoken is the time to prefill 1000 uncached tokens.
	PrefillPerKtoken time.Duration
	// EvictionPPMPerSecond is the share of the cache evicted, in millionths.
	EvictionPPMPerSecond uint32
	// ServesModel says that model, version and adapter are loaded.
	ServesModel bool
	// HintVMIDs name targets that recently served a deeper prefix.
	HintVMIDs []string
	// Queued counts requests in the agent's queue and in its engine.
	Queued int
}

// Rejection says why a candidate was filtered out.
type Rejection string

// Rejections, in the order in which they are checked.
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

// StoreSource is the import source that stands for the KV cache store.
const StoreSource = "store"

// ScoredCandidate is one candidate with its answer and its score.
type ScoredCandidate struct {
	Candidate Candidate
	// Answer is zero when Rejection is RejectNoAnswer.
	Answer    Answer
	Rejection Rejection
	// MissingTokens are to be computed or imported.
	MissingTokens int
	// TimeToFirstToken is the expectation for this request alone.
	TimeToFirstToken time.Duration
	// MissingWeight is the weight on missing work, 1 for none beyond this request.
	MissingWeight float64
	// Score orders the candidates, least first.
	Score time.Duration
	// ImportFromVMID names a VM, or StoreSource; empty when computing is cheaper.
	ImportFromVMID string
	// ImportBlocks is the number of leading blocks to have after the import.
	ImportBlocks int
}

// Decision is the outcome of one round of probes.
type Decision struct {
	Policy    string
	RequestID string
	// Choices passed the filter, best first; at most MaxTries.
	Choices []ScoredCandidate
	// Others passed the filter too late in the order, or were rejected.
	Others []ScoredCandidate
	// Probed and Answered count the probes.
	Probed   int
	Answered int
}

// Choice returns the target for a try, counted from 0, and whether there is one.
func (d *Decision) Choice(try int) (ScoredCandidate, bool) {
	if try < 0 || try >= len(d.Choices) {
		return ScoredCandidate{}, false
	}
	return d.Choices[try], true
}
