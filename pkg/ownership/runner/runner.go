// Package runner drives the slot ownership state machine: it executes the
// machine's actions against the key-value service and other agents, and passes
// the results back.
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

// Sizes of the queues, and the number of goroutines that serve the promise
// queue.
const (
	leaseQueueSize   = 2
	promiseQueueSize = 256
	promiseWorkers   = 8
	reportQueueSize  = 1024
	probeQueueSize   = 64
)

// Options holds the dependencies and settings of a Runner. All fields are
// required.
type Options struct {
	Config      ownership.Config
	Self        ownership.LocalProcess
	Store       kv.Store
	Lister      platform.VMLister
	Peers       Peers
	SlotHandler SlotHandler
	Log         *eventlog.Logger
	// ReadPeriod is the interval between full reads of the records and process
	// leases, which are also watched between these reads, and between reads of
	// the VM list.
	ReadPeriod time.Duration
}

// Runner manages slot ownership for one process. Its methods are safe for
// concurrent use.
type Runner struct {
	options Options
	now     clockFunc

	mu      sync.Mutex
	machine *ownership.Machine
	// creditedEpochs maps each slot to the latest epoch for which handed-over
	// levels were credited.
	creditedEpochs map[ownership.SlotID]uint64
	// handedOver holds the records of slots that were handed over but whose
	// levels have not been released yet.
	handedOver []ownership.Record

	leaseQueue   chan ownership.Action
	writeQueue   chan ownership.WriteRecord
	promiseQueue chan ownership.Action
	reportQueue  chan ownership.Action
	// probeQueue holds records whose owners are to be probed immediately.
	probeQueue chan ownership.Record
}

// New returns a Runner that has not been started. The process's listener must
// be bound before Run is called, since a refused connection counts as proof
// that the process has terminated.
func New(options Options) *Runner {
	random := rand.New(rand.NewPCG(options.Self.BootID, rand.Uint64()))
	return &Runner{
		options:        options,
		now:            time.Now,
		machine:        ownership.New(options.Config, options.Self, random, time.Now()),
		creditedEpochs: map[ownership.SlotID]uint64{},
		leaseQueue:     make(chan ownership.Action, leaseQueueSize),
		writeQueue:     make(chan ownership.WriteRecord, options.Config.MaxInFlightWrites),
		promiseQueue:   make(chan ownership.Action, promiseQueueSize),
		reportQueue:    make(chan ownership.Action, reportQueueSize),
		probeQueue:     make(chan ownership.Record, probeQueueSize),
	}
}

// Holds reports whether this process may use a slot now, and under which epoch.
// It must be called before every use.
func (r *Runner) Holds(slot ownership.SlotID) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Holds(slot, r.now())
}

// Records returns all known records and their highest revision.
func (r *Runner) Records() ([]ownership.Record, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Records()
}

// ContactAge returns the time since the last answer from the key-value service.
func (r *Runner) ContactAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.ContactAge(r.now())
}

// ObserveProcess handles the boot ID in a message received from a VM. If a record
// names a different process on that VM as its owner, the owner is probed
// immediately. The message alone is not proof of termination, since it may be
// delayed.
func (r *Runner) ObserveProcess(vm string, bootID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records, _ := r.machine.Records()
	for _, record := range records {
		if record.Owner.VM == vm && record.Owner.BootID != bootID {
			tryEnqueue(r.probeQueue, record)
			return
		}
	}
}

// Run drives the machine until ctx is done. It returns after all its goroutines
// have returned.
func (r *Runner) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		platform.Follow(ctx, r.options.Store, ownership.SlotPrefix, r.options.ReadPeriod, r.applyRecordUpdate)
	})
	group.Go(func() {
		platform.Follow(ctx, r.options.Store, ownership.ProcessLeasePrefix, r.options.ReadPeriod, r.applyLeaseUpdate)
	})
	group.Go(func() { r.pollMembers(ctx) })
	group.Go(func() { r.probeOwners(ctx) })
	group.Go(func() { consume(ctx, r.probeQueue, r.probeOwner) })
	group.Go(func() { consume(ctx, r.leaseQueue, r.executeLeaseAction) })
	for range r.options.Config.MaxInFlightWrites {
		group.Go(func() { consume(ctx, r.writeQueue, r.executeWrite) })
	}
	for range promiseWorkers {
		group.Go(func() { consume(ctx, r.promiseQueue, r.executePeerAction) })
	}
	group.Go(func() { consume(ctx, r.reportQueue, r.executeReport) })
	r.runTicker(ctx)
	group.Wait()
}

// consume receives items from a queue and passes each to run until ctx is done.
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

// runTicker calls Machine.Tick four times per Config.RetryInterval and
// dispatches the returned actions, until ctx is done.
func (r *Runner) runTicker(ctx context.Context) {
	ticker := time.NewTicker(r.options.Config.RetryInterval / 4)
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

// dispatch queues an action for execution. If the queue of a request is full,
// the request is dropped and the machine retries it later; reports block until
// there is room.
func (r *Runner) dispatch(ctx context.Context, action ownership.Action) {
	switch a := action.(type) {
	case ownership.OpenLease, ownership.RenewLease:
		tryEnqueue(r.leaseQueue, action)
	case ownership.WriteRecord:
		if !tryEnqueue(r.writeQueue, a) {
			r.mu.Lock()
			r.machine.HandleRecordWritten(a, 0, r.now(), ownership.ResultNotSent)
			r.mu.Unlock()
		}
	case ownership.RequestPromise, ownership.RelayRenewal:
		tryEnqueue(r.promiseQueue, action)
	default:
		select {
		case r.reportQueue <- action:
		case <-ctx.Done():
		}
	}
}

// tryEnqueue adds an item to a queue unless the queue is full.
func tryEnqueue[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}
