// Package soak plays random faults against real entry processes: signals to
// the processes, faulty links to the store and the targets, and targets that
// fail. It judges what callers and targets see while the faults go on.
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

// entryVariable makes the test binary an entry process.
const entryVariable = "BAOBAB_SOAK_ENTRY"

var (
	seeds     = flag.Int("soak.seeds", 1, "number of seeds to play besides the regression seeds")
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	faultTime = flag.Duration("soak.time", 6*time.Second, "time of faults for each seed")
	entries   = flag.Int("soak.entries", 3, "entry processes")
	targets   = flag.Int("soak.targets", 4, "targets")
	atOnce    = flag.Int("soak.at-once", 2, "seeds played at the same time")
	keepLogs  = flag.String("soak.logs", "", "directory that keeps the processes' logs")
)

// regressions are seeds that failed once, with the cause.
var regressions = map[uint64]string{
	12: "a request whose target was silent was cut at the end of a planned stop without an answer",
}

func TestMain(m *testing.M) {
	if os.Getenv(entryVariable) != "" {
		cli.Main(cli.NewEntryApp(cli.EntryPlatform{
			SettingsPath: os.Getenv(platform.SettingsVariable), LoadSettings: platform.LoadSettings, NewAdapter: platform.New,
		}))
		return
	}
	flag.Parse()
	os.Exit(m.Run())
}

func TestSoak(t *testing.T) {
	places := make(chan struct{}, *atOnce)
	var work sync.WaitGroup
	start := func(seed uint64) {
		places <- struct{}{}
		work.Go(func() {
			defer func() { <-places }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, seed) })
		})
	}
	for seed := range regressions {
		start(seed)
	}
	for i := range *seeds {
		start(*firstSeed + uint64(i))
	}
	work.Wait()
}

func play(t *testing.T, seed uint64) {
	w := newWorld(t, seed, *entries, *targets)
	began := time.Now()
	c := startCallers(w, seed, 4**entries)
	time.Sleep(500 * time.Millisecond)
	w.faults(rand.New(rand.NewPCG(seed, 1)), began.Add(*faultTime))
	w.heal()
	served := func() int {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.served
	}
	before := served()
	const enough = 50
	w.await("requests are served after the faults", func() bool { return served() >= before+enough })
	c.end(time.Since(began))
	w.judgeOrders()
	t.Logf("seed %d: %d served; %v", seed, c.served, c.statuses)
	for _, problem := range w.ledger.problems {
		t.Errorf("seed %d: %s", seed, problem)
	}
}

// faults starts random faults, in series and overlapping, until a time, and
// waits for their ends.
func (w *world) faults(random *rand.Rand, until time.Time) {
	var work sync.WaitGroup
	busy := make([]sync.Mutex, len(w.processes))
	for time.Now().Before(until) {
		length := time.Duration(random.Int64N(int64(2 * time.Second)))
		p := random.IntN(len(w.processes))
		target := random.IntN(len(w.targets))
		kind := random.IntN(len(faultKinds))
		number := random.IntN(1000)
		work.Go(func() {
			faultKinds[kind](w, fault{process: p, target: target, length: length, number: number, busy: &busy[p]})
		})
		time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
	}
	work.Wait()
}

// fault is one drawn fault.
type fault struct {
	process, target int
	length          time.Duration
	// number decides among the fault's own variants.
	number int
	// busy lets one fault at a time change a process's life.
	busy *sync.Mutex
}

var faultKinds = []func(*world, fault){
	stopProcess, killProcess, pauseProcess,
	badLink, badLink, badStoreLink, badStoreLink,
	storeAway, storeForgets,
	badTarget, badTarget, leavingTarget, newWeights, newConfiguration,
}

func stopProcess(w *world, f fault) {
	f.busy.Lock()
	defer f.busy.Unlock()
	p := w.processes[f.process]
	// A request that is sent after the signal may meet the process's end.
	back := p.excuse(true)
	p.signal(syscall.SIGTERM)
	if !p.waitEnded(stopGrace + time.Second) {
		w.ledger.problem("%s has not ended %v after its stop signal", p.vm, stopGrace+time.Second)
		p.kill()
	}
	w.restart(p)
	back(0)
}

func killProcess(w *world, f fault) {
	f.busy.Lock()
	defer f.busy.Unlock()
	p := w.processes[f.process]
	back := p.excuse(false)
	p.kill()
	time.Sleep(f.length)
	w.restart(p)
	back(0)
}

func (w *world) restart(p *process) {
	w.check(p.start())
	w.await(p.vm+" is ready again", func() bool { return w.isReady(p) })
}

func pauseProcess(w *world, f fault) {
	f.busy.Lock()
	defer f.busy.Unlock()
	p := w.processes[f.process]
	back := p.excuse(false)
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * f.length)
	p.signal(syscall.SIGCONT)
	back(time.Second)
}

func badLink(w *world, f fault) { trouble(w.links[f.target], f) }

func badStoreLink(w *world, f fault) { trouble(w.processes[f.process].store, f) }

// trouble disturbs a link for the fault's length.
func trouble(link *linkfake.Link, f fault) {
	directions := []linkfake.Direction{linkfake.ToServer, linkfake.ToClient, linkfake.Both}
	direction := directions[f.number%len(directions)]
	switch f.number % 5 {
	case 0:
		link.Cut()
	case 1:
		link.SetDown(true)
		time.Sleep(f.length)
		link.SetDown(false)
	case 2:
		link.Silence(direction)
	case 3:
		link.SetSilent(direction)
		time.Sleep(f.length)
		link.SetSilent(0)
	case 4:
		link.SetDelay(time.Duration(f.number) * time.Millisecond / 5)
		time.Sleep(f.length)
		link.SetDelay(0)
	}
}

func storeAway(w *world, f fault) {
	w.store.SetUnavailable(true)
	time.Sleep(2 * f.length)
	w.store.SetUnavailable(false)
}

func storeForgets(w *world, _ fault) { w.store.LoseWatches() }

func badTarget(w *world, f fault) {
	id := w.targets[f.target].ID
	w.ledger.behave(id, shedding+behaviour(f.number)%(behaviours-shedding))
	time.Sleep(f.length)
	w.ledger.behave(id, wellBehaved)
}

func leavingTarget(w *world, f fault) {
	w.announce(f.target, "draining")
	time.Sleep(f.length)
	w.announce(f.target, "ready")
}

func newWeights(w *world, _ fault) {
	w.ledger.mu.Lock()
	w.weights++
	version := w.weights
	w.ledger.mu.Unlock()
	w.store.Put("op/version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

func newConfiguration(w *world, _ fault) {
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	w.version++
	w.configure()
}

// heal ends what faults may have left.
func (w *world) heal() {
	w.store.SetUnavailable(false)
	for i, link := range w.links {
		link.SetDown(false)
		link.SetSilent(0)
		link.SetDelay(0)
		w.announce(i, "ready")
	}
	for _, p := range w.processes {
		p.store.SetDown(false)
		p.store.SetSilent(0)
		p.store.SetDelay(0)
	}
	for _, p := range w.processes {
		w.await(p.vm+" is ready after the faults", func() bool { return w.isReady(p) })
	}
}

// judgeOrders checks that each fencing number was used by one process, and that
// no target took an order with a lower one than before.
func (w *world) judgeOrders() {
	holders := map[int64]string{}
	for _, target := range w.targets {
		last := int64(0)
		for _, order := range target.AcceptedOrders() {
			if order.Fence < last {
				w.ledger.problem("%s took fence %d after %d", target.ID, order.Fence, last)
			}
			last = order.Fence
			if known, ok := holders[order.Fence]; ok && known != order.Holder {
				w.ledger.problem("fence %d is used by %s and %s", order.Fence, known, order.Holder)
			}
			holders[order.Fence] = order.Holder
		}
	}
	w.await("all targets have the newest weights", func() bool {
		for _, target := range w.targets {
			if target.Version() != int64(max(w.weights, 1)) {
				return false
			}
		}
		return true
	})
}
