// Package membership keeps a process's directory of targets: from the
// platform's list of VMs, which lags and can be away, and from seed peers
// while there has been no list.
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

// exchangeTimeout bounds one exchange with a seed.
const exchangeTimeout = time.Second

// firstRetry is the time between looks while the directory is empty.
const firstRetry = 100 * time.Millisecond

// Config joins what a Runner is made of.
type Config struct {
	Lister    platform.VMLister
	Directory *schedule.Directory
	Peers     *peer.Client
	// Seeds are addresses of agents to ask for members.
	Seeds []string
	// Period is the time between looks at the platform's list.
	Period time.Duration
	// Origin makes the sender's part of messages.
	Origin func() *peerpb.Origin
	// OnRouterCount is told the number of live entry VMs; nil for nobody.
	OnRouterCount func(n int)
	Log           *eventlog.Logger
}

// Runner keeps one directory up to date.
type Runner struct {
	Config
	listed bool
}

// New returns a Runner.
func New(config Config) *Runner {
	return &Runner{Config: config}
}

// Run looks at the list every period until ctx ends, and more often while the
// directory is empty.
func (r *Runner) Run(ctx context.Context) {
	for {
		r.look(ctx)
		wait := r.Period
		if len(r.Directory.Targets()) == 0 {
			wait = firstRetry
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

func (r *Runner) look(ctx context.Context) {
	if r.lookAtList(ctx) {
		r.listed = true
	} else if !r.listed {
		r.askSeeds(ctx)
	}
	r.askLeaving(ctx)
	r.Directory.Refresh(time.Now())
}

// maxAsked bounds the leaving targets that are asked at once.
const maxAsked = 8

// askLeaving asks targets that said that they leave for their word. No request
// goes to them, so that nothing else would tell of an agent's restart on the
// same VM.
func (r *Runner) askLeaving(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxAsked)
	for _, target := range r.Directory.Targets() {
		if target.State != schedule.StateLeaving {
			continue
		}
		group.Go(func() error {
			r.askWord(ctx, target)
			return nil
		})
	}
	_ = group.Wait()
}

func (r *Runner) askWord(ctx context.Context, target schedule.Target) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, target.Address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: r.Origin()})
	if err != nil || reply.Self == nil || reply.Self.VmId != target.VMID {
		return
	}
	r.Directory.ApplyReport(schedule.AgentReport{
		VMID: target.VMID, BootID: reply.Self.BootId, State: TargetOf(reply.Self).State,
	}, time.Now())
}

func (r *Runner) lookAtList(ctx context.Context) bool {
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
			targets = append(targets, targetOf(vm))
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

func targetOf(vm platform.VM) schedule.Target {
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

// askSeeds takes the members that the first answering seed knows.
func (r *Runner) askSeeds(ctx context.Context) {
	for _, seed := range r.Seeds {
		members, err := r.exchange(ctx, seed)
		if err != nil || len(members) == 0 {
			continue
		}
		targets := make([]schedule.Target, 0, len(members))
		for _, member := range members {
			targets = append(targets, TargetOf(member))
		}
		r.Directory.ApplyList(targets, time.Now())
		return
	}
}

func (r *Runner) exchange(ctx context.Context, address string) ([]*peerpb.Member, error) {
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

// TargetOf converts a member from the wire.
func TargetOf(member *peerpb.Member) schedule.Target {
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

// MembersFromTargets converts a directory's targets for the wire.
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
