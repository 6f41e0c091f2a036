package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["release"] = playRelease }

// Settings of the case: two releases, one after the other, replace each half of a service's engines
// by engines of another software version, and all entry processes are killed at the same moment.
const (
	releaseEntries = 3
	releaseEngines = 4
	releaseRate    = 15
	releaseLength  = 26 * time.Second
	releaseAfter   = 8 * time.Second
	// leaveDelay is the time between the start of a new engine and the removal of the entry of the
	// old one that it replaces, and stepGap the time between two such steps.
	leaveDelay = 500 * time.Millisecond
	stepGap    = time.Second
	// servesOn is the time for which an old engine serves after its entry was removed: drain_ms
	// and some seconds.
	servesOn        = 10 * time.Second
	killAfterLeave  = time.Second
	herdDowntime    = time.Second
	allowedMixtures = 2
)

func playRelease(f *fleet, trouble bool) (bool, error) {
	if err := f.putDraftConfig(); err != nil {
		return false, err
	}
	for n := range releaseEngines {
		if err := f.startEngine(newEngine(f.rec, fmt.Sprintf("i-old-%d", n), draftService, "qro-a", 64, longStream)); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(releaseEntries); err != nil {
		return false, err
	}
	c := newStreamCallers(f)
	failed := make(chan error, 1)
	go func() { failed <- releaseEvents(f, c, trouble) }()
	c.run(releaseRate, releaseLength)
	if err := <-failed; err != nil {
		return false, err
	}
	return checkMixtures(f, c), nil
}

// releaseEvents replaces the engines, one after the other, and kills all entry processes.
func releaseEvents(f *fleet, c *streamCallers, trouble bool) error {
	time.Sleep(releaseAfter)
	for n, old := range slices.Clone(f.engines) {
		if n > 0 {
			time.Sleep(stepGap - leaveDelay)
		}
		e := newEngine(f.rec, fmt.Sprintf("i-new-%d", n), draftService, "qro-a", 64, longStream)
		e.software = "v2"
		if err := f.startEngine(e); err != nil {
			return err
		}
		time.Sleep(leaveDelay)
		f.rec.log("release: %s (v2) has registered; the entry of %s (v1) is removed, which serves on for %v", e.id, old.id, servesOn)
		f.unregister(old)
		time.AfterFunc(servesOn, old.crash)
	}
	time.Sleep(killAfterLeave)
	if !trouble {
		return nil
	}
	return killAll(f, c)
}

// killAll kills all entry processes at the same moment and starts them again.
func killAll(f *fleet, c *streamCallers) error {
	var wg sync.WaitGroup
	f.rec.log("disruption: SIGKILL to all entry processes")
	for _, e := range f.entries {
		c.setUp(e, false)
		wg.Go(e.kill)
	}
	wg.Wait()
	time.Sleep(herdDowntime)
	for _, e := range f.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	f.rec.log("disruption: all entry processes start again")
	if err := f.awaitReady(); err != nil {
		return err
	}
	f.rec.log("all entry processes are ready")
	for _, e := range f.entries {
		c.setUp(e, true)
	}
	return nil
}

// checkMixtures checks the rule ORDER: at most two streams hold events from engines of two software
// versions.
func checkMixtures(f *fleet, c *streamCallers) bool {
	mixed, resumed, complete := 0, 0, 0
	for _, s := range c.all {
		if s.resumed {
			resumed++
		}
		if s.complete {
			complete++
		}
		if len(s.versions) > 1 {
			mixed++
			f.rec.log("ORDER: stream %s holds events of %v", s.firstID, s.versions)
		}
	}
	f.rec.verdict("%d streams, %d complete, %d taken up again; %d hold events from engines of two software versions; the rule allows %d",
		len(c.all), complete, resumed, mixed, allowedMixtures)
	return mixed > allowedMixtures
}
