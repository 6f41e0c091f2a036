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

// offer is one account's load.
type offer struct {
	// share of the account's rate that is offered on average.
	share float64
	// minTokens and maxTokens bound a prompt.
	minTokens, maxTokens int
	// together is the number of requests that arrive at one instant.
	together  int
	maxAnswer int
}

// limitsOffers are the loads of the accounts in turn: modest, nearly at the
// rate, above it, in bursts with answers that end early, and of large prompts.
var limitsOffers = []offer{
	{share: 0.5, minTokens: 50, maxTokens: 150, together: 1, maxAnswer: 8},
	{share: 0.8, minTokens: 50, maxTokens: 150, together: 1, maxAnswer: 8},
	{share: 1.5, minTokens: 50, maxTokens: 250, together: 1, maxAnswer: 8},
	{share: 0.5, minTokens: 100, maxTokens: 300, together: 20, maxAnswer: 32},
	{share: 0.3, minTokens: 500, maxTokens: 2500, together: 1, maxAnswer: 8},
}

// arrivals returns one account's requests in order.
func (o offer) arrivals(random *rand.Rand, account workload.Account, model string, duration time.Duration) []workload.Request {
	mean := float64(o.minTokens+o.maxTokens)/2 + float64(o.maxAnswer)
	perSecond := o.share * limitsRate / mean / float64(o.together)
	var requests []workload.Request
	for at := time.Duration(0); at < duration; {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		for range o.together {
			tokens := o.minTokens + random.IntN(o.maxTokens-o.minTokens+1)
			requests = append(requests, workload.Request{
				Number: len(requests), ArrivalTime: at, Account: account, Model: model,
				Prompt: promptOf(account.Name, len(requests), tokens), MaxTokens: o.maxAnswer,
			})
		}
	}
	return requests
}

// promptOf returns a prompt of exactly so many tokens.
func promptOf(account string, number, tokens int) string {
	const bytesPerToken = 4
	head := fmt.Sprintf("%s %d ", account, number)
	return (head + strings.Repeat("word ", tokens))[:tokens*bytesPerToken]
}

// load sends all accounts' requests at their times and notes what became of them.
func (r *limitsRun) load(ctx context.Context) {
	started := time.Now()
	var group sync.WaitGroup
	for i, account := range r.deployment.Accounts {
		random := rand.New(rand.NewPCG(r.options.Seed, uint64(i)))
		requests := limitsOffers[i%len(limitsOffers)].arrivals(random, account, r.deployment.Model, r.options.Duration)
		group.Go(func() {
			var sent sync.WaitGroup
			for _, request := range requests {
				time.Sleep(time.Until(started.Add(request.ArrivalTime)))
				sent.Go(func() { r.send(ctx, request) })
			}
			sent.Wait()
		})
	}
	group.Wait()
}

// send sends one request, again through another router when none took it.
func (r *limitsRun) send(ctx context.Context, request workload.Request) loadclient.Result {
	const tries, pause = 40, 50 * time.Millisecond
	for try := 0; ; try++ {
		sent := time.Now()
		result := r.entries.next().Complete(ctx, request)
		// Without a status and with a refused connection nothing was sent.
		if result.Status != 0 || try == tries || !isRefusedConnection(result.Err) {
			r.oracle.sent(request, sent, result)
			return result
		}
		r.entries.reconnects.Add(1)
		time.Sleep(pause)
	}
}

func isRefusedConnection(err error) bool {
	return err != nil && strings.Contains(err.Error(), "connection refused")
}

// entryClients are the load's clients, one for each router.
type entryClients struct {
	turn       atomic.Uint64
	reconnects atomic.Int64

	mu      sync.RWMutex
	clients []*loadclient.Client
	routers []*daemon.Router
}

func newEntryClients(fleet *localfleet.Fleet) *entryClients {
	e := &entryClients{
		clients: make([]*loadclient.Client, len(fleet.Routers)),
		routers: make([]*daemon.Router, len(fleet.Routers)),
	}
	for i, router := range fleet.Routers {
		e.set(i, router.Daemon)
	}
	return e
}

func (e *entryClients) set(i int, router *daemon.Router) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clients[i] = loadclient.New(router.Address())
	e.routers[i] = router
}

func (e *entryClients) next() *loadclient.Client {
	return e.at(int(e.turn.Add(1)))
}

func (e *entryClients) at(i int) *loadclient.Client {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return e.clients[i%len(e.clients)]
}

func (e *entryClients) all() []*daemon.Router {
	e.mu.RLock()
	defer e.mu.RUnlock()
	return append([]*daemon.Router(nil), e.routers...)
}

// watchKey sends small requests with the key to be withdrawn over a connection
// to each router, and gives the time at which the last router refused it.
func (r *limitsRun) watchKey(ctx context.Context) <-chan time.Time {
	const period = 50 * time.Millisecond
	last := make(chan time.Time, 1)
	account := r.deployment.Accounts[len(r.deployment.Accounts)-1]
	account.Key = withdrawnKey
	var group sync.WaitGroup
	for i := range limitsRouters {
		group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				request := workload.Request{Account: account, Model: r.deployment.Model,
					Prompt: promptOf("watch", i*10_000+number, 10), MaxTokens: 1}
				sent := time.Now()
				result := r.entries.at(i).Complete(ctx, request)
				if result.Code == "unauthorized" {
					return
				}
				r.oracle.sent(request, sent, result)
				time.Sleep(period)
			}
		})
	}
	go func() {
		group.Wait()
		last <- time.Now()
	}()
	return last
}
