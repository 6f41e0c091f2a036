package main

import (
	"fmt"
	"time"
)

func init() { cases["canary"] = playCanary }

// Settings of the case: engines of a second software version appear, and a second later one
// entry process is killed.
const (
	canaryEntries   = 5
	canaryRate      = 25
	canaryLength    = 24 * time.Second
	canaryAfter     = 12 * time.Second
	killAfterCanary = time.Second
	restartDelay    = time.Second
	minResumed      = 12
)

func playCanary(f *fleet, trouble bool) (bool, error) {
	if err := f.putDraftConfig(); err != nil {
		return false, err
	}
	for n := range 4 {
		if err := f.startEngine(newEngine(f.rec, fmt.Sprintf("i-%d", n), draftService, "qro-a", 64, longStream)); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(canaryEntries); err != nil {
		return false, err
	}
	c := newStreamCallers(f)
	failed := make(chan error, 1)
	go func() { failed <- canaryEvents(f, c, trouble) }()
	c.run(canaryRate, canaryLength)
	if err := <-failed; err != nil {
		return false, err
	}
	return checkTakenUp(f, c), nil
}

// canaryEvents starts the engines of the second version, and kills one entry process.
func canaryEvents(f *fleet, c *streamCallers, trouble bool) error {
	time.Sleep(canaryAfter)
	e := newEngine(f.rec, "i-new", draftService, "qro-a", 64, longStream)
	e.software = "v2"
	if err := f.startEngine(e); err != nil {
		return err
	}
	f.rec.log("operation: an engine of the software version v2 has registered; the four of v1 stay")
	time.Sleep(killAfterCanary)
	if !trouble {
		return nil
	}
	victim := f.entries[0]
	f.rec.log("disruption: SIGKILL to %s", victim.name)
	c.setUp(victim, false)
	victim.kill()
	time.Sleep(restartDelay)
	if err := victim.start(); err != nil {
		return err
	}
	f.rec.log("disruption: %s starts again", victim.name)
	return nil
}

// checkTakenUp checks the rule LOST on streams that clients take up again: of 12 or more, the share
// that goes on is at least half of the share of new streams that begin.
func checkTakenUp(f *fleet, c *streamCallers) bool {
	begun, resumed, wentOn := 0, 0, 0
	refusals := map[string]int{}
	for _, s := range c.all {
		if s.last > 0 {
			begun++
		}
		if !s.resumed {
			continue
		}
		resumed++
		if s.wentOn {
			wentOn++
			continue
		}
		for _, refusal := range s.refusals {
			refusals[refusal]++
		}
	}
	f.rec.verdict("%d of %d new streams began; %d streams were taken up again, %d of them went on; answers to the others: %v", begun, len(c.all), resumed, wentOn, refusals)
	if resumed < minResumed {
		return false
	}
	return float64(wentOn)/float64(resumed) < float64(begun)/float64(len(c.all))/2
}
