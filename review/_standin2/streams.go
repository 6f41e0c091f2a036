package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const streamConfig = `{"version":1,"routes":[
 {"name":"lettre-client","host":"h.example","prefix":"/lettre/","kind":"stream","timeout_ms":12000,"slo_ms":600,"gap_target_ms":400,"priority":1,"service":"redacteur","attempts":1,"sticky":true},
 {"name":"tri-demande","host":"h.example","prefix":"/tri/","kind":"stream","timeout_ms":2500,"slo_ms":400,"gap_target_ms":400,"priority":0,"service":"redacteur","attempts":2,"sticky":true,"resumable":true}],
 "services":[{"name":"redacteur","health_path":"/health","max_conns":230,"engine":{"slots":32,"kv_capacity":227964,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["key-1"],"unit":"tokens","plain_tokens":200,"rate_per_s":10000000,"burst":10000000}]}`

// crowdConfig has a route for ordinary requests and one for those of a crowd.
const crowdConfig = `{"version":1,"routes":[
 {"name":"lettre-client","host":"h.example","prefix":"/lettre/","kind":"stream","timeout_ms":12000,"slo_ms":600,"gap_target_ms":400,"priority":1,"service":"redacteur","attempts":1,"sticky":true},
 {"name":"echange-bon","host":"h.example","prefix":"/bon/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"redacteur","attempts":1}],
 "services":[{"name":"redacteur","health_path":"/health","max_conns":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["key-1"],"unit":"tokens","plain_tokens":200,"rate_per_s":10000000,"burst":10000000}]}`

// streamCount counts what callers of streams got.
type streamCount struct {
	mu                                  sync.Mutex
	sent, whole, broken, refused, wrong int
}

// runStreams sends streams of one kind at an interval until ctx is done.
func (f *fleet) runStreams(ctx context.Context, wg *sync.WaitGroup, entries []*entryProcess, prefix string, events, pauseMS int, interval time.Duration, count *streamCount) {
	defer wg.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.sendStream(client, entries[n%len(entries)], prefix, n, events, pauseMS, count)
		}()
	}
}

// sendStream sends one request for a stream and checks the answer: one that ends as complete has to
// hold all events in order.
func (f *fleet) sendStream(client *http.Client, entry *entryProcess, prefix string, n, events, pauseMS int, count *streamCount) {
	id := fmt.Sprintf("%s-%d", prefix, n)
	req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%d/%d", entry.address, prefix, events, pauseMS), strings.NewReader("a letter"))
	req.Host = "h.example"
	deadline := 12000
	if prefix == "tri" {
		deadline = 2500
	}
	for name, value := range map[string]string{
		"X-Baobabhub-Request-Id": id, "X-Api-Key": "key-1", "X-Baobabhub-Model": "m", "X-Baobabhub-Tokens": fmt.Sprintf("1800,%d", events),
		"X-Baobabhub-Prompt-Prefix": fmt.Sprintf("a1:341,b%x:227,c%x:1232", n%50, n), "X-Baobabhub-Deadline-Ms": fmt.Sprint(deadline),
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	count.mu.Lock()
	count.sent++
	count.mu.Unlock()
	if err != nil {
		f.finish(count, &count.broken, "request %s: no answer: %v", id, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		f.finish(count, &count.refused, "request %s: status %d", id, resp.StatusCode)
		return
	}
	last, inOrder := 0, true
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		var got int
		if _, err := fmt.Sscanf(scanner.Text(), "id: %d", &got); err == nil {
			inOrder = inOrder && got == last+1
			last = got
		}
	}
	switch {
	case scanner.Err() != nil && inOrder:
		f.finish(count, &count.broken, "request %s: broken off after event %d of %d", id, last, events)
	case last == events && inOrder:
		f.finish(count, &count.whole, "request %s: whole", id)
	default:
		f.finish(count, &count.wrong, "request %s: ENDS AS COMPLETE after event %d of %d, in order %v, stamp %s", id, last, events, inOrder, resp.Header.Get("X-Baobabhub-Stamp"))
	}
}

func (f *fleet) finish(count *streamCount, counter *int, format string, args ...any) {
	count.mu.Lock()
	*counter++
	count.mu.Unlock()
	f.record.log(format, args...)
}

// engineCount is the number of engines. One of them is 14 in 100, and the pages allow 15.
const engineCount = 7

// startDeployment starts engines and entry processes.
func (f *fleet) startDeployment(config string, engines, entries int, engineArguments ...string) ([]*engineProcess, []*entryProcess, error) {
	f.store.Put("op/config", config)
	f.store.Put("op/version/m", `{"model":"m","version":1}`)
	var started []*engineProcess
	for range engines {
		p, err := f.startEngine(engineArguments...)
		if err != nil {
			return nil, nil, err
		}
		started = append(started, p)
	}
	var processes []*entryProcess
	for n := range entries {
		p, err := f.newEntry(n)
		if err == nil {
			err = f.run(p)
		}
		if err != nil {
			return nil, nil, err
		}
		processes = append(processes, p)
	}
	for _, p := range processes {
		if err := f.awaitReady(p); err != nil {
			return nil, nil, err
		}
	}
	return started, processes, nil
}

// Rates of the two kinds of streams, as on the sheet of the smaller deployment.
const (
	letterInterval = 47 * time.Millisecond
	tagInterval    = 18 * time.Millisecond
)

// beginStreams sends streams of both kinds to the entry processes. The returned function stops that,
// waits for all answers and reports whether one ended as complete before its last event.
func (f *fleet) beginStreams(entries []*entryProcess, letterEvents, letterPauseMS int) (end func() (bool, error)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var count streamCount
	wg.Add(2)
	go f.runStreams(ctx, &wg, entries, "lettre", letterEvents, letterPauseMS, letterInterval, &count)
	go f.runStreams(ctx, &wg, entries, "tri", 4, 20, tagInterval, &count)
	return func() (bool, error) {
		cancel()
		wg.Wait()
		f.record.log("sent %d: %d whole, %d refused or failed with a status, %d broken off, %d that end as complete before their last event",
			count.sent, count.whole, count.refused, count.broken, count.wrong)
		if count.whole == 0 {
			return false, errors.New("no stream was served")
		}
		return count.wrong > 0, nil
	}
}

const (
	// crashInterval is the time from the return of an engine to the next crash, and crashTime the
	// time for which it is away: three heartbeats, after which its entry is removed.
	crashInterval = 1400 * time.Millisecond
	crashTime     = 3 * heartbeatInterval
	crashes       = 18
)

// crashCase kills one engine after the other while it writes streams of which half have no length.
func (f *fleet) crashCase(trouble bool) (broken bool, err error) {
	arguments := []string{"-unframed", "50"}
	engines, entries, err := f.startDeployment(streamConfig, engineCount, 2, arguments...)
	if err != nil {
		return false, err
	}
	end := f.beginStreams(entries, 64, 60)
	time.Sleep(5 * time.Second)
	for n := range crashes {
		if trouble {
			victim := engines[n%len(engines)]
			f.kill(victim)
			time.Sleep(crashTime)
			f.unregister(victim)
			if engines[n%len(engines)], err = f.startEngine(arguments...); err != nil {
				return false, err
			}
		} else {
			time.Sleep(crashTime)
		}
		time.Sleep(crashInterval)
	}
	return end()
}

const (
	// noticeTime is the time from an engine's notice to its end, and replaceTime the time after
	// which another one comes.
	noticeTime  = 2 * time.Second
	replaceTime = 4 * time.Second
	// longestLetter is longer than any stream takes here.
	longestLetter = 9 * time.Second
	removals      = 8
)

// removalCase takes engines away soon after their notice. Without trouble, an engine ends once its
// streams have ended.
func (f *fleet) removalCase(trouble bool) (broken bool, err error) {
	arguments := []string{"-unframed", "5"}
	engines, entries, err := f.startDeployment(streamConfig, engineCount, 2, arguments...)
	if err != nil {
		return false, err
	}
	end := f.beginStreams(entries, 100, 80)
	time.Sleep(10 * time.Second)
	for n := range removals {
		victim := engines[n%len(engines)]
		f.leave(victim)
		if trouble {
			time.Sleep(noticeTime)
		} else {
			time.Sleep(longestLetter)
		}
		f.kill(victim)
		f.unregister(victim)
		if trouble {
			time.Sleep(replaceTime)
		}
		if engines[n%len(engines)], err = f.startEngine(arguments...); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	return end()
}
