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

// limitsFault is one fault of Limits. It begins after a third of the load.
type limitsFault struct {
	begin func(*limitsRun)
	end   func(*limitsRun) error
	// publishFirst publishes the changed bundle just before the fault.
	publishFirst bool
}

// lostAnswerShare is the share of writes whose answer is lost.
const lostAnswerShare = 0.3

// limitsFaults holds the faults by name. The victim is the owner of the first
// part of the second account's bucket.
var limitsFaults = map[string]limitsFault{
	"":     {},
	"none": {},
	"outage": {
		begin:        func(r *limitsRun) { r.kvFaults(func(f *kvfake.Faults) { f.Outage = true }) },
		end:          endKVFaults,
		publishFirst: true,
	},
	// The victim's connections from peers and to the platform stop, and their
	// bytes arrive afterwards, as those of a stopped process would.
	"pause": {begin: func(r *limitsRun) { r.stopVictim(true, true) }, end: endStops},
	"crash": {begin: (*limitsRun).crashVictim, end: (*limitsRun).restartVictim},
	// All routers end at once and start again.
	"herd": {begin: (*limitsRun).restartRouters},
	"lost_answers": {
		begin: func(r *limitsRun) { r.kvFaults(func(f *kvfake.Faults) { f.LostAnswerShare = lostAnswerShare }) },
		end:   endKVFaults,
	},
	// The victim alone can't reach the key-value service.
	"cut": {begin: func(r *limitsRun) { r.stopVictim(false, true) }, end: endStops},
	// Connections to the victim go silent while it keeps its lease, and so do
	// all watches of the key-value service.
	"silent": {
		begin: func(r *limitsRun) {
			r.kvFaults(func(f *kvfake.Faults) { f.SilentWatches = true })
			r.stopVictim(true, false)
		},
		end: func(r *limitsRun) error {
			r.stopVictim(false, false)
			return endKVFaults(r)
		},
	},
	// An outage, and the victim crashes in it.
	"two": {
		begin: func(r *limitsRun) {
			r.kvFaults(func(f *kvfake.Faults) { f.Outage = true })
			r.crashVictim()
		},
		end: func(r *limitsRun) error {
			if err := endKVFaults(r); err != nil {
				return err
			}
			return r.restartVictim()
		},
		publishFirst: true,
	},
}

// LimitsFaultNames returns the names of the faults.
func LimitsFaultNames() []string {
	names := slices.Sorted(maps.Keys(limitsFaults))
	return names[1:]
}

func endKVFaults(r *limitsRun) error {
	r.kvFaults(func(f *kvfake.Faults) { f.Outage, f.LostAnswerShare, f.SilentWatches = false, 0, false })
	return nil
}

// victim is the target whose agent holds a part that the load needs.
func (r *limitsRun) victim() *localfleet.Target {
	if r.oracle.victim == nil {
		router := r.fleet.Routers[0].Daemon
		slots := ratelimit.PartSlots(r.deployment.Accounts[1].Name, localfleet.SlotCount)
		r.oracle.victim = r.fleet.TargetByVM(router.SlotOwner(slots[0]))
	}
	return r.oracle.victim
}

func (r *limitsRun) stopVictim(peers, platform bool) {
	link := r.victim().Link
	link.PausePeers(peers)
	link.PausePlatform(platform)
}

func endStops(r *limitsRun) error {
	r.stopVictim(false, false)
	return nil
}

func (r *limitsRun) crashVictim() {
	victim := r.victim()
	r.watch.leaveOut(victim.VMID)
	victim.Agent.Daemon.Kill()
	_ = victim.Agent.Stop()
}

// restartVictim starts the agent again. Its port may serve another process's
// connection for a moment.
func (r *limitsRun) restartVictim() error {
	const tries, pause = 60, 50 * time.Millisecond
	var err error
	for range tries {
		if err = r.fleet.StartAgent(r.victim()); err == nil {
			return nil
		}
		time.Sleep(pause)
	}
	return errors.Trace(err)
}

// routerDownTime is how long the routers stay away in a herd.
const routerDownTime = 200 * time.Millisecond

func (r *limitsRun) restartRouters() {
	for i := range r.fleet.Routers {
		r.fleet.Routers[i].Daemon.Abort()
	}
	time.Sleep(routerDownTime)
	for i := range r.fleet.Routers {
		if router, err := r.fleet.LaunchRouter(i); err == nil {
			r.fleet.Routers[i] = router
			r.entries.set(i, router.Daemon)
		}
	}
}
