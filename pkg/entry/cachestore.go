package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

const (
	// cacheEventsPollTimeout is the duration of a long poll for cache events.
	cacheEventsPollTimeout = 900 * time.Millisecond
	// cacheEventsPollInterval is the pause between two long polls.
	cacheEventsPollInterval = 60 * time.Millisecond
	// cacheEventsRetryDelay is the pause after a failed call and between checks of
	// the configured cache stores.
	cacheEventsRetryDelay = 300 * time.Millisecond
	// maxCacheLongPolls is the number of processes that use long polls; a cache
	// store accepts only a few concurrent calls. The other processes use short
	// polls, cacheShortPollInterval apart. Above cacheShortPollProcesses processes
	// the interval grows in proportion to their number.
	maxCacheLongPolls       = 8
	cacheShortPollInterval  = 200 * time.Millisecond
	cacheShortPollProcesses = 24
)

// ErrCacheStoreBusy means that the cache store has reached its limit of
// concurrent event calls; the call can be retried.
const ErrCacheStoreBusy = errors.ConstError("cache store is busy")

// followCacheStores runs one goroutine per configured cache store that follows
// its content.
func (e *Entry) followCacheStores(ctx context.Context) {
	cancels := map[string]context.CancelFunc{}
	var wg sync.WaitGroup
	for clock.Sleep(ctx, cacheEventsRetryDelay) {
		configured := e.cacheStoreAddresses()
		for address, stop := range cancels {
			if !slices.Contains(configured, address) {
				stop()
				delete(cancels, address)
			}
		}
		for _, address := range configured {
			if _, ok := cancels[address]; ok {
				continue
			}
			storeCtx, stop := context.WithCancel(ctx)
			cancels[address] = stop
			wg.Go(func() { e.followCacheStore(storeCtx, address) })
		}
	}
	for _, stop := range cancels {
		stop()
	}
	wg.Wait()
}

// followCacheStore keeps the balancer's record of a cache store up to date. It
// reads the full content and then polls for changes; after a restart of the
// store or a gap in the events it reads the full content again.
func (e *Entry) followCacheStore(ctx context.Context, address string) {
	monitor := &feedMonitor{entry: e, feed: "cache " + address}
	for ctx.Err() == nil {
		err := e.followCacheStoreOnce(ctx, address, monitor)
		if ctx.Err() != nil {
			return
		}
		monitor.record(err)
		if err != nil {
			e.balancer.RemoveStore(address)
			clock.Sleep(ctx, cacheEventsRetryDelay)
		}
	}
}

// followCacheStoreOnce reads the full content and polls for changes until the
// store restarts, events are missing or a call fails.
func (e *Entry) followCacheStoreOnce(ctx context.Context, address string, monitor *feedMonitor) error {
	content, err := e.platform.Engines.CacheContent(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	e.balancer.ClearStore(address)
	e.balancer.ApplyStoreChanges(address, content.Changes)
	e.log.Log(eventlog.CacheStoreRead, "address", address, "boot", content.BootEpoch, "parts", len(content.Changes), "next", content.NextToken)
	next := content.NextToken
	for ctx.Err() == nil {
		pollTimeout, pollInterval := e.cachePollTiming()
		events, err := e.platform.Engines.CacheEvents(ctx, address, next, pollTimeout)
		if errors.Is(err, ErrCacheStoreBusy) {
			clock.Sleep(ctx, cacheEventsRetryDelay)
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		monitor.record(nil)
		if events.BootEpoch != content.BootEpoch || events.EventsLost {
			return nil
		}
		next = events.NextToken
		e.balancer.ApplyStoreChanges(address, events.Changes)
		clock.Sleep(ctx, pollInterval)
	}
	return nil
}

func (e *Entry) cacheStoreAddresses() []string {
	config := e.config.Load()
	if config == nil {
		return nil
	}
	return config.CacheStores()
}

// cachePollTiming returns the timeout of this process's polls for cache events,
// 0 for short polls, and the pause between them.
func (e *Entry) cachePollTiming() (pollTimeout, pollInterval time.Duration) {
	if e.members.rank() < maxCacheLongPolls {
		return cacheEventsPollTimeout, cacheEventsPollInterval
	}
	processes := max(cacheShortPollProcesses, e.members.processCount())
	return 0, cacheShortPollInterval * time.Duration(processes) / cacheShortPollProcesses
}
