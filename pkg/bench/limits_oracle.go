package bench

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/prefix"
	"github.com/baobabhub/baobabhub/pkg/stats"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// AccountLimitResult is the result of Limits for one account.
type AccountLimitResult struct {
	Name string `json:"name"`
	// MaxExcessTokens is the maximum, over all time windows, by which the
	// tokens used at the targets exceeded rate and burst. A request counts in a
	// window that contains both its sending and its arrival at the target,
	// since it was admitted between the two.
	MaxExcessTokens int64 `json:"max_excess_tokens"`
	// MaxExcessAtArrivalTokens counts each request at its arrival only, so it
	// includes the effect of delays between admission and arrival.
	MaxExcessAtArrivalTokens int64 `json:"max_excess_at_arrival_tokens"`
	UsedTokens               int64 `json:"used_tokens"`
	Offered                  int   `json:"offered"`
	// OfferedWithinRate counts the requests that a single undivided token
	// bucket, charged with the tokens used at the targets, would have admitted
	// at their send times, and all served requests, even those of an account
	// above its rate. RefusedWithinRate counts the refused ones among them.
	OfferedWithinRate int `json:"offered_within_rate"`
	RefusedWithinRate int `json:"refused_within_rate"`
	// BrokenWithinRate counts the requests within the rate whose answer was cut
	// off or never started, without a refusal.
	BrokenWithinRate int `json:"broken_within_rate"`
}

// targetExecution is one execution of a request at a target.
type targetExecution struct {
	sentAt, arrivedAt time.Time
	tokens            int64
	// sendTimeKnown reports whether sentAt is the caller's send time rather
	// than an estimate from the arrival.
	sendTimeKnown bool
}

// sentRequest is a request and its result as observed by the caller.
type sentRequest struct {
	sentAt time.Time
	tokens int64
	result loadclient.Result
}

// limitsOracle checks a run against the executions at the targets and the
// results that callers observed.
type limitsOracle struct {
	deployment    localfleet.Deployment
	accountBySalt map[string]string
	started       time.Time
	faultTarget   *localfleet.Target

	mu         sync.Mutex
	executions []enginefake.EndedRequest
	requests   map[string][]sentRequest
}

func newLimitsOracle(d localfleet.Deployment) *limitsOracle {
	o := &limitsOracle{
		deployment: d, accountBySalt: make(map[string]string), started: time.Now(), requests: make(map[string][]sentRequest),
	}
	for _, account := range d.Accounts {
		o.accountBySalt[prefix.Salt(account.Name, d.Model, "", d.WeightsVersion)] = account.Name
	}
	return o
}

// recordExecution records an execution that ended at a target.
func (o *limitsOracle) recordExecution(execution enginefake.EndedRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.executions = append(o.executions, execution)
}

// recordRequest records the result of a request.
func (o *limitsOracle) recordRequest(request workload.Request, sentAt time.Time, result loadclient.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	tokens := int64(enginefake.CountTokens(request.Prompt) + request.MaxTokens)
	name := request.Account.Name
	o.requests[name] = append(o.requests[name], sentRequest{sentAt: sentAt, tokens: tokens, result: result})
}

// maxAdmissionDelay is the assumed time between sending and arrival at a target
// for a request whose caller received no response.
const maxAdmissionDelay = 3 * time.Second

func (o *limitsOracle) evaluate(result *LimitsResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	executionsByAccount := o.executionsByAccount()
	result.ByCode = make(map[string]int)
	var firstTokenTimes stats.DurationHistogram
	for _, account := range o.deployment.Accounts {
		requests, executions := o.requests[account.Name], executionsByAccount[account.Name]
		accountResult := AccountLimitResult{
			Name: account.Name, Offered: len(requests),
			MaxExcessTokens:          o.maxExcess(executions, false),
			MaxExcessAtArrivalTokens: o.maxExcess(executions, true),
		}
		for _, execution := range executions {
			accountResult.UsedTokens += execution.tokens
		}
		o.countWithinRate(requests, executions, &accountResult)
		result.Accounts = append(result.Accounts, accountResult)
		for _, request := range requests {
			if !request.result.Complete {
				result.ByCode[outcomeCode(request.result)]++
			} else {
				firstTokenTimes.Record(request.result.FirstToken)
			}
		}
	}
	result.FirstTokenP99MS = firstTokenTimes.QuantileMS(0.99)
}

func outcomeCode(result loadclient.Result) string {
	if result.Code == "" {
		return "no_answer"
	}
	return result.Code
}

// executionsByAccount matches the executions at the targets with the send times
// of their requests.
func (o *limitsOracle) executionsByAccount() map[string][]targetExecution {
	sendTimes := make(map[string]time.Time)
	for _, requests := range o.requests {
		for _, request := range requests {
			sendTimes[request.result.RequestID] = request.sentAt
		}
	}
	byAccount := make(map[string][]targetExecution)
	for _, execution := range o.executions {
		sentAt, found := sendTimes[execution.RequestID]
		if !found {
			sentAt = execution.ArrivedAt.Add(-maxAdmissionDelay)
		}
		account := o.accountBySalt[execution.CacheSalt]
		byAccount[account] = append(byAccount[account], targetExecution{
			sentAt: sentAt, arrivedAt: execution.ArrivedAt, sendTimeKnown: found, tokens: int64(execution.Usage.PromptTokens + execution.Usage.CompletionTokens),
		})
	}
	return byAccount
}

// maxExcess returns the maximum excess over rate and burst in any time window,
// at least 0. With atArrival, each execution counts at its arrival only.
func (o *limitsOracle) maxExcess(executions []targetExecution, atArrival bool) int64 {
	sorted := slices.Clone(executions)
	if atArrival {
		for i := range sorted {
			sorted[i].sentAt = sorted[i].arrivedAt
		}
	}
	slices.SortFunc(sorted, func(a, b targetExecution) int { return a.arrivedAt.Compare(b.arrivedAt) })
	var excess float64
	for _, first := range sorted {
		var sum int64
		for _, execution := range sorted {
			if execution.sentAt.Before(first.sentAt) || execution.arrivedAt.Before(first.sentAt) {
				continue
			}
			sum += execution.tokens
			allowed := float64(o.deployment.BurstTokens) +
				float64(o.deployment.RateTokensPerSecond)*execution.arrivedAt.Sub(first.sentAt).Seconds()
			excess = max(excess, float64(sum)-allowed)
		}
	}
	return int64(excess)
}

// bucketEvent is an execution at a target, or a request that was not served.
type bucketEvent struct {
	at       time.Time
	tokens   int64
	unserved *sentRequest
}

// countWithinRate replays the executions against one undivided token bucket,
// charging each at its send time, and checks the bucket's level at the send
// time of each unserved request. A request was within the rate if serving it
// would not have taken tokens from requests that were sent earlier and served.
func (o *limitsOracle) countWithinRate(requests []sentRequest, executions []targetExecution, result *AccountLimitResult) {
	var events []bucketEvent
	for _, execution := range executions {
		at := execution.arrivedAt
		if execution.sendTimeKnown {
			at = execution.sentAt
		}
		events = append(events, bucketEvent{at: at, tokens: execution.tokens})
	}
	served := 0
	for i := range requests {
		if requests[i].result.Complete {
			served++
			continue
		}
		events = append(events, bucketEvent{at: requests[i].sentAt, tokens: requests[i].tokens, unserved: &requests[i]})
	}
	slices.SortStableFunc(events, func(a, b bucketEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	burst, rate := float64(o.deployment.BurstTokens), float64(o.deployment.RateTokensPerSecond)
	level, last := burst, o.started
	for _, event := range events {
		level = min(burst, level+rate*event.at.Sub(last).Seconds())
		last = event.at
		switch {
		case event.unserved == nil:
			level -= float64(event.tokens)
		case level < float64(event.tokens):
		case event.unserved.result.Ran == outcome.RanNo.String():
			result.RefusedWithinRate++
		default:
			result.BrokenWithinRate++
		}
	}
	result.OfferedWithinRate = served + result.RefusedWithinRate + result.BrokenWithinRate
}
