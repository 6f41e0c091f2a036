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

// AccountLimit is how one account fared.
type AccountLimit struct {
	Name string `json:"name"`
	// MaxExcessTokens is the most by which the targets' use exceeded rate and
	// burst in a window. A request counts in a window that holds its sending
	// and its arrival at the target, since it was admitted between the two.
	MaxExcessTokens int64 `json:"max_excess_tokens"`
	// MaxExcessAtArrivalTokens counts each request at its arrival alone, so
	// that delays between admission and arrival count too.
	MaxExcessAtArrivalTokens int64 `json:"max_excess_at_arrival_tokens"`
	UsedTokens               int64 `json:"used_tokens"`
	Offered                  int   `json:"offered"`
	// OfferedWithinRate counts the requests that one whole bucket, charged
	// with what the targets used, would have admitted when they were sent, and
	// RefusedWithinRate those of them that were refused. Requests of an account
	// above its rate that were served count as offered within it.
	OfferedWithinRate int `json:"offered_within_rate"`
	RefusedWithinRate int `json:"refused_within_rate"`
	// BrokenWithinRate counts answers that broke or never began, without a refusal.
	BrokenWithinRate int `json:"broken_within_rate"`
}

// used is one execution at a target.
type used struct {
	from, to time.Time
	tokens   int64
	// known says that from is when the caller sent the request.
	known bool
}

// sentRequest is one request as its caller saw it.
type sentRequest struct {
	at     time.Time
	tokens int64
	result loadclient.Result
}

// limitsOracle judges a run from what the targets counted and what callers saw.
type limitsOracle struct {
	deployment localfleet.Deployment
	accountOf  map[string]string
	started    time.Time
	victim     *localfleet.Target

	mu    sync.Mutex
	ends  []enginefake.Ended
	sends map[string][]sentRequest
}

func newLimitsOracle(d localfleet.Deployment) *limitsOracle {
	o := &limitsOracle{
		deployment: d, accountOf: make(map[string]string), started: time.Now(), sends: make(map[string][]sentRequest),
	}
	for _, account := range d.Accounts {
		o.accountOf[prefix.Salt(account.Name, d.Model, "", d.WeightsVersion)] = account.Name
	}
	return o
}

// ended notes what a target used.
func (o *limitsOracle) ended(end enginefake.Ended) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends = append(o.ends, end)
}

// sent notes what became of a request.
func (o *limitsOracle) sent(request workload.Request, at time.Time, result loadclient.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	tokens := int64(enginefake.CountTokens(request.Prompt) + request.MaxTokens)
	name := request.Account.Name
	o.sends[name] = append(o.sends[name], sentRequest{at: at, tokens: tokens, result: result})
}

// admissionTime bounds the time between the sending and the arrival at a
// target of a request whose caller heard nothing.
const admissionTime = 3 * time.Second

func (o *limitsOracle) judge(figures *LimitsFigures) {
	o.mu.Lock()
	defer o.mu.Unlock()
	uses := o.uses()
	figures.ByCode = make(map[string]int)
	var firstTokens stats.DurationHistogram
	for _, account := range o.deployment.Accounts {
		sends, executions := o.sends[account.Name], uses[account.Name]
		judged := AccountLimit{
			Name: account.Name, Offered: len(sends),
			MaxExcessTokens:          o.maxExcess(executions, false),
			MaxExcessAtArrivalTokens: o.maxExcess(executions, true),
		}
		for _, execution := range executions {
			judged.UsedTokens += execution.tokens
		}
		o.countRefusals(sends, executions, &judged)
		figures.Account = append(figures.Account, judged)
		for _, send := range sends {
			if !send.result.Complete {
				figures.ByCode[codeOf(send.result)]++
			} else {
				firstTokens.Record(send.result.FirstToken)
			}
		}
	}
	figures.FirstTokenP99MS = firstTokens.QuantileMS(0.99)
}

func codeOf(result loadclient.Result) string {
	if result.Code == "" {
		return "no_answer"
	}
	return result.Code
}

// uses joins what the targets counted with the times of sending.
func (o *limitsOracle) uses() map[string][]used {
	sentAt := make(map[string]time.Time)
	for _, sends := range o.sends {
		for _, send := range sends {
			sentAt[send.result.RequestID] = send.at
		}
	}
	uses := make(map[string][]used)
	for _, end := range o.ends {
		from, known := sentAt[end.RequestID]
		if !known {
			from = end.Arrived.Add(-admissionTime)
		}
		account := o.accountOf[end.CacheSalt]
		uses[account] = append(uses[account], used{
			from: from, to: end.Arrived, known: known, tokens: int64(end.Usage.PromptTokens + end.Usage.CompletionTokens),
		})
	}
	return uses
}

// maxExcess returns the greatest excess over rate and burst in any window; at
// least 0. atArrival counts each use at its arrival alone.
func (o *limitsOracle) maxExcess(uses []used, atArrival bool) int64 {
	sorted := slices.Clone(uses)
	if atArrival {
		for i := range sorted {
			sorted[i].from = sorted[i].to
		}
	}
	slices.SortFunc(sorted, func(a, b used) int { return a.to.Compare(b.to) })
	var most float64
	for _, first := range sorted {
		var sum int64
		for _, use := range sorted {
			if use.from.Before(first.from) || use.to.Before(first.from) {
				continue
			}
			sum += use.tokens
			allowed := float64(o.deployment.BurstTokens) +
				float64(o.deployment.RateTokensPerSecond)*use.to.Sub(first.from).Seconds()
			most = max(most, float64(sum)-allowed)
		}
	}
	return int64(most)
}

// levelEvent is a use at a target, or a request that was not served.
type levelEvent struct {
	at     time.Time
	tokens int64
	send   *sentRequest
}

// countRefusals runs one whole bucket over the uses, each charged when it was
// sent, and looks at its level whenever a request came that was not served. So
// a request was within the rate if it could have been served without taking
// from a request that was sent earlier and served.
func (o *limitsOracle) countRefusals(sends []sentRequest, uses []used, judged *AccountLimit) {
	var events []levelEvent
	for _, use := range uses {
		at := use.to
		if use.known {
			at = use.from
		}
		events = append(events, levelEvent{at: at, tokens: use.tokens})
	}
	served := 0
	for i := range sends {
		if sends[i].result.Complete {
			served++
			continue
		}
		events = append(events, levelEvent{at: sends[i].at, tokens: sends[i].tokens, send: &sends[i]})
	}
	slices.SortStableFunc(events, func(a, b levelEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	burst, rate := float64(o.deployment.BurstTokens), float64(o.deployment.RateTokensPerSecond)
	level, last := burst, o.started
	for _, event := range events {
		level = min(burst, level+rate*event.at.Sub(last).Seconds())
		last = event.at
		switch {
		case event.send == nil:
			level -= float64(event.tokens)
		case level < float64(event.tokens):
		case event.send.result.Ran == outcome.RanNo.String():
			judged.RefusedWithinRate++
		default:
			judged.BrokenWithinRate++
		}
	}
	judged.OfferedWithinRate = served + judged.RefusedWithinRate + judged.BrokenWithinRate
}
