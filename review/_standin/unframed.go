package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["unframed"] = playUnframed }

// Settings of the case: engines answer streams that have neither a length nor chunks and
// end with their connection, and some engines crash, three times.
const (
	unframedEngines = 12
	// crashedEngines is 0.3 of the engines, rounded down.
	crashedEngines  = 3
	unframedRate    = 60
	unframedLength  = 45 * time.Second
	firstCrashAfter = 10 * time.Second
	crashGap        = 3500 * time.Millisecond
	crashDowntime   = time.Second
	prefillTime     = 100 * time.Millisecond
	eventGap        = 15 * time.Millisecond
	eventCount      = 12
)

// unframedStream answers with a stream that ends with the connection.
func unframedStream(x *exchange) {
	x.closeAfter = true
	x.engine.rec.log("engine: %s begins %s", x.engine.id, x.id)
	time.Sleep(prefillTime)
	if !x.send(x.head(200, "text/event-stream", x.stamp(), "X-Baobabhub-Weights-Versions: 1", "X-Baobabhub-Load: 1,0,64", "Connection: close") + "\r\n") {
		return
	}
	for n := 1; n <= eventCount; n++ {
		if !x.send(event(n, "token")) {
			return
		}
		time.Sleep(eventGap)
	}
	x.engine.rec.log("engine: %s has completed %s", x.engine.id, x.id)
}

func playUnframed(f *fleet, trouble bool) (bool, error) {
	if err := f.putDraftConfig(); err != nil {
		return false, err
	}
	for n := range unframedEngines {
		e := newEngine(f.rec, fmt.Sprintf("i-%d", n), draftService, "qro-a", 64, unframedStream)
		if err := f.startEngine(e); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(2); err != nil {
		return false, err
	}
	if trouble {
		go crashEngines(f)
	}
	return checkDenied(f, sendDrafts(f)), nil
}

// crashEngines lets some engines crash at the same time, three times in a row.
func crashEngines(f *fleet) {
	time.Sleep(firstCrashAfter)
	for round := range 3 {
		crashed := f.engines[round*crashedEngines : (round+1)*crashedEngines]
		for _, e := range crashed {
			f.rec.log("disruption: engine %s crashes", e.id)
			e.crash()
		}
		time.Sleep(crashDowntime)
		for _, e := range crashed {
			if err := e.start(); err != nil {
				f.rec.log("engine %s can't start: %v", e.id, err)
				continue
			}
			f.rec.log("disruption: engine %s is back", e.id)
			f.register(e)
		}
		time.Sleep(crashGap - crashDowntime)
	}
}

// sendDrafts sends requests that share the first part of their prompts.
func sendDrafts(f *fleet) []*call {
	c := newCallers(f.rec, draftHost, draftKey)
	var calls []*call
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / unframedRate)
	defer ticker.Stop()
	for end := time.Now().Add(unframedLength); time.Now().Before(end); <-ticker.C {
		id := newRequestID()
		q := &call{
			id: id, method: "POST", path: draftPrefix + id, body: []byte("prompt " + id), timeout: 12 * time.Second,
			address: f.entries[rand.IntN(len(f.entries))].address,
			header: map[string]string{
				"X-Baobabhub-Model": modelName, "X-Baobabhub-Tokens": "1460,80",
				"X-Baobabhub-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%08x:410,%s:250", 0x91bd3f00+rand.IntN(40), id[:8]),
			},
		}
		calls = append(calls, q)
		wg.Go(func() { c.do(q) })
	}
	wg.Wait()
	return calls
}

// checkDenied checks the rule DENIED: at most 5 + one in 500 of all requests are ended with
// a 3xx or 4xx of the system's own, other than 408, 421 and 429.
func checkDenied(f *fleet, calls []*call) bool {
	denied, served := 0, 0
	lastServed, firstDenied := time.Duration(0), time.Duration(0)
	for _, q := range calls {
		own := q.stamp == "" && q.status >= 300 && q.status < 500 && q.status != 408 && q.status != 421 && q.status != 429
		switch {
		case own:
			denied++
			if firstDenied == 0 {
				firstDenied = q.sentAt
			}
		case q.status == 200 && q.complete:
			served++
			lastServed = q.sentAt
		}
	}
	allowed := 5 + len(calls)/500
	f.rec.verdict("%d requests, %d served (the last one sent at %.1f s), %d ended with a 4xx of the system's own (the first one sent at %.1f s); the rule allows %d",
		len(calls), served, lastServed.Seconds(), denied, firstDenied.Seconds(), allowed)
	return denied > allowed
}
