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
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/cli"
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

// callersPerEntry is the number of callers for each entry process.
const callersPerEntry = 4

func TestSoak(t *testing.T) {
	runSeeds(t, regressionSeeds, func(t *testing.T, seed uint64) { runSeed(t, seed, injectorsOf(seed), callersPerEntry) })
}

// runSeeds runs the regression seeds and those that the flags select.
func runSeeds(t *testing.T, regression map[uint64]string, run func(*testing.T, uint64)) {
	semaphore := make(chan struct{}, *parallelSeeds)
	var wg sync.WaitGroup
	startSeed := func(seed uint64) {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { run(t, seed) })
		})
	}
	for seed := range regression {
		startSeed(seed)
	}
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		if _, ok := regression[seed]; !ok {
			startSeed(seed)
		}
	}
	wg.Wait()
}

func runSeed(t *testing.T, seed uint64, injectors []faultInjector, callersPerEntry int) {
	d := newDeployment(t, seed, *entryCount, *targetCount)
	startedAt := time.Now()
	c := startCallers(d, seed, callersPerEntry**entryCount)
	time.Sleep(500 * time.Millisecond)
	d.injectFaults(injectors, rand.New(rand.NewPCG(seed, 1)), startedAt.Add(*faultDuration))
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
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	for _, failure := range d.recorder.failures {
		t.Errorf("seed %d: %s", seed, failure)
	}
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
