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
	leaseQueueSize   = 2
	promiseQueueSize = 256
	promiseWorkers   = 8
	reportQueueSize  = 1024
	probeQueueSize   = 64
)

// Options are what a Runner needs. All fields are required.
type Options struct {
	Config ownership.Config
	Self   ownership.Self
	Store  kv.Store
	Lister platform.VMLister
	Peers  Peers
	Holder Holder
	Log    *eventlog.Logger
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
	// creditedEpochs is the epoch up to which a slot's handed levels were taken.
	creditedEpochs map[ownership.SlotID]uint64
	handedOver     []ownership.Record

	leaseQueue   chan ownership.Action
	writeQueue   chan ownership.WriteRecord
	promiseQueue chan ownership.Action
	reportQueue  chan ownership.Action
	// probeQueue are records whose owners shall be probed at once.
	probeQueue chan ownership.Record
}

// New returns a Runner that is not running yet. The process's listener must
// be bound before Run, since a refused connection proves a process dead.
func New(options Options) *Runner {
	random := rand.New(rand.NewPCG(options.Self.Boot, rand.Uint64()))
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

// Holds says whether this process may use a slot at this instant, and the
// epoch. It is asked before every use.
func (r *Runner) Holds(slot ownership.SlotID) (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Holds(slot, r.now())
}

// Table returns all known records and the greatest revision among them.
func (r *Runner) Table() ([]ownership.Record, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Records()
}

// ContactAge returns the time since the key-value service last answered.
func (r *Runner) ContactAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.ContactAge(r.now())
}

// ObserveProcess notes the boot number in a message from a VM. When a record names
// another process of that VM, its owner is probed at once; the message by
// itself proves nothing, since it may be late.
func (r *Runner) ObserveProcess(vm string, boot uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	records, _ := r.machine.Records()
	for _, record := range records {
		if record.Owner.VM == vm && record.Owner.Boot != boot {
			tryEnqueue(r.probeQueue, record)
			return
		}
	}
}

// Run drives the machine until ctx ends and all goroutines have returned.
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

// dispatch puts an action into its ring. A full ring drops it, and the
// machine asks again; reports wait.
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
	case ownership.AskPromise, ownership.RelayRenewal:
		tryEnqueue(r.promiseQueue, action)
	default:
		select {
		case r.reportQueue <- action:
		case <-ctx.Done():
		}
	}
}

func tryEnqueue[T any](queue chan<- T, item T) bool {
	select {
	case queue <- item:
		return true
	default:
		return false
	}
}
