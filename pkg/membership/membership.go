// Package membership maintains a process's directory of targets. It uses the
// platform's VM list, which is delayed and may be unavailable, and seed agents
// until the list has been read once.
package membership

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// exchangeTimeout is the timeout of one exchange with an agent.
const exchangeTimeout = time.Second

// emptyDirectoryPeriod is the interval between refreshes while the directory is
// empty.
const emptyDirectoryPeriod = 100 * time.Millisecond

// Config holds the dependencies and settings of a Runner.
type Config struct {
	Lister    platform.VMLister
	Directory *schedule.Directory
	Peers     *peer.Client
	// Seeds lists the addresses of agents that can supply members.
	Seeds []string
	// Period is the interval between reads of the platform's VM list.
	Period time.Duration
	// Origin returns the sender information for messages.
	Origin func() *peerpb.Origin
	// OnRouterCount, if not nil, is called with the number of live routers, or 1
	// if the list has none.
	OnRouterCount func(n int)
	Log           *eventlog.Logger
}

// Runner keeps a directory up to date.
type Runner struct {
	Config
	// hasPlatformList is set once the platform's VM list has been read.
	hasPlatformList bool
}

// New returns a Runner for the given configuration.
func New(config Config) *Runner {
	return &Runner{Config: config}
}

// Run refreshes the directory every Period until ctx is done, and more often
// while the directory is empty.
func (r *Runner) Run(ctx context.Context) {
	for {
		r.refresh(ctx)
		wait := r.Period
		if len(r.Directory.Targets()) == 0 {
			wait = emptyDirectoryPeriod
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

func (r *Runner) refresh(ctx context.Context) {
	if r.refreshFromPlatform(ctx) {
		r.hasPlatformList = true
	} else if !r.hasPlatformList {
		r.loadFromSeeds(ctx)
	}
	r.queryLeavingTargets(ctx)
	r.Directory.Refresh(time.Now())
}

// maxConcurrentQueries limits the number of leaving targets that are queried
// concurrently.
const maxConcurrentQueries = 8

// queryLeavingTargets queries the state of targets that have announced that
// they are leaving. They receive no requests, so a restart of the agent on the
// same VM would otherwise go unnoticed.
func (r *Runner) queryLeavingTargets(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, target := range r.Directory.Targets() {
		if target.State != schedule.StateLeaving {
			continue
		}
		group.Go(func() error {
			r.queryTargetState(ctx, target)
			return nil
		})
	}
	_ = group.Wait()
}

// queryTargetState applies the boot ID and state that a target's agent reports
// to the directory.
func (r *Runner) queryTargetState(ctx context.Context, target schedule.Target) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, target.Address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: r.Origin()})
	if err != nil || reply.Self == nil || reply.Self.VmId != target.VMID {
		return
	}
	r.Directory.ApplyReport(schedule.AgentReport{
		VMID: target.VMID, BootID: reply.Self.BootId, State: TargetFromMember(reply.Self).State,
	}, time.Now())
}

// refreshFromPlatform applies the platform's VM list to the directory and
// reports whether the list could be read.
func (r *Runner) refreshFromPlatform(ctx context.Context) bool {
	vms, err := r.Lister.ListVMs(ctx)
	if err != nil {
		r.Log.Log(eventlog.VMListFailed, "err", err)
		return false
	}
	var targets []schedule.Target
	routers := 0
	for _, vm := range vms {
		switch {
		case vm.Role == platform.RoleTarget:
			targets = append(targets, targetFromVM(vm))
		case vm.State == platform.VMLive:
			routers++
		}
	}
	r.Directory.ApplyList(targets, time.Now())
	if r.OnRouterCount != nil {
		r.OnRouterCount(max(routers, 1))
	}
	return true
}

func targetFromVM(vm platform.VM) schedule.Target {
	state := schedule.StateLive
	if vm.State == platform.VMLeaving {
		state = schedule.StateLeaving
	}
	return schedule.Target{
		VMID:       vm.ID,
		Address:    vm.Address,
		DataCentre: vm.DataCentre,
		Region:     vm.Region,
		Pool:       vm.Pool,
		State:      state,
	}
}

// loadFromSeeds fills the directory with the members known to the first seed
// that returns any.
func (r *Runner) loadFromSeeds(ctx context.Context) {
	for _, seed := range r.Seeds {
		members, err := r.fetchMembers(ctx, seed)
		if err != nil || len(members) == 0 {
			continue
		}
		targets := make([]schedule.Target, 0, len(members))
		for _, member := range members {
			targets = append(targets, TargetFromMember(member))
		}
		r.Directory.ApplyList(targets, time.Now())
		return
	}
}

func (r *Runner) fetchMembers(ctx context.Context, address string) ([]*peerpb.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{
		Origin:      r.Origin(),
		WantMembers: true,
	})
	if err != nil {
		return nil, err
	}
	return reply.Members, nil
}

// TargetFromMember converts a member from the wire format.
func TargetFromMember(member *peerpb.Member) schedule.Target {
	state := schedule.StateLive
	if member.State == schedule.StateLeaving.String() {
		state = schedule.StateLeaving
	}
	return schedule.Target{
		VMID:       member.VmId,
		Address:    member.Address,
		DataCentre: member.DataCentre,
		Region:     member.Region,
		Pool:       member.Pool,
		State:      state,
	}
}

// MembersFromTargets converts the targets of a directory to the wire format.
func MembersFromTargets(targets []schedule.Target) []*peerpb.Member {
	members := make([]*peerpb.Member, 0, len(targets))
	for i := range targets {
		target := &targets[i]
		members = append(members, &peerpb.Member{
			VmId:       target.VMID,
			Address:    target.Address,
			DataCentre: target.DataCentre,
			Region:     target.Region,
			Pool:       target.Pool,
			State:      target.State.String(),
			BootId:     target.BootID,
		})
	}
	return members
}
