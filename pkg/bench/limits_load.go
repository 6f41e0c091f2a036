package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/baobabhub/baobabhub/pkg/daemon"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

// accountLoad describes the load of one account.
type accountLoad struct {
	// rateShare is the average load as a share of the account's rate.
	rateShare float64
	// minPromptTokens and maxPromptTokens bound the prompt length.
	minPromptTokens, maxPromptTokens int
	// batchSize is the number of requests that arrive at the same time.
	batchSize       int
	maxOutputTokens int
}

// limitsAccountLoads are assigned to the accounts in turn: a moderate load, one
// just below the rate, one above it, bursts whose answers end early, and large
// prompts.
var limitsAccountLoads = []accountLoad{
	{rateShare: 0.5, minPromptTokens: 50, maxPromptTokens: 150, batchSize: 1, maxOutputTokens: 8},
	{rateShare: 0.8, minPromptTokens: 50, maxPromptTokens: 150, batchSize: 1, maxOutputTokens: 8},
	{rateShare: 1.5, minPromptTokens: 50, maxPromptTokens: 250, batchSize: 1, maxOutputTokens: 8},
	{rateShare: 0.5, minPromptTokens: 100, maxPromptTokens: 300, batchSize: 20, maxOutputTokens: 32},
	{rateShare: 0.3, minPromptTokens: 500, maxPromptTokens: 2500, batchSize: 1, maxOutputTokens: 8},
}

// generateRequests returns the requests of one account in order of arrival.
func (l accountLoad) generateRequests(random *rand.Rand, account workload.Account, model string, duration time.Duration) []workload.Request {
	meanTokens := float64(l.minPromptTokens+l.maxPromptTokens)/2 + float64(l.maxOutputTokens)
	batchesPerSecond := l.rateShare * limitsRateTokensPerSecond / meanTokens / float64(l.batchSize)
	var requests []workload.Request
	for arrival := time.Duration(0); arrival < duration; {
		arrival += time.Duration(random.ExpFloat64() / batchesPerSecond * float64(time.Second))
		for range l.batchSize {
			tokens := l.minPromptTokens + random.IntN(l.maxPromptTokens-l.minPromptTokens+1)
			requests = append(requests, workload.Request{
				Number: len(requests), ArrivalTime: arrival, Account: account, Model: model,
				Prompt: makePrompt(account.Name, len(requests), tokens), MaxTokens: l.maxOutputTokens,
			})
		}
	}
	return requests
}

// makePrompt returns a prompt of exactly the given number of tokens.
func makePrompt(account string, number, tokens int) string {
	const bytesPerToken = 4
	label := fmt.Sprintf("%s %d ", account, number)
	return (label + strings.Repeat("word ", tokens))[:tokens*bytesPerToken]
}

// sendLoad sends the requests of all accounts at their arrival times and
// records the results.
func (r *limitsRun) sendLoad(ctx context.Context) {
	started := time.Now()
	var accounts sync.WaitGroup
	for i, account := range r.deployment.Accounts {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		requests := limitsAccountLoads[i%len(limitsAccountLoads)].generateRequests(random, account, r.deployment.Model, r.options.Duration)
		accounts.Go(func() {
			var inFlight sync.WaitGroup
			for _, request := range requests {
				time.Sleep(time.Until(started.Add(request.ArrivalTime)))
				inFlight.Go(func() { r.sendWithRetry(ctx, request) })
			}
			inFlight.Wait()
		})
	}
	accounts.Wait()
}

// sendWithRetry sends a request and retries it through the next router while
// connections are refused.
func (r *limitsRun) sendWithRetry(ctx context.Context, request workload.Request) loadclient.Result {
	const maxRetries, retryDelay = 40, 50 * time.Millisecond
	for attempt := 0; ; attempt++ {
		sentAt := time.Now()
		result := r.clients.next().Complete(ctx, request)
		// A refused connection without a status means that nothing was sent.
		if result.Status != 0 || attempt == maxRetries || !isConnectionRefused(result.Err) {
			r.oracle.recordRequest(request, sentAt, result)
			return result
		}
		r.clients.reconnects.Add(1)
		time.Sleep(retryDelay)
	}
}

func isConnectionRefused(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connection refused")
}

// routerClients holds one load client for each router.
type routerClients struct {
	nextIndex  atomic.Uint64
	reconnects atomic.Int64

	mu      sync.RWMutex
	clients []*loadclient.Client
	routers []*daemon.Router
}

func newRouterClients(fleet *localfleet.Fleet) *routerClients {
	c := &routerClients{
		clients: make([]*loadclient.Client, len(fleet.Routers)),
		routers: make([]*daemon.Router, len(fleet.Routers)),
	}
	for i, router := range fleet.Routers {
		c.replace(i, router.Daemon)
	}
	return c
}

func (c *routerClients) replace(i int, router *daemon.Router) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clients[i] = loadclient.New(router.Address())
	c.routers[i] = router
}

func (c *routerClients) next() *loadclient.Client {
	return c.client(int(c.nextIndex.Add(1)))
}

func (c *routerClients) client(i int) *loadclient.Client {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.clients[i%len(c.clients)]
}

func (c *routerClients) daemons() []*daemon.Router {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return append([]*daemon.Router(nil), c.routers...)
}

// pollWithdrawnKey sends small requests with withdrawnKey to each router until
// the router rejects the key. The channel receives the time of the last
// router's rejection.
func (r *limitsRun) pollWithdrawnKey(ctx context.Context) <-chan time.Time {
	const pollInterval = 50 * time.Millisecond
	rejectedAt := make(chan time.Time, 1)
	account := r.deployment.Accounts[len(r.deployment.Accounts)-1]
	account.Key = withdrawnKey
	var pollers sync.WaitGroup
	for i := range limitsRouters {
		pollers.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				request := workload.Request{Account: account, Model: r.deployment.Model,
					Prompt: makePrompt("watch", i*10_000+number, 10), MaxTokens: 1}
				sentAt := time.Now()
				result := r.clients.client(i).Complete(ctx, request)
				if result.Code == "unauthorized" {
					return
				}
				r.oracle.recordRequest(request, sentAt, result)
				time.Sleep(pollInterval)
			}
		})
	}
	go func() {
		pollers.Wait()
		rejectedAt <- time.Now()
	}()
	return rejectedAt
}
