package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

// readyTimeout bounds the start of the processes.
const readyTimeout = 20 * time.Second

// object is a JSON object.
type object = map[string]any

// fleet is a small deployment: a store, engines and entry processes.
type fleet struct {
	rec     *record
	program string
	store   *platformfake.Store
	dir     string
	// network holds the first three bytes of the loopback addresses of this run.
	network string
	engines []*engine
	entries []*entry
}

func newFleet(program string, rec *record) (*fleet, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &fleet{rec: rec, program: program, store: platformfake.NewStore(), dir: dir, network: freeNetwork()}, nil
}

// freeNetwork returns the first three bytes of loopback addresses that no other run uses: the port
// for messages between the processes is free at the first of them.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		conn, err := net.ListenPacket("udp4", fmt.Sprintf("%s.%d:%d", network, firstHost, peerPort))
		if err == nil {
			_ = conn.Close()
			return network
		}
	}
}

// firstHost is the last byte of the address of the first entry process.
const firstHost = 10

// close ends everything that the fleet has started.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.kill()
	}
	for _, e := range f.engines {
		e.crash()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) putConfig(config object) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	f.store.Put("op/config", string(data))
	return nil
}

// register writes an engine's entry in the store, and removes it.
func (f *fleet) register(e *engine)   { f.store.Put("servers/"+e.id, e.registryEntry()) }
func (f *fleet) unregister(e *engine) { f.store.Remove("servers/" + e.id) }

// entry is an entry process.
type entry struct {
	fleet    *fleet
	name     string
	settings object
	address  string
	ready    string
	path     string
	logFile  *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// freePorts returns ports that are free at an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// peerPort is the port for messages between the processes, each of which has its own
// address.
const peerPort = 7600

// addEntry adds an entry process without starting it. adjust may change its settings.
func (f *fleet) addEntry(zone string, storeAddress string, bounds object, adjust func(settings object)) (*entry, error) {
	ip := fmt.Sprintf("%s.%d", f.network, firstHost+len(f.entries))
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%s-%d", zone, len(f.entries))
	e := &entry{
		fleet: f, name: name, address: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		path: filepath.Join(f.dir, name+".json"),
	}
	e.settings = object{
		"node": name, "role": "entry", "class": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": "region",
		"listen":     object{"front": e.address, "ready": e.ready},
		"port_range": []int{peerPort, peerPort + 15}, "seeds": []string{}, "first_start": true, "in_tolerance": false,
		"limits":    object{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": 1200, "bounds": bounds,
		"platform": object{"addr": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1 << 20, "min_ttl_ms": 1000},
	}
	if adjust != nil {
		adjust(e.settings)
	}
	e.logFile, err = os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	f.entries = append(f.entries, e)
	return e, nil
}

// start starts the process.
func (e *entry) start() error {
	data, err := json.Marshal(e.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(e.path, data, 0o600); err != nil {
		return err
	}
	e.settings["first_start"] = false
	cmd := exec.Command(e.fleet.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BAOBABHUB_SETTINGS=" + e.path}
	cmd.Stdout, cmd.Stderr = e.logFile, e.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cmd, e.exited = cmd, exited
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var errNotReady = errors.New("an entry process isn't ready")

// awaitReady waits until the processes are ready.
func (f *fleet) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}
	for _, e := range f.entries {
		log, _ := os.ReadFile(e.logFile.Name())
		f.rec.log("%s is ready: %v; the end of its log: %s", e.name, e.isReady(), log[max(0, len(log)-2000):])
	}
	return errNotReady
}
