package entry

import (
	"context"
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
	// maxCacheFollowers bounds the processes that follow the store, which
	// accepts few such calls at once.
	maxCacheFollowers = 8
)

// followCacheStore keeps the balancer's view of the cache store up to date: it
// reads the whole content, then follows the changes, and reads all again after
// a restart of the store or a gap.
func (e *Entry) followCacheStore(ctx context.Context) {
	c := &contact{e: e, feed: "cache"}
	for ctx.Err() == nil {
		address := e.cacheStore()
		if address == "" {
			clock.Sleep(ctx, cacheEventsPause)
			continue
		}
		err := e.readCacheStore(ctx, address, c)
		if ctx.Err() != nil {
			return
		}
		c.note(err)
		if err != nil {
			e.balancer.StoreUnfollowed()
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
	e.balancer.StoreEmptied()
	e.balancer.StoreChanged(content.Changes)
	e.log.Log(eventlog.CacheStoreRead, "boot", content.Boot, "parts", len(content.Changes), "next", content.Next)
	next := content.Next
	for e.cacheStore() == address {
		events, err := e.platform.Engines.CacheEvents(ctx, address, next, cacheEventsWait)
		if err != nil {
			return errors.Trace(err)
		}
		c.note(nil)
		if events.Boot != content.Boot || events.Gap {
			return nil
		}
		next = events.Next
		e.balancer.StoreChanged(events.Changes)
		clock.Sleep(ctx, cacheEventsSpacing)
	}
	return nil
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
