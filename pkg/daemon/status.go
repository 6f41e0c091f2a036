package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// Status implements operator.Process.
func (d *Router) Status() any {
	status := operator.RouterStatus{
		VM:            d.settings.VM.ID,
		DataCentre:    d.settings.VM.DataCentre,
		Ready:         d.Ready(),
		BundleVersion: d.components.bundles.Version(),
		KVContactAge:  config.Duration(d.components.platform.ContactAge()),
		Targets:       []operator.TargetStatus{},
		SlotCount:     d.slotConfig.Table.Count(),
		Slots:         []operator.SlotStatus{},
	}
	for _, target := range d.components.directory.Targets() {
		status.Targets = append(status.Targets, operator.TargetStatus{
			VM: target.VMID, Pool: target.Pool, DataCentre: target.DataCentre, State: target.State.String(),
		})
	}
	for _, record := range d.slotConfig.Table.Records() {
		status.Slots = append(status.Slots, operator.SlotStatus{
			Slot: uint32(record.Slot), VM: record.Owner.VM, Epoch: record.Epoch,
		})
	}
	slices.SortFunc(status.Slots, func(x, y operator.SlotStatus) int { return cmp.Compare(x.Slot, y.Slot) })
	return status
}

// versionFetchTimeout is the timeout for fetching one agent's bundle version.
const versionFetchTimeout = time.Second

// maxConcurrentFetches limits the number of agents that are queried concurrently.
const maxConcurrentFetches = 32

// Fleet implements operator.FleetProcess.
func (d *Router) Fleet(ctx context.Context) operator.FleetStatus {
	targets := d.components.directory.Targets()
	agents := make([]operator.AgentVersion, len(targets))
	var group errgroup.Group
	group.SetLimit(maxConcurrentFetches)
	for i := range targets {
		agents[i].VM = targets[i].VMID
		group.Go(func() error {
			d.fetchBundleVersion(ctx, targets[i].Address, &agents[i])
			return nil
		})
	}
	_ = group.Wait()
	return operator.FleetStatus{Agents: agents}
}

// fetchBundleVersion queries one agent for the version of its bundle and stores
// it in agent. The fields remain unset if the query fails.
func (d *Router) fetchBundleVersion(ctx context.Context, address string, agent *operator.AgentVersion) {
	if ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionFetchTimeout)
	defer cancel()
	reply, err := d.components.peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: d.components.origin()})
	if err != nil {
		d.components.peers.DiscardConnections(address)
		return
	}
	agent.Answered = true
	agent.BundleVersion = reply.GetOrigin().GetBundleVersion()
}
