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
	// timeScale is how much faster than the model's engines the fakes run.
	timeScale = 8
	// routingBlockTokens is small, since bytes cost the harness time and engines
	// work by the token at a set speed anyway.
	routingBlockTokens  = 500
	routingAnswerTokens = 16
	// defaultRoutingTime is the load of one part; the first third is not measured.
	defaultRoutingTime = 3 * time.Second
	warmUpShare        = 3
	// modelShift is the time between shifts of the hot documents.
	modelShift = 20 * time.Second
	// floodFactor is what the flooding account sends of its rate, in the middle
	// third of the measured time.
	floodFactor = 4
	maxRequests = 1 << 16
)

// routingSetup is what all parts of a run share.
type routingSetup struct {
	deployment localfleet.Deployment
	seed       uint64
	// blocks is the cache of each engine; documents are counted over all accounts.
	blocks    int
	documents int
	// rate is the arrivals a second for each engine in model time.
	rate   float64
	length time.Duration
}

// newRoutingSetup returns the paper model's row for the deployment, with half
// the documents and half the memory, so that a short run fills it.
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
	s := &routingSetup{deployment: deployment, seed: o.Seed, blocks: 60, documents: 600, rate: 1.4, length: defaultRoutingTime}
	if deployment.Name == "beaulieu" {
		s.blocks, s.documents, s.rate = 100, 400, 1.4
	}
	if o.Rate > 0 {
		s.rate = o.Rate
	}
	if o.Duration > 0 {
		s.length = o.Duration
	}
	for i := range s.deployment.Accounts {
		s.deployment.Accounts[i].Share = 1
	}
	return s, nil
}

func (s *routingSetup) engines() int { return s.deployment.Pools[0].TargetCount }

// routingLoad is one sequence of arrivals.
type routingLoad struct {
	requestsPerSecond float64
	length            time.Duration
	warmUp            time.Duration
	requests          []workload.Request
	flooding          workload.Account
	floodFrom         time.Duration
	floodUntil        time.Duration
}

// load makes the arrivals at a multiple of the set rate: the regular ones and
// the flood of the last account.
func (s *routingSetup) load(factor float64) routingLoad {
	accounts := s.deployment.Accounts
	l := routingLoad{
		requestsPerSecond: s.rate * factor * timeScale * float64(s.engines()),
		length:            s.length,
		warmUp:            s.length / warmUpShare,
		flooding:          accounts[len(accounts)-1],
	}
	third := (l.length - l.warmUp) / 3
	l.floodFrom, l.floodUntil = l.warmUp+third, l.warmUp+2*third
	pattern := workload.DefaultConfig(s.seed, accounts, s.deployment.Model, localfleet.BlockBytes(routingBlockTokens))
	pattern.RequestsPerSecond = l.requestsPerSecond
	pattern.Documents = s.documents / len(accounts)
	pattern.ShiftInterval = modelShift / timeScale
	pattern.MaxTokens = routingAnswerTokens
	l.requests = workload.New(pattern).RequestsBefore(l.length, maxRequests)
	pattern.Accounts = accounts[len(accounts)-1:]
	pattern.RequestsPerSecond *= (floodFactor - 1) / float64(len(accounts))
	for _, request := range workload.New(pattern).RequestsBefore(l.floodUntil, maxRequests) {
		if request.ArrivalTime >= l.floodFrom {
			request.Number += maxRequests
			l.requests = append(l.requests, request)
		}
	}
	slices.SortStableFunc(l.requests, func(a, b workload.Request) int { return cmp.Compare(a.ArrivalTime, b.ArrivalTime) })
	return l
}

// floods says whether a request is of the flooding account during its flood.
func (l *routingLoad) floods(r *workload.Request) bool {
	return r.Account.Name == l.flooding.Name && r.ArrivalTime >= l.floodFrom && r.ArrivalTime < l.floodUntil
}

// bound returns the hit rate by token of one LRU cache with the memory of all
// engines over the measured requests.
func (s *routingSetup) bound(l routingLoad) float64 {
	cache, err := simplelru.NewLRU[uint64, struct{}](s.blocks*s.engines(), nil)
	if err != nil {
		// The size is a positive constant of this package.
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

// figure sums up the measured requests.
func (l *routingLoad) figure(f *PolicyFigures, results []loadclient.Result) {
	var all stats.DurationHistogram
	byAccount := map[string]*stats.DurationHistogram{}
	prompt, cached := 0, 0
	f.completeWithinRateByAcc = map[string]int{}
	for i := range results {
		result := &results[i]
		if result.Request.ArrivalTime < l.warmUp {
			continue
		}
		f.Requests++
		prompt += result.PromptTokens
		cached += result.CachedTokens
		first := result.FirstToken
		switch {
		case result.Complete:
			f.Complete++
			f.completeWithinRateByAcc[result.Request.Account.Name]++
		case result.Status >= 400 && l.floods(&result.Request):
			f.RefusedBeyondRate++
			continue
		case result.Status >= 400:
			f.RefusedWithinRate++
			continue
		default:
			// Cut off at the drain's end: its time so far stands for it.
			f.Unfinished++
			first = max(first, result.Total)
		}
		all.Record(first)
		f.firstTokens = append(f.firstTokens, first)
		name := result.Request.Account.Name
		if byAccount[name] == nil {
			byAccount[name] = &stats.DurationHistogram{}
		}
		byAccount[name].Record(first)
	}
	f.HitRate = float64(cached) / float64(max(prompt, 1))
	f.TTFTP50MS, f.TTFTP95MS, f.TTFTP99MS = all.QuantileMS(0.5), all.QuantileMS(0.95), all.QuantileMS(0.99)
	l.figureAccounts(f, byAccount)
}

// figureAccounts compares the accounts that keep to their rate.
func (l *routingLoad) figureAccounts(f *PolicyFigures, byAccount map[string]*stats.DurationHistogram) {
	type served struct {
		name string
		p99  float64
	}
	var within []served
	for name, times := range byAccount {
		if name == l.flooding.Name {
			f.FloodAccountTTFTP99MS = times.QuantileMS(0.99)
			continue
		}
		within = append(within, served{name, times.QuantileMS(0.99)})
	}
	if len(within) == 0 {
		return
	}
	slices.SortFunc(within, func(a, b served) int { return cmp.Compare(a.p99, b.p99) })
	worst := within[len(within)-1]
	f.WorstAccount, f.WorstAccountTTFTP99MS = worst.name, worst.p99
	f.WorstAccountShare = float64(f.completeWithinRateByAcc[worst.name]) / float64(max(f.Complete, 1))
	lower, upper := within[(len(within)-1)/2], within[len(within)/2]
	f.MedianAccountTTFTP99MS = (lower.p99 + upper.p99) / 2
}
