package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
)

const (
	// softwareReadTimeout bounds a read of the record of software versions for a request.
	softwareReadTimeout = 500 * time.Millisecond
	// softwareCheckInterval is the interval between two comparisons of the record with the
	// registered targets.
	softwareCheckInterval = time.Second
	// urgentWriteDelay is the time after which a process other than the leader adds a version
	// without which a service can't begin streams.
	urgentWriteDelay = 20 * time.Millisecond
	// streamRetentionMargin is the time, beyond twice the longest timeout of a resumable
	// route, for which callers may hold a stream of a version without targets. It covers the
	// time for which such targets still serve, and for which a process may not learn that a
	// version has been retired.
	streamRetentionMargin = 30 * time.Second
)

// softwareKeeper keeps the record of the software versions that may have begun streams. A
// version is in it before a target of that version begins a stream through any process.
type softwareKeeper struct {
	entry    *Entry
	versions *streamorigin.Versions
	fresh    kv.SharedGet
	// changed requests a comparison of the record with what this process knows.
	changed chan struct{}

	mu sync.Mutex
	// witnessed holds the services whose streams' witnesses had to be told at the latest change.
	witnessed map[string]bool
}

func newSoftwareKeeper(entry *Entry) *softwareKeeper {
	return &softwareKeeper{
		entry: entry, versions: streamorigin.NewVersions(0, entry.settings.FirstStart),
		fresh:   kv.SharedGet{Store: entry.platform.Store, Key: entry.platform.Keys.SoftwareKey, Timeout: softwareReadTimeout},
		changed: make(chan struct{}, 1), witnessed: map[string]bool{},
	}
}

// applyUpdate applies the record's key among the keys that the entry processes write.
func (k *softwareKeeper) applyUpdate(u kv.Update) {
	key := k.entry.platform.Keys.SoftwareKey
	era, _ := kv.SplitRevision(u.Revision)
	found := false
	for _, entry := range u.Entries {
		if entry.Key == key {
			found = true
			k.applyStored(entry.Value, entry.Revision, era)
		}
	}
	if u.Full && !found {
		k.applyStored(nil, 0, era)
	}
	for _, change := range u.Changes {
		if change.Key == key {
			k.applyStored(change.Value, revisionOf(&change), era)
		}
	}
}

// revisionOf returns the revision of the key after a change: 0 if the key does not exist.
func revisionOf(change *kv.Change) uint64 {
	if change.Deleted {
		return 0
	}
	return change.Revision
}

// applyStored applies the record as read in an era of the store. The revision is 0 if there is
// none. It returns the record, which is empty if it can't be read.
func (k *softwareKeeper) applyStored(value []byte, revision, era uint64) streamorigin.Record {
	var record *streamorigin.Record
	if revision != 0 {
		decoded, err := streamorigin.DecodeRecord(value)
		if err == nil {
			record = &decoded
		} else {
			// The next write replaces it.
			k.entry.log.Log(eventlog.DutyFailed, "duty", "software", "err", err)
		}
	}
	_, before := k.versions.Stored()
	k.versions.SetStored(k.entry.uptime(), record, revision, era)
	if _, after := k.versions.Stored(); after != before {
		k.logStored()
	}
	k.handleChange()
	if record == nil {
		return streamorigin.Record{}
	}
	return *record
}

func (k *softwareKeeper) logStored() {
	record, revision := k.versions.Stored()
	k.entry.log.Log(eventlog.SoftwareRecorded, "versions", record.String(), "complete", record.Complete, "era", record.Era, "revision", revision)
}

// observeTargets compares the registered targets with the record.
func (k *softwareKeeper) observeTargets() {
	now := k.entry.uptime()
	listed := map[streamorigin.Software]bool{}
	targets := k.entry.directory.Targets(now)
	for i := range targets {
		listed[streamorigin.Software{Service: targets[i].Service, Version: targets[i].SoftwareVersion}] = true
	}
	k.versions.SetListed(now, listed)
	k.handleChange()
}

// handleChange tells the witnesses of streams that began while they needed not know them, and
// requests a write if the record should be another one.
func (k *softwareKeeper) handleChange() {
	if !k.versions.IsBlocking() {
		k.entry.ready.softwareRecorded.Store(true)
	}
	for _, service := range k.newlyWitnessed() {
		k.entry.streamOrigins.tellUntold(service)
	}
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// newlyWitnessed returns the services whose streams' witnesses have to be told since the last
// call.
func (k *softwareKeeper) newlyWitnessed() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var newly []string
	for service := range k.versions.Services() {
		needed := k.versions.NeedsWitnesses(service)
		if needed && !k.witnessed[service] {
			newly = append(newly, service)
		}
		k.witnessed[service] = needed
	}
	return newly
}

// needsWitnesses reports whether the witnesses of any service's streams have to be told of them.
func (k *softwareKeeper) needsWitnesses() bool {
	for service := range k.versions.Services() {
		if k.versions.NeedsWitnesses(service) {
			return true
		}
	}
	return false
}

// read returns the record as the store holds it now, and the era of the store.
func (k *softwareKeeper) read(ctx context.Context) (record streamorigin.Record, era uint64, err error) {
	entry, err := k.fresh.Get(ctx)
	switch {
	case err == nil:
		era, _ = kv.SplitRevision(entry.Revision)
	case errors.Is(err, kv.ErrNotFound):
		era = k.entry.platform.Eras.Current()
	default:
		return streamorigin.Record{}, 0, errors.Annotate(err, "reading the record of software versions")
	}
	return k.applyStored(entry.Value, entry.Revision, era), era, nil
}

// run writes the record when it should be another one, until ctx is cancelled.
func (k *softwareKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(softwareCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-ticker.C:
		}
		for k.isOutdated() && clock.Sleep(ctx, k.writeDelay()) {
			k.write(ctx)
		}
	}
}

func (k *softwareKeeper) isOutdated() bool {
	_, differs := k.versions.Next(k.entry.uptime(), k.retention())
	return differs
}

// retention returns the time for which callers may hold a stream of a version without targets.
func (k *softwareKeeper) retention() time.Duration {
	return streamRetentionMargin + k.holdTime()
}

// holdTime returns the longest time for which a caller holds a stream: that for which it reads it, and
// that for which it takes it up.
func (k *softwareKeeper) holdTime() time.Duration {
	config := k.entry.config.Load()
	if config == nil {
		return 0
	}
	return 2 * config.LongestResumableTimeout()
}

// writeDelay returns the time after which this process writes, unless another one has done so.
func (k *softwareKeeper) writeDelay() time.Duration {
	if _, leads := k.entry.lease.leaderFencingToken(); leads {
		return 0
	}
	interval := k.entry.members.memberWatchInterval()
	if k.versions.IsBlocking() {
		return urgentWriteDelay + rand.N(interval)
	}
	return interval + followerWriteDelay + rand.N(followerWriteDelay)
}

// write writes the record, unless the store has it by now.
func (k *softwareKeeper) write(ctx context.Context) {
	next, differs := k.versions.Next(k.entry.uptime(), k.retention())
	if !differs {
		return
	}
	_, revision := k.versions.Stored()
	put := kv.Put{Key: k.entry.platform.Keys.SoftwareKey, Value: next.Encode(), ExpectRevision: revision}
	revision, err := k.entry.platform.Store.CompareAndSwap(ctx, put)
	if err == nil {
		era, _ := kv.SplitRevision(revision)
		k.applyStored(put.Value, revision, era)
		return
	}
	if ctx.Err() != nil {
		return
	}
	if !errors.Is(err, kv.ErrConflict) {
		k.entry.log.Log(eventlog.DutyFailed, "duty", "software", "err", errors.Annotate(err, "writing the record of software versions"))
		clock.Sleep(ctx, writeRetryDelay)
	}
	if _, _, err := k.read(ctx); err != nil {
		k.entry.log.Log(eventlog.DutyFailed, "duty", "software", "err", err)
		clock.Sleep(ctx, writeRetryDelay)
	}
}
