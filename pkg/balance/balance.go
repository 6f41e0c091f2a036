// Package balance chooses a target for each request: it filters the candidates,
// scores the rest by the expected time to the first byte, and picks the least.
// It knows no transport; times are offsets on the process's monotonic clock.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Bounds of what a Balancer remembers.
const (
	maxChains  = 20_000
	maxHolders = 4
	// holderMemory is how long an engine is believed to keep a prefix unused.
	holderMemory = 15 * time.Second
	// saveMemory is how long the cache store is believed to keep a saved prefix;
	// it bounds how long a restarted store goes without one.
	saveMemory = 8 * time.Second
)

// Request is what the choice depends on.
type Request struct {
	Service string
	// Model is empty for requests without a prompt.
	Model string
	// CacheSalt separates the caches of weights versions and isolated accounts.
	// It is asked for each weights version.
	CacheSalt func(version int64) string
	// PromptTokens is the whole prompt.
	PromptTokens int64
	// SharedParts are the leading parts of the prompt that other requests share.
	SharedParts []call.PromptPart
	// Stores are the addresses of the cache stores; each shared part lies in one.
	Stores []string
	// Excluded targets have been tried.
	Excluded map[string]bool
	// MaxExpectedTTFB is the longest expected wait at which the request is still of
	// use to its caller.
	MaxExpectedTTFB time.Duration

	// id is what sharedID returns, once it was asked for.
	id string
}

// Choice is the target for a request and why.
type Choice struct {
	Target fleet.Target
	// Version is the weights version that the target is believed to have.
	Version   int64
	CacheSalt string
	// ExpectedTTFB is the expected time to the first byte.
	ExpectedTTFB time.Duration
	// PrefillTokens is the prompt tokens to read there, with imports at their lower cost.
	PrefillTokens float64
	// CachedTokens is what the target is believed to hold of the prompt.
	CachedTokens int64
	// SaveToStore says that the shared part is not known to be in the cache store.
	SaveToStore bool
	// Import says where to import the shared part from.
	Import ImportSource
	// ImportAddress is the source's address.
	ImportAddress string
	// StoreAddress is the address of the shared part's cache store; empty for none.
	StoreAddress string
	// Candidates is the number of targets left by the filter.
	Candidates int
	// LoadAge is the age of the target's own report of its load; negative if none.
	LoadAge time.Duration
}

// ImportSource is where a target may import a shared part from.
type ImportSource int

// Sources of imports.
const (
	ImportFromNone ImportSource = iota
	ImportFromStore
	ImportFromTarget
)

var importNames = [...]string{"none", "store", "target"}

// String names the source as the log does.
func (s ImportSource) String() string { return importNames[s] }

// Refusal says why there is no target.
type Refusal struct {
	Reason string
	// RetryAfter is when it is worth coming back.
	RetryAfter time.Duration
}

// Reasons of refusals.
const (
	ReasonNoTarget = "no_target"
	ReasonLoading  = "loading_weights"
	ReasonOverload = "overload"
)

// Balancer keeps what is known of each target. It is safe for concurrent use.
type Balancer struct {
	mu         sync.Mutex
	self       string
	dataCentre string
	random     *rand.Rand
	states     map[fleet.Boot]*state
	services   map[string]*serviceStats
	chains     *lru.Cache[uint64, *chain]
	peers      map[string]map[TargetKey]TargetLoad
	rollout    map[string]*fleet.VersionHistory
	// versionDeadline is when older weights may begin no request any more.
	versionDeadline time.Duration
	stores          map[string]*storeView
	// emptied is called, without blocking, when this process's requests at a
	// target that is about to change its weights have begun or ended.
	emptied func()
}

// chain is what is known of one shared part under one salt.
type chain struct {
	holders []holder
	savedAt time.Duration
	// since is when this process first sent a request with the part.
	since time.Duration
}

type holder struct {
	boot fleet.Boot
	// since and at are when the first and the last request went there.
	since, at time.Duration
}

// New returns a Balancer of the process named self in a data centre. versionDeadline is how
// long after newer weights were named a request may begin on older ones.
func New(self, dataCentre string, versionDeadline time.Duration, random *rand.Rand) *Balancer {
	chains, err := lru.New[uint64, *chain](maxChains)
	if err != nil {
		panic(err)
	}
	return &Balancer{
		self:            self,
		dataCentre:      dataCentre,
		random:          random,
		states:          map[fleet.Boot]*state{},
		services:        map[string]*serviceStats{},
		chains:          chains,
		peers:           map[string]map[TargetKey]TargetLoad{},
		stores:          map[string]*storeView{},
		rollout:         map[string]*fleet.VersionHistory{},
		versionDeadline: versionDeadline,
	}
}

// OnDrained sets what to call when a target that is about to change its weights
// waits for no request of this process any more. It must not block.
func (b *Balancer) OnDrained(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.emptied = fn
}

// AnnounceVersion notes the version named for a model's weights and says whether it
// is newer than those before.
func (b *Balancer) AnnounceVersion(now time.Duration, model string, version int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.history(model).Announce(now, version)
}

// AnnouncedVersions returns the newest version named for each model.
func (b *Balancer) AnnouncedVersions() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	named := make(map[string]int64, len(b.rollout))
	for model, history := range b.rollout {
		if newest := history.Newest(); newest > 0 {
			named[model] = newest
		}
	}
	return named
}

// Staleness returns for how long a version of a model has been out of date.
func (b *Balancer) Staleness(now time.Duration, model string, version int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.history(model).Staleness(now, version)
}

func (b *Balancer) history(model string) *fleet.VersionHistory {
	h, ok := b.rollout[model]
	if !ok {
		h = &fleet.VersionHistory{}
		b.rollout[model] = h
	}
	return h
}

// Pick chooses a target among candidates.
func (b *Balancer) Pick(now time.Duration, req *Request, candidates []fleet.Target) (Choice, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left, refusal := b.filter(now, req, candidates)
	if refusal != nil {
		return Choice{}, refusal
	}
	best := b.least(now, req, left)
	if req.MaxExpectedTTFB > 0 && best.ExpectedTTFB > req.MaxExpectedTTFB {
		return Choice{}, &Refusal{Reason: ReasonOverload, RetryAfter: best.ExpectedTTFB - req.MaxExpectedTTFB/2}
	}
	return best, nil
}

// least scores all candidates and returns the one with the lowest score.
func (b *Balancer) least(now time.Duration, req *Request, candidates []candidate) Choice {
	home := b.home(req, candidates)
	var best Choice
	bestScore := time.Duration(-1)
	for i := range candidates {
		choice, score := b.score(now, req, candidates, i, home)
		if req.MaxExpectedTTFB > 0 && choice.ExpectedTTFB > req.MaxExpectedTTFB {
			score += tooLatePenalty
		}
		if bestScore < 0 || score < bestScore {
			best, bestScore = choice, score
		}
	}
	best.Candidates = len(candidates)
	return best
}

// home returns the candidate that all processes prefer for the shared part, by
// rendezvous hashing; -1 without a shared part.
func (b *Balancer) home(req *Request, candidates []candidate) int {
	if len(req.SharedParts) == 0 {
		return -1
	}
	id := req.sharedID()
	best, bestHash := -1, uint64(0)
	for i := range candidates {
		hash := xxhash.Sum64String(id + "\x00" + candidates[i].target.ID)
		if best < 0 || hash > bestHash {
			best, bestHash = i, hash
		}
	}
	return best
}

// sharedID names the shared part within a salt.
func (r *Request) sharedID() string {
	if r.id != "" {
		return r.id
	}
	for i := range r.SharedParts {
		r.id += r.SharedParts[i].ID + ","
	}
	return r.id
}

func (r *Request) sharedTokens() int64 {
	tokens := int64(0)
	for i := range r.SharedParts {
		tokens += r.SharedParts[i].Tokens
	}
	return tokens
}

func chainKey(salt, id string) uint64 {
	return xxhash.Sum64String(salt + "\x00" + id)
}

// Prune forgets targets that are no longer listed.
func (b *Balancer) Prune(targets []fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[fleet.Boot]bool, len(targets))
	for i := range targets {
		listed[targets[i].Boot()] = true
	}
	for boot, s := range b.states {
		if !listed[boot] && s.running == 0 && s.unstarted == 0 {
			delete(b.states, boot)
		}
	}
}
