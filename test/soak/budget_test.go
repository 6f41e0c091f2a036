package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

// Retry budget of the service, as in the settings of the processes: in each window,
// the targets receive at most retryBudget for each request of a caller, and
// retryBudgetSlack, beyond the first arrival of each request.
const (
	retryBudget       = 0.2
	retryBudgetSlack  = 50
	retryBudgetWindow = 10 * time.Second
)

// recordArrival records the time of an arrival at a target that is not the first one
// of its request. The caller must hold rec.mu.
func (rec *recorder) recordArrival(h http.Header) {
	if rec.received[h.Get(platformfake.HeaderRequestID)] > 1 {
		rec.repeatedArrivals = append(rec.repeatedArrivals, time.Now())
	}
}

// recordSent records the time at which a caller sends a request.
func (rec *recorder) recordSent(at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.sentRequests = append(rec.sentRequests, at)
}

// maxRunsPerTarget bounds the runs of a request on one target: it may be sent again
// to a target whose attempt has ended.
const maxRunsPerTarget = 2

// checkTargetsPerRequest checks that no request ran on more targets than the attempts
// of its route, or more often than allowed on one of them. The caller must hold rec.mu.
func (rec *recorder) checkTargetsPerRequest() {
	for id, attempts := range rec.attempts {
		runs := map[string]int{}
		mostRuns := 0
		for _, a := range attempts {
			if a.rejected {
				continue
			}
			runs[a.target]++
			mostRuns = max(mostRuns, runs[a.target])
		}
		if len(runs) > platformfake.DefaultAttempts || mostRuns > maxRunsPerTarget {
			rec.failures = append(rec.failures, fmt.Sprintf("request %s ran on %d targets, up to %d times on one; attempts: %s", id, len(runs), mostRuns, describe(attempts, nil)))
		}
	}
}

// checkRetryBudget checks each window that ends with a repeated arrival. The budget
// is that of the window, of the one before it or of the one half a window before it,
// whichever has the most requests. The caller must hold rec.mu.
func (rec *recorder) checkRetryBudget() {
	for _, end := range rec.repeatedArrivals {
		repeated := countWithin(rec.repeatedArrivals, end)
		requests := max(countWithin(rec.sentRequests, end), countWithin(rec.sentRequests, end.Add(-retryBudgetWindow/2)),
			countWithin(rec.sentRequests, end.Add(-retryBudgetWindow)))
		if allowed := retryBudget*float64(requests) + retryBudgetSlack; float64(repeated) > allowed {
			rec.failures = append(rec.failures, fmt.Sprintf("%d repeated arrivals within %v for %d requests, more than %.0f", repeated, retryBudgetWindow, requests, allowed))
			return
		}
	}
}

// countWithin counts the times within the window that ends at end.
func countWithin(times []time.Time, end time.Time) int {
	count := 0
	for _, t := range times {
		if t.After(end.Add(-retryBudgetWindow)) && !t.After(end) {
			count++
		}
	}
	return count
}
