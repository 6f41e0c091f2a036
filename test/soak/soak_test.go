// Package soak injects random faults into a deployment of real entry processes:
// signals to the processes, faulty links to the store and the targets, and failing
// targets. During the faults, it checks the responses to callers and the requests to
// targets.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/pkg/fake/linkfake"
	"github.com/baobabhub/baobabhub/platform"
)

// entryProcessEnv is the environment variable that makes the test binary run as an
// entry process.
const entryProcessEnv = "BAOBAB_SOAK_ENTRY"

var (
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds to run in addition to the regression seeds")
	firstSeed     = flag.Uint64("soak.seed", 1, "first seed")
	faultDuration = flag.Duration("soak.time", 6*time.Second, "duration of fault injection for each seed")
	entryCount    = flag.Int("soak.entries", 3, "number of entry processes")
	targetCount   = flag.Int("soak.targets", 4, "number of targets")
	parallelSeeds = flag.Int("soak.at-once", 2, "number of seeds to run in parallel")
	logDirectory  = flag.String("soak.logs", "", "directory in which to keep the logs of the processes")
)

// regressionSeeds maps each seed that once failed to the cause of the failure.
var regressionSeeds = map[uint64]string{
	12: "a request to an unresponsive target was aborted without a response at the end of a planned stop",
}

func TestMain(m *testing.M) {
	if os.Getenv(entryProcessEnv) != "" {
		cli.Main(cli.NewEntryApp(cli.EntryPlatform{
			SettingsPath: os.Getenv(platform.SettingsVariable), LoadSettings: platform.LoadSettings, NewAdapter: platform.New,
		}))
		return
	}
	flag.Parse()
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	semaphore := make(chan struct{}, *parallelSeeds)
	var wg sync.WaitGroup
	startSeed := func(seed uint64) {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
		})
	}
	for seed := range regressionSeeds {
		startSeed(seed)
	}
	for i := range *seedCount {
		startSeed(*firstSeed + uint64(i))
	}
	wg.Wait()
}

func runSeed(t *testing.T, seed uint64) {
	d := newDeployment(t, seed, *entryCount, *targetCount)
	startedAt := time.Now()
	c := startCallers(d, seed, 4**entryCount)
	time.Sleep(500 * time.Millisecond)
	d.injectFaults(rand.New(rand.NewPCG(seed, 1)), startedAt.Add(*faultDuration))
	d.clearFaults()
	served := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.servedCount
	}
	servedBefore := served()
	const minServed = 50
	d.eventually("requests are served after the faults", func() bool { return served() >= servedBefore+minServed })
	c.stopAndCheck(time.Since(startedAt))
	d.checkOrders()
	t.Logf("seed %d: %d served; %v", seed, c.servedCount, c.outcomeCounts)
	for _, failure := range d.recorder.failures {
		t.Errorf("seed %d: %s", seed, failure)
	}
}

// injectFaults starts random faults at random intervals until the given time, and
// waits until all of them have ended. Faults may overlap.
func (d *deployment) injectFaults(random *rand.Rand, until time.Time) {
	var wg sync.WaitGroup
	processLocks := make([]sync.Mutex, len(d.processes))
	for time.Now().Before(until) {
		duration := time.Duration(random.Int64N(int64(2 * time.Second)))
		processIndex := random.IntN(len(d.processes))
		targetIndex := random.IntN(len(d.targets))
		kind := random.IntN(len(faultInjectors))
		variant := random.IntN(1000)
		wg.Go(func() {
			faultInjectors[kind](d, fault{process: processIndex, target: targetIndex, duration: duration, variant: variant, processLock: &processLocks[processIndex]})
		})
		time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
	}
	wg.Wait()
}

// fault holds the parameters of a random fault.
type fault struct {
	process, target int
	duration        time.Duration
	// variant selects among the variants of a fault.
	variant int
	// processLock ensures that at most one fault at a time stops, kills or pauses
	// the process.
	processLock *sync.Mutex
}

var faultInjectors = []func(*deployment, fault){
	stopProcess, killProcess, pauseProcess,
	injectTargetLinkFault, injectTargetLinkFault, injectStoreLinkFault, injectStoreLinkFault,
	makeStoreUnavailable, loseStoreWatches, restoreStore,
	makeTargetMisbehave, makeTargetMisbehave, drainTarget, announceLeaving, publishWeights, publishConfiguration,
}

func stopProcess(d *deployment, f fault) {
	f.processLock.Lock()
	defer f.processLock.Unlock()
	p := d.processes[f.process]
	// A request that is sent after the signal may fail because the process exits.
	endWindow := p.beginFaultWindow(true)
	p.signal(syscall.SIGTERM)
	if !p.waitExit(stopGrace + time.Second) {
		d.recorder.failf("%s has not exited %v after its stop signal", p.vm, stopGrace+time.Second)
		p.kill()
	}
	d.restart(p)
	endWindow(0)
}

func killProcess(d *deployment, f fault) {
	f.processLock.Lock()
	defer f.processLock.Unlock()
	p := d.processes[f.process]
	endWindow := p.beginFaultWindow(false)
	p.kill()
	time.Sleep(f.duration)
	d.restart(p)
	endWindow(0)
}

func (d *deployment) restart(p *process) {
	d.requireNoError(p.start())
	d.eventually(p.vm+" is ready again", func() bool { return d.isReady(p) })
}

func pauseProcess(d *deployment, f fault) {
	f.processLock.Lock()
	defer f.processLock.Unlock()
	p := d.processes[f.process]
	endWindow := p.beginFaultWindow(false)
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * f.duration)
	p.signal(syscall.SIGCONT)
	endWindow(time.Second)
}

func injectTargetLinkFault(d *deployment, f fault) { injectLinkFault(d.targetLinks[f.target], f) }

func injectStoreLinkFault(d *deployment, f fault) {
	injectLinkFault(d.processes[f.process].storeLink, f)
}

// injectLinkFault injects a fault into a link. Cut and Silence affect the open
// connections permanently; the other variants end after the fault's duration.
func injectLinkFault(link *linkfake.Link, f fault) {
	directions := []linkfake.Direction{linkfake.ToServer, linkfake.ToClient, linkfake.Both}
	direction := directions[f.variant%len(directions)]
	switch f.variant % 5 {
	case 0:
		link.CloseConnections()
	case 1:
		link.SetDown(true)
		time.Sleep(f.duration)
		link.SetDown(false)
	case 2:
		link.DropTraffic(direction)
	case 3:
		link.SetDroppedDirections(direction)
		time.Sleep(f.duration)
		link.SetDroppedDirections(0)
	case 4:
		link.SetDelay(time.Duration(f.variant) * time.Millisecond / 5)
		time.Sleep(f.duration)
		link.SetDelay(0)
	}
}

func makeStoreUnavailable(d *deployment, f fault) {
	d.store.SetUnavailable(true)
	time.Sleep(2 * f.duration)
	d.store.SetUnavailable(false)
}

func loseStoreWatches(d *deployment, _ fault) { d.store.LoseWatches() }

// restoreStore restores the store from a copy. The operators and the targets write
// again what they have written since the copy.
func restoreStore(d *deployment, f fault) {
	copied := d.store.Copy()
	time.Sleep(f.duration)
	d.store.Restore(copied)
	time.Sleep(time.Duration(f.variant) * time.Millisecond)
	d.recorder.mu.Lock()
	d.putConfiguration()
	version := d.weightsVersion
	d.recorder.mu.Unlock()
	d.putWeights(version)
	for i := range d.targets {
		d.registerTarget(i)
	}
}

func makeTargetMisbehave(d *deployment, f fault) {
	id := d.targets[f.target].ID
	d.recorder.setBehaviour(id, shedding+targetBehaviour(f.variant)%(behaviourCount-shedding))
	time.Sleep(f.duration)
	d.recorder.setBehaviour(id, healthy)
}

// drainTarget replaces a target's run after it has reported that it is draining.
func drainTarget(d *deployment, f fault) {
	d.setTargetState(f.target, "draining")
	time.Sleep(f.duration)
	d.targets[f.target].BeginRun()
	d.setTargetState(f.target, "ready")
}

// announceLeaving replaces a target's run after its responses, but not its
// registry entry, have announced that it is leaving.
func announceLeaving(d *deployment, f fault) {
	d.targets[f.target].SetLeaving()
	time.Sleep(f.duration)
	d.targets[f.target].BeginRun()
	d.registerTarget(f.target)
}

func publishWeights(d *deployment, _ fault) {
	d.recorder.mu.Lock()
	d.weightsVersion++
	version := d.weightsVersion
	d.recorder.mu.Unlock()
	d.putWeights(version)
}

func publishConfiguration(d *deployment, _ fault) {
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	d.configVersion++
	d.putConfiguration()
}

// clearFaults ends faults that are still in effect and waits until all processes are
// ready.
func (d *deployment) clearFaults() {
	d.store.SetUnavailable(false)
	for i, link := range d.targetLinks {
		link.SetDown(false)
		link.SetDroppedDirections(0)
		link.SetDelay(0)
		d.setTargetState(i, "ready")
	}
	for _, p := range d.processes {
		p.storeLink.SetDown(false)
		p.storeLink.SetDroppedDirections(0)
		p.storeLink.SetDelay(0)
	}
	for _, p := range d.processes {
		d.eventually(p.vm+" is ready after the faults", func() bool { return d.isReady(p) })
	}
}

// checkOrders checks that each fencing token was used by only one process, that no
// target accepted an order with a lower fencing token than an earlier order, and that
// all targets load the newest weights.
func (d *deployment) checkOrders() {
	holders := map[int64]string{}
	for _, target := range d.targets {
		lastFence := int64(0)
		for _, order := range target.AcceptedOrders() {
			if order.Fence < lastFence {
				d.recorder.failf("%s accepted fencing token %d after fencing token %d", target.ID, order.Fence, lastFence)
			}
			lastFence = order.Fence
			if knownHolder, ok := holders[order.Fence]; ok && knownHolder != order.Holder {
				d.recorder.failf("fencing token %d was used by both %s and %s", order.Fence, knownHolder, order.Holder)
			}
			holders[order.Fence] = order.Holder
		}
	}
	d.eventually("all targets have the newest weights", func() bool {
		for _, target := range d.targets {
			if target.Version() != int64(max(d.weightsVersion, 1)) {
				return false
			}
		}
		return true
	})
}
