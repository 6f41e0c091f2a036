package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		endAll()
		os.Exit(2)
	}
}

const stampFormat = "15:04:05.000000"

func stamp() string { return time.Now().Format(stampFormat) }

// process is a process that the case started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// started holds the processes that the case started.
var started struct {
	mu        sync.Mutex
	processes []*process
}

// endAll ends the processes that the case started.
func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, p := range started.processes {
		p.kill()
	}
	started.processes = nil
}

func start(name, dir string, env []string, output io.Writer, path string, args ...string) *process {
	cmd := exec.Command(path, args...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = dir, env, output, output
	started.mu.Lock()
	err := cmd.Start()
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	if err == nil {
		started.processes = append(started.processes, p)
	}
	started.mu.Unlock()
	check(err)
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// world is a small deployment on loopback addresses: a store, engines and entry processes.
type world struct {
	trouble bool
	root    string
	folder  string
	temp    string
	record  *os.File
	mu      sync.Mutex
	store   *platformfake.Store
	entries []*entry
	engines []*process
	next    atomic.Int64
	net     string
}

// entry is an entry process with its addresses.
type entry struct {
	*process
	front, ready string
	settings     map[string]any
	path         string
	ip           string
}

func newWorld() *world {
	folder, err := os.Getwd()
	check(err)
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	check(err)
	temp, err := os.MkdirTemp("", "review")
	check(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	w := &world{trouble: os.Getenv("TROUBLE") != "0", root: root, folder: folder, temp: temp, record: record, store: platformfake.NewStore()}
	w.net = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, os.Getpid()/200%250)
	w.printf("trouble: %v", w.trouble)
	return w
}

func (w *world) printf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%s "+format+"\n", append([]any{stamp()}, args...)...)
}

// finish ends all processes and exits with 1 if the rule was broken.
func (w *world) finish(broken bool, summary string) {
	endAll()
	w.printf("result: broken=%v, %s", broken, summary)
	for _, name := range []string{"engines.txt"} {
		if data, err := os.ReadFile(filepath.Join(w.temp, name)); err == nil {
			_, _ = w.record.Write(data)
		}
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs:", w.temp)
	}
	fmt.Printf("broken=%v, %s\n", broken, summary)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func freePort(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	check(err)
	defer l.Close()
	return strconv.Itoa(l.Addr().(*net.TCPAddr).Port)
}

// startEngine starts an engine process and waits until it listens.
func (w *world) startEngine(c engineConfig) *process {
	c.Log = filepath.Join(w.temp, "engines.txt")
	if c.Software == "" {
		c.Software = "v1"
	}
	arg, err := json.Marshal(c)
	check(err)
	self, err := os.Executable()
	check(err)
	p := start(c.ID, w.temp, os.Environ(), os.Stderr, self, "engine", string(arg))
	w.engines = append(w.engines, p)
	w.await("engine "+c.ID, func() bool {
		conn, err := net.Dial("tcp4", c.Address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return p
}

func (w *world) register(c engineConfig, slots int, state string) {
	if c.Software == "" {
		c.Software = "v1"
	}
	w.store.Put("servers/"+c.ID, fmt.Sprintf(`{"service":"s","addr":%q,"zone":"zone-a","version":%q,"slots":%d,"state":%q,"cold_left_ms":0,"models":[{"name":"m","version":1,"adapters":[]}],"seq":1,"born":%d}`,
		c.Address, c.Software, slots, state, c.Born))
}

func (w *world) await(what string, ok func() bool) {
	for deadline := time.Now().Add(15 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			check(errors.New("timeout: " + what))
		}
	}
}

// startEntry starts an entry process with the command of the deploy file and waits until it is ready.
func (w *world) startEntry(n int, storeAddress string) *entry {
	ip := w.net + strconv.Itoa(10+n)
	e := &entry{ip: ip, front: ip + ":" + freePort(ip), ready: ip + ":" + freePort(ip)}
	peer, err := strconv.Atoi(freePort("127.0.0.1"))
	check(err)
	if len(w.entries) > 0 {
		peer = w.entries[0].settings["port_range"].([]int)[0]
	}
	e.settings = map[string]any{
		"node": fmt.Sprint("front-", n), "role": "entry", "class": "front", "ip": ip, "zone": "zone-a", "region": "r",
		"listen": map[string]any{"front": e.front, "ready": e.ready}, "port_range": []int{peer, peer + 15}, "first_start": true,
		"limits":    map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"bounds": map[string]any{"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "lost_slack_ms": 200, "config_ms": 2000, "retry_budget": 0.2, "budget_window_s": 10,
			"budget_slack": 54, "lease_ms": 3000, "thaw_ms": 300, "version_ms": 6000, "version_all_ms": 8400, "fence_checked": true},
		"platform": map[string]any{"addr": storeAddress, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "min_ttl_ms": 1000},
	}
	e.path = filepath.Join(w.temp, fmt.Sprint("settings-", n, ".json"))
	w.entries = append(w.entries, e)
	w.launch(e)
	return e
}

func (w *world) launch(e *entry) {
	data, err := json.Marshal(e.settings)
	check(err)
	check(os.WriteFile(e.path, data, 0o600))
	log, err := os.OpenFile(e.path+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	check(err)
	e.process = start(e.settings["node"].(string), w.root, append(os.Environ(), "BAOBABHUB_SETTINGS="+e.path), log, filepath.Join(w.root, "target", "baobab-entry"))
	e.settings["first_start"] = false
	w.await("entry "+e.name, func() bool { return w.isReady(e) })
}

func (w *world) isReady(e *entry) bool {
	resp, err := http.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

// config writes a configuration with the routes once, safe, stream and resume of the service s.
func (w *world) config(version, maxConns, streamMS int) {
	w.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
 {"name":"once","host":"h","prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"s","attempts":1},
 {"name":"safe","host":"h","prefix":"/safe/","kind":"idempotent","timeout_ms":3000,"slo_ms":300,"priority":2,"service":"s","attempts":2},
 {"name":"stream","host":"h","prefix":"/stream/","kind":"stream","timeout_ms":%[2]d,"slo_ms":600,"gap_target_ms":400,"priority":1,"service":"s","attempts":1},
 {"name":"resume","host":"h","prefix":"/resume/","kind":"stream","timeout_ms":%[2]d,"slo_ms":400,"gap_target_ms":400,"priority":0,"service":"s","attempts":2,"resumable":true}],
 "services":[{"name":"s","health_path":"/health","max_conns":%[3]d,"engine":{"slots":32,"kv_capacity":227964,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["key-1"],"unit":"tokens","plain_tokens":200,"rate_per_s":10000000,"burst":10000000}]}`, version, streamMS, maxConns))
}

// answer is what a client got.
type answer struct {
	id     string
	path   string
	status int
	body   string
	// whole is set if the answer ended as its framing says.
	whole bool
	// stamped is set if the answer bears the stamp of an engine.
	stamped bool
	err     error
	took    time.Duration
	sent    time.Time
}

func (a *answer) String() string {
	end := "whole"
	if !a.whole {
		end = fmt.Sprint("broken off: ", a.err)
	}
	lines := strings.Split(strings.TrimSpace(a.body), "\n")
	return fmt.Sprintf("%s %s: status %d, %s, %d bytes, last line %q, %d ms", a.id, a.path, a.status, end, len(a.body), lines[len(lines)-1], a.took.Milliseconds())
}

// client sends requests one after the other on one connection.
type client struct {
	w      *world
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (w *world) newID() string { return fmt.Sprintf("%016x", 0xabc0000000+w.next.Add(1)) }

func (c *client) do(method, path, body string, header ...string) *answer {
	a := &answer{id: c.w.newID(), path: path, sent: time.Now()}
	defer func() {
		a.took = time.Since(a.sent)
		if !a.whole {
			c.close()
		}
	}()
	if c.conn == nil {
		if c.conn, a.err = net.DialTimeout("tcp4", c.front, time.Second); a.err != nil {
			return a
		}
		c.reader = bufio.NewReader(c.conn)
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Baobabhub-Request-Id: " + a.id + "\r\nX-Api-Key: key-1\r\n" + strings.Join(header, "")
	if method == http.MethodPost {
		text += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, a.err = io.WriteString(c.conn, text+"\r\n"+body); a.err != nil {
		return a
	}
	var resp *http.Response
	if resp, a.err = http.ReadResponse(c.reader, &http.Request{Method: method}); a.err != nil {
		return a
	}
	a.status, a.stamped = resp.StatusCode, resp.Header.Get("X-Baobabhub-Stamp") != ""
	var data []byte
	data, a.err = io.ReadAll(resp.Body)
	a.body, a.whole = string(data), a.err == nil
	if resp.Close {
		c.close()
	}
	return a
}

// busiestEngine returns the index of the engine that has begun to run the most requests for a path since a time,
// out of the running ones.
func (w *world) busiestEngine(running []*process, path string, since time.Time) int {
	data, err := os.ReadFile(filepath.Join(w.temp, "engines.txt"))
	check(err)
	runs := map[string]int{}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) > 5 && fields[3] == "runs" && fields[5] == path && fields[0] >= since.Format(stampFormat) {
			runs[fields[2]]++
		}
	}
	busiest := 0
	for i, p := range running {
		if runs[p.name] > runs[running[busiest].name] {
			busiest = i
		}
	}
	return busiest
}
