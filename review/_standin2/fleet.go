package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// heartbeatInterval is the interval at which engines write their entries.
	heartbeatInterval = 1200 * time.Millisecond
	service           = "redacteur"
	// engineSlots is the number of requests that an engine runs at once, unless a case says otherwise.
	engineSlots = 32
)

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// merge writes the lines of another file, in the order of their times.
func (r *record) merge(path string) error {
	own, err := os.ReadFile(r.file.Name())
	if err != nil {
		return err
	}
	other, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lines := strings.SplitAfter(string(own)+string(other), "\n")
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(timeOf(a), timeOf(b)) })
	return os.WriteFile(r.file.Name(), []byte(strings.Join(lines, "")), 0o600)
}

// timeOf returns the time at the beginning of a line of a record.
func timeOf(line string) float64 {
	text, _, _ := strings.Cut(strings.TrimLeft(line, " "), " ")
	seconds, _ := strconv.ParseFloat(text, 64)
	return seconds
}

// fleet is a small deployment: the store, engines and entry processes.
type fleet struct {
	record  *record
	scratch string
	entry   string
	store   *platformfake.Store
	zones   []string
	// slots is the number of requests that an engine runs at once.
	slots int

	mu       sync.Mutex
	engines  map[string]*engineProcess
	children []*exec.Cmd
	lastID   int
	stopped  chan struct{}
}

// engineProcess is a running engine.
type engineProcess struct {
	id, address, zone, state string
	born                     int64
	seq                      int
	cmd                      *exec.Cmd
}

func newFleet(rec *record, entry string) (*fleet, error) {
	scratch, err := os.MkdirTemp("", "baobab-review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record: rec, scratch: scratch, entry: entry, store: platformfake.NewStore(),
		slots: engineSlots, zones: []string{"zone-levis", "zone-beauport", "zone-charny"}, engines: map[string]*engineProcess{}, stopped: make(chan struct{}),
	}
	go f.beat()
	return f, nil
}

// start starts a child process and remembers it for close.
func (f *fleet) start(cmd *exec.Cmd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	f.children = append(f.children, cmd)
	return nil
}

// startEngine starts an engine as a process of its own and registers it.
func (f *fleet) startEngine(arguments ...string) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.lastID++
	n := f.lastID
	f.mu.Unlock()
	p := &engineProcess{id: fmt.Sprintf("i-%04x", 0x7f00+n), zone: f.zones[n%len(f.zones)], state: "ready", born: time.Now().UnixMilli()}
	arguments = append([]string{"engine", "-id", p.id, "-born", fmt.Sprint(p.born), "-log", filepath.Join(f.scratch, "runs"), "-start", fmt.Sprint(f.record.start.UnixMilli())}, arguments...)
	p.cmd = exec.Command(self, arguments...)
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = os.Stderr
	if err := f.start(p.cmd); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	p.address = strings.TrimSpace(line)
	f.mu.Lock()
	f.engines[p.id] = p
	f.mu.Unlock()
	f.register(p, "ready")
	f.record.log("engine %s is ready at %s", p.id, p.address)
	return p, nil
}

// register writes an engine's entry.
func (f *fleet) register(p *engineProcess, state string) {
	f.mu.Lock()
	p.state = state
	p.seq++
	entry := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}]}`,
		service, p.address, p.zone, f.slots, p.state, p.seq, p.born)
	f.mu.Unlock()
	f.store.Put("servers/"+p.id, entry)
}

// beat writes the engines' entries anew, as they do.
func (f *fleet) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		running := make([]*engineProcess, 0, len(f.engines))
		for _, p := range f.engines {
			running = append(running, p)
		}
		f.mu.Unlock()
		for _, p := range running {
			f.register(p, p.state)
		}
	}
}

// leave makes an engine say that it is leaving, in its entry and its answers.
func (f *fleet) leave(p *engineProcess) {
	f.record.log("engine %s is draining", p.id)
	f.register(p, "draining")
	_ = p.cmd.Process.Signal(syscall.SIGUSR1)
}

// forget ends the writes of an engine's entry.
func (f *fleet) forget(p *engineProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.engines, p.id)
}

// kill ends an engine's process.
func (f *fleet) kill(p *engineProcess) {
	f.forget(p)
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	f.record.log("engine %s has been killed", p.id)
}

// unregister removes the entry of an engine.
func (f *fleet) unregister(p *engineProcess) {
	f.forget(p)
	f.store.Remove("servers/" + p.id)
}

// entryProcess is an entry process.
type entryProcess struct {
	vm, address, ready string
	settingsPath       string
	log                *os.File
	cmd                *exec.Cmd
}

// entrySettings returns the settings of an entry process, with the figures of the users' smaller
// deployment.
func (f *fleet) entrySettings(vm, ip string, n int, firstStart bool) map[string]any {
	return map[string]any{
		"node": vm, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": ip, "zone": f.zones[n%len(f.zones)], "region": "quebec-est",
		"listen": map[string]any{"front": ip + ":8606", "ready": ip + ":8605"}, "port_range": []int{7600, 7615}, "first_start": firstStart,
		"limits":       map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0},
		"heartbeat_ms": 1200,
		"contracts":    []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"bounds": map[string]any{"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "lost_slack_ms": 200, "config_ms": 2000, "retry_budget": 0.2, "budget_window_s": 10,
			"budget_slack": 54, "quota_window_s": 8, "recovery_s": 12, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 6000},
		"platform": map[string]any{"addr": f.store.Address(), "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
}

// newEntry writes the settings of an entry process. Each has a loopback address of its own.
func (f *fleet) newEntry(n int) (*entryProcess, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, os.Getpid()/200%250, 10+n)
	p := &entryProcess{vm: fmt.Sprintf("front-%s-1", f.zones[n%len(f.zones)]), address: ip + ":8606", ready: ip + ":8605"}
	data, err := json.Marshal(f.entrySettings(p.vm, ip, n, true))
	if err != nil {
		return nil, err
	}
	p.settingsPath = filepath.Join(f.scratch, p.vm+".json")
	if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
		return nil, err
	}
	p.log, err = os.Create(filepath.Join(f.scratch, p.vm+".log"))
	return p, err
}

// run starts the process of an entry.
func (f *fleet) run(p *entryProcess) error {
	p.cmd = exec.Command(f.entry)
	p.cmd.Env = append(os.Environ(), "BAOBABHUB_SETTINGS="+p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	return f.start(p.cmd)
}

// awaitReady waits until an entry process says that it is ready.
func (f *fleet) awaitReady(p *entryProcess) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f.record.log("entry process %s is ready", p.vm)
			return nil
		}
	}
	return errors.New(p.vm + " is not ready")
}

// close ends all processes that the case started.
func (f *fleet) close() {
	close(f.stopped)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cmd := range f.children {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	f.store.CloseClientConnections()
	if os.Getenv("KEEP") != "" {
		fmt.Println("scratch folder:", f.scratch)
		return
	}
	_ = os.RemoveAll(f.scratch)
}
