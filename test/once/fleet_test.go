package once

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/bundlesync"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/cli"
	"github.com/baobabhub/baobabhub/pkg/config"
	"github.com/baobabhub/baobabhub/pkg/daemon"
	"github.com/baobabhub/baobabhub/pkg/fake/kvfake"
	"github.com/baobabhub/baobabhub/pkg/fake/loopback"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/platform"
)

// agentConfigEnv is the environment variable that makes the test binary run as an
// agent, with the settings file that it names.
const agentConfigEnv = "BAOBAB_TEST_AGENT_CONFIG"

// leaseTTL is the time to live of the agents' leases.
const leaseTTL = 1500 * time.Millisecond

// eventTimeout bounds each wait for an expected event.
const eventTimeout = 15 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(agentConfigEnv); file != "" {
		if err := cli.NewAgentApp().Run([]string{"baobab-agent", "--config", file}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// target is a service that counts executions, reports each one on received, and
// responds once release is closed.
type target struct {
	server          *httptest.Server
	received        chan string
	release         chan struct{}
	mu              sync.Mutex
	executionCounts map[string]int
}

func newTarget() *target {
	t := &target{received: make(chan string, 64), release: make(chan struct{}), executionCounts: map[string]int{}}
	t.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		t.mu.Lock()
		t.executionCounts[string(body)]++
		t.mu.Unlock()
		t.received <- string(body)
		<-t.release
		_, _ = w.Write(body)
	}))
	return t
}

func (t *target) executionCount(body string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executionCounts[body]
}

// fleet consists of a key-value service, a router and agents. The agents are separate
// processes: one serves the target, the others only own slots.
type fleet struct {
	kv            *kvfake.Server
	store         *platform.Client
	target        *target
	deployment    localfleet.Deployment
	agents        map[string]*exec.Cmd
	router        *daemon.Router
	stopRouter    context.CancelFunc
	routerStopped chan struct{}
	releaseOnce   sync.Once
}

// serviceVM is the VM of the agent that serves the target.
const serviceVM = "service"

func startFleet(t *testing.T) *fleet {
	f := &fleet{kv: kvfake.New(1), target: newTarget(), deployment: localfleet.SmallDeployment(), agents: map[string]*exec.Cmd{}}
	Reset(f.close)
	address, err := f.kv.Start("127.0.0.1:0")
	So(err, ShouldBeNil)
	f.store = platform.NewClient(platform.Config{Address: address, CallTimeout: time.Second, CallsPerSecond: 1000, CallBurst: 1000})
	publicKey, privateKey, err := ed25519.GenerateKey(nil)
	So(err, ShouldBeNil)
	signed, err := bundle.Sign(f.deployment.Bundle(500), "operator", privateKey)
	So(err, ShouldBeNil)
	current, err := bundlesync.ReadPublished(context.Background(), f.store)
	So(err, ShouldBeNil)
	So(bundlesync.Publish(context.Background(), f.store, current, signed), ShouldBeNil)
	trusted := []config.TrustedKey{{ID: "operator", PublicKey: hex.EncodeToString(publicKey)}}
	f.startAgents(t, address, trusted)
	f.startRouter(address, trusted)
	f.waitOwnershipStable()
	return f
}

func (f *fleet) startAgents(t *testing.T, kvAddress string, trusted []config.TrustedKey) {
	vmNames := []string{serviceVM, "owner-1", "owner-2", "owner-3"}
	var vms []platform.VM
	var settingsPaths []string
	for i, name := range vmNames {
		settings := config.DefaultAgent()
		settings.VM = config.VM{ID: name, Region: f.deployment.Region, DataCentre: f.deployment.DataCentres[i%3]}
		settings.PeerAddress = freeAddress()
		settings.Target.Kind, settings.Target.Pool = config.TargetService, f.deployment.Pools[1].Name
		settings.Target.Address = strings.TrimPrefix(f.target.server.URL, "http://")
		if name != serviceVM {
			settings.Target.Pool = "none"
		}
		settings.Platform.Address = kvAddress
		// A response of the key-value service that arrives while the process is frozen
		// must not time out, however late the process reads it.
		settings.Platform.CallTimeout = config.Duration(30 * time.Second)
		settings.Bundles.TrustedKeys = trusted
		settings.Slots.LeaseTTL = config.Duration(leaseTTL)
		settings.DrainTimeout = config.Duration(time.Second)
		settings.Peers.Seeds = []string{}
		encoded, err := json.Marshal(settings)
		So(err, ShouldBeNil)
		settingsPath := filepath.Join(t.TempDir(), name+".json")
		So(os.WriteFile(settingsPath, encoded, 0o600), ShouldBeNil)
		settingsPaths = append(settingsPaths, settingsPath)
		vms = append(vms, platform.VM{
			ID: name, Role: platform.RoleTarget, State: platform.VMLive, Region: f.deployment.Region,
			DataCentre: settings.VM.DataCentre, Pool: settings.Target.Pool, Address: settings.PeerAddress,
		})
	}
	f.kv.SetVMs(vms)
	for i, name := range vmNames {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), agentConfigEnv+"="+settingsPaths[i])
		if os.Getenv("BAOBAB_TEST_LOG") != "" {
			cmd.Stderr = os.Stderr
		}
		So(cmd.Start(), ShouldBeNil)
		f.agents[name] = cmd
	}
}

func (f *fleet) startRouter(kvAddress string, trusted []config.TrustedKey) {
	settings := config.DefaultRouter()
	settings.VM = config.VM{ID: "entry", Region: f.deployment.Region, DataCentre: f.deployment.DataCentres[0]}
	settings.Callers.Address = "127.0.0.1:0"
	settings.Platform.Address = kvAddress
	settings.Bundles.TrustedKeys = trusted
	settings.DrainTimeout = config.Duration(time.Second)
	router, err := daemon.NewRouter(settings, io.Discard, nil)
	So(err, ShouldBeNil)
	f.router = router
	ctx, cancel := context.WithCancel(context.Background())
	f.stopRouter, f.routerStopped = cancel, make(chan struct{})
	go func() {
		defer close(f.routerStopped)
		_ = router.Run(ctx)
	}()
}

// releaseResponses lets the target respond to current and future requests.
func (f *fleet) releaseResponses() {
	f.releaseOnce.Do(func() { close(f.target.release) })
}

func (f *fleet) close() {
	f.releaseResponses()
	if f.stopRouter != nil {
		f.stopRouter()
		<-f.routerStopped
	}
	for _, agent := range f.agents {
		_ = agent.Process.Kill()
		_ = agent.Wait()
	}
	f.target.server.Close()
	f.kv.Close()
}

// stableOwnershipPeriod is the time for which slot owners must not change before a
// test begins.
const stableOwnershipPeriod = 1500 * time.Millisecond

// waitOwnershipStable waits until all slots have owners that no longer change.
func (f *fleet) waitOwnershipStable() {
	lastOwners, unchangedSince := "", time.Now()
	eventually(func() bool {
		entries, _, err := f.store.List(context.Background(), ownership.SlotPrefix)
		owners := ""
		for _, entry := range entries {
			var record ownership.Record
			_ = json.Unmarshal(entry.Value, &record)
			owners += record.Owner.VM + " "
		}
		if err != nil || owners != lastOwners || len(entries) < config.DefaultAgent().Slots.Count {
			lastOwners, unchangedSince = owners, time.Now()
			return false
		}
		return time.Since(unchangedSince) > stableOwnershipPeriod
	})
}

// owner returns the VM that owns a key's slot, or an empty string if there is none.
func (f *fleet) owner(key string) string {
	slotCount := uint32(config.DefaultAgent().Slots.Count)
	slot := idempotency.SlotOf(idempotency.KeyHash(f.deployment.Accounts[0].Name, "redemptions", key), slotCount)
	entry, err := f.store.Get(context.Background(), ownership.SlotKey(ownership.SlotID(slot)))
	var record ownership.Record
	if err != nil || json.Unmarshal(entry.Value, &record) != nil {
		return ""
	}
	return record.Owner.VM
}

// keyOfNonServingOwner returns a key whose slot belongs to an agent that does not
// serve the target.
func (f *fleet) keyOfNonServingOwner() string {
	var key string
	eventually(func() bool {
		for i := range 64 {
			key = fmt.Sprintf("key-%d", i)
			if owner := f.owner(key); owner != "" && owner != serviceVM {
				return true
			}
		}
		return false
	})
	return key
}

// callResult is the response to a call. ran is the value of caller.HeaderRan, or empty
// if there was no response.
type callResult struct {
	status int
	ran    string
	body   string
}

func (f *fleet) redeem(key, body string) callResult {
	request, _ := http.NewRequest(http.MethodPost, "http://"+f.router.Address()+"/redemptions", bytes.NewReader([]byte(body)))
	request.Header.Set("Authorization", "Bearer "+f.deployment.Accounts[0].Key)
	request.Header.Set(caller.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{}
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, ran: response.Header.Get(caller.HeaderRan), body: string(content)}
}

// redeemUntilConclusive repeats a call until a response reports that the call ran or
// may have run.
func (f *fleet) redeemUntilConclusive(key, body string) callResult {
	var result callResult
	eventually(func() bool {
		result = f.redeem(key, body)
		return result.ran != "" && result.ran != "no"
	})
	return result
}

func eventually(condition func() bool) {
	for deadline := time.Now().Add(eventTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			So("timed out", ShouldEqual, "condition is true")
			return
		}
	}
}

func freeAddress() string {
	address, err := loopback.FreeAddress()
	So(err, ShouldBeNil)
	return address
}

// unusedKeyOfSameOwner returns an unused key whose slot has the same owner as the
// given key's slot, and that owner.
func (f *fleet) unusedKeyOfSameOwner(key string) (unusedKey, owner string) {
	owner = f.owner(key)
	for i := 0; ; i++ {
		unusedKey = fmt.Sprintf("other-%d", i)
		if f.owner(unusedKey) == owner {
			return unusedKey, owner
		}
	}
}
