package relay

import (
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
)

// earlyCrashWindow is the time after a target's first event within which a crash may
// have been caused by the request.
const earlyCrashWindow = 300 * time.Millisecond

// noticeDelay is the time within which a process notices on a connection that its target has
// crashed. Bytes that it reads or sends before say nothing of the target's state.
const noticeDelay = 20 * time.Millisecond

// Quarantine knows the requests and the parts of prompts that crash targets. Its methods
// must not block.
type Quarantine interface {
	// Check returns what is quarantined of a request, if anything is. The request must
	// not be sent to a target then, unless it takes a trial.
	Check(request quarantine.Request) (finding quarantine.Finding, quarantined bool)
	// TakeTrial reports whether the request may show by its response that what is
	// quarantined of it is sound. The next request is refused again.
	TakeTrial(suspect quarantine.Suspect, request quarantine.Request) bool
	// ReturnTrial is called when a request ends that has taken a trial and was not run.
	ReturnTrial(suspect quarantine.Suspect)
	// IsSuspected reports whether a target has crashed under a request with the same
	// fingerprint, and none has completed a response to one.
	IsSuspected(request quarantine.Request) bool
	// Completed is called when a target has completed a response to a request.
	Completed(request quarantine.Request)
	// CompletedUnframed is called when a response seems to be complete that ended with its
	// connection, as a crash of the target ends it.
	CompletedUnframed(target fleet.Target, request quarantine.Request)
	// AnsweredWithError is called when a target has answered a request completely with an error of
	// its own. trialOf is the suspect of which the request was a trial; zero if it was none.
	AnsweredWithError(target fleet.Target, request quarantine.Request, trialOf quarantine.Suspect)
	// Answered is called when a target has begun to answer a request that was sent at a time,
	// or later.
	Answered(target fleet.Boot, sentAt time.Duration)
	// BrokenOff is called when the response to a request ended before it had begun, or soon
	// after, and this process did not end it. The target was running at runningAt.
	BrokenOff(requestID string, target fleet.Target, runningAt time.Duration, request quarantine.Request)
}

// noQuarantine implements Quarantine for a relay without one.
type noQuarantine struct{}

func (noQuarantine) Check(quarantine.Request) (quarantine.Finding, bool) {
	return quarantine.Finding{}, false
}

func (noQuarantine) TakeTrial(quarantine.Suspect, quarantine.Request) bool { return false }

func (noQuarantine) ReturnTrial(quarantine.Suspect) {}

func (noQuarantine) IsSuspected(quarantine.Request) bool { return false }

func (noQuarantine) Completed(quarantine.Request) {}

func (noQuarantine) CompletedUnframed(fleet.Target, quarantine.Request) {}

func (noQuarantine) AnsweredWithError(fleet.Target, quarantine.Request, quarantine.Suspect) {}

func (noQuarantine) Answered(fleet.Boot, time.Duration) {}

func (noQuarantine) BrokenOff(string, fleet.Target, time.Duration, quarantine.Request) {}

// crashRequest returns what may be suspected if a target crashes under the request. Parts
// of prompts matter to engines only.
func (q *request) crashRequest() quarantine.Request {
	request := quarantine.Request{Fingerprint: q.fingerprint}
	if q.config.Services[q.service].HasEngines {
		request.Parts = q.sharedParts
	}
	return request
}

// checkQuarantine returns a refusal if the request must not be sent to any target. It is final
// only if the request would crash its targets for sure.
func (q *request) checkQuarantine() *refusal {
	finding, quarantined := q.relay.Quarantine.Check(q.crashRequest())
	if !quarantined || q.takesTrial(finding.Suspect) {
		return nil
	}
	kind := "prompt"
	if finding.Request != "" {
		kind = "request"
	}
	if !finding.Sure {
		return &refusal{status: http.StatusServiceUnavailable, reason: kind + "_suspected", part: finding.Part, retryAfter: finding.RetryAfter}
	}
	return &refusal{status: http.StatusBadRequest, reason: kind + "_quarantined", part: finding.Part, permanent: true}
}

// takesTrial reports whether the request may be sent as a trial of a quarantined suspect. It
// keeps the trial until a target may have run it, since a target that rejects it shows nothing.
func (q *request) takesTrial(suspect quarantine.Suspect) bool {
	if q.mayHaveRun {
		return false
	}
	if q.trialOf != suspect && q.relay.Quarantine.TakeTrial(suspect, q.crashRequest()) {
		q.trialOf = suspect
		q.relay.Log.Log(eventlog.TrialTaken, "request_id", q.meta.ID, "fingerprint", suspect.Request, "part", suspect.Part)
	}
	return q.trialOf == suspect
}

// returnTrial lets another request take the trial that the request has taken, unless a target may
// have run it.
func (q *request) returnTrial() {
	if q.trialOf != (quarantine.Suspect{}) && !q.mayHaveRun {
		q.relay.Quarantine.ReturnTrial(q.trialOf)
	}
}

// isSuspected reports whether the request may crash its targets. Such a request is not
// sent to a second one by itself.
func (q *request) isSuspected() bool {
	return q.relay.Quarantine.IsSuspected(q.crashRequest())
}

// reportCrashEvidence reports what an ended attempt shows of whether the request crashes
// targets.
func (q *request) reportCrashEvidence(a *attempt, result outcome) {
	switch {
	case a.result == targetError:
		// The caller may have left since.
		if a.responseMeta.HasStamp && !a.responseMeta.OtherInstance {
			q.relay.Quarantine.AnsweredWithError(a.choice.Target, q.crashRequest(), q.trialOf)
		}
	case result == completed && strictresponse.HasFraming(a.exchange.Response):
		q.relay.Quarantine.Completed(q.crashRequest())
	case result == completed:
		q.relay.Quarantine.CompletedUnframed(a.choice.Target, q.crashRequest())
	case result == failed && a.sent && a.endedBy == nil && a.firstEventAge(q.relay.Now()) < earlyCrashWindow:
		q.relay.Quarantine.BrokenOff(q.meta.ID, a.choice.Target, a.runningAt(), q.crashRequest())
	}
}

// runningAt returns the latest time at which the attempt's target is known to have been running,
// on the process's clock: that of a new connection, or before the latest news on a kept one.
func (a *attempt) runningAt() time.Duration {
	latest := a.startedAt
	if a.isConnKept {
		latest -= noticeDelay
	}
	if a.exchange != nil {
		latest = max(latest, a.answeredAt-noticeDelay)
	}
	if a.hasEvents {
		latest = max(latest, a.firstEventAt-noticeDelay)
	}
	return latest
}
