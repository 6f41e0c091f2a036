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

// Options configures the timeouts, delays and queue limits of a Remote.
type Options struct {
	// CallTimeout bounds a call to one part's owner.
	CallTimeout time.Duration
	// MaxTokenWait bounds the time that a request waits for tokens.
	MaxTokenWait time.Duration
	// MaxOwnerWait bounds the time that a request waits until any part has a
	// responsive owner, for example during a takeover.
	MaxOwnerWait time.Duration
	// MinRetryDelay is the minimum delay between two rounds of calls to the
	// parts for one request.
	MinRetryDelay time.Duration
	// UnansweredRetryDelay is the delay before the next round if the owners of
	// all parts were unreachable or refused for a reason other than the rate
	// limit.
	UnansweredRetryDelay time.Duration
	// MaxWaitingRequests is the maximum number of requests that wait for
	// admission at the same time.
	MaxWaitingRequests int
	// MaxQueuedSettlements is the maximum number of unsent settlements.
	MaxQueuedSettlements int
}

// DefaultOptions returns the default options of a router.
func DefaultOptions() Options {
	return Options{
		CallTimeout:          150 * time.Millisecond,
		MaxTokenWait:         time.Second,
		MaxOwnerWait:         3 * time.Second,
		MinRetryDelay:        5 * time.Millisecond,
		UnansweredRetryDelay: 50 * time.Millisecond,
		MaxWaitingRequests:   1024,
		MaxQueuedSettlements: 8192,
	}
}

// Config holds the options and dependencies of a Remote.
type Config struct {
	Options    Options
	DataCentre string
	Bundles    *bundle.Store
	Peers      *peer.Client
	// Slots holds the slot table and requests updates of it from agents.
	Slots  slottable.Config
	Origin func() *peerpb.Origin
	// OnReply is called with the origin of each reply and the address of the
	// agent that sent it.
	OnReply func(origin *peerpb.Origin, address string)
	Log     *eventlog.Logger
}

// Remote is an Admitter that calls the owners of bucket parts over the peer
// protocol. It holds no state that must survive a restart. It is safe for
// concurrent use.
type Remote struct {
	Config
	startTime time.Time
	// waitingRequests is a semaphore that bounds the waiting requests.
	waitingRequests chan struct{}
	settlementQueue chan settlement
	queues          accountQueues

	mu       sync.Mutex
	selector *ratelimit.PartSelector
	random   *rand.Rand
}

var _ Admitter = (*Remote)(nil)

// NewRemote returns a Remote. The caller must call Run for settlements to be
// sent.
func NewRemote(config Config) *Remote {
	return &Remote{
		Config:          config,
		startTime:       time.Now(),
		waitingRequests: make(chan struct{}, config.Options.MaxWaitingRequests),
		settlementQueue: make(chan settlement, config.Options.MaxQueuedSettlements),
		selector:        ratelimit.NewPartSelector(config.DataCentre),
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Reserve implements Admitter.
func (r *Remote) Reserve(ctx context.Context, request Request) (Reservation, *outcome.Refusal) {
	if request.Account == "" {
		return noopReservation{}, nil
	}
	now := time.Now()
	a := &admissionAttempt{
		remote: r, request: request, unansweredSlots: map[uint32]bool{},
		deadline: now.Add(max(r.Options.MaxOwnerWait, r.Options.MaxTokenWait)), tokenDeadline: now.Add(r.Options.MaxTokenWait),
	}
	slot, refusal := a.run(ctx)
	a.releaseUnanswered(slot, refusal == nil)
	if refusal != nil {
		return nil, refusal
	}
	return &reservation{remote: r, account: request.Account, requestID: request.RequestID, slot: slot}, nil
}

// orderParts returns the parts in the order in which to call them. It returns
// nil if there is no bundle or the bundle does not contain the account.
func (r *Remote) orderParts(request Request) []ratelimit.Candidate {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil
	}
	account := snapshot.Index.Account(request.Account)
	if account == nil {
		return nil
	}
	bucketLimit := ratelimit.Limit{RateTokensPerSecond: account.RateTokensPerSecond, BurstTokens: account.BurstTokens}
	slots := ratelimit.PartSlots(request.Account, r.Slots.Table.Count())
	candidates := make([]ratelimit.Candidate, len(slots))
	for i, slot := range slots {
		owner, _ := r.Slots.Table.Owner(slot)
		candidates[i] = ratelimit.Candidate{Slot: slot, DataCentre: owner.HomeDataCentre, PartLimit: bucketLimit.Share(i, len(slots))}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.Rank(r.elapsed(), r.random, request.Account, int64(request.Tokens), candidates, len(candidates))
}

// elapsed returns the time since the Remote was created.
func (r *Remote) elapsed() time.Duration {
	return time.Since(r.startTime)
}

// recordLevel records the token level that a part's owner has reported.
func (r *Remote) recordLevel(account string, slot uint32, level int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.RecordLevel(r.elapsed(), account, slot, level)
}

// recordFailure records that a slot's owner was unreachable or refused a request
// for a reason other than the rate limit.
func (r *Remote) recordFailure(slot uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.RecordFailure(r.elapsed(), slot)
}

// reservation implements Reservation.
type reservation struct {
	remote    *Remote
	account   string
	requestID string
	slot      uint32
}

// Settle implements Reservation. If the queue of settlements is full, the
// settlement is dropped and all reserved tokens stay charged.
func (r *reservation) Settle(usedTokens int) {
	r.remote.enqueueSettlement(settlement{account: r.account, requestID: r.requestID, slot: r.slot, usedTokens: usedTokens})
}
