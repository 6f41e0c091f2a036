package bench

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
)

// limitsFault is a fault that Limits injects after the first third of the load.
type limitsFault struct {
	inject func(*limitsRun)
	clear  func(*limitsRun) error
	// publishFirst publishes the key withdrawal just before the fault is
	// injected.
	publishFirst bool
}

// lostResponseShare is the share of writes whose response is lost.
const lostResponseShare = 0.3

// limitsFaults maps fault names to faults. Faults of a single agent affect the
// fault target, whose agent owns the first part of the second account's
// rate-limit bucket.
var limitsFaults = map[string]limitsFault{
	"":     {},
	"none": {},
	"outage": {
		inject:       func(r *limitsRun) { r.changeKVFaults(func(f *kvfake.Faults) { f.Outage = true }) },
		clear:        clearKVFaults,
		publishFirst: true,
	},
	// Pauses the fault target's connections from peers and to the platform.
	// Their bytes are delivered later, as with a suspended process.
	"pause": {inject: func(r *limitsRun) { r.setFaultTargetPaused(true, true) }, clear: resumeFaultTarget},
	"crash": {inject: (*limitsRun).crashFaultTarget, clear: (*limitsRun).restartFaultTarget},
	// Aborts all routers at the same time and restarts them.
	"herd": {inject: (*limitsRun).restartRouters},
	"lost_answers": {
		inject: func(r *limitsRun) {
			r.changeKVFaults(func(f *kvfake.Faults) { f.LostResponseShare = lostResponseShare })
		},
		clear: clearKVFaults,
	},
	// Disconnects only the fault target from the key-value service.
	"cut": {inject: func(r *limitsRun) { r.setFaultTargetPaused(false, true) }, clear: resumeFaultTarget},
	// Silences connections to the fault target, which keeps its lease, and all
	// watches of the key-value service.
	"silent": {
		inject: func(r *limitsRun) {
			r.changeKVFaults(func(f *kvfake.Faults) { f.StallWatches = true })
			r.setFaultTargetPaused(true, false)
		},
		clear: func(r *limitsRun) error {
			r.setFaultTargetPaused(false, false)
			return clearKVFaults(r)
		},
	},
	// Crashes the fault target during an outage of the key-value service.
	"two": {
		inject: func(r *limitsRun) {
			r.changeKVFaults(func(f *kvfake.Faults) { f.Outage = true })
			r.crashFaultTarget()
		},
		clear: func(r *limitsRun) error {
			if err := clearKVFaults(r); err != nil {
				return err
			}
			return r.restartFaultTarget()
		},
		publishFirst: true,
	},
}

// LimitsFaultNames returns the sorted names of the faults that Limits accepts.
func LimitsFaultNames() []string {
	names := slices.Sorted(maps.Keys(limitsFaults))
	return names[1:]
}

func clearKVFaults(r *limitsRun) error {
	r.changeKVFaults(func(f *kvfake.Faults) { f.Outage, f.LostResponseShare, f.StallWatches = false, 0, false })
	return nil
}

// faultTarget returns the target whose agent owns a bucket part that the load
// needs.
func (r *limitsRun) faultTarget() *localfleet.Target {
	if r.oracle.faultTarget == nil {
		router := r.fleet.Routers[0].Daemon
		slots := ratelimit.PartSlots(r.deployment.Accounts[1].Name, localfleet.SlotCount)
		r.oracle.faultTarget = r.fleet.TargetByVM(router.SlotOwner(slots[0]))
	}
	return r.oracle.faultTarget
}

func (r *limitsRun) setFaultTargetPaused(peers, platform bool) {
	link := r.faultTarget().Link
	link.PausePeers(peers)
	link.PausePlatform(platform)
}

func resumeFaultTarget(r *limitsRun) error {
	r.setFaultTargetPaused(false, false)
	return nil
}

func (r *limitsRun) crashFaultTarget() {
	target := r.faultTarget()
	r.versionMonitor.exclude(target.VMID)
	target.Agent.Daemon.Kill()
	_ = target.Agent.Stop()
}

// restartFaultTarget restarts the fault target's agent. It retries because
// another process's connection may briefly use the agent's port.
func (r *limitsRun) restartFaultTarget() error {
	const maxAttempts, retryDelay = 60, 50 * time.Millisecond
	var err error
	for range maxAttempts {
		if err = r.fleet.StartAgent(r.faultTarget()); err == nil {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return errors.Trace(err)
}

// routerDowntime is the time between the abort and the restart of the routers
// in the herd fault.
const routerDowntime = 200 * time.Millisecond

func (r *limitsRun) restartRouters() {
	for i := range r.fleet.Routers {
		r.fleet.Routers[i].Daemon.Abort()
	}
	time.Sleep(routerDowntime)
	for i := range r.fleet.Routers {
		if router, err := r.fleet.LaunchRouter(i); err == nil {
			r.fleet.Routers[i] = router
			r.clients.replace(i, router.Daemon)
		}
	}
}
