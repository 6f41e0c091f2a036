// Package bundlesync keeps the bundle of a process up to date, from the key-value
// service and from peers that have a newer version. It also publishes bundles and
// reads their history.
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

// Keys in the key-value service. The head is written first and decides which of two
// concurrent operators succeeds; the whole bundle can lag one version behind it.
const (
	// HeadKey holds the encoded difference from the previous version to the newest.
	HeadKey = "bundle/head"
	// WholeKey holds the whole bundle as an encoded signed bundle.
	WholeKey = "bundle/whole"
)

const (
	// pollPeriod is the interval at which the head is read in addition to the
	// watch. A watch that fails silently must not delay a bundle beyond the
	// target of 3 s.
	pollPeriod = 2500 * time.Millisecond
	// gossipPeriod is the mean interval between version comparisons with a random peer.
	gossipPeriod = time.Second
	// maxCompareAttempts limits the peers tried in one comparison if some do not reply.
	maxCompareAttempts = 3
	// compareTimeout limits the version request to one peer, fetchTimeout one fetch.
	compareTimeout = 500 * time.Millisecond
	fetchTimeout   = 2 * time.Second
	// newerPeersCapacity limits the queue of peers known to have a newer bundle.
	newerPeersCapacity = 16
)

// Config holds the dependencies that New takes.
type Config struct {
	Bundles *bundle.Store
	KVStore kv.Store
	Peers   *peer.Client
	// Agents returns the addresses of the known agents, including the seeds.
	Agents func() []string
	// Origin returns the sender information for outgoing messages.
	Origin func() *peerpb.Origin
	Log    *eventlog.Logger
}

// Syncer keeps the bundle store of a process up to date.
type Syncer struct {
	Config
	newerPeers chan string
}

// New returns a synchronizer, which starts its work when Run is called.
func New(config Config) *Syncer {
	return &Syncer{Config: config, newerPeers: make(chan string, newerPeersCapacity)}
}

// ObserveOrigin schedules a fetch from address if origin, which a message from that peer
// carried, has a newer bundle version. It never blocks.
func (r *Syncer) ObserveOrigin(origin *peerpb.Origin, address string) {
	if origin.GetBundleVersion() <= r.Bundles.Version() {
		return
	}
	select {
	case r.newerPeers <- address:
	default:
		// The queue holds other peers with a newer bundle.
	}
}

// Run keeps the store up to date until ctx is done.
func (r *Syncer) Run(ctx context.Context) {
	go platform.Follow(ctx, r.KVStore, HeadKey, pollPeriod, func(update platform.Update) {
		r.applyUpdate(ctx, update)
	})
	r.fetchInitial(ctx)
	r.gossip(ctx)
}

// applyUpdate offers the new values of HeadKey in an update to the bundle store.
func (r *Syncer) applyUpdate(ctx context.Context, update platform.Update) {
	for _, entry := range update.Entries {
		r.offerHead(ctx, entry)
	}
	for _, change := range update.Changes {
		if !change.Deleted {
			r.offerHead(ctx, change.Entry)
		}
	}
}

// offerHead offers the difference at HeadKey. If its base is not the active bundle,
// offerHead reads and offers the whole bundle, then offers the difference again.
func (r *Syncer) offerHead(ctx context.Context, head kv.Entry) {
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

// initialFetchInterval is the delay between rounds of fetchInitial.
const initialFetchInterval = 50 * time.Millisecond

// fetchInitial fetches from all agents, round after round, until a bundle is active.
func (r *Syncer) fetchInitial(ctx context.Context) {
	for r.Bundles.Current() == nil {
		for _, address := range peer.Shuffled(r.Agents()) {
			if r.fetch(ctx, address) == nil && r.Bundles.Current() != nil {
				return
			}
		}
		if !clock.Sleep(ctx, initialFetchInterval) {
			return
		}
	}
}

// gossip fetches from the peers queued in newerPeers, and periodically compares
// versions with a random agent. The comparison finds new bundles even if the watch
// has failed silently and no peer sends a message.
func (r *Syncer) gossip(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-r.newerPeers:
			r.fetchAndLog(ctx, address)
		case <-time.After(jitter(gossipPeriod)):
			r.compareVersions(ctx)
		}
	}
}

// compareVersions compares versions with the first of a few random agents that
// replies, and fetches from it if its version is newer.
func (r *Syncer) compareVersions(ctx context.Context) {
	agents := peer.Shuffled(r.Agents())
	for _, address := range agents[:min(maxCompareAttempts, len(agents))] {
		version, err := r.peerVersion(ctx, address)
		if err != nil {
			continue
		}
		if version > r.Bundles.Version() {
			r.fetchAndLog(ctx, address)
		}
		return
	}
}

// peerVersion returns the active bundle version of an agent.
func (r *Syncer) peerVersion(ctx context.Context, address string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: r.Origin()})
	if err != nil {
		r.Peers.DiscardConnections(address)
		return 0, errors.Trace(err)
	}
	return reply.GetOrigin().GetBundleVersion(), nil
}

func (r *Syncer) fetchAndLog(ctx context.Context, address string) {
	if err := r.fetch(ctx, address); err != nil {
		r.Log.Log(eventlog.BundleFetchFailed, "peer", address, "err", err)
	}
}

// fetch requests the updates since the active version from a peer and offers them
// to the store.
func (r *Syncer) fetch(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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

// jitter returns a random duration between 0.5 and 1.5 times the period.
func jitter(period time.Duration) time.Duration {
	return period/2 + time.Duration(rand.Int64N(int64(period)))
}
