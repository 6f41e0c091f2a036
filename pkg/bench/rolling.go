package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/baobabhub/baobabhub/pkg/agent"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/daemon"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// routerLeaveNotice is the leave notice of the routers in these runs. The
// balancer removes a leaving router after half of it.
const routerLeaveNotice = 200 * time.Millisecond

// balancer picks a random router for each request from those in service.
type balancer struct {
	mu      sync.Mutex
	random  *rand.Rand
	clients []*loadclient.Client
	byAddr  map[string]*loadclient.Client
}

func newBalancer(seed uint64, fleet *localfleet.Fleet) *balancer {
	b := &balancer{random: rand.New(rand.NewPCG(seed, seed)), byAddr: make(map[string]*loadclient.Client)}
	for _, router := range fleet.Routers {
		b.add(router.Daemon.Address())
	}
	return b
}

func (b *balancer) add(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	client := loadclient.New(address)
	b.byAddr[address] = client
	b.clients = append(b.clients, client)
}

func (b *balancer) remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	removed := b.byAddr[address]
	delete(b.byAddr, address)
	remaining := b.clients[:0:0]
	for _, client := range b.clients {
		if client != removed {
			remaining = append(remaining, client)
		}
	}
	b.clients = remaining
}

func (b *balancer) pick() *loadclient.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients[b.random.IntN(len(b.clients))]
}

// rollingRestarter restarts the processes of a fleet as an operator does: each
// restart waits until the new process is ready or live.
type rollingRestarter struct {
	fleet    *localfleet.Fleet
	balancer *balancer
	// routerRestartMu serializes router restarts.
	routerRestartMu sync.Mutex

	mu sync.Mutex
	// serving are the routers that are not being restarted.
	serving []*daemon.Router
	// routerRestarts and agentRestarts count the completed restarts.
	routerRestarts, agentRestarts int
}

func newRollingRestarter(fleet *localfleet.Fleet, b *balancer) *rollingRestarter {
	r := &rollingRestarter{fleet: fleet, balancer: b}
	for _, router := range fleet.Routers {
		r.serving = append(r.serving, router.Daemon)
	}
	return r
}

// maxConcurrentAgentRestarts bounds the agents that restart while a router
// restarts.
const maxConcurrentAgentRestarts = 3

// run performs the given number of restarts, one router for every four agents.
// It starts none after the deadline.
func (r *rollingRestarter) run(ctx context.Context, restarts int, deadline time.Time) error {
	const routerEvery = 5
	routers := len(r.fleet.Routers)
	var group errgroup.Group
	group.SetLimit(maxConcurrentAgentRestarts + 1)
	engines := make(chan int, len(r.fleet.Targets))
	for i, target := range r.fleet.Targets {
		if target.Engine != nil {
			engines <- i
		}
	}
	for n := 0; n < restarts && time.Now().Before(deadline) && ctx.Err() == nil; n++ {
		if n%routerEvery == 0 {
			group.Go(func() error { return r.restartRouter(ctx, n/routerEvery%routers) })
			continue
		}
		group.Go(func() error {
			i := <-engines
			defer func() { engines <- i }()
			return r.restartAgent(ctx, i)
		})
	}
	return errors.Trace(group.Wait())
}

func (r *rollingRestarter) restartRouter(ctx context.Context, i int) error {
	r.routerRestartMu.Lock()
	defer r.routerRestartMu.Unlock()
	stopping := r.fleet.Routers[i].Daemon
	oldAddress := stopping.Address()
	r.mu.Lock()
	r.serving = slices.DeleteFunc(slices.Clone(r.serving), func(d *daemon.Router) bool { return d == stopping })
	r.mu.Unlock()
	removeTimer := time.AfterFunc(routerLeaveNotice/2, func() { r.balancer.remove(oldAddress) })
	defer removeTimer.Stop()
	if err := r.fleet.RestartRouter(i); err != nil {
		return errors.Trace(err)
	}
	router := r.fleet.Routers[i].Daemon
	if err := waitUntil(ctx, router.Ready); err != nil {
		return err
	}
	r.balancer.add(router.Address())
	r.mu.Lock()
	r.serving = append(slices.Clone(r.serving), router)
	r.routerRestarts++
	r.mu.Unlock()
	return nil
}

func (r *rollingRestarter) restartAgent(ctx context.Context, i int) error {
	if err := r.fleet.RestartAgent(i); err != nil {
		return errors.Trace(err)
	}
	target := r.fleet.Targets[i]
	if err := waitUntil(ctx, func() bool { return engineReported(target) && r.isLive(target.VMID) }); err != nil {
		return errors.Annotate(err, target.VMID)
	}
	r.mu.Lock()
	r.agentRestarts++
	r.mu.Unlock()
	return nil
}

// isLive reports whether all serving routers see the target as live.
func (r *rollingRestarter) isLive(vm string) bool {
	r.mu.Lock()
	serving := r.serving
	r.mu.Unlock()
	for _, router := range serving {
		if !routerSeesLive(router, vm) {
			return false
		}
	}
	return true
}

func routerSeesLive(router *daemon.Router, vm string) bool {
	status, ok := router.Status().(operator.RouterStatus)
	if !ok {
		return false
	}
	for _, target := range status.Targets {
		if target.VM == vm {
			return target.State == schedule.StateLive.String()
		}
	}
	return false
}

func engineReported(target *localfleet.Target) bool {
	status, ok := target.Agent.Daemon.Status().(agent.Status)
	return ok && status.EngineReported
}

// restartTimeout bounds the wait for a restarted process.
const restartTimeout = 20 * time.Second

func waitUntil(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	const pollInterval = 5 * time.Millisecond
	for !condition() {
		if !clock.Sleep(ctx, pollInterval) {
			return errors.Annotate(ctx.Err(), "wait for a restarted process")
		}
	}
	return nil
}

// configureRouter makes routers refresh the VM list frequently and sets their
// leave notice.
func configureRouter(settings *config.Router) {
	settings.Platform.ListPeriod = config.Duration(100 * time.Millisecond)
	settings.LeaveNotice = config.Duration(routerLeaveNotice)
}
