// Package balance selects a target for each request. It filters the
// candidates, scores the remaining ones by their expected time to the first
// byte, and picks the lowest score.
//
// The package is independent of the transport. Times are offsets on the
// process's monotonic clock.
package balance

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetlimit"
)

// Limits of the prefix state that a Balancer keeps.
const (
	maxPrefixes = 20_000
	maxHolders  = 4
	// holderTTL is the time for which an engine is assumed to keep an unused
	// prefix in its cache.
	holderTTL = 15 * time.Second
	// savedTTL is the time for which the cache store is assumed to keep a
	// saved prefix. It also bounds the time after a restart of the store for
	// which a lost prefix is not saved again.
	savedTTL = 8 * time.Second
)

// Request holds the properties of a request that determine the choice of its
// target.
type Request struct {
	Service string
	// Model is empty for requests without a prompt.
	Model string
	// CacheSalt returns the cache salt for a weights version. Salts separate the
	// cache entries of different versions and of isolated accounts.
	CacheSalt func(version int64) string
	// PromptTokens is the number of tokens of the whole prompt.
	PromptTokens int64
	// SharedParts holds the leading parts of the prompt that other requests share.
	SharedParts []call.PromptPart
	// Stores holds the addresses of the cache stores. Each shared prefix is
	// kept in exactly one of them.
	Stores []string
	// Excluded holds the IDs of the targets that have already been tried.
	Excluded map[string]bool
	// Allowed, if not nil, holds the IDs of the only targets that may be chosen, also
	// if they have been tried.
	Allowed map[string]bool
	// SoftwareVersions, if not nil, holds the software versions that the target may have.
	SoftwareVersions map[string]bool
	// Continues reports that the request goes on with a stream that has begun. It needs a
	// run of a target that is known to have its software version.
	Continues bool
	// AsksRun reports that the target is asked for its run on each new connection before the
	// request is sent, so that a run that may have ended can be chosen.
	AsksRun bool
	// IsBuffered is set if the first byte of the response counts only when all of it has
	// arrived.
	IsBuffered bool
	// ExcludeLimited excludes the targets that name rate limits.
	ExcludeLimited bool
	// MaxExpectedTTFB is the longest acceptable expected time to the first byte;
	// 0 means no limit.
	MaxExpectedTTFB time.Duration

	// cachedSharedID caches the result of sharedID.
	cachedSharedID string
}

// Choice is the target selected for a request, with the estimates that the
// selection is based on.
type Choice struct {
	Target fleet.Target
	// Version is the weights version that the target is assumed to serve.
	Version   int64
	CacheSalt string
	// ExpectedTTFB is the expected time to the first byte.
	ExpectedTTFB time.Duration
	// QueuedTokens is the number of prompt tokens ahead of the request, and DrainRate the
	// number that the target processes per millisecond, as ExpectedTTFB assumes.
	QueuedTokens, DrainRate float64
	// estimate holds what else the expected time rests on, if learned delays apply.
	estimate estimate
	// PrefillTokens is the number of prompt tokens that the target has to process.
	// Imported tokens count at their lower cost.
	PrefillTokens float64
	// CachedTokens is the number of prompt tokens that the target is assumed
	// to hold in its cache.
	CachedTokens int64
	// SaveToStore reports whether the target should save the shared prefix to
	// the cache store.
	SaveToStore bool
	// Import is the source from which the target should import the shared
	// prefix.
	Import ImportSource
	// ImportAddress is the address of the import source.
	ImportAddress string
	// StoreAddress is the address of the cache store for the shared prefix;
	// empty if there is none.
	StoreAddress string
	// Prefix identifies the shared prefix under its salt; 0 if there is none.
	Prefix uint64
	// Primary reports whether the target is the primary candidate for the prefix.
	Primary bool
	// RecomputedTokens is the number of shared tokens that the target has to
	// process although another one has processed them.
	RecomputedTokens int64
	// Candidates is the number of targets that passed the filter.
	Candidates int
	// LoadAge is the age of the target's latest load report; negative if
	// there is none.
	LoadAge time.Duration
}

// ImportSource is the kind of source from which a target imports a shared
// prefix.
type ImportSource int

// Import sources.
const (
	ImportFromNone ImportSource = iota
	ImportFromStore
	ImportFromTarget
)

var importNames = [...]string{"none", "store", "target"}

// String returns the name that denotes the source in logs.
func (s ImportSource) String() string { return importNames[s] }

// Refusal describes why no target was selected.
type Refusal struct {
	Reason string
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Refusal reasons.
const (
	ReasonNoTarget = "no_target"
	ReasonLoading  = "loading_weights"
	ReasonOverload = "overload"
	// ReasonPaused: all targets have requested a pause.
	ReasonPaused = "targets_paused"
	// ReasonLimited: all targets name rate limits, which allow no request now.
	ReasonLimited = "targets_limited"
)

// Balancer tracks the state of each target and selects targets for requests.
// It is safe for concurrent use.
type Balancer struct {
	mu             sync.Mutex
	processID      string
	dataCentre     string
	random         *rand.Rand
	targetStates   map[fleet.Boot]*targetState
	statsByService map[string]*serviceStats
	prefixes       *lru.Cache[uint64, *prefixState]
	// peerLoads holds the latest report of each peer.
	peerLoads    map[string]peerReport
	fleetTargets map[TargetKey]*fleetTarget
	// adaptive is set by SetAdaptive.
	adaptive bool
	// reportCount is the number of reports to peers.
	reportCount int
	// lastReportAt is the time at which this process last reported its loads, and
	// resumedAt the end of its latest pause.
	lastReportAt     time.Duration
	resumedAt        time.Duration
	versionHistories map[string]*fleet.VersionHistory
	// versionDeadline is the time after the announcement of newer weights at
	// which no more requests may begin on older ones.
	versionDeadline time.Duration
	storeViews      map[string]*storeView
	heads           *headShares
	importDelays    importDelays
	limits          *targetlimit.Table
	// sharesDrain is set if this process reports its samples of drain rates to its peers.
	sharesDrain bool
	// onDrained is called when this process has no more requests in flight at a
	// target that is cordoned or loading weights, or no more that wait for the
	// first byte. It must not block.
	onDrained func()
}

// prefixState is the state of one shared prefix under one salt.
type prefixState struct {
	holders         []prefixHolder
	saveRequestedAt time.Duration
	// firstSentAt is the time at which this process first sent a request with
	// the prefix.
	firstSentAt time.Duration
}

type prefixHolder struct {
	boot fleet.Boot
	// firstSentAt and lastSentAt are the times of the first and the latest
	// request with the prefix that was sent to the engine.
	firstSentAt, lastSentAt time.Duration
}

// New returns a Balancer for the process processID in dataCentre.
// versionDeadline is the time after the announcement of newer weights for
// which requests may still begin on older ones.
func New(processID, dataCentre string, versionDeadline time.Duration, random *rand.Rand) *Balancer {
	prefixes, err := lru.New[uint64, *prefixState](maxPrefixes)
	if err != nil {
		panic(err)
	}
	return &Balancer{
		processID:        processID,
		dataCentre:       dataCentre,
		random:           random,
		targetStates:     map[fleet.Boot]*targetState{},
		statsByService:   map[string]*serviceStats{},
		prefixes:         prefixes,
		peerLoads:        map[string]peerReport{},
		fleetTargets:     map[TargetKey]*fleetTarget{},
		storeViews:       map[string]*storeView{},
		heads:            newHeadShares(),
		importDelays:     importDelays{byStore: map[string]*movingDelay{}},
		versionHistories: map[string]*fleet.VersionHistory{},
		versionDeadline:  versionDeadline,
		limits:           targetlimit.New(processID, random.Uint64()),
	}
}

// Limits returns the rate limits that targets name.
func (b *Balancer) Limits() *targetlimit.Table { return b.limits }

// OnDrained sets the function that is called when this process has no more
// requests in flight at a target that is cordoned or loading weights, or no more
// that wait for the first byte. The function must not block.
func (b *Balancer) OnDrained(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onDrained = fn
}

// AnnounceVersion records a weights version of a model that was announced at the
// given time, and reports whether it is newer than all known ones.
func (b *Balancer) AnnounceVersion(at time.Duration, model string, version int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versionHistory(model).Announce(at, version)
}

// MaxAnnouncedVersions is the number of versions of a model whose announcements a
// process reports. Older ones are no longer loaded by any engine.
const MaxAnnouncedVersions = 6

// AnnouncementAges calls fn with the newest announced weights versions of each
// model, at most limit of them, and the times since their announcements.
func (b *Balancer) AnnouncementAges(now time.Duration, limit int, fn func(model string, version int64, age time.Duration)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for model, history := range b.versionHistories {
		history.Latest(limit, func(version int64, announcedAt time.Duration) { fn(model, version, now-announcedAt) })
	}
}

// AnnouncedVersions returns the newest announced weights version of each model.
func (b *Balancer) AnnouncedVersions() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	announced := make(map[string]int64, len(b.versionHistories))
	for model, history := range b.versionHistories {
		if newest := history.Newest(); newest > 0 {
			announced[model] = newest
		}
	}
	return announced
}

// Staleness returns the time since a model's weights version was superseded, or
// 0 if it is current.
func (b *Balancer) Staleness(now time.Duration, model string, version int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versionHistory(model).Staleness(now, version)
}

func (b *Balancer) versionHistory(model string) *fleet.VersionHistory {
	h, ok := b.versionHistories[model]
	if !ok {
		h = &fleet.VersionHistory{}
		b.versionHistories[model] = h
	}
	return h
}

// Pick selects a target among the candidates.
func (b *Balancer) Pick(now time.Duration, req *Request, candidates []fleet.Target) (Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	eligible, refusal := b.filter(now, req, candidates)
	if refusal != nil {
		return Choice{}, refusal
	}
	best := b.lowestScore(now, req, eligible)
	if req.MaxExpectedTTFB > 0 && best.ExpectedTTFB > req.MaxExpectedTTFB {
		return Choice{}, &Refusal{Reason: ReasonOverload, RetryAfter: best.ExpectedTTFB - req.MaxExpectedTTFB/2}
	}
	b.limits.Take(now, best.Target.Boot())
	return best, nil
}

// lowestScore returns the choice with the lowest score among the candidates.
func (b *Balancer) lowestScore(now time.Duration, req *Request, candidates []candidate) Choice {
	remotePenalty := crossDataCentrePenalty
	if stats := b.serviceStats(req.Service); req.Model != "" && b.isAdaptive(stats) {
		b.estimateQueues(now, stats, candidates)
		setSpeedClasses(candidates)
		remotePenalty = b.remotePenalty(candidates)
	}
	preferred := b.affinity(now, req, candidates)
	stored := map[string]storeMatch{}
	var best Choice
	var bestScore time.Duration
	for i := range candidates {
		choice, score := b.score(now, req, candidates, i, preferred, stored, remotePenalty)
		score += b.spreadPenalty(req, candidates, i, preferred)
		if req.MaxExpectedTTFB > 0 && choice.ExpectedTTFB > req.MaxExpectedTTFB {
			score += excessTTFBPenalty
		}
		if i == 0 || score < bestScore {
			best, bestScore = choice, score
		}
	}
	best.Candidates = len(candidates)
	return best
}

// sharedID returns the identifier of the shared prefix, which is unique within
// a salt.
func (r *Request) sharedID() string {
	if r.cachedSharedID != "" {
		return r.cachedSharedID
	}
	for i := range r.SharedParts {
		r.cachedSharedID += r.SharedParts[i].ID + ","
	}
	return r.cachedSharedID
}

func (r *Request) sharedTokens() int64 {
	tokens := int64(0)
	for i := range r.SharedParts {
		tokens += r.SharedParts[i].Tokens
	}
	return tokens
}

func prefixKey(salt, id string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + id)
}

// Prune removes the state of targets that are no longer listed and have no
// requests in flight.
func (b *Balancer) Prune(targets []fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[fleet.Boot]bool, len(targets))
	for i := range targets {
		listed[targets[i].Boot()] = true
	}
	known := map[*fleetTarget]bool{}
	for boot, s := range b.targetStates {
		if !listed[boot] && s.inFlight == 0 && s.pending == 0 {
			delete(b.targetStates, boot)
			continue
		}
		known[s.fleet] = true
	}
	for key, f := range b.fleetTargets {
		if !known[f] && f.peers.InFlight == 0 {
			delete(b.fleetTargets, key)
		}
	}
	for _, report := range b.peerLoads {
		maps.DeleteFunc(report.drains, func(key TargetKey, _ decayedSums) bool { return b.fleetTargets[key] == nil })
	}
}
