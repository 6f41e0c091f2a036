package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
	"github.com/baobabhub/baobabhub/pkg/slottable"
)

// Options bounds a Remote.
type Options struct {
	// AskTimeout bounds the wait for one part's answer.
	AskTimeout time.Duration
	// MaxWait bounds the time that a request waits for tokens.
	MaxWait time.Duration
	// MaxOwnerWait bounds the time that a request waits for any part to have an
	// owner that answers, such as during a takeover.
	MaxOwnerWait time.Duration
	// MinPause is the least time between two rounds of one request.
	MinPause time.Duration
	// RoundPause is the time between two rounds over parts of which none
	// could decide.
	RoundPause time.Duration
	// MaxWaiting bounds the requests that wait for tokens at one time.
	MaxWaiting int
	// Settlements bounds the settlements not sent yet.
	Settlements int
}

// DefaultOptions returns the options of a router.
func DefaultOptions() Options {
	return Options{
		AskTimeout:   150 * time.Millisecond,
		MaxWait:      time.Second,
		MaxOwnerWait: 3 * time.Second,
		MinPause:     5 * time.Millisecond,
		RoundPause:   50 * time.Millisecond,
		MaxWaiting:   1024,
		Settlements:  8192,
	}
}

// Config joins what a Remote is made of.
type Config struct {
	Options    Options
	DataCentre string
	Bundles    *bundle.Store
	Peers      *peer.Client
	// Slots says who owns the slots, and how to ask agents for them.
	Slots  slottable.Config
	Origin func() *peerpb.Origin
	// OnReply takes the origin of each answer with the address it came from.
	OnReply func(origin *peerpb.Origin, address string)
	Log     *eventlog.Logger
}

// Remote asks the owners of bucket parts over the peer protocol. It keeps
// nothing that matters. It is safe for concurrent use.
type Remote struct {
	Config
	started time.Time
	waiting chan struct{}
	settles chan settlement
	lines   lines

	mu      sync.Mutex
	chooser *ratelimit.PartSelector
	random  *rand.Rand
}

var _ Admitter = (*Remote)(nil)

// NewRemote returns a Remote; Run must run for settlements to be sent.
func NewRemote(config Config) *Remote {
	return &Remote{
		Config:  config,
		started: time.Now(),
		waiting: make(chan struct{}, config.Options.MaxWaiting),
		settles: make(chan settlement, config.Options.Settlements),
		chooser: ratelimit.NewPartSelector(config.DataCentre),
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Reserve implements Admitter.
func (r *Remote) Reserve(ctx context.Context, request Request) (Reservation, *outcome.Refusal) {
	if request.Account == "" {
		return openReservation{}, nil
	}
	now := time.Now()
	a := &ask{
		remote: r, request: request, unanswered: map[uint32]bool{},
		deadline: now.Add(max(r.Options.MaxOwnerWait, r.Options.MaxWait)), tokenDeadline: now.Add(r.Options.MaxWait),
	}
	slot, refusal := a.run(ctx)
	a.giveBack(slot, refusal == nil)
	if refusal != nil {
		return nil, refusal
	}
	return &reservation{remote: r, account: request.Account, requestID: request.RequestID, slot: slot}, nil
}

// order returns the parts in the order to ask them; nil without a bundle that
// knows the account.
func (r *Remote) order(request Request) []ratelimit.Candidate {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil
	}
	account := snapshot.Index.Account(request.Account)
	if account == nil {
		return nil
	}
	whole := ratelimit.Limit{RateTokensPerSecond: account.RateTokensPerSecond, BurstTokens: account.BurstTokens}
	slots := ratelimit.PartSlots(request.Account, r.Slots.Table.Count())
	candidates := make([]ratelimit.Candidate, len(slots))
	for i, slot := range slots {
		owner, _ := r.Slots.Table.Owner(slot)
		candidates[i] = ratelimit.Candidate{Slot: slot, DataCentre: owner.HomeDataCentre, PartLimit: whole.Share(i, len(slots))}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Rank(r.now(), r.random, request.Account, int64(request.Tokens), candidates, len(candidates))
}

func (r *Remote) now() time.Duration {
	return time.Since(r.started)
}

func (r *Remote) noteLevel(account string, slot uint32, level int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.RecordLevel(r.now(), account, slot, level)
}

func (r *Remote) noteFailed(slot uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.RecordFailure(r.now(), slot)
}

// reservation implements Reservation.
type reservation struct {
	remote    *Remote
	account   string
	requestID string
	slot      uint32
}

// Settle implements Reservation. Without room the settlement is dropped, and
// the tokens stay charged.
func (r *reservation) Settle(usedTokens int) {
	r.remote.settle(settlement{account: r.account, requestID: r.requestID, slot: r.slot, used: usedTokens})
}
