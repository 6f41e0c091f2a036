// Package runner drives the state machine of slot ownership with the
// key-value service, the other agents and a ticker.
package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// Sizes of the rings and numbers of the goroutines that run actions.
const (
	leaseQueue    = 2
	promiseQueue  = 256
	promiseWorker = 8
	reportQueue   = 1024
	hintQueue     = 64
)

// Options are what a Runner needs. All fields are required.
type Options struct {
	Config      ownership.Config
	Self        ownership.LocalProcess
	Store       kv.Store
	Lister      platform.VMLister
	Peers       Peers
	SlotHandler SlotHandler
	Log         *eventlog.Logger
	// ReadPeriod is the time between two whole reads beside the watches,
	// and between two reads of the VM list.
	ReadPeriod time.Duration
}

// Runner owns slots for one process. Its methods are safe for concurrent use.
type Runner struct {
	options Options
	now     clockFunc

	mu      sync.Mutex
	machine *ownership.Machine
	// credited is the epoch up to which a slot's handed levels were taken.
	credited map[ownership.SlotID]uint64
	handed   []ownership.Record

	leases   chan ownership.Action
	writes   chan ownership.WriteRecord
	promises chan ownership.Action
	reports  chan ownership.Action
	// hints are records whose owners shall be probed at once.
	hints chan ownership.Record
}

// New returns a Runner that is not running yet. The process's listener must
// be bound before Run, since a refused connection proves a process dead.
func New(options Options) *Runner {
	random := rand.New(rand.NewPCG(options.Self.BootID, rand.Uint64()))
	return &Runner{
		options:  options,
		now:      time.Now,
		machine:  ownership.New(options.Config, options.Self, random, time.Now()),
		credited: map[ownership.SlotID]uint64{},
		leases:   make(chan ownership.Action, leaseQueue),
		writes:   make(chan ownership.WriteRecord, options.Config.MaxWrites),
		promises: make(chan ownership.Action, promiseQueue),
		reports:  make(chan ownership.Action, reportQueue),
		hints:    make(chan ownership.Record, hintQueue),
	}
}

// Holds says whether this process may use a slot at this instant, and the
// epoch. It is asked before every use.
func (r *Runner) Holds(slot ownership.SlotID) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Holds(slot, r.now())
}

// Records returns all known records and the greatest revision among them.
func (r *Runner) Records() ([]ownership.Record, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Table()
}

// ContactAge returns the time since the key-value service last answered.
func (r *Runner) ContactAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.ContactAge(r.now())
}

// SawProcess notes the boot number in a message from a VM. When a record names
// another process of that VM, its owner is probed at once; the message by
// itself proves nothing, since it may be late.
func (r *Runner) SawProcess(vm string, boot uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records, _ := r.machine.Table()
	for _, record := range records {
		if record.Owner.VM == vm && record.Owner.BootID != boot {
			offer(r.hints, record)
			return
		}
	}
}

// Run drives the machine until ctx ends and all goroutines have returned.
func (r *Runner) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		platform.Follow(ctx, r.options.Store, ownership.SlotPrefix, r.options.ReadPeriod, r.slotsUpdate)
	})
	group.Go(func() {
		platform.Follow(ctx, r.options.Store, ownership.AlivePrefix, r.options.ReadPeriod, r.aliveUpdate)
	})
	group.Go(func() { r.readMembers(ctx) })
	group.Go(func() { r.probeOwners(ctx) })
	group.Go(func() { consume(ctx, r.hints, r.probe) })
	group.Go(func() { consume(ctx, r.leases, r.runLease) })
	for range r.options.Config.MaxWrites {
		group.Go(func() { consume(ctx, r.writes, r.runWrite) })
	}
	for range promiseWorker {
		group.Go(func() { consume(ctx, r.promises, r.runPromise) })
	}
	group.Go(func() { consume(ctx, r.reports, r.runReport) })
	r.tick(ctx)
	group.Wait()
}

// consume runs each item of a ring until ctx ends.
func consume[T any](ctx context.Context, queue <-chan T, run func(context.Context, T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			run(ctx, item)
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	ticker := time.NewTicker(r.options.Config.Retry / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.mu.Lock()
			actions := r.machine.Tick(r.now())
			r.mu.Unlock()
			for _, action := range actions {
				r.dispatch(ctx, action)
			}
		}
	}
}

// dispatch puts an action into its ring. A full ring drops it, and the
// machine asks again; reports wait.
func (r *Runner) dispatch(ctx context.Context, action ownership.Action) {
	switch a := action.(type) {
	case ownership.OpenLease, ownership.RenewLease:
		offer(r.leases, action)
	case ownership.WriteRecord:
		if !offer(r.writes, a) {
			r.mu.Lock()
			r.machine.RecordWritten(a, 0, r.now(), ownership.ResultNotSent)
			r.mu.Unlock()
		}
	case ownership.RequestPromise, ownership.RelayRenewal:
		offer(r.promises, action)
	default:
		select {
		case r.reports <- action:
		case <-ctx.Done():
		}
	}
}

func offer[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}
