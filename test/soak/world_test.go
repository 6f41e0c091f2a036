package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	// lowRate and lowBurst are the rate limit and burst of account t2, in tokens.
	lowRate  = 400
	lowBurst = 1000
	// plainRequestTokens is the rate-limit cost of a request without token counts, as
	// in the field plain_tokens of the fake configuration.
	plainRequestTokens = 200
	// leaseTTL is the time to live of the leases of the processes.
	leaseTTL = 3 * time.Second
	// peerPort is the port at which a process receives messages of others.
	peerPort = 7400
	// stopGrace is the grace period of a process from the stop signal to its exit.
	stopGrace = 5 * time.Second
)

// process is an entry process with the windows of the faults injected into it.
type process struct {
	vm string
	// settings are written to settingsPath at each start.
	settings     map[string]any
	settingsPath string
	address      string
	readyAddress string
	storeLink    *linkfake.Link
	logFile      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current operating system process has exited.
	exited       chan struct{}
	faultWindows []faultWindow
}

// faultWindow is a period in which requests to a process may fail.
type faultWindow struct {
	// end is zero while the fault lasts.
	start, end time.Time
	// graceful marks a planned stop: only requests that are sent within the window
	// and reach no target may fail. The process answers all others.
	graceful bool
}

func (p *process) start() error {
	data, err := json.Marshal(p.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(executable)
	cmd.Env = append(os.Environ(), entryProcessEnv+"=1", platform.SettingsVariable+"="+p.settingsPath)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		// cmd holds the exit state once exited is closed.
		_ = cmd.Wait()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, exited
	return nil
}

// signal sends a signal to the process. It has no effect if the process has exited.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// beginFaultWindow opens a fault window. The returned function sets its end to the
// current time plus extension.
func (p *process) beginFaultWindow(graceful bool) (end func(extension time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := len(p.faultWindows)
	p.faultWindows = append(p.faultWindows, faultWindow{start: time.Now(), graceful: graceful})
	return func(extension time.Duration) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faultWindows[index].end = time.Now().Add(extension)
	}
}

// mayFail reports whether a fault window allows a request that was sent at startedAt
// and ended at endedAt to fail. reachedTarget states whether a target received it.
func (p *process) mayFail(startedAt, endedAt time.Time, reachedTarget bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, window := range p.faultWindows {
		startsAfter := !window.end.IsZero() && startedAt.After(window.end)
		isUnaffected := endedAt.Before(window.start) || (window.graceful && (reachedTarget || startedAt.Before(window.start)))
		if !startsAfter && !isUnaffected {
			return true
		}
	}
	return false
}

func (p *process) waitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.waitExit(time.Minute)
}

// deployment consists of real entry processes, a fake store and fake targets, with
// links between them that inject network faults.
type deployment struct {
	t           *testing.T
	recorder    *recorder
	store       *platformfake.Store
	processes   []*process
	targets     []*platformfake.Target
	targetLinks []*linkfake.Link
	client      *http.Client
	// index distinguishes the deployments of this test process.
	index uint32
	// configuration and weightsVersion are guarded by recorder.mu while faults are
	// injected.
	configuration  platformfake.Configuration
	weightsVersion int
	// faultPeriods holds the faults of processes and of the store; it is guarded by
	// recorder.mu.
	faultPeriods []faultPeriod
	// targetStates holds the state in each target's registry entry; it is guarded
	// by recorder.mu.
	targetStates []string
}

var deploymentCount atomic.Uint32

func newDeployment(t *testing.T, seed uint64, entries, targets int) *deployment {
	d := &deployment{t: t, recorder: newRecorder(seed), store: platformfake.NewStore(), index: deploymentCount.Add(1), weightsVersion: 1}
	d.configuration = platformfake.Configuration{Version: 1, MaxConns: 200, LowRate: lowRate, LowBurst: lowBurst}
	d.client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}}
	t.Cleanup(d.close)
	d.putConfiguration()
	for i := range targets {
		target := platformfake.NewTarget(fmt.Sprintf("i-%d", i))
		target.SetSoftwareVersion(softwareVersion(i))
		target.SetHandler(d.recorder.targetHandler(target))
		link, err := linkfake.Start(target.Address())
		d.requireNoError(err)
		d.targets, d.targetLinks = append(d.targets, target), append(d.targetLinks, link)
		d.setTargetState(i, "ready")
	}
	for i := range entries {
		d.processes = append(d.processes, d.newProcess(i))
	}
	for _, p := range d.processes {
		d.eventually(p.vm+" is ready", func() bool { return d.isReady(p) })
	}
	return d
}

// allProcesses is the process of a fault of the store.
const allProcesses = -1

// faultPeriod is a period in which a process was stopped, killed, paused or had a faulty link
// to the store, or in which the store failed.
type faultPeriod struct {
	process    int
	start, end time.Time
}

// beginFaultPeriod begins a fault of a process. The returned function ends it.
func (d *deployment) beginFaultPeriod(process int) (end func()) {
	start := time.Now()
	return func() {
		d.recorder.mu.Lock()
		defer d.recorder.mu.Unlock()
		d.faultPeriods = append(d.faultPeriods, faultPeriod{process: process, start: start, end: time.Now()})
	}
}

// hadNoFault reports whether a process and the store had no fault in a period.
func (d *deployment) hadNoFault(process int, from, to time.Time) bool {
	d.recorder.mu.Lock()
	defer d.recorder.mu.Unlock()
	for _, period := range d.faultPeriods {
		concerns := period.process == process || period.process == allProcesses
		if concerns && period.start.Before(to) && period.end.After(from) {
			return false
		}
	}
	return true
}

// softwareVersion returns the software version of the n-th target. The first two of three have
// the same one, so that streams can continue at another target.
func softwareVersion(n int) string { return []string{"v1", "v1", "v2"}[n%3] }

func (d *deployment) requireNoError(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) putConfiguration() {
	d.recorder.recordConfiguration(d.configuration)
	d.store.PutConfiguration(d.configuration)
}

func (d *deployment) putWeights(version int) {
	d.store.Put("op/version/m", fmt.Sprintf(`{"model":"m","version":%d}`, version))
}

// setTargetState changes the state in a target's registry entry.
func (d *deployment) setTargetState(index int, state string) {
	d.recorder.mu.Lock()
	for len(d.targetStates) <= index {
		d.targetStates = append(d.targetStates, "")
	}
	d.targetStates[index] = state
	d.recorder.mu.Unlock()
	d.registerTarget(index)
}

// registerTarget writes a target's registry entry.
func (d *deployment) registerTarget(index int) {
	target := d.targets[index]
	d.recorder.mu.Lock()
	state := d.targetStates[index]
	d.recorder.mu.Unlock()
	d.store.Put("servers/"+target.ID, target.RegistryEntryAt(d.targetLinks[index].Addr(), "s", fmt.Sprint("zone-", index%2), state))
}

func (d *deployment) newProcess(index int) *process {
	link, err := linkfake.Start(d.store.Address())
	d.requireNoError(err)
	// Each process has its own loopback address, so that all can use the same ports.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, d.index%200, 10+index)
	p := &process{vm: fmt.Sprint("front-", index), storeLink: link, address: ip + ":7410", readyAddress: ip + ":7411"}
	p.settings = map[string]any{
		"node": p.vm, "ip": ip, "zone": fmt.Sprint("zone-", index%2),
		"listen": map[string]any{"front": p.address, "ready": p.readyAddress}, "port_range": []int{peerPort, peerPort + 1}, "first_start": true,
		"limits": map[string]any{"memory_mb": 200, "max_fds": 1000},
		"bounds": map[string]any{"lease_ms": leaseTTL.Milliseconds(), "grace_s": stopGrace.Seconds(), "retry_budget": retryBudget,
			"budget_window_s": retryBudgetWindow.Seconds(), "budget_slack": retryBudgetSlack, "version_ms": 6000},
		"platform": map[string]any{"addr": link.Addr()},
	}
	directory := d.t.TempDir()
	p.settingsPath = filepath.Join(directory, "settings.json")
	if *logDirectory != "" {
		directory = *logDirectory
	}
	p.logFile, err = os.Create(filepath.Join(directory, strings.ReplaceAll(d.t.Name(), "/", "-")+"-"+p.vm+".log"))
	d.requireNoError(err)
	d.requireNoError(p.start())
	p.settings["first_start"] = false
	return p
}

func (d *deployment) isReady(p *process) bool {
	resp, err := d.client.Get("http://" + p.readyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) eventually(description string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Errorf("timed out waiting for: %s", description)
}

// status sends a request and returns the status of its complete response, or 0 without one.
func (d *deployment) status(req *http.Request) int {
	resp, err := d.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// close stops all processes, links and fakes of the deployment.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
		p.storeLink.Close()
		_ = p.logFile.Close()
	}
	for i := range d.targets {
		d.targetLinks[i].Close()
		d.targets[i].CloseClientConnections()
		d.targets[i].Close()
	}
	d.store.CloseClientConnections()
	d.store.Close()
}
