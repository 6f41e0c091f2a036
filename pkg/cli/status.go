package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/operator"
	"github.com/baobabhub/baobabhub/pkg/operatorclient"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the fleet on one screen",
		UsageText: "baobab status --router 127.0.0.1:8081 --router 127.0.0.1:8082",
		Flags:     []cli.Flag{routerFlag(), jsonFlag()},
		Action:    fleetStatus,
	}
}

// routerResult is the status of one router, or the error of the query.
type routerResult struct {
	Router string                 `json:"router"`
	Status *operator.RouterStatus `json:"status,omitempty"`
	Error  string                 `json:"problem,omitempty"`
}

// fleetReport is the JSON output of status.
type fleetReport struct {
	Routers []routerResult `json:"routers"`
	// ViewedFrom is the router whose view of agents, targets and slots is
	// reported.
	ViewedFrom string `json:"seen_by"`
	// NewestVersion is the newest bundle version active on any VM.
	NewestVersion uint64 `json:"newest"`
	// VMsByVersion counts VMs by their active bundle version.
	VMsByVersion map[uint64]int `json:"versions"`
	// OutdatedVMs lists the VMs whose active version is older than
	// NewestVersion, and UnresponsiveVMs those that didn't respond.
	OutdatedVMs     []string `json:"laggards"`
	UnresponsiveVMs []string `json:"silent"`
	// TargetsByPool counts targets by pool and state.
	TargetsByPool map[string]map[string]int `json:"targets"`
	// SlotsByVM counts slots by owner; UnownedSlots is the number of slots
	// without a known owner.
	SlotsByVM    map[string]int `json:"slots_by_vm"`
	UnownedSlots int            `json:"slots_without_owner"`
}

func fleetStatus(c *cli.Context) error {
	if _, err := positionalArguments(c); err != nil {
		return err
	}
	addresses := c.StringSlice(routerOption)
	if len(addresses) == 0 {
		return usageError{errors.Errorf("want at least one --%s", routerOption)}
	}
	for _, address := range addresses {
		if err := checkAddress(routerOption, address); err != nil {
			return err
		}
	}
	report := collectStatus(c.Context, addresses)
	if err := printResult(c, report, report.text()); err != nil {
		return err
	}
	if report.ViewedFrom == "" {
		return cli.Exit("no router answered", ExitUnavailable)
	}
	return nil
}

// collectStatus queries all routers. The view of agents, targets and slots
// comes from the first router that provides one.
func collectStatus(ctx context.Context, addresses []string) fleetReport {
	report := fleetReport{
		VMsByVersion: map[uint64]int{}, OutdatedVMs: []string{}, UnresponsiveVMs: []string{},
		TargetsByPool: map[string]map[string]int{}, SlotsByVM: map[string]int{},
	}
	versionByVM := map[string]uint64{}
	for _, address := range addresses {
		client := operatorclient.New(address)
		status, err := client.Status(ctx)
		result := routerResult{Router: address, Status: &status}
		if err != nil {
			result = routerResult{Router: address, Error: err.Error()}
		} else {
			versionByVM[status.VM] = status.BundleVersion
			report.addFleetView(ctx, client, status, versionByVM)
		}
		client.Close()
		report.Routers = append(report.Routers, result)
	}
	for _, version := range versionByVM {
		report.NewestVersion = max(report.NewestVersion, version)
		report.VMsByVersion[version]++
	}
	for _, vm := range slices.Sorted(maps.Keys(versionByVM)) {
		if versionByVM[vm] < report.NewestVersion {
			report.OutdatedVMs = append(report.OutdatedVMs, fmt.Sprintf("%s (%d)", vm, versionByVM[vm]))
		}
	}
	return report
}

// addFleetView adds a router's view of the fleet to the report, unless it
// already holds the view of another router or the query fails.
func (r *fleetReport) addFleetView(ctx context.Context, client *operatorclient.Client, status operator.RouterStatus, versionByVM map[string]uint64) {
	if r.ViewedFrom != "" {
		return
	}
	fleet, err := client.Fleet(ctx)
	if err != nil {
		return
	}
	r.ViewedFrom = status.VM
	for _, agent := range fleet.Agents {
		if agent.Answered {
			versionByVM[agent.VM] = agent.BundleVersion
		} else {
			r.UnresponsiveVMs = append(r.UnresponsiveVMs, agent.VM)
		}
	}
	slices.Sort(r.UnresponsiveVMs)
	for _, target := range status.Targets {
		if r.TargetsByPool[target.Pool] == nil {
			r.TargetsByPool[target.Pool] = map[string]int{}
		}
		r.TargetsByPool[target.Pool][target.State]++
	}
	for _, slot := range status.Slots {
		r.SlotsByVM[slot.VM]++
	}
	r.UnownedSlots = status.SlotCount - len(status.Slots)
}

// maxShownNames is the maximum number of names listed on one line.
const maxShownNames = 8

// joinNames joins names by commas and abbreviates lists longer than
// maxShownNames.
func joinNames(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	if len(list) <= maxShownNames {
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(list[:maxShownNames], ", "), len(list)-maxShownNames)
}

func (r fleetReport) text() string {
	var text strings.Builder
	for _, result := range r.Routers {
		if result.Status == nil {
			fmt.Fprintf(&text, "router   %s: no answer: %s\n", result.Router, result.Error)
			continue
		}
		status := result.Status
		ready := "ready"
		if !status.Ready {
			ready = "not ready"
		}
		fmt.Fprintf(&text, "router   %s in %s: %s, bundle %d, key-value service last answered %v ago\n", status.VM,
			status.DataCentre, ready, status.BundleVersion, time.Duration(status.KVContactAge).Round(time.Millisecond))
	}
	if r.ViewedFrom == "" {
		return text.String()
	}
	fmt.Fprintf(&text, "as %s sees it:\n", r.ViewedFrom)
	for _, version := range slices.Sorted(maps.Keys(r.VMsByVersion)) {
		fmt.Fprintf(&text, "bundle   version %d in force at %d VMs\n", version, r.VMsByVersion[version])
	}
	fmt.Fprintf(&text, "laggards %s\nsilent   %s\n", joinNames(r.OutdatedVMs), joinNames(r.UnresponsiveVMs))
	for _, pool := range slices.Sorted(maps.Keys(r.TargetsByPool)) {
		fmt.Fprintf(&text, "targets  %s: %s\n", pool, formatCounts(r.TargetsByPool[pool]))
	}
	fmt.Fprintf(&text, "slots    %s; without owner: %d\n", formatCounts(r.SlotsByVM), r.UnownedSlots)
	return text.String()
}

// formatCounts lists names with their counts in descending order of count.
func formatCounts(counts map[string]int) string {
	keys := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(keys, func(x, y string) int { return counts[y] - counts[x] })
	parts := make([]string, 0, len(keys))
	for _, key := range keys {
		parts = append(parts, fmt.Sprintf("%s %d", key, counts[key]))
	}
	return joinNames(parts)
}
