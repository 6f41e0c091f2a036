package relay

import (
	"maps"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/membudget"
)

// VersionRollouts decides which software version of a service gets a request while the service
// moves to another one. Its methods must not block.
type VersionRollouts interface {
	// Next decides where the next attempt of a request goes. isRetry is set if it is not the first one.
	Next(service string, isRetry bool) VersionDecision
	// Return is called for a decision for which no attempt begins.
	Return(decision VersionDecision)
	// Begin is called when an attempt begins at a target. The decision is the zero value if no place in
	// a budget was reserved for it.
	Begin(target fleet.Target, decision VersionDecision) VersionAttempt
}

// VersionDecision is the decision for an attempt.
type VersionDecision struct {
	canary.Decision
	// Version is the new software version.
	Version string
	// Withdrawn holds the versions that get no requests, since an earlier rollout of them was
	// not completed.
	Withdrawn map[string]bool
	// Rollout identifies the rollout.
	Rollout *canary.Rollout
}

// VersionAttempt is an attempt that has begun. End is called once when it ends.
type VersionAttempt interface {
	End(end AttemptEnd)
}

// AttemptEnd is what the end of an attempt shows of its target.
type AttemptEnd struct {
	Route  string
	SentAt time.Duration
	Result canary.Result
	// IsAnswered is set if the target has begun to answer.
	IsAnswered bool
	// IsBroken is set if the target did not complete a response, without an error status.
	IsBroken bool
	// Time is the time to the first byte as a multiple of the expected one or, for requests without
	// a prompt, in seconds; 0 if there is none.
	Time float64
}

// pick selects a target among those of the software versions that a rollout of the request's service
// allows, if there is one.
func (q *request) pick(req *balance.Request, targets []fleet.Target) (balance.Choice, *balance.Refusal) {
	relay := q.relay
	q.versionDecision = VersionDecision{}
	if relay.VersionRollouts == nil || q.streamVersion != nil {
		return relay.Balancer.Pick(relay.Now(), req, targets)
	}
	decision := relay.VersionRollouts.Next(q.service, q.attempts > 0)
	if decision.Use == canary.AnyVersion {
		return relay.Balancer.Pick(relay.Now(), req, targets)
	}
	allowed := req.SoftwareVersions
	newOnly, others := q.splitVersions(allowed, decision.Version, targets)
	maps.DeleteFunc(others, func(version string, _ bool) bool { return decision.Withdrawn[version] })
	order := []map[string]bool{others}
	switch {
	case decision.Use.PrefersNew():
		order = []map[string]bool{newOnly, others}
	case decision.Use == canary.OldVersionsFirst:
		order = []map[string]bool{others, newOnly}
	}
	var choice balance.Choice
	var rejection *balance.Refusal
	for _, versions := range order {
		req.SoftwareVersions = versions
		choice, rejection = relay.Balancer.Pick(relay.Now(), req, targets)
		if rejection == nil || (decision.Use == canary.NewVersionIfAvailable && !isUnavailable(rejection)) {
			break
		}
	}
	if rejection != nil || choice.Target.SoftwareVersion != decision.Version {
		relay.VersionRollouts.Return(decision)
		return choice, rejection
	}
	q.versionDecision = decision
	return choice, nil
}

// isUnavailable reports whether no target could be chosen because none can serve, rather than
// because those that can have too much work.
func isUnavailable(rejection *balance.Refusal) bool {
	return rejection.Reason == balance.ReasonNoTarget || rejection.Reason == balance.ReasonLoading
}

// splitVersions returns the new version, and the other versions of the service's targets, as far as the
// request allows them; nil allows all.
func (q *request) splitVersions(allowed map[string]bool, version string, targets []fleet.Target) (newOnly, others map[string]bool) {
	newOnly, others = map[string]bool{}, map[string]bool{}
	if allowed == nil {
		newOnly[version] = true
		for i := range targets {
			if targets[i].Service == q.service {
				others[targets[i].SoftwareVersion] = true
			}
		}
	} else {
		newOnly[version] = allowed[version]
		maps.Copy(others, allowed)
	}
	delete(others, version)
	return newOnly, others
}

// beginVersion records the begin of an attempt for the rollout of its service.
func (q *request) beginVersion(a *attempt) {
	if q.relay.VersionRollouts == nil {
		return
	}
	a.version = q.relay.VersionRollouts.Begin(a.choice.Target, q.versionDecision)
	q.versionDecision = VersionDecision{}
}

// endVersion records the end of an attempt for the rollout of its service, once.
func (q *request) endVersion(a *attempt, result canary.Result) {
	if a.version == nil {
		return
	}
	if !a.sent {
		result = canary.NotSent
	}
	version := a.version
	a.version = nil
	version.End(AttemptEnd{
		Route: q.route.Name, SentAt: a.startedAt, Result: result, IsAnswered: a.exchange != nil,
		IsBroken: result == canary.Failed && a.result == failed && a.endedBy == nil, Time: q.comparableTime(a, result),
	})
}

// comparableTime returns the attempt's time to the first byte as a multiple of the expected one.
// Without a prompt there is no such expectation; the time in seconds is returned then.
func (q *request) comparableTime(a *attempt, result canary.Result) float64 {
	if result != canary.Served {
		return 0
	}
	elapsed := q.relay.Now() - a.startedAt
	if a.hasEvents {
		elapsed = a.firstEventAt - a.startedAt
	}
	if q.meta.Model != "" && a.choice.ExpectedTTFB > 0 {
		return elapsed.Seconds() / a.choice.ExpectedTTFB.Seconds()
	}
	return elapsed.Seconds()
}

// versionResult returns what the outcome of an attempt shows of its target's software version.
func (q *request) versionResult(a *attempt, result outcome) canary.Result {
	switch {
	case result == notSent, result == addressReused:
		return canary.NotSent
	case result == notRun, result == staleWeights:
		return canary.Refused
	case result == completed:
		return canary.Served
	case result == targetError:
		if a.exchange.Response.StatusCode/100 == 5 {
			return canary.Failed
		}
		return canary.Served
	case result == failed && (isRejection(a) || errors.Is(a.err, membudget.ErrBudgetExceeded)):
		return canary.NoEvidence
	case result == failed && errors.Is(a.endedBy, errTargetSilent):
		return canary.Failed
	case result == failed && a.endedBy != nil:
		return canary.NoEvidence
	case result == failed, result == deadlineExceeded && errors.Is(a.endedBy, errDeadlineExceeded):
		return canary.Failed
	default:
		return canary.NoEvidence
	}
}

// isRejection reports whether the target rejected the request with a status that stands for overload,
// although it didn't guarantee that the request did not run.
func isRejection(a *attempt) bool {
	if a.exchange == nil {
		return false
	}
	status := a.exchange.Response.StatusCode
	return status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}
