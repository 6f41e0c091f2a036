package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// partEngines is the number of engines, partSlots the number of requests that each runs at once,
	// and partBackTime the time after which one that crashed is back.
	partEngines  = 4
	partSlots    = 64
	partBackTime = 4 * time.Second
	// letterPath asks for a stream of 6 s whose first event comes after 0.9 s.
	letterPath = "/lettre/64/80/900"
	// hotInterval is the interval of the requests that ask the same again, and hotTime the time for
	// which they come: 0.4 of all letters for 6 s.
	hotInterval = 118 * time.Millisecond
	hotTime     = 6 * time.Second
	// deadInterval is the interval of the requests with the part, deadDelay the time from the first
	// of the repeated requests to the first of them, and deadCount their number.
	deadInterval = 950 * time.Millisecond
	deadDelay    = 1300 * time.Millisecond
	deadCount    = 12
	// Parts that a part of the requests shares.
	commonPart, hotPart, soundPart = "a1a1a1a1:512", "b0b0b0b0:4870", "50d00001:300"
)

// letterCount counts the ends of requests of one kind.
type letterCount struct {
	mu   sync.Mutex
	ends map[string]int
}

func (c *letterCount) add(end string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[end]++
}

// sendLetter sends one request and counts how it ends.
func (f *fleet) sendLetter(client *http.Client, entry *entryProcess, id, prefix, body string, count *letterCount) {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.address+letterPath, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Host = "h.example"
	for name, value := range map[string]string{
		"X-Baobabhub-Request-Id": id, "X-Api-Key": "key-1", "X-Baobabhub-Model": "m", "X-Baobabhub-Tokens": "6610,64",
		"X-Baobabhub-Prompt-Prefix": prefix, "X-Baobabhub-Deadline-Ms": "12000",
	} {
		req.Header.Set(name, value)
	}
	end := "no answer"
	if resp, err := client.Do(req); err == nil {
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		end = fmt.Sprint("status ", resp.StatusCode)
		switch {
		case resp.StatusCode != http.StatusOK:
			end += " " + strings.TrimSpace(string(text))
		case err != nil:
			end = "broken off"
		}
	}
	count.add(end)
	f.record.log("request %s: %s", id, end)
}

// partCase sends requests with a part that crashes engines, beside sound ones of which some ask the
// same again.
func (f *fleet) partCase(trouble bool) (broken bool, err error) {
	f.slots = partSlots
	engines, entries, err := f.startDeployment(streamConfig, partEngines, 2)
	if err != nil {
		return false, err
	}
	stopped := make(chan struct{})
	var wg sync.WaitGroup
	for _, p := range engines {
		go f.watchEngine(p, stopped)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	others, same, dead := letterCount{ends: map[string]int{}}, letterCount{ends: map[string]int{}}, letterCount{ends: map[string]int{}}
	every := func(interval, duration time.Duration, most int, send func(n int)) {
		wg.Go(func() {
			for n, end := 0, time.Now().Add(duration); time.Now().Before(end) && n < most; n++ {
				wg.Go(func() { send(n) })
				time.Sleep(interval)
			}
		})
	}
	const all = 1 << 30
	every(79*time.Millisecond, 40*time.Second, all, func(n int) {
		f.sendLetter(client, entries[n%2], fmt.Sprint("other-", n), fmt.Sprintf("%s,b%07x:4870,c%07x:1228", commonPart, n%100, n), fmt.Sprint("letter ", n), &others)
	})
	time.Sleep(10 * time.Second)
	every(hotInterval, hotTime, all, func(n int) {
		f.sendLetter(client, entries[n%2], fmt.Sprint("same-", n), commonPart+","+hotPart+",cfffffff:1228", "the same letter", &same)
	})
	time.Sleep(deadDelay)
	part := strings.TrimSuffix(crashingPart, ":") + ":300"
	if !trouble {
		part = soundPart
	}
	every(deadInterval, time.Minute, deadCount, func(n int) {
		f.sendLetter(client, entries[n%2], fmt.Sprint("part-", n), fmt.Sprintf("%s,%s,%s,d%07x:900", commonPart, hotPart, part, n), fmt.Sprint("letter with the part ", n), &dead)
	})
	wg.Wait()
	close(stopped)
	return f.judgeDenied(&others, &same, &dead), nil
}

// watchEngine starts another engine some time after one has crashed.
func (f *fleet) watchEngine(p *engineProcess, stopped chan struct{}) {
	for {
		_ = p.cmd.Wait()
		f.forget(p)
		select {
		case <-stopped:
			return
		case <-time.After(partBackTime):
		}
		f.unregister(p)
		next, err := f.startEngine()
		if err != nil {
			f.record.log("no engine came back: %v", err)
			return
		}
		p = next
	}
}

// judgeDenied reports whether more than 5 + one in 500 of all requests were sound and ended with a 4xx.
func (f *fleet) judgeDenied(others, same, dead *letterCount) bool {
	all, denied := 0, 0
	for _, count := range []*letterCount{others, same, dead} {
		for end, n := range count.ends {
			all += n
			if count != dead && strings.HasPrefix(end, "status 4") {
				denied += n
			}
		}
	}
	f.record.log("with the part: %v", dead.ends)
	f.record.log("sound, the same again: %v", same.ends)
	f.record.log("sound, others: %v", others.ends)
	f.record.log("%d of %d requests were sound and ended with a 4xx; more than %d break the rule", denied, all, 5+all/500)
	return denied > 5+all/500
}
