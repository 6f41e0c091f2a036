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
	// cacheEventsWait is how long a call for cache events stays open.
	cacheEventsWait = 900 * time.Millisecond
	// cacheEventsSpacing is the least time between two such calls.
	cacheEventsSpacing = 60 * time.Millisecond
	// cacheEventsPause is the pause after a failed call, and between looks
	// whether this process is to follow the store.
	cacheEventsPause = 300 * time.Millisecond
	// maxCacheWaiters bounds the processes whose calls wait for changes: the
	// store accepts few calls at once. The others ask without waiting, each
	// cachePollPeriod for as many processes as cachePollProcesses, and less
	// often when there are more.
	maxCacheWaiters    = 8
	cachePollPeriod    = 200 * time.Millisecond
	cachePollProcesses = 24
)

// ErrCacheStoreBusy means that the store serves as many calls for events as it
// may; the next one may be served.
const ErrCacheStoreBusy = errors.ConstError("cache store is busy")

// followCacheStores follows each of the configuration's cache stores from a
// goroutine of its own.
func (e *Entry) followCacheStores(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	var running sync.WaitGroup
	for clock.Sleep(ctx, cacheEventsPause) {
		listed := e.cacheStores()
		for address, stop := range following {
			if !slices.Contains(listed, address) {
				stop()
				delete(following, address)
			}
		}
		for _, address := range listed {
			if _, ok := following[address]; ok {
				continue
			}
			storeCtx, stop := context.WithCancel(ctx)
			following[address] = stop
			running.Go(func() { e.followCacheStore(storeCtx, address) })
		}
	}
	for _, stop := range following {
		stop()
	}
	running.Wait()
}

// followCacheStore keeps the balancer's view of a cache store up to date: it
// reads the whole content, then follows the changes, and reads all again after
// a restart of the store or a gap.
func (e *Entry) followCacheStore(ctx context.Context, address string) {
	c := &contact{e: e, feed: "cache " + address}
	for ctx.Err() == nil {
		err := e.readCacheStore(ctx, address, c)
		if ctx.Err() != nil {
			return
		}
		c.note(err)
		if err != nil {
			e.balancer.RemoveStore(address)
			clock.Sleep(ctx, cacheEventsPause)
		}
	}
}

// readCacheStore reads the content and follows it until a gap or an error.
func (e *Entry) readCacheStore(ctx context.Context, address string, c *contact) error {
	content, err := e.platform.Engines.CacheContent(ctx, address)
	if err != nil {
		return errors.Trace(err)
	}
	e.balancer.ClearStore(address)
	e.balancer.ApplyStoreChanges(address, content.Changes)
	e.log.Log(eventlog.CacheStoreRead, "address", address, "boot", content.BootEpoch, "parts", len(content.Changes), "next", content.NextToken)
	next := content.NextToken
	for ctx.Err() == nil {
		wait, spacing := e.cacheCadence()
		events, err := e.platform.Engines.CacheEvents(ctx, address, next, wait)
		if errors.Is(err, ErrCacheStoreBusy) {
			clock.Sleep(ctx, cacheEventsPause)
			continue
		}
		if err != nil {
			return errors.Trace(err)
		}
		c.note(nil)
		if events.BootEpoch != content.BootEpoch || events.EventsLost {
			return nil
		}
		next = events.NextToken
		e.balancer.ApplyStoreChanges(address, events.Changes)
		clock.Sleep(ctx, spacing)
	}
	return nil
}

func (e *Entry) cacheStores() []string {
	config := e.config.Load()
	if config == nil {
		return nil
	}
	return config.CacheStores()
}

// cacheCadence returns how long this process's calls for events wait, and the
// pause between them.
func (e *Entry) cacheCadence() (wait, spacing time.Duration) {
	if e.members.rank() < maxCacheWaiters {
		return cacheEventsWait, cacheEventsSpacing
	}
	processes := max(cachePollProcesses, e.members.processes())
	return 0, cachePollPeriod * time.Duration(processes) / cachePollProcesses
}
