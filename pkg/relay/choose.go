package relay

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// chooseTarget selects the next target, or returns a refusal if there is none.
// allowed, if not nil, holds the IDs of the only targets that may be chosen.
func (q *request) chooseTarget(excluded, allowed map[string]bool) (balance.Choice, *refusal) {
	req := q.balanceRequest()
	req.Excluded, req.Allowed = excluded, allowed
	return q.chooseFor(req)
}

// chooseFor selects a target for a request to the balancer, or returns the refusal of the caller's
// request.
func (q *request) chooseFor(req *balance.Request) (balance.Choice, *refusal) {
	relay := q.relay
	if refusal := q.checkQuarantine(); refusal != nil {
		return balance.Choice{}, refusal
	}
	targets := relay.Targets()
	choice, rejection := q.pick(req, targets)
	if rejection == nil {
		return choice, nil
	}
	reason, gone := rejection.Reason, !q.hasStreamVersion(targets)
	switch {
	case gone:
		reason = "no_target_of_version"
	case q.isHeldBack(targets):
		reason, rejection.RetryAfter = "software_not_recorded", notRunRetryAfter
	}
	if q.wroteHeader {
		return choice, &refusal{status: http.StatusBadGateway, reason: reason, mayHaveRun: true, permanent: gone}
	}
	return choice, &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: rejection.RetryAfter, permanent: gone}
}

// hasStreamVersion reports whether any target has the software version that began the
// request's stream. If none has, it can't continue.
func (q *request) hasStreamVersion(targets []fleet.Target) bool {
	return q.streamVersion == nil || slices.ContainsFunc(targets, func(target fleet.Target) bool {
		return target.Service == q.service && target.SoftwareVersion == *q.streamVersion
	})
}

// hasOtherVersion reports whether a target is listed with another software version than the one that
// began the request's stream.
func (q *request) hasOtherVersion(id string) bool {
	return q.streamVersion != nil && slices.ContainsFunc(q.relay.Targets(), func(target fleet.Target) bool {
		return target.ID == id && target.SoftwareVersion != *q.streamVersion
	})
}

func (q *request) balanceRequest() *balance.Request {
	req := &balance.Request{Service: q.service, SoftwareVersions: q.softwareVersions(), Continues: q.streamVersion != nil, AsksRun: q.asksRun(), IsBuffered: q.route.Kind != fleet.Stream, MaxExpectedTTFB: q.maxExpectedTTFB()}
	service, ok := q.config.Services[q.service]
	if !ok || !service.HasEngines || q.meta.Model == "" {
		return req
	}
	req.Model = q.meta.Model
	req.PromptTokens = q.meta.PromptTokens
	req.CacheSalt = q.salt
	req.SharedParts = q.meta.SharedParts()
	req.Stores = q.config.CacheStores()
	return req
}

// maxFirstByteWait returns the longest time to the first byte that is still
// useful to the caller.
func (q *request) maxFirstByteWait() time.Duration {
	const minStreamWait = 2 * time.Second
	if q.route.Kind == fleet.Stream {
		return min(q.remaining(), max(minStreamWait, 4*q.route.FirstByteObjective))
	}
	return q.remaining()
}

// maxExpectedTTFB returns the longest expected time to the first byte at which the request is
// sent to a target.
func (q *request) maxExpectedTTFB() time.Duration {
	if q.overloadLimit > 0 {
		return min(q.overloadLimit, q.maxFirstByteWait())
	}
	return q.maxFirstByteWait()
}

// salt returns the cache salt, which separates the cache entries of weights
// versions and of isolated accounts. The salt that the other accounts share changes with the
// set of isolated ones, since one of those may have made entries before it became isolated.
func (q *request) salt(version int64) string {
	salt := q.meta.Model + "/" + strconv.FormatInt(version, 10)
	switch {
	case q.account != nil && q.account.Isolated:
		return salt + "/" + q.account.Name
	case q.config.Isolation != "":
		return salt + "//" + q.config.Isolation
	default:
		return salt
	}
}
