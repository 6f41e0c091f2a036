// Package bundlesync brings the newest signed bundle to a process: from the
// key-value service, and from any peer that has a newer one.
package bundlesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// Keys in the key-value service. The head is written first and decides which
// of two racing operators wins; the whole bundle may lag behind it by one
// version.
const (
	// HeadKey holds the encoded difference that leads to the newest version.
	HeadKey = "bundle/head"
	// WholeKey holds an encoded signed bundle.
	WholeKey = "bundle/whole"
)

const (
	// rereadPeriod is the time between re-reads beside the watch: a silent watch
	// must not hold a bundle back for longer than the target of 3 s.
	rereadPeriod = 2500 * time.Millisecond
	// gossipPeriod is the mean time between exchanges with a random peer.
	gossipPeriod = time.Second
	// compareTries bounds the peers that are asked when others don't answer.
	compareTries = 3
	// compareTimeout bounds one comparison, peerTimeout one fetch.
	compareTimeout = 500 * time.Millisecond
	peerTimeout    = 2 * time.Second
	// heardCapacity bounds the peers remembered as having a newer bundle.
	heardCapacity = 16
)

// Config joins what a Runner is made of.
type Config struct {
	Bundles *bundle.Store
	KVStore kv.Store
	Peers   *peer.Client
	// Agents returns the addresses of agents to ask, seeds included.
	Agents func() []string
	// Origin makes the sender's part of messages.
	Origin func() *peerpb.Origin
	Log    *eventlog.Logger
}

// Syncer keeps one process's bundle store up to date.
type Syncer struct {
	Config
	heard chan string
}

// New returns a Runner.
func New(config Config) *Syncer {
	return &Syncer{Config: config, heard: make(chan string, heardCapacity)}
}

// ObserveOrigin tells that a message came from a peer; a newer bundle version in its
// origin makes the runner fetch from the peer's address.
func (r *Syncer) ObserveOrigin(origin *peerpb.Origin, address string) {
	if origin.GetBundleVersion() <= r.Bundles.Version() {
		return
	}
	select {
	case r.heard <- address:
	default:
		// Other peers are being asked already.
	}
}

// Run works until ctx ends.
func (r *Syncer) Run(ctx context.Context) {
	go platform.Follow(ctx, r.KVStore, HeadKey, rereadPeriod, func(update platform.Update) {
		r.take(ctx, update)
	})
	r.fetchFirst(ctx)
	r.gossip(ctx)
}

// take offers what the head key holds, and reads the whole bundle when the
// difference does not fit the bundle in force.
func (r *Syncer) take(ctx context.Context, update platform.Update) {
	for _, entry := range update.Entries {
		r.takeHead(ctx, entry)
	}
	for _, change := range update.Changes {
		if !change.Deleted {
			r.takeHead(ctx, change.Entry)
		}
	}
}

func (r *Syncer) takeHead(ctx context.Context, head kv.Entry) {
	if head.Key != HeadKey {
		return
	}
	if r.Bundles.OfferDifferenceBytes(head.Value).Outcome != bundle.OutcomeNeedWhole {
		return
	}
	whole, err := r.KVStore.Get(ctx, WholeKey)
	if err != nil {
		return
	}
	r.Bundles.OfferBytes(whole.Value)
	r.Bundles.OfferDifferenceBytes(head.Value)
}

// firstFetchPause is the time between rounds over the peers at the start.
const firstFetchPause = 50 * time.Millisecond

// fetchFirst asks peers until some bundle is in force.
func (r *Syncer) fetchFirst(ctx context.Context) {
	for r.Bundles.Current() == nil {
		for _, address := range peer.Shuffled(r.Agents()) {
			if r.fetch(ctx, address) == nil && r.Bundles.Current() != nil {
				return
			}
		}
		if !clock.Sleep(ctx, firstFetchPause) {
			return
		}
	}
}

// gossip fetches from peers that were heard of, and now and then compares
// versions with a random one, so that a process whose watch is silent and that
// nobody calls still learns of a new bundle.
func (r *Syncer) gossip(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-r.heard:
			r.fetchLogged(ctx, address)
		case <-time.After(jittered(gossipPeriod)):
			r.compare(ctx)
		}
	}
}

// compare asks the first of a few random agents that answers.
func (r *Syncer) compare(ctx context.Context) {
	agents := peer.Shuffled(r.Agents())
	for _, address := range agents[:min(compareTries, len(agents))] {
		version, err := r.versionAt(ctx, address)
		if err != nil {
			continue
		}
		if version > r.Bundles.Version() {
			r.fetchLogged(ctx, address)
		}
		return
	}
}

// versionAt returns the version that an agent has in force.
func (r *Syncer) versionAt(ctx context.Context, address string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: r.Origin()})
	if err != nil {
		r.Peers.Abandon(address)
		return 0, errors.Trace(err)
	}
	return reply.GetOrigin().GetBundleVersion(), nil
}

func (r *Syncer) fetchLogged(ctx context.Context, address string) {
	if err := r.fetch(ctx, address); err != nil {
		r.Log.Log(eventlog.BundleFetchFailed, "peer", address, "err", err)
	}
}

// fetch brings the bundle in force up to a peer's.
func (r *Syncer) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, address).FetchBundle(ctx, &peerpb.FetchBundleRequest{
		Origin:      r.Origin(),
		HaveVersion: r.Bundles.Version(),
	})
	if err != nil {
		return errors.Trace(err)
	}
	for _, difference := range reply.SignedDifferences {
		r.Bundles.OfferDifferenceBytes(difference)
	}
	if len(reply.SignedBundle) > 0 {
		r.Bundles.OfferBytes(reply.SignedBundle)
	}
	return nil
}

// jittered returns a time between half and one and a half of the period.
func jittered(period time.Duration) time.Duration {
	return period/2 + time.Duration(rand.Int64N(int64(period)))
}
