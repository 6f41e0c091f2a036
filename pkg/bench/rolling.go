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

// leaveNotice is the routers' notice in these runs; their balancer takes half of
// it to turn away.
const leaveNotice = 200 * time.Millisecond

// balancer gives callers the routers that were ready when it last looked.
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
	gone := b.byAddr[address]
	delete(b.byAddr, address)
	kept := b.clients[:0:0]
	for _, client := range b.clients {
		if client != gone {
			kept = append(kept, client)
		}
	}
	b.clients = kept
}

func (b *balancer) pick() *loadclient.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clients[b.random.IntN(len(b.clients))]
}

// roller restarts processes of a fleet as an operator does: each one is live
// again before the next of its kind goes.
type roller struct {
	fleet    *localfleet.Fleet
	balancer *balancer
	// routerMu lets one router be away at a time.
	routerMu sync.Mutex

	mu sync.Mutex
	// serving are the routers that are not being restarted.
	serving []*daemon.Router
	// routers and agents count the restarts done.
	routers, agents int
}

func newRoller(fleet *localfleet.Fleet, b *balancer) *roller {
	r := &roller{fleet: fleet, balancer: b}
	for _, router := range fleet.Routers {
		r.serving = append(r.serving, router.Daemon)
	}
	return r
}

// agentsAtOnce bounds the agents that are away at the same time.
const agentsAtOnce = 3

// roll makes the given number of restarts, one router for every four agents.
func (r *roller) roll(ctx context.Context, restarts int, until time.Time) error {
	const routerEvery = 5
	routers := len(r.fleet.Routers)
	var group errgroup.Group
	group.SetLimit(agentsAtOnce + 1)
	engines := make(chan int, len(r.fleet.Targets))
	for i, target := range r.fleet.Targets {
		if target.Engine != nil {
			engines <- i
		}
	}
	for n := 0; n < restarts && time.Now().Before(until) && ctx.Err() == nil; n++ {
		if n%routerEvery == 0 {
			group.Go(func() error { return r.router(ctx, n/routerEvery%routers) })
			continue
		}
		group.Go(func() error {
			i := <-engines
			defer func() { engines <- i }()
			return r.agent(ctx, i)
		})
	}
	return errors.Trace(group.Wait())
}

func (r *roller) router(ctx context.Context, i int) error {
	r.routerMu.Lock()
	defer r.routerMu.Unlock()
	leaving := r.fleet.Routers[i].Daemon
	old := leaving.Address()
	r.mu.Lock()
	r.serving = slices.DeleteFunc(slices.Clone(r.serving), func(d *daemon.Router) bool { return d == leaving })
	r.mu.Unlock()
	turnAway := time.AfterFunc(leaveNotice/2, func() { r.balancer.remove(old) })
	defer turnAway.Stop()
	if err := r.fleet.RestartRouter(i); err != nil {
		return errors.Trace(err)
	}
	router := r.fleet.Routers[i].Daemon
	if err := wait(ctx, router.Ready); err != nil {
		return err
	}
	r.balancer.add(router.Address())
	r.mu.Lock()
	r.serving = append(slices.Clone(r.serving), router)
	r.routers++
	r.mu.Unlock()
	return nil
}

func (r *roller) agent(ctx context.Context, i int) error {
	if err := r.fleet.RestartAgent(i); err != nil {
		return errors.Trace(err)
	}
	target := r.fleet.Targets[i]
	if err := wait(ctx, func() bool { return engineReported(target) && r.live(target.VMID) }); err != nil {
		return errors.Annotate(err, target.VMID)
	}
	r.mu.Lock()
	r.agents++
	r.mu.Unlock()
	return nil
}

// live says whether all routers take the target as live.
func (r *roller) live(vm string) bool {
	r.mu.Lock()
	serving := r.serving
	r.mu.Unlock()
	for _, router := range serving {
		if !sees(router, vm) {
			return false
		}
	}
	return true
}

func sees(router *daemon.Router, vm string) bool {
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

// waitTimeout bounds the wait for a restarted process.
const waitTimeout = 20 * time.Second

func wait(ctx context.Context, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	const poll = 5 * time.Millisecond
	for !holds() {
		if !clock.Sleep(ctx, poll) {
			return errors.Annotate(ctx.Err(), "wait for a restarted process")
		}
	}
	return nil
}

// quickLists makes routers look at the list of VMs often.
func quickLists(settings *config.Router) {
	settings.Platform.ListPeriod = config.Duration(100 * time.Millisecond)
	settings.LeaveNotice = config.Duration(leaveNotice)
}
