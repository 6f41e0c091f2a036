package entry

import (
	"context"
	"time"

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
	// maxCacheFollowers bounds the processes that follow the store, which
	// accepts few such calls at once.
	maxCacheFollowers = 8
)

// followCacheStore keeps the balancer's view of the cache store up to date.
func (e *Entry) followCacheStore(ctx context.Context) {
	c := &contact{e: e, feed: "cache"}
	var boot, next int64
	for ctx.Err() == nil {
		address := e.cacheStore()
		if address == "" {
			clock.Sleep(ctx, cacheEventsPause)
			continue
		}
		events, err := e.platform.Engines.CacheEvents(ctx, address, next, cacheEventsWait)
		if ctx.Err() != nil {
			return
		}
		c.note(err)
		if err != nil {
			e.balancer.StoreUnfollowed()
			boot, next = 0, 0
			clock.Sleep(ctx, cacheEventsPause)
			continue
		}
		if events.Boot != boot || events.Gap {
			e.balancer.StoreEmptied()
			e.log.Log(eventlog.CacheStoreRead, "boot", events.Boot, "was", boot, "gap", events.Gap, "next", events.Next)
		}
		if events.Boot != boot && next != 0 {
			// What the store has told since its start is read from its beginning.
			boot, next = events.Boot, 0
			continue
		}
		boot, next = events.Boot, events.Next
		e.balancer.StoreChanged(events.Changes)
		clock.Sleep(ctx, cacheEventsSpacing)
	}
}

// cacheStore returns the store to follow; "" when there is none or when enough
// other processes follow it.
func (e *Entry) cacheStore() string {
	config := e.config.Load()
	if config == nil || e.members.rank() >= maxCacheFollowers {
		return ""
	}
	return config.CacheStore()
}
