package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/linkfake"
	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// timeoutTolerance is the part of a route's timeout that may be left when a
	// request ends for lack of time.
	timeoutTolerance = 50 * time.Millisecond
	// stopEnd is the part of the grace period after which a stopping process may end
	// the requests that are still in progress.
	stopEnd = stopGrace * 5 / 6
	// stopAcceptance is the time after the stop signal in which a request may have been
	// sent that the end of the stop cuts.
	stopAcceptance = 3 * time.Second
)

// faultStatus500 is the fault of an attempt to which the target responded with
// status 500.
const faultStatus500 = "status 500"

// targetAttempt records how a target handled a request that it received. Its fields
// are guarded by recorder.mu.
type targetAttempt struct {
	target string
	// connAddr is the address of the connection's client, as the target sees it.
	connAddr  string
	startedAt time.Time
	// silence is the pause that the target makes, if any.
	silence silence
	// fault describes what the target did wrong. It is empty for a sound target.
	fault string
	// rejected is set if the target rejected the request without running it.
	rejected bool
	// ending describes how the target stopped handling the request.
	ending string
}

func (a *targetAttempt) String() string {
	text := fmt.Sprintf("%s at second %s (silence: %v; fault: %q; rejected: %v)", a.target, a.startedAt.Format("05.000"), a.silence, a.fault, a.rejected)
	if a.ending == "" {
		return text + " in progress"
	}
	return text + " " + a.ending
}

// beginAttempt records that a target received a request.
func (rec *recorder) beginAttempt(target string, r *http.Request, b targetBehaviour) *targetAttempt {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a := &targetAttempt{target: target, connAddr: r.RemoteAddr, startedAt: time.Now(), silence: rec.drawSilence(target, b)}
	id := r.Header.Get(platformfake.HeaderRequestID)
	rec.attempts[id] = append(rec.attempts[id], a)
	return a
}

// recordFault records what the target is about to do wrong.
func (rec *recorder) recordFault(a *targetAttempt, fault string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a.fault = fault
}

func (rec *recorder) recordRejection(a *targetAttempt) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	a.rejected = true
}

// endAttempt records whether the target wrote its whole response, or the entry
// process closed the connection before.
func (rec *recorder) endAttempt(a *targetAttempt, r *http.Request) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	elapsed := time.Since(a.startedAt).Round(time.Millisecond)
	a.ending = fmt.Sprintf("ended by the target after %v", elapsed)
	if r.Context().Err() != nil {
		a.ending = fmt.Sprintf("ended by the entry process after %v", elapsed)
	}
}

// hasFault reports whether a target handled the request with the given fault.
func (rec *recorder) hasFault(id, fault string) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, a := range rec.attempts[id] {
		if a.fault == fault {
			return true
		}
	}
	return false
}

// recordConfiguration records the timeouts of a published configuration. The caller
// must hold rec.mu while faults are injected.
func (rec *recorder) recordConfiguration(c platformfake.Configuration) {
	reply := cmp.Or(c.ReplyTimeout, platformfake.DefaultReplyTimeout)
	stream := cmp.Or(c.StreamTimeout, platformfake.DefaultStreamTimeout)
	for route, timeout := range map[string]time.Duration{"once": reply, "safe": reply, "stream": stream, "resume": stream} {
		if shortest, ok := rec.shortestTimeouts[route]; !ok || timeout < shortest {
			rec.shortestTimeouts[route] = timeout
		}
	}
}

// usedUpTime reports whether a request lasted for the shortest timeout that its
// route has had. A process whose link to the store is faulty may use an old
// configuration.
func (rec *recorder) usedUpTime(route string, elapsed time.Duration) bool {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return elapsed >= rec.shortestTimeouts[route]-timeoutTolerance
}

// mayEndRequest reports whether the process may have ended a request because it was
// at the end of a planned stop.
func (p *process) mayEndRequest(startedAt, endedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, window := range p.faultWindows {
		isOver := !window.end.IsZero() && endedAt.After(window.end)
		isLate := startedAt.After(window.start.Add(stopAcceptance))
		if window.graceful && !isOver && !isLate && !endedAt.Before(window.start.Add(stopEnd)) {
			return true
		}
	}
	return false
}

// isOutOfTime reports whether the request used up its route's timeout or reached the
// end of a planned stop.
func (c *callerPool) isOutOfTime(p *process, route string, startedAt, endedAt time.Time) bool {
	return c.deployment.recorder.usedUpTime(route, endedAt.Sub(startedAt)) || p.mayEndRequest(startedAt, endedAt)
}

func (c *callerPool) requireTimeout(p *process, route string, startedAt, endedAt time.Time, description string) {
	if !c.isOutOfTime(p, route, startedAt, endedAt) {
		c.deployment.recorder.failf("%s, with time left and no planned stop at its end", description)
	}
}

// requireExplanation checks that recorded faults explain a broken stream or an error
// status: the request ran out of time, or no attempt had a sound target and an
// undisturbed connection, and at least one attempt failed through a fault.
func (c *callerPool) requireExplanation(p *process, id, route string, startedAt, endedAt time.Time, description string) {
	if c.isOutOfTime(p, route, startedAt, endedAt) {
		return
	}
	rec := c.deployment.recorder
	disturbances := c.deployment.disturbances(startedAt, endedAt)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	attempts := rec.attempts[id]
	explained, sound := false, false
	for _, a := range attempts {
		switch {
		case a.fault != "", a.isDisturbed(disturbances):
			explained = true
		case !a.rejected:
			sound = true
		}
	}
	if len(disturbances) > 0 && !sound {
		// An attempt may have been lost on its way to a target.
		explained = true
	}
	if sound || !explained {
		rec.failures = append(rec.failures, fmt.Sprintf("%s, without an explanation; sound target: %v; attempts: %s", description, sound, describe(attempts, disturbances)))
	}
}

// disturbances returns the link faults on connections to targets that overlap with
// a request.
func (d *deployment) disturbances(startedAt, endedAt time.Time) []linkfake.Disturbance {
	var overlapping []linkfake.Disturbance
	for _, link := range d.targetLinks {
		for _, disturbance := range link.Disturbances() {
			isOver := !disturbance.End.IsZero() && disturbance.End.Before(startedAt)
			if !isOver && !disturbance.Start.After(endedAt) {
				overlapping = append(overlapping, disturbance)
			}
		}
	}
	return overlapping
}

func (a *targetAttempt) isDisturbed(disturbances []linkfake.Disturbance) bool {
	for _, disturbance := range disturbances {
		if disturbance.ConnAddr == a.connAddr {
			return true
		}
	}
	return false
}

func describe(attempts []*targetAttempt, disturbances []linkfake.Disturbance) string {
	if len(attempts) == 0 {
		return "none"
	}
	descriptions := make([]string, len(attempts))
	for i, a := range attempts {
		descriptions[i] = a.String()
		if a.isDisturbed(disturbances) {
			descriptions[i] += " on a connection that the link disturbed"
		}
	}
	return strings.Join(descriptions, "; ")
}
