package relay

import (
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// earlyCrashWindow is the time after a target's first event within which a crash may
// have been caused by the request.
const earlyCrashWindow = 300 * time.Millisecond

// Quarantine knows the parts of prompts that crash targets. Its methods must not block.
type Quarantine interface {
	// Check returns the part because of which a request with the given parts must not
	// be sent to a target, or "" if there is none.
	Check(parts []string) string
	// Completed is called when a target has completed a response to a request with the
	// given parts.
	Completed(parts []string)
	// BrokenOff is called when the response to a request with the given parts ended
	// before it had begun, or soon after, and this process did not end it.
	BrokenOff(requestID string, target fleet.Target, parts []string)
}

// hasSharedPrompt reports whether the request runs on an engine and its prompt has parts
// that other requests may share.
func (q *request) hasSharedPrompt() bool {
	return len(q.sharedParts) > 0 && q.config.Services[q.service].HasEngines
}

// quarantineParts returns the parts of the prompt that may be suspected of a crash.
func (q *request) quarantineParts() []string {
	if !q.hasSharedPrompt() {
		return nil
	}
	return q.sharedParts
}

// checkQuarantine returns a refusal if the request must not be sent to any target.
func (q *request) checkQuarantine() *refusal {
	if !q.hasSharedPrompt() {
		return nil
	}
	part := q.relay.Quarantine.Check(q.sharedParts)
	if part == "" {
		return nil
	}
	return &refusal{status: http.StatusBadRequest, reason: "prompt_quarantined", part: part, permanent: true}
}

// reportCrashEvidence reports what an ended attempt shows of the parts of its prompt.
func (q *request) reportCrashEvidence(a *attempt, result outcome) {
	switch {
	case result == failed && a.sent && a.endedBy == nil && a.firstEventAge(q.relay.Now()) < earlyCrashWindow:
		q.relay.Quarantine.BrokenOff(q.meta.ID, a.choice.Target, q.quarantineParts())
	case !q.hasSharedPrompt():
	case result == completed && hasFraming(a.exchange.Response):
		// A response that ends with its connection may have been cut by a crash.
		q.relay.Quarantine.Completed(q.sharedParts)
	}
}
