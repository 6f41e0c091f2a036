package soak

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// minSilence and maxSilence bound the pause of a silent target.
	minSilence = 800 * time.Millisecond
	maxSilence = 1700 * time.Millisecond
	// maxSlowDelay bounds the delay of a slow target's first byte.
	maxSlowDelay = 2500 * time.Millisecond
	// silentCallersPerEntry is the number of callers for each entry process in the
	// presence of silent targets, at which each caller waits longer.
	silentCallersPerEntry = 8
)

// silence is the one pause of a target within its response.
type silence struct {
	duration time.Duration
	// afterEvent is the number of the event that the pause follows, or 0 for a pause
	// before the first byte. A response that is no stream pauses in its middle if
	// afterEvent isn't 0.
	afterEvent int
}

func (s silence) String() string {
	if s.duration == 0 {
		return "none"
	}
	return fmt.Sprintf("%v after event %d", s.duration.Round(time.Millisecond), s.afterEvent)
}

// drawSilence returns the pause that a target makes in a response. The caller must
// hold rec.mu.
func (rec *recorder) drawSilence(target string, b targetBehaviour) silence {
	if b == slow {
		return silence{duration: time.Duration(rec.random.Int64N(int64(maxSlowDelay)))}
	}
	if rec.silenceCounts[target] == 0 {
		return silence{}
	}
	s := silence{duration: minSilence + time.Duration(rec.random.Int64N(int64(maxSilence-minSilence)))}
	if rec.random.IntN(2) == 0 {
		s.afterEvent = 1 + rec.random.IntN(eventsPerStream-1)
	}
	return s
}

// pauseAfter waits if the silence follows the given event. It returns false if the
// entry process closes the connection meanwhile.
func (s silence) pauseAfter(event int, r *http.Request) bool {
	if s.duration == 0 || s.afterEvent != event {
		return true
	}
	timer := time.NewTimer(s.duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// writeReply writes a response that is no stream, with a pause in its middle if the
// target is silent there.
func writeReply(w http.ResponseWriter, r *http.Request, text string, s silence) {
	if s.duration == 0 || s.afterEvent == 0 {
		_, _ = io.WriteString(w, text)
		return
	}
	_, _ = io.WriteString(w, text[:len(text)/2])
	if http.NewResponseController(w).Flush() == nil && s.pauseAfter(s.afterEvent, r) {
		_, _ = io.WriteString(w, text[len(text)/2:])
	}
}

// silenceTargets makes one to three targets silent: each of their responses pauses
// once and then goes on. Without another fault, these targets are sound.
func silenceTargets(d *deployment, f fault) {
	const maxTargets = 3
	count := 1 + f.variant%min(maxTargets, len(d.targets))
	for i := range count {
		d.recorder.countSilence(d.targets[(f.target+i)%len(d.targets)].ID, 1)
	}
	time.Sleep(2 * f.duration)
	for i := range count {
		d.recorder.countSilence(d.targets[(f.target+i)%len(d.targets)].ID, -1)
	}
}

// countSilence adds a number to the faults that make the target silent at present.
func (rec *recorder) countSilence(target string, n int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.silenceCounts[target] += n
}

// publishConfigurations publishes two to five configurations in quick succession.
// Each of them changes timeouts, attempts or nothing.
func publishConfigurations(d *deployment, f fault) {
	const minCount, countRange, maxPause = 2, 4, 400 * time.Millisecond
	for i := range minCount + f.variant%countRange {
		d.recorder.mu.Lock()
		d.configuration.Version++
		d.configuration = changeRoutes(d.configuration, f.variant+i)
		d.putConfiguration()
		d.recorder.mu.Unlock()
		time.Sleep(f.duration % maxPause)
	}
}

// changeRoutes changes timeouts or attempts of the routes, or nothing. The timeouts
// never exceed the defaults, on which the check of response times relies.
func changeRoutes(c platformfake.Configuration, variant int) platformfake.Configuration {
	const replyStep, streamStep, steps = 100 * time.Millisecond, 300 * time.Millisecond, 3
	choice := variant / 3 % steps
	switch variant % 3 {
	case 0:
		c.ReplyTimeout = platformfake.DefaultReplyTimeout - replyStep*time.Duration(choice)
		c.StreamTimeout = platformfake.DefaultStreamTimeout - streamStep*time.Duration(choice)
	case 1:
		c.Attempts = 1 + choice%platformfake.DefaultAttempts
	}
	return c
}

// plannedWorkInjectors silence sound targets beside planned work only.
var plannedWorkInjectors = []faultInjector{
	silenceTargets, silenceTargets, silenceTargets, silenceTargets,
	publishConfigurations, publishConfigurations, stopProcess, publishWeights, drainTarget, announceLeaving,
}

// silenceAmongFaultsInjectors silence targets among all faults of the soak.
var silenceAmongFaultsInjectors = append([]faultInjector{
	silenceTargets, silenceTargets, silenceTargets, silenceTargets, silenceTargets, silenceTargets,
	publishConfigurations, publishConfigurations, publishConfigurations,
}, faultInjectors...)

// silentTargetSeeds maps each regression seed to the failure that it showed.
var silentTargetSeeds = map[uint64]string{
	1: "status 502 and broken streams because sound targets paused, among other faults",
	2: "status 502 and broken streams because sound targets paused, beside planned work",
}

// TestSoakSilentTargets guards against requests that end with a broken connection or
// status 502 because a sound target pauses within its response.
func TestSoakSilentTargets(t *testing.T) {
	runSeeds(t, silentTargetSeeds, func(t *testing.T, seed uint64) {
		injectors := silenceAmongFaultsInjectors
		if seed%2 == 0 {
			injectors = plannedWorkInjectors
		}
		runSeed(t, seed, injectors, silentCallersPerEntry)
	})
}
