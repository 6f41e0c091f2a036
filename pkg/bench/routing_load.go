package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/prefix"
	"github.com/baobabhub/baobabhub/pkg/stats"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

const (
	// timeScale is the factor by which the fake engines run faster than the
	// modelled ones.
	timeScale = 8
	// routingBlockTokens is small because prompt bytes cost the benchmark CPU
	// time, while the fake engines' speed is set per token.
	routingBlockTokens  = 500
	routingAnswerTokens = 16
	// defaultRoutingDuration is the length of the load. The first third is a
	// warm-up and not measured.
	defaultRoutingDuration = 3 * time.Second
	warmUpDivisor          = 3
	// modelShiftInterval is the time between changes of the hot documents.
	modelShiftInterval = 20 * time.Second
	// floodFactor is the multiple of its regular rate at which the flooding
	// account sends during the middle third of the measured time.
	floodFactor = 4
	maxRequests = 1 << 16
)

// routingSetup holds the parameters that all policies of a run share.
type routingSetup struct {
	deployment localfleet.Deployment
	seed       uint64
	// blocksPerEngine is the cache size of each engine, and documents is the
	// total over all accounts.
	blocksPerEngine int
	documents       int
	// rate is the number of arrivals per second and engine, in model time.
	rate     float64
	duration time.Duration
}

// newRoutingSetup returns the parameters of the modelled deployment, with half
// the documents and half the cache memory so that a short run fills the caches.
func newRoutingSetup(o RoutingOptions) (*routingSetup, error) {
	deployment, err := o.deployment()
	if err != nil {
		return nil, err
	}
	if o.Policy != "" && !slices.Contains(policyNames, o.Policy) {
		return nil, errors.NotValidf("policy %q", o.Policy)
	}
	if !o.Fault.valid() {
		return nil, errors.NotValidf("fault %q", o.Fault)
	}
	s := &routingSetup{deployment: deployment, seed: o.Seed, blocksPerEngine: 60, documents: 600, rate: 1.4, duration: defaultRoutingDuration}
	if deployment.Name == "beaulieu" {
		s.blocksPerEngine, s.documents, s.rate = 100, 400, 1.4
	}
	if o.Rate > 0 {
		s.rate = o.Rate
	}
	if o.Duration > 0 {
		s.duration = o.Duration
	}
	for i := range s.deployment.Accounts {
		s.deployment.Accounts[i].Share = 1
	}
	return s, nil
}

func (s *routingSetup) engines() int { return s.deployment.Pools[0].TargetCount }

// routingLoad is a sequence of arrivals.
type routingLoad struct {
	requestsPerSecond float64
	duration          time.Duration
	warmUp            time.Duration
	requests          []workload.Request
	floodAccount      workload.Account
	floodFrom         time.Duration
	floodUntil        time.Duration
}

// generateLoad generates the arrivals at a multiple of the configured rate: the
// regular ones of all accounts and the flood of the last account.
func (s *routingSetup) generateLoad(factor float64) routingLoad {
	accounts := s.deployment.Accounts
	l := routingLoad{
		requestsPerSecond: s.rate * factor * timeScale * float64(s.engines()),
		duration:          s.duration,
		warmUp:            s.duration / warmUpDivisor,
		floodAccount:      accounts[len(accounts)-1],
	}
	third := (l.duration - l.warmUp) / 3
	l.floodFrom, l.floodUntil = l.warmUp+third, l.warmUp+2*third
	workloadConfig := workload.DefaultConfig(s.seed, accounts, s.deployment.Model, localfleet.BlockBytes(routingBlockTokens))
	workloadConfig.RequestsPerSecond = l.requestsPerSecond
	workloadConfig.Documents = s.documents / len(accounts)
	workloadConfig.ShiftInterval = modelShiftInterval / timeScale
	workloadConfig.MaxTokens = routingAnswerTokens
	l.requests = workload.New(workloadConfig).RequestsBefore(l.duration, maxRequests)
	workloadConfig.Accounts = accounts[len(accounts)-1:]
	workloadConfig.RequestsPerSecond *= (floodFactor - 1) / float64(len(accounts))
	for _, request := range workload.New(workloadConfig).RequestsBefore(l.floodUntil, maxRequests) {
		if request.ArrivalTime >= l.floodFrom {
			request.Number += maxRequests
			l.requests = append(l.requests, request)
		}
	}
	slices.SortStableFunc(l.requests, func(a, b workload.Request) int { return cmp.Compare(a.ArrivalTime, b.ArrivalTime) })
	return l
}

// isFlood reports whether the flooding account sent the request during its
// flood.
func (l *routingLoad) isFlood(r *workload.Request) bool {
	return r.Account.Name == l.floodAccount.Name && r.ArrivalTime >= l.floodFrom && r.ArrivalTime < l.floodUntil
}

// lruHitRate returns the token hit rate of the measured requests in a single
// LRU cache as large as the caches of all engines together.
func (s *routingSetup) lruHitRate(l routingLoad) float64 {
	cache, err := simplelru.NewLRU[uint64, struct{}](s.blocksPerEngine*s.engines(), nil)
	if err != nil {
		// NewLRU fails only for a size that is not positive.
		panic(err)
	}
	blockBytes := localfleet.BlockBytes(routingBlockTokens)
	cached, total := 0, 0
	for i := range l.requests {
		request := &l.requests[i]
		salt := prefix.Salt(request.Account.Name, s.deployment.Model, "", s.deployment.WeightsVersion)
		chain := prefix.Chain(salt, []byte(request.Prompt), blockBytes)
		matched := 0
		for matched < len(chain) && cache.Contains(chain[matched]) {
			matched++
		}
		for _, hash := range slices.Backward(chain) {
			cache.Add(hash, struct{}{})
		}
		if request.ArrivalTime >= l.warmUp {
			cached += matched * routingBlockTokens
			total += len(request.Prompt) * routingBlockTokens / blockBytes
		}
	}
	return float64(cached) / float64(max(total, 1))
}

// summarize aggregates the results of the measured requests.
func (l *routingLoad) summarize(summary *PolicyResult, results []loadclient.Result) {
	var firstTokenTimes stats.DurationHistogram
	byAccount := map[string]*stats.DurationHistogram{}
	prompt, cached := 0, 0
	summary.completeWithinRateByAccount = map[string]int{}
	for i := range results {
		result := &results[i]
		if result.Request.ArrivalTime < l.warmUp {
			continue
		}
		summary.Requests++
		prompt += result.PromptTokens
		cached += result.CachedTokens
		first := result.FirstToken
		switch {
		case result.Complete:
			summary.Complete++
			summary.completeWithinRateByAccount[result.Request.Account.Name]++
		case result.Status >= 400 && l.isFlood(&result.Request):
			summary.RefusedBeyondRate++
			continue
		case result.Status >= 400:
			summary.RefusedWithinRate++
			continue
		default:
			// The request was cut off when draining ended. Its elapsed time
			// counts as its time to first token.
			summary.Unfinished++
			first = max(first, result.Total)
		}
		firstTokenTimes.Record(first)
		summary.firstTokenTimes = append(summary.firstTokenTimes, first)
		name := result.Request.Account.Name
		if byAccount[name] == nil {
			byAccount[name] = &stats.DurationHistogram{}
		}
		byAccount[name].Record(first)
	}
	summary.HitRate = float64(cached) / float64(max(prompt, 1))
	summary.TTFTP50MS, summary.TTFTP95MS, summary.TTFTP99MS = firstTokenTimes.QuantileMS(0.5), firstTokenTimes.QuantileMS(0.95), firstTokenTimes.QuantileMS(0.99)
	l.summarizeAccounts(summary, byAccount)
}

// summarizeAccounts compares the accounts that keep to their rate.
func (l *routingLoad) summarizeAccounts(summary *PolicyResult, byAccount map[string]*stats.DurationHistogram) {
	type accountLatency struct {
		name string
		p99  float64
	}
	var within []accountLatency
	for name, times := range byAccount {
		if name == l.floodAccount.Name {
			summary.FloodAccountTTFTP99MS = times.QuantileMS(0.99)
			continue
		}
		within = append(within, accountLatency{name, times.QuantileMS(0.99)})
	}
	if len(within) == 0 {
		return
	}
	slices.SortFunc(within, func(a, b accountLatency) int { return cmp.Compare(a.p99, b.p99) })
	worst := within[len(within)-1]
	summary.WorstAccount, summary.WorstAccountTTFTP99MS = worst.name, worst.p99
	summary.WorstAccountShare = float64(summary.completeWithinRateByAccount[worst.name]) / float64(max(summary.Complete, 1))
	lower, upper := within[(len(within)-1)/2], within[len(within)/2]
	summary.MedianAccountTTFTP99MS = (lower.p99 + upper.p99) / 2
}
