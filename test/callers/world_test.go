// Package callers tests that callers outside the configured limits neither terminate nor
// hang an entry process, and that its memory and descriptors stay within fixed bounds.
package callers

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/platform"
	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// memoryMB and maxDescriptors are the limits in the settings of the process, and the
	// bounds on its peak resident memory and on its open descriptors.
	memoryMB       = 96
	maxDescriptors = 400
	// maxHeaderBytes and maxBodyBytes are the limits in the configuration.
	maxHeaderBytes = 32 << 10
	maxBodyBytes   = 1 << 20
	headerTimeout  = 2 * time.Second
	idleTimeout    = 4 * time.Second
	replyTimeout   = 3 * time.Second
	streamTimeout  = 5 * time.Second
	// patience is the longest wait for a start, or for the answer to an ordinary request.
	patience = 30 * time.Second
	// descriptorInterval is the interval at which the open descriptors are counted.
	descriptorInterval = 20 * time.Millisecond
)

// entryProcessEnv is the environment variable that makes the test binary run as an entry
// process.
const entryProcessEnv = "BAOBAB_CALLERS_ENTRY"

// executable is the path of the entry process's program: the test binary itself, or
// baobab-entry if the test binary has the race detector, whose memory would count. The
// binary contains the program in both cases, so that go test keeps no result of an older one.
var executable string

func TestMain(m *testing.M) {
	if os.Getenv(entryProcessEnv) != "" {
		cli.Main(cli.NewEntryApp(cli.EntryPlatform{
			SettingsPath: os.Getenv(platform.SettingsVariable), LoadSettings: platform.LoadSettings, NewAdapter: platform.New,
		}))
		return
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "callers")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	if executable, err = program(directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// program returns the path of the entry process's program. It may write to a directory.
func program(directory string) (string, error) {
	if !raceEnabled {
		return os.Executable()
	}
	path := filepath.Join(directory, "baobab-entry")
	build := exec.Command("go", "build", "-o", path, "github.com/baobabhub/baobabhub/cmd/baobab-entry")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the entry process: %w\n%s", err, output)
	}
	return path, nil
}

// world is an entry process with a fake store and a fake target.
type world struct {
	t             *testing.T
	store         *platformfake.Store
	target        *platformfake.Target
	callerAddress string
	readyAddress  string
	logPath       string
	cmd           *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// crowdEnded ends the callers of the crowd.
	crowdEnded chan struct{}
	// stopCounting ends the count of descriptors, whose maximum peakDescriptors then has.
	stopCounting    chan struct{}
	peakDescriptors chan int
}

var worlds int

func newWorld(t *testing.T) *world {
	t.Helper()
	worlds++
	// Each process has its own loopback address, so that all can use the same ports.
	ip := fmt.Sprintf("127.%d.%d.20", 1+os.Getpid()%200, 1+worlds%200)
	w := &world{t: t, store: platformfake.NewStore(), target: platformfake.NewTarget("i-0"),
		callerAddress: ip + ":7410", readyAddress: ip + ":7411", crowdEnded: make(chan struct{})}
	t.Cleanup(w.close)
	w.store.Put("op/config", configuration())
	w.store.Put("servers/"+w.target.ID, w.target.RegistryEntry("s", "zone-0", "ready"))
	w.start(ip)
	w.eventually("the process is ready", func() bool {
		resp, err := http.Get("http://" + w.readyAddress + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	w.stopCounting, w.peakDescriptors = make(chan struct{}), make(chan int, 1)
	go w.countDescriptors()
	return w
}

func configuration() string {
	text := platformfake.Configuration{Version: 1, MaxConns: 1000, LowRate: 1000, LowBurst: 1000, HeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, ReplyTimeout: replyTimeout, StreamTimeout: streamTimeout}.JSON()
	return strings.NewReplacer(`"max_header_bytes":16384`, fmt.Sprintf(`"max_header_bytes":%d`, maxHeaderBytes),
		`"max_body_bytes":100000`, fmt.Sprintf(`"max_body_bytes":%d`, maxBodyBytes)).Replace(text)
}

func (w *world) start(ip string) {
	settings, err := json.Marshal(map[string]any{
		"node": "front-0", "ip": ip, "zone": "zone-0",
		"listen": map[string]any{"front": w.callerAddress, "ready": w.readyAddress}, "port_range": []int{7400, 7401}, "first_start": true,
		"limits":   map[string]any{"memory_mb": memoryMB, "max_fds": maxDescriptors},
		"bounds":   map[string]any{"lease_ms": 3000, "grace_s": 5, "retry_budget": 0.2, "budget_slack": 10, "version_ms": 6000},
		"platform": map[string]any{"addr": w.store.Address()},
	})
	w.requireNoError(err)
	settingsPath := filepath.Join(w.t.TempDir(), "settings.json")
	w.requireNoError(os.WriteFile(settingsPath, settings, 0o600))
	w.logPath = filepath.Join(w.t.TempDir(), "log")
	logFile, err := os.Create(w.logPath)
	w.requireNoError(err)
	defer func() { _ = logFile.Close() }()
	w.cmd = exec.Command(executable)
	w.cmd.Env = append(os.Environ(), entryProcessEnv+"=1", platform.SettingsVariable+"="+settingsPath)
	w.cmd.Stdout, w.cmd.Stderr = logFile, logFile
	w.requireNoError(w.cmd.Start())
	exited := make(chan struct{})
	w.exited = exited
	go func() {
		_ = w.cmd.Wait()
		close(exited)
	}()
}

func (w *world) requireNoError(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) eventually(description string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.t.Errorf("timed out waiting for: %s", description)
}

// check requires that the process lives, has answered an ordinary request beside or after
// the crowd, and has stayed within its bounds.
func (w *world) check() {
	w.t.Helper()
	defer w.report()
	w.eventually("the answer to an ordinary request", w.isServed)
	select {
	case <-w.exited:
		w.t.Errorf("the process has exited: %v", w.cmd.ProcessState)
		return
	default:
	}
	close(w.stopCounting)
	if peak := <-w.peakDescriptors; peak > maxDescriptors {
		w.t.Errorf("%d descriptors were open, more than %d", peak, maxDescriptors)
	} else {
		w.t.Logf("%d descriptors", peak)
	}
	if peak := w.peakMemory(); peak > memoryMB<<20 {
		w.t.Errorf("the peak memory was %d KiB, more than %d", peak>>10, memoryMB<<10)
	} else {
		w.t.Logf("%d KiB of memory", peak>>10)
	}
}

// report prints the end of the process's log if the test has failed.
func (w *world) report() {
	if !w.t.Failed() {
		return
	}
	data, err := os.ReadFile(w.logPath)
	if err != nil {
		w.t.Log(err)
		return
	}
	const shown = 1000
	w.t.Logf("end of the log:\n%s", data[max(0, len(data)-shown):])
}

// isServed sends an ordinary request and reports whether it was answered by the target.
func (w *world) isServed() bool {
	client := &http.Client{Timeout: replyTimeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+w.callerAddress+"/safe/ordinary", strings.NewReader("ordinary"))
	w.requireNoError(err)
	req.Host = "h"
	req.Header.Set(platformfake.HeaderRequestID, fmt.Sprint("ordinary-", time.Now().UnixNano()))
	req.Header.Set(platformfake.HeaderAPIKey, "key-1")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == "answer of i-0"
}

// peakMemory returns the peak of the process's resident memory in bytes.
func (w *world) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.cmd.Process.Pid))
	w.requireNoError(err)
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	w.requireNoError(err)
	return kilobytes << 10
}

func (w *world) countDescriptors() {
	peak := 0
	for {
		// The directory is gone once the process has exited.
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.cmd.Process.Pid)); err == nil {
			peak = max(peak, len(entries))
		}
		select {
		case <-w.stopCounting:
			w.peakDescriptors <- peak
			return
		case <-time.After(descriptorInterval):
		}
	}
}

func (w *world) close() {
	close(w.crowdEnded)
	if w.cmd != nil && w.cmd.Process != nil {
		_ = w.cmd.Process.Kill()
		<-w.exited
	}
	w.target.CloseClientConnections()
	w.target.Close()
	w.store.CloseClientConnections()
	w.store.Close()
}
