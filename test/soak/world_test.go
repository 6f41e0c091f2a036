package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fake/linkfake"
	"github.com/baobabhub/baobabhub/platform"
	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	narrowRate  = 400
	narrowBurst = 1000
	plainTokens = 200
	// leaseTTL is the time to live of the processes' leases.
	leaseTTL = 3 * time.Second
	// stopGrace is the time from a stop signal to the end of a process.
	stopGrace = 5 * time.Second
)

// process is one entry process and what was done to it.
type process struct {
	vm string
	// settings are written to file at each start.
	settings map[string]any
	file     string
	address  string
	ready    string
	store    *linkfake.Link
	log      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the present process is gone.
	ended   chan struct{}
	excuses []excuse
}

// excuse is a time in which requests to a process may end in any way.
type excuse struct {
	// until is zero while the time goes on.
	from, until time.Time
	// stopping excuses only requests that begin in the time and reach no
	// target: a process that is asked to stop answers all others.
	stopping bool
}

func (p *process) start() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, data, 0o600); err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(), entryVariable+"=1", platform.SettingsVariable+"="+p.file)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		// The exit state is read from cmd once ended is closed.
		_ = cmd.Wait()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, ended
	return nil
}

// signal sends a signal to the present process; one that is gone gets none.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// excuse begins an excuse; the returned function ends it.
func (p *process) excuse(stopping bool) (end func(after time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := len(p.excuses)
	p.excuses = append(p.excuses, excuse{from: time.Now(), stopping: stopping})
	return func(after time.Duration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.excuses[at].until = time.Now().Add(after)
	}
}

// excused says whether a request that began and ended at these times may be
// lost; passedOn says that it reached a target.
func (p *process) excused(began, ended time.Time, passedOn bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.excuses {
		over := !e.until.IsZero() && began.After(e.until)
		early := ended.Before(e.from) || (e.stopping && (passedOn || began.Before(e.from)))
		if !over && !early {
			return true
		}
	}
	return false
}

func (p *process) waitEnded(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.waitEnded(time.Minute)
}

// world is a deployment: real entry processes, stand-ins, and faulty links
// between them.
type world struct {
	t         *testing.T
	ledger    *ledger
	store     *platformfake.Store
	processes []*process
	targets   []*platformfake.Target
	links     []*linkfake.Link
	client    *http.Client
	// number tells the worlds of this test process apart.
	number  uint32
	version int
	weights int
}

var worlds atomic.Uint32

func newWorld(t *testing.T, seed uint64, entries, targets int) *world {
	w := &world{t: t, ledger: newLedger(seed), store: platformfake.NewStore(), number: worlds.Add(1), version: 1, weights: 1}
	w.client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
	t.Cleanup(w.close)
	w.configure()
	for i := range targets {
		target := platformfake.NewTarget(fmt.Sprintf("i-%d", i))
		target.SetHandler(w.ledger.answer(target))
		link, err := linkfake.Start(target.Address())
		w.check(err)
		w.targets, w.links = append(w.targets, target), append(w.links, link)
		w.announce(i, "ready")
	}
	for i := range entries {
		w.processes = append(w.processes, w.newProcess(i, seed))
	}
	for _, p := range w.processes {
		w.await(p.vm+" is ready", func() bool { return w.isReady(p) })
	}
	return w
}

func (w *world) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) configure() {
	w.store.PutConfiguration(platformfake.Configuration{
		Version: w.version, MaxConns: 200, LowRate: narrowRate, LowBurst: narrowBurst,
	})
}

func (w *world) announce(target int, state string) {
	t := w.targets[target]
	w.store.Put("servers/"+t.ID, t.RegistryEntryAt(w.links[target].Addr(), "s", fmt.Sprint("zone-", target%2), state))
}

func (w *world) newProcess(i int, seed uint64) *process {
	link, err := linkfake.Start(w.store.Address())
	w.check(err)
	// Each process has an address of its own, and with it the same ports.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, w.number%200, 10+i)
	p := &process{vm: fmt.Sprint("front-", i), store: link, address: ip + ":7410", ready: ip + ":7411"}
	p.settings = map[string]any{
		"node": p.vm, "ip": ip, "zone": fmt.Sprint("zone-", i%2),
		"listen": map[string]any{"front": p.address, "ready": p.ready}, "port_range": []int{7400, 7401}, "first_start": true,
		"limits": map[string]any{"memory_mb": 200, "max_fds": 1000},
		"bounds": map[string]any{"lease_ms": leaseTTL.Milliseconds(), "grace_s": stopGrace.Seconds(), "retry_budget": 0.2,
			"budget_window_s": 10, "budget_slack": 50, "version_ms": 6000},
		"platform": map[string]any{"addr": link.Addr()},
	}
	directory := w.t.TempDir()
	p.file = filepath.Join(directory, "settings.json")
	if *keepLogs != "" {
		directory = *keepLogs
	}
	p.log, err = os.Create(filepath.Join(directory, fmt.Sprintf("seed-%d-%s.log", seed, p.vm)))
	w.check(err)
	w.check(p.start())
	p.settings["first_start"] = false
	return p
}

func (w *world) isReady(p *process) bool {
	resp, err := w.client.Get("http://" + p.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Errorf("not in time: %s", what)
}

// close ends what the world started.
func (w *world) close() {
	for _, p := range w.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
		p.store.Close()
		_ = p.log.Close()
	}
	for i := range w.targets {
		w.links[i].Close()
		w.targets[i].CloseClientConnections()
		w.targets[i].Close()
	}
	w.store.CloseClientConnections()
	w.store.Close()
}
