package main

import (
	"fmt"
	"time"
)

func init() { cases["inplace"] = playInPlace }

// Settings of the case: engines of two software versions serve side by side. The only one of v1
// crashes once, and starts again under its ID with the software v2.
const (
	inPlaceEngines  = 4
	inPlaceEntries  = 3
	inPlaceRate     = 20
	inPlaceLength   = 20 * time.Second
	inPlaceAfter    = 10 * time.Second
	inPlaceDowntime = time.Second
	// registerDelay is the time after its start at which the engine writes its entry; it writes
	// one each 1.2 s (heartbeat_ms).
	registerDelay = 200 * time.Millisecond
)

func playInPlace(f *fleet, trouble bool) (bool, error) {
	if err := f.putDraftConfig(); err != nil {
		return false, err
	}
	for n := range inPlaceEngines {
		e := newEngine(f.rec, fmt.Sprintf("i-%d", n), draftService, "qro-a", 64, longStream)
		if n > 0 {
			e.software = "v2"
		}
		if err := f.startEngine(e); err != nil {
			return false, err
		}
	}
	if err := f.startEntries(inPlaceEntries); err != nil {
		return false, err
	}
	c := newStreamCallers(f)
	failed := make(chan error, 1)
	go func() { failed <- upgradeInPlace(f, trouble) }()
	c.run(inPlaceRate, inPlaceLength)
	if err := <-failed; err != nil {
		return false, err
	}
	return checkMixtures(f, c), nil
}

// upgradeInPlace lets the engine of v1 crash and start again with v2.
func upgradeInPlace(f *fleet, trouble bool) error {
	time.Sleep(inPlaceAfter)
	if !trouble {
		return nil
	}
	e := f.engines[0]
	f.rec.log("disruption: engine %s (v1) crashes", e.id)
	e.crash()
	time.Sleep(inPlaceDowntime)
	e.setSoftware("v2")
	if err := e.start(); err != nil {
		return err
	}
	f.rec.log("disruption: engine %s starts again, with v2", e.id)
	time.Sleep(registerDelay)
	f.register(e)
	f.rec.log("engine %s has written its entry, with v2 and its new start", e.id)
	return nil
}
