package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/fake/servicefake"
	"github.com/baobabhub/baobabhub/pkg/outcome"
)

const (
	// onceCallerTimeout is the HTTP client timeout of a caller.
	onceCallerTimeout = 7 * time.Second
	// onceDefaultRetryDelay is a caller's delay before a retry when the answer
	// has no Retry-After.
	onceDefaultRetryDelay = 200 * time.Millisecond
	onceMaxRetryDelay     = time.Second
)

// onceAnswer is the answer to one call as the caller received it.
type onceAnswer struct {
	status     int
	ran        string
	code       string
	result     string
	retryAfter time.Duration
	// requestID identifies the call at the services.
	requestID string
}

// served reports whether the service answered the call.
func (a onceAnswer) served() bool { return a.status == http.StatusOK }

// unknown reports whether the caller cannot tell if the call ran.
func (a onceAnswer) unknown() bool { return a.status == 0 || a.ran == outcome.RanUnknown.String() }

// notRun reports whether the answer states that the call did not run.
func (a onceAnswer) notRun() bool { return a.status != 0 && a.ran == outcome.RanNo.String() }

// final reports whether a retry with the same key cannot improve the outcome.
func (a onceAnswer) final() bool {
	return a.served() || a.ran == outcome.RanYes.String()
}

// retryDelay returns the caller's delay before the next attempt.
func (a onceAnswer) retryDelay() time.Duration {
	if a.retryAfter > 0 {
		return min(a.retryAfter, onceMaxRetryDelay)
	}
	return onceDefaultRetryDelay
}

// call sends one call. The business key also serves as the idempotency key.
func (r *onceRun) call(ctx context.Context, routerIndex int, businessKey, path string) onceAnswer {
	router := r.fleet.Routers[routerIndex%len(r.fleet.Routers)].Daemon.Address()
	body := fmt.Sprintf(`{"key":%q}`, businessKey)
	if r.abortCalls.Load() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callerAbortTimeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return onceAnswer{}
	}
	accounts := r.fleet.Config.Deployment.Accounts
	request.Header.Set("Authorization", "Bearer "+accounts[businessKey[len(businessKey)-1]%byte(len(accounts))].Key)
	request.Header.Set(caller.HeaderIdempotencyKey, businessKey)
	answer := r.roundTrip(request)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if !answer.served() {
		r.codes[answer.code+"/"+answer.ran]++
	}
	if answer.notRun() {
		r.notRunRequestIDs = append(r.notRunRequestIDs, answer.requestID)
	}
	return answer
}

func (r *onceRun) roundTrip(request *http.Request) onceAnswer {
	response, err := r.client.Do(request)
	if err != nil {
		return onceAnswer{code: "no_answer"}
	}
	defer func() { _ = response.Body.Close() }()
	answer := onceAnswer{status: response.StatusCode, ran: response.Header.Get(caller.HeaderRan),
		requestID: response.Header.Get(caller.HeaderRequestID),
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		answer.retryAfter = time.Duration(seconds) * time.Second
	}
	var body struct {
		servicefake.Result
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(response.Body).Decode(&body) != nil {
		return onceAnswer{code: "cut_answer"}
	}
	answer.result, answer.code = body.Result.Result, body.Error.Code
	return answer
}

// result counts the executions at the services and compares them with the
// outcomes that callers received.
func (r *onceRun) result(ctx context.Context) AtMostOnceResult {
	executions, byRequest := r.executions(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	result := AtMostOnceResult{
		Seed: r.Seed, Keys: len(r.keys), Calls: r.calls, Restarts: r.restarts, Faults: r.faultCounts, Codes: r.codes,
		UnknownByFault: map[string]int{}, RefusedByFault: map[string]int{},
		IdempotentP50MS: r.idempotentTimes.QuantileMS(0.5), IdempotentP99MS: r.idempotentTimes.QuantileMS(0.99),
		OnceP50MS: r.onceTimes.QuantileMS(0.5), OnceP99MS: r.onceTimes.QuantileMS(0.99),
		AddedP50MS: r.addedTimes.QuantileMS(0.5), AddedP99MS: r.addedTimes.QuantileMS(0.99),
		KVWritesPerS: float64(r.faultFreeKVWrites) / r.faultFreeDuration.Seconds(),
		CallsPerS:    float64(r.faultFreeKeys) / r.faultFreeDuration.Seconds(),
	}
	for i := range r.keys {
		result.addKey(&r.keys[i], executions[r.keys[i].businessKey])
	}
	for _, requestID := range r.notRunRequestIDs {
		if byRequest[requestID] > 0 {
			result.FalseNotRun++
		}
	}
	result.NotRunAnswers = len(r.notRunRequestIDs)
	faultPhaseKeys := float64(max(len(r.keys)-r.faultFreeKeys, 1))
	result.UnknownShare, result.RefusedShare = result.UnknownShare/faultPhaseKeys, result.RefusedShare/faultPhaseKeys
	result.UnknownFirstShare, result.RefusedFirstShare = result.UnknownFirstShare/faultPhaseKeys, result.RefusedFirstShare/faultPhaseKeys
	result.DurationSeconds = time.Since(r.started).Seconds()
	return result
}

// addKey adds the outcomes of one key to the result.
func (r *AtMostOnceResult) addKey(key *onceKeyResult, executions int) {
	r.ExecutionsMaxPerKey = max(r.ExecutionsMaxPerKey, executions)
	if key.last.notRun() && key.first.notRun() && key.alwaysNotRun && executions > 0 {
		r.FalseNotRun++
	}
	if key.last.served() && (executions == 0 || key.last.result != servicefake.ResultOf(key.businessKey)) {
		r.WrongAnswers++
	}
	if key.fault == "calm" {
		if key.last.unknown() {
			r.FaultFreeUnknown++
		} else if key.last.notRun() {
			r.FaultFreeRefused++
		}
		return
	}
	if key.first.unknown() {
		r.UnknownFirstShare++
	} else if key.first.notRun() {
		r.RefusedFirstShare++
	}
	if key.last.unknown() {
		r.UnknownShare++
		r.UnknownByFault[key.fault]++
	} else if key.last.notRun() {
		r.RefusedShare++
		r.RefusedByFault[key.fault]++
	}
}
