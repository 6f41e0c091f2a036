package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["isolate"] = playIsolate }

// Settings of the case: a new version of the configuration makes an account isolated.
const (
	isolateEngines = 3
	isolateEntries = 3
	isolateRate    = 20
	isolateLength  = 30 * time.Second
	isolateAfter   = 12 * time.Second
	configBound    = 2 * time.Second
	ownerKey       = "wu3fexd9dnn2ctnfzs98"
	otherKey       = "kq7mptra4gzc8wbn21x0"
	ownerName      = "sese880"
	otherName      = "tupu417"
	// ownerHead is the time for which only the owner sends requests, so that its requests make
	// the cached parts.
	ownerHead = 3 * time.Second
)

// cacheUse is the use of a cached part by a request.
type cacheUse struct {
	engine, salt, part         string
	maker, makerID, user, used string
	at                         time.Time
}

// partCache is an engine's KV cache: by salt and part, the request that made it.
type partCache struct {
	mu    sync.Mutex
	parts map[string][2]string
	uses  []cacheUse
}

// read reads the shared parts of a prompt. A part is found only under the same salt, and if all
// parts before it were found; the others are made.
func (c *partCache) read(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	salt, tenant := x.r.Header.Get("X-Baobabhub-Cache-Salt"), x.r.Header.Get("X-Baobabhub-Tenant")
	parts := strings.Split(x.r.Header.Get("X-Baobabhub-Prompt-Prefix"), ",")
	found := true
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		key := salt + "\x00" + id
		made, ok := c.parts[key]
		found = found && ok
		if !found {
			c.parts[key] = [2]string{tenant, x.id}
			continue
		}
		if made[0] != tenant {
			c.uses = append(c.uses, cacheUse{engine: x.engine.id, salt: salt, part: id, maker: made[0], makerID: made[1], user: tenant, used: x.id, at: time.Now()})
		}
	}
}

func isolateConfig(version int, isolated bool) object {
	return object{
		"version": version,
		"routes": []object{{
			"name": "draft", "host": draftHost, "prefix": draftPrefix, "kind": "stream", "timeout_ms": 12000, "slo_ms": 600, "priority": 1,
			"service": draftService, "attempts": 2, "resumable": true, "sticky": true, "gap_target_ms": 300,
		}},
		"services": []object{{
			"name": draftService, "health_path": "/health", "max_conns": 370,
			"engine": object{"slots": 64, "kv_capacity": 302866, "models": []object{{"name": modelName}}},
		}},
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
		"tenants": []object{
			{"name": ownerName, "api_keys": []string{ownerKey}, "isolated": isolated},
			{"name": otherName, "api_keys": []string{otherKey}, "isolated": false},
		},
	}
}

func playIsolate(f *fleet, trouble bool) (bool, error) {
	if err := f.putConfig(isolateConfig(3, false)); err != nil {
		return false, err
	}
	caches := make([]*partCache, isolateEngines)
	for n := range caches {
		cache := &partCache{parts: map[string][2]string{}}
		caches[n] = cache
		e := newEngine(f.rec, fmt.Sprintf("i-%d", n), draftService, "qro-a", 64, func(x *exchange) {
			cache.read(x)
			time.Sleep(prefillTime)
			body := ""
			for n := range eventCount {
				body += event(n+1, "token")
			}
			x.write(200, "text/event-stream", body, x.stamp(), "X-Baobabhub-Weights-Versions: 1", "X-Baobabhub-Load: 1,0,64")
		})
		if err := f.startEngine(e); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(isolateEntries); err != nil {
		return false, err
	}
	start := time.Now()
	changed := start.Add(isolateAfter)
	failed := make(chan error, 1)
	go func() {
		time.Sleep(time.Until(changed))
		if !trouble {
			failed <- nil
			return
		}
		err := f.putConfig(isolateConfig(5, true))
		f.rec.log("disruption: version 5 of the config is acknowledged; it makes tenant %s isolated", ownerName)
		failed <- err
	}()
	sentAt := sendAsBoth(f, start)
	if err := <-failed; err != nil {
		return false, err
	}
	return checkWall(f, caches, sentAt, changed.Add(configBound), trouble), nil
}

// sendAsBoth sends requests of both accounts, which share the first parts of their prompts. It
// returns the times at which they were sent, by ID.
func sendAsBoth(f *fleet, start time.Time) map[string]time.Time {
	owner, other := newCallers(f.rec, draftHost, ownerKey), newCallers(f.rec, draftHost, otherKey)
	sentAt := map[string]time.Time{}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / isolateRate)
	defer ticker.Stop()
	for n := 0; time.Since(start) < isolateLength; n++ {
		<-ticker.C
		c := owner
		if n%2 == 1 && time.Since(start) > ownerHead {
			c = other
		}
		id := newRequestID()
		sentAt[id] = time.Now()
		q := &call{
			id: id, method: "POST", path: draftPrefix + id, body: []byte("prompt " + id), timeout: 12 * time.Second,
			address: f.entries[rand.IntN(len(f.entries))].address,
			header: map[string]string{
				"X-Baobabhub-Model": modelName, "X-Baobabhub-Tokens": "1460,80",
				"X-Baobabhub-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:410,%s:250", 0x91bd3f00+rand.IntN(5), id[:8]),
			},
		}
		wg.Go(func() { c.do(q) })
	}
	wg.Wait()
	return sentAt
}

// checkWall checks the rule WALL: no request uses KV cache that a request of another tenant made,
// if one of the two is isolated. Requests that were sent within config_ms after the
// acknowledgement of the configuration don't count.
func checkWall(f *fleet, caches []*partCache, sentAt map[string]time.Time, since time.Time, trouble bool) bool {
	before, after := 0, 0
	for _, cache := range caches {
		cache.mu.Lock()
		for _, use := range cache.uses {
			if !trouble || sentAt[use.used].Before(since) {
				before++
				continue
			}
			after++
			f.rec.log("WALL: request %s of %s, sent %.1f s after the bound, uses part %s under salt %q at %s, made by request %s of %s", use.used, use.user, sentAt[use.used].Sub(since).Seconds(), use.part, use.salt, use.engine, use.makerID, use.maker)
		}
		cache.mu.Unlock()
	}
	f.rec.verdict("parts of another tenant were used %d times while neither tenant was isolated (or up to 2 s after), and %d times later, when one was; the rule allows none", before, after)
	return after > 0
}
