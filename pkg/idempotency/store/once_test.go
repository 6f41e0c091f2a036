package store

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// minSteps is the minimum number of actions that TestAtMostOnce must run.
const minSteps = 10_000

// actions returns the actions of the state machine test. Rapid draws the names
// uniformly, so an action with several names runs more often.
func (s *simulation) actions(t *rapid.T, steps *int) map[string]func(*rapid.T) {
	call := func(t *rapid.T) {
		a := s.drawAgent(t)
		if rapid.IntRange(0, 3).Draw(t, "anyAgent") != 0 {
			a = s.newestOwner()
		}
		key := fmt.Sprintf("key-%d", rapid.IntRange(1, 24).Draw(t, "key"))
		body := "bid"
		if rapid.IntRange(0, 9).Draw(t, "otherBody") == 0 {
			body = "other bid"
		}
		a.call(key, body, rapid.SampledFrom([]time.Duration{40 * time.Millisecond, 5 * time.Second}).Draw(t, "timeout"))
	}
	fault := func(t *rapid.T) {
		s.kvFaults = append(s.kvFaults, rapid.SampledFrom(
			[]kvFault{kvOK, kvRequestLost, kvReplyLost, kvDelayedEffect, kvSlow, kvBudgetExhausted}).Draw(t, "kvFault"))
	}
	return map[string]func(*rapid.T){
		"call":      call,
		"callAgain": call,
		"callMore":  call,
		"takeOver":  func(t *rapid.T) { s.drawAgent(t).takeOver(rapid.Uint64().Draw(t, "seed")) },
		"replace": func(t *rapid.T) {
			i := rapid.IntRange(0, len(s.agents)-1).Draw(t, "agent")
			s.agents[i].crash()
			s.startAgent(i)
		},
		"pause": func(t *rapid.T) {
			a := s.drawAgent(t)
			if a.paused == nil {
				a.paused = make(chan struct{})
			}
		},
		"resume":      func(t *rapid.T) { s.drawAgent(t).resume() },
		"waitShort":   func(*rapid.T) { time.Sleep(20 * time.Millisecond) },
		"waitLong":    func(*rapid.T) { time.Sleep(time.Second) },
		"resumeAgain": func(t *rapid.T) { s.drawAgent(t).resume() },
		"guard":       func(t *rapid.T) { s.drawAgent(t).holdsSlot = rapid.IntRange(0, 3).Draw(t, "lost") != 3 },
		"outage":      func(t *rapid.T) { s.outage = rapid.IntRange(0, 4).Draw(t, "outage") == 4 },
		"kvFault":     fault,
		"kvFaults":    fault,
		"target": func(t *rapid.T) {
			s.nextTargetFault = targetFault(rapid.IntRange(0, int(targetSlow)).Draw(t, "targetFault"))
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 6, 60, 400, 2000}).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			*steps++
			synctest.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.violation != "" {
				t.Fatal(s.violation)
			}
		},
	}
}

// runSimulation runs one random sequence of actions and checks that the slot
// recovers afterwards. skipIntent disables the writes of intents. The number of
// actions is added to steps, and the number of replies of each kind to replies.
func runSimulation(t *rapid.T, skipIntent bool, steps *int, replies map[string]int) {
	s := newSimulation(skipIntent)
	defer func() {
		s.stop()
		for name, count := range s.replyCounts {
			replies[name] += count
		}
	}()
	s.agents[0].takeOver(1)
	t.Repeat(s.actions(t, steps))
	s.verifyRecovery(t)
}

// verifyRecovery ends all faults and checks that the newest owner, unless it has
// crashed, serves a call.
func (s *simulation) verifyRecovery(t *rapid.T) {
	s.mu.Lock()
	s.outage, s.kvFaults, s.nextTargetFault = false, nil, targetOK
	s.mu.Unlock()
	for _, a := range s.agents {
		a.resume()
	}
	time.Sleep(10 * time.Second)
	owner := s.newestOwner()
	if owner.crashed || owner.epoch != s.lastEpoch {
		return
	}
	owner.holdsSlot = true
	owner.call("recovery-key", "bid", 5*time.Second)
	time.Sleep(5 * time.Second)
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation != "" {
		t.Fatal(s.violation)
	}
	if s.executions["recovery-key"] != 1 || s.firstAnswer["recovery-key"] == "" {
		t.Fatalf("the owner of epoch %d does not serve calls after all faults have ended", owner.epoch)
	}
	s.replyCounts["served after faults"]++
}

// setRapidFlag sets a rapid command-line flag for the duration of a test.
func setRapidFlag(t *testing.T, name, value string) {
	rapidFlag := flag.Lookup(name)
	previous := rapidFlag.Value.String()
	if err := rapidFlag.Value.Set(value); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = rapidFlag.Value.Set(previous) })
}

func TestAtMostOnce(t *testing.T) {
	setRapidFlag(t, "rapid.steps", "150")
	synctest.Test(t, func(t *testing.T) {
		steps := 0
		replies := map[string]int{}
		rapid.Check(synctestTB{t}, func(rt *rapid.T) { runSimulation(rt, false, &steps, replies) })
		t.Logf("%d steps, replies %v", steps, replies)
		if steps < minSteps {
			t.Errorf("got %d steps; want at least %d", steps, minSteps)
		}
	})
}

// synctestTB hides testing.T.Deadline, which panics in a synctest bubble.
type synctestTB struct{ rapid.TB }

// recordingTB records the failure of a check that is expected to fail.
type recordingTB struct {
	rapid.TB
	failed bool
}

func (r *recordingTB) Errorf(string, ...any) { r.failed = true }
func (r *recordingTB) Fatalf(string, ...any) { r.failed = true }
func (r *recordingTB) Error(...any)          { r.failed = true }
func (r *recordingTB) Fatal(...any)          { r.failed = true }
func (r *recordingTB) FailNow()              { r.failed = true }
func (r *recordingTB) Fail()                 { r.failed = true }
func (r *recordingTB) Failed() bool          { return r.failed }

// TestAtMostOnceDetectsMissingIntent checks that the simulation reports a
// violation if calls are sent without a durable intent.
func TestAtMostOnceDetectsMissingIntent(t *testing.T) {
	setRapidFlag(t, "rapid.steps", "150")
	setRapidFlag(t, "rapid.nofailfile", "true")
	synctest.Test(t, func(t *testing.T) {
		steps := 0
		result := &recordingTB{TB: t}
		rapid.Check(result, func(rt *rapid.T) { runSimulation(rt, true, &steps, map[string]int{}) })
		if !result.failed {
			t.Errorf("no violation was reported in %d steps without intents", steps)
		}
	})
}
